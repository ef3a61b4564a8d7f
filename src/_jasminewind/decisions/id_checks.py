"""Result of checking a work id against the intervals of its shard."""

import dataclasses
import enum

from _jasminewind import shards


class IdCheckKind(enum.Enum):
    """Relation of an id to the intervals of its shard.

    ``ACCEPT``: in an interval that this process holds. ``AHEAD``: above the
    ceiling of a shard that this process owns. ``EARLIER``: at or below the
    floor of the shard. ``NOT_OWNER``: another process owns the shard.
    ``UNKNOWN``: no owner is known.
    """

    ACCEPT = "accept"
    AHEAD = "ahead"
    EARLIER = "earlier"
    NOT_OWNER = "not_owner"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class IdCheck:
    """Result of checking an id.

    ``interval`` is the known interval that covers the id: an earlier one for
    ``EARLIER``, the current one for ``NOT_OWNER``. ``None`` with ``EARLIER``
    means that the holder is unknown, so the id may have run. ``ahead_ms`` is
    the distance above the ceiling for ``AHEAD``.
    """

    kind: IdCheckKind
    shard: int = 0
    interval: shards.Interval | None = None
    ahead_ms: int = 0
