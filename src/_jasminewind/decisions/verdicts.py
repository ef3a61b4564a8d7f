"""What ownership says about a work id."""

import dataclasses
import enum

from _jasminewind import shards


class VerdictKind(enum.Enum):
    """Relation of an id to the intervals that a process knows."""

    ACCEPT = "accept"
    AHEAD = "ahead"
    EARLIER = "earlier"
    NOT_OWNER = "not_owner"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Judgement of one id, with the interval that holds it if known."""

    kind: VerdictKind
    interval: shards.Interval | None = None
