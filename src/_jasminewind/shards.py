"""Rows of the shard ownership table and the id intervals in them."""

import dataclasses

from _jasminewind import members


@dataclasses.dataclass(frozen=True, kw_only=True)
class Interval:
    """Id times that one incarnation may accept: ``floor < t <= ceiling``.

    Both bounds are the Unix milliseconds inside ids, not clock readings.
    """

    epoch: int
    owner: members.NodeId
    address: members.Address
    floor_ms: int
    ceiling_ms: int

    def covers(self, id_time_ms: int) -> bool:
        """Return whether an id created at ``id_time_ms`` is inside."""
        return self.floor_ms < id_time_ms <= self.ceiling_ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class Successor:
    """A process that may take over a shard when its owner fails."""

    node: members.NodeId
    address: members.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardRow:
    """Row of a shard in the platform's table.

    ``current.ceiling_ms`` is the ceiling at the time of the write. Promises
    of its successors may have let the owner go beyond it, unless ``closed``
    is set: then the owner has left and accepts no further id.
    """

    shard: int
    current: Interval
    successors: tuple[Successor, ...]
    earlier: tuple[Interval, ...] = ()
    write_id: str = ""
    closed: bool = False


def row_key(shard: int) -> str:
    """Return the table key of a shard's row."""
    return f"shard/{shard:06d}"
