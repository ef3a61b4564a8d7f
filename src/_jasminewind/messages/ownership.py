"""Messages between the owner of a shard and its successors."""

import dataclasses

from _jasminewind import shards
from _jasminewind.messages import work


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromiseRequest:
    """The owner asks a successor to keep its floor at ``ceiling_ms``."""

    shard: int
    epoch: int
    ceiling_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromiseReply:
    """Answer to ``PromiseRequest``.

    When ``granted`` is false, ``epoch`` is the epoch that the successor
    knows, which is higher when the sender of the request was replaced.
    """

    shard: int
    epoch: int
    ceiling_ms: int
    granted: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnerAnnounce:
    """The owner tells entries and its cell which interval it holds."""

    row: shards.ShardRow


@dataclasses.dataclass(frozen=True, kw_only=True)
class TakeOverRequest:
    """A leaving owner asks a successor to take over above ``closed_ms``.

    The owner accepts no id with a time above ``closed_ms`` any more.
    """

    shard: int
    epoch: int
    closed_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandOver:
    """Finished records that the earlier owner leaves to the new one.

    ``epoch`` is the epoch that ended. The next ``HandOver`` is sent when
    the one with this ``sequence`` is acknowledged.
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
