"""Messages by which processes learn of each other."""

import dataclasses

from _jasminewind import members
from _jasminewind import shards


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """An agent announces itself to an entry or to a member of its cell.

    ``view_hash`` is the hash of the names and incarnations that the sender
    knows. A receiver that has the same hash sends no records back.
    """

    member: members.Member
    view_hash: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Welcome:
    """Answer to ``Join``: the members of the cell that are known.

    ``entries`` are the registered entries that the sender knows.
    """

    cell: int
    cell_count: int
    records: tuple[members.Member, ...]
    entries: tuple[members.Contact, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Whole record of the sender, when it changed or was asked for."""

    member: members.Member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Beat:
    """Periodic heartbeat that carries only what changes often.

    ``seq`` is the sequence of the sender's record; a receiver that has
    another one asks with ``RecordRequest``. ``config`` is the sender's
    configuration version. ``load`` is empty or the fields of
    ``members.Load`` in the order of :mod:`_jasminewind.decisions.load_codec`.
    The names are short because this is the most frequent message.
    """

    seq: int
    config: int
    load: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordRequest:
    """Ask for the whole record of the receiver, as a ``Heartbeat``."""


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
class DigestBeat:
    """A reporter has nothing new since digest ``seq`` of its cell."""

    cell: int
    seq: int
    hash: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class DigestRequest:
    """An entry asks a reporter for a full ``CellDigest``."""

    cell: int
