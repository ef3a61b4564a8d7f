"""Messages by which processes learn of each other."""

import dataclasses

from _jasminewind import members
from _jasminewind import shards


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """An agent announces itself to an entry or to a member of its cell."""

    member: members.Member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Welcome:
    """Answer to ``Join``: the members of the cell that are known."""

    cell: int
    cell_count: int
    records: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Current record of the sender, to every member of its cell."""

    member: members.Member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """The sender is about to exit and takes no more work."""

    node: members.NodeId


@dataclasses.dataclass(frozen=True, kw_only=True)
class CellDigest:
    """Summary of a cell that its reporters send to every entry.

    ``rows`` and ``records`` hold only what changed since the digest
    before; ``gone`` names members that died or left. ``digest_hash`` is
    the hash of the reporter's whole view, so that an entry notices that
    it missed something and asks with ``DigestRequest``.
    """

    cell: int
    reporter: members.NodeId
    sequence: int
    digest_hash: int
    full: bool
    rows: tuple[shards.ShardRow, ...] = ()
    records: tuple[members.Member, ...] = ()
    gone: tuple[members.NodeId, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class DigestRequest:
    """An entry asks a reporter for a full ``CellDigest``."""

    cell: int
