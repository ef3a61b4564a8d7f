"""Shards: rows of the ownership table and their intervals of ids."""

import dataclasses

from _jasminewind import members


@dataclasses.dataclass(frozen=True, kw_only=True)
class Interval:
    """Id times that one incarnation may accept: ``floor < t <= ceiling``.

    Both bounds are Unix milliseconds taken from ids, not clock readings.
    """

    epoch: int
    owner: members.NodeId
    address: members.Address
    floor_ms: int
    ceiling_ms: int

    def covers(self, id_time_ms: int) -> bool:
        """Tell whether an id created at ``id_time_ms`` belongs here."""
        return self.floor_ms < id_time_ms <= self.ceiling_ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class Successor:
    """A process that may take a shard over."""

    node: members.NodeId
    address: members.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardRow:
    """Row of a shard in the platform's table.

    ``current.ceiling_ms`` is the ceiling when the row was written; the
    owner may have gone beyond it by promises of its successors, unless
    ``closed`` says that it has left and accepts nothing more.
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
