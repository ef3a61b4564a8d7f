"""Messages of cell membership and of its digests to the entries."""

import dataclasses

from _jasminewind import members
from _jasminewind import shards


@dataclasses.dataclass(frozen=True, kw_only=True)
class Join:
    """An agent announces itself to an entry or to a member of its cell.

    ``view_hash`` is the hash of the names and incarnations in the sender's
    view. A receiver whose view has the same hash sends no records back.
    """

    member: members.Member
    view_hash: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Welcome:
    """Reply to ``Join``: the members of the cell known to the sender.

    ``entries`` are the registered entries known to the sender.
    """

    cell: int
    cell_count: int
    records: tuple[members.Member, ...]
    entries: tuple[members.Contact, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Full record of the sender, sent on a change or on request."""

    member: members.Member


@dataclasses.dataclass(frozen=True, kw_only=True)
class Beat:
    """Periodic heartbeat that carries only values that change often.

    ``seq`` is the sequence of the sender's record; a receiver with an older
    one replies with ``RecordRequest``. ``config`` is the sender's
    configuration version. ``load`` is empty or the fields of
    ``members.Load`` in the order of :mod:`_jasminewind.decisions.load_codec`.
    The names are short because this is the most frequent message.
    """

    seq: int
    config: int
    load: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordRequest:
    """Request the full record of the receiver, as a ``Heartbeat``."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """The sender is about to exit and accepts no more work."""

    node: members.NodeId


@dataclasses.dataclass(frozen=True, kw_only=True)
class CellDigest:
    """Summary of a cell that its reporters send to every entry.

    Unless ``full``, ``rows`` and ``records`` hold only changes since the
    previous digest; ``gone`` lists members that died or left.
    ``digest_hash`` is the hash of the reporter's whole view, by which an
    entry detects a missed digest and sends ``DigestRequest``.
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
    """Nothing has changed since digest ``seq`` of the sender's cell."""

    cell: int
    seq: int
    hash: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class DigestRequest:
    """An entry requests a full ``CellDigest`` from a reporter."""

    cell: int
