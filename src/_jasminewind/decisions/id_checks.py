"""What ownership says about a work id."""

import dataclasses
import enum

from _jasminewind import shards


class IdCheckKind(enum.Enum):
    """What this process may do with an id.

    ``ACCEPT``: the id is in an interval of this process. ``AHEAD``: it is
    above the ceiling of a shard that this process owns. ``EARLIER``: it
    is at or below the floor of the shard. ``NOT_OWNER``: another process
    owns the shard. ``UNKNOWN``: no owner is known.
    """

    ACCEPT = "accept"
    AHEAD = "ahead"
    EARLIER = "earlier"
    NOT_OWNER = "not_owner"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class IdCheck:
    """Judgement of an id.

    ``interval`` is the known interval that covers the id: an earlier one
    for ``EARLIER`` (``None`` when nobody is known to have held it, so that
    the id may have run), the current one for ``NOT_OWNER``. ``ahead_ms``
    is the distance above the ceiling for ``AHEAD``.
    """

    kind: IdCheckKind
    shard: int = 0
    interval: shards.Interval | None = None
    ahead_ms: int = 0
