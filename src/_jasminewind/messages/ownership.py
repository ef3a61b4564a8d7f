"""Messages of shard owners to successors, entries and their cell."""

import dataclasses

from _jasminewind import shards
from _jasminewind.messages import work


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromiseRequest:
    """Asks a successor to keep its floor at or above ``ceiling_ms``."""

    shard: int
    epoch: int
    ceiling_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromiseReply:
    """Reply to ``PromiseRequest``.

    If ``granted`` is false, ``epoch`` is the epoch known to the successor,
    which is higher if the sender of the request was replaced as owner.
    """

    shard: int
    epoch: int
    ceiling_ms: int
    granted: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnerAnnounce:
    """The owner announces its interval to the entries and its cell."""

    row: shards.ShardRow


@dataclasses.dataclass(frozen=True, kw_only=True)
class TakeOverRequest:
    """A leaving owner asks a successor to take over above ``closed_ms``.

    From then on the owner accepts no id with a time above ``closed_ms``.
    """

    shard: int
    epoch: int
    closed_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOver:
    """Finished records that the previous owner transfers to the new one.

    ``epoch`` is the epoch that ended. The next ``HandOver`` is sent only when
    this ``sequence`` has been acknowledged.
    """

    shard: int
    epoch: int
    answers: tuple[work.Answer, ...]
    sequence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOverAck:
    """The new owner has stored the ``HandOver`` of this ``sequence``."""

    shard: int
    epoch: int
    sequence: int = 0
