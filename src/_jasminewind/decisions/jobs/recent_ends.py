"""Ends of runs that an agent keeps, in case their owner queries them."""

import dataclasses

from _jasminewind.messages import runs

# Ends are kept this long for an owner whose link was replaced. An owner
# removes a silent agent sooner.
RETENTION_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecentEnd:
    """The end of a run, and when it was recorded."""

    end: runs.RunEnd
    at_s: float


class RecentEnds:
    """Ends by run, oldest first."""

    def __init__(self) -> None:
        self.by_key: dict[runs.RunKey, RecentEnd] = {}

    def __contains__(self, key: runs.RunKey) -> bool:
        return key in self.by_key

    def get(self, key: runs.RunKey) -> runs.RunEnd | None:
        """Return the end of a run, ``None`` if it is not kept."""
        recent = self.by_key.get(key)
        return None if recent is None else recent.end

    def record(self, end: runs.RunEnd, now_s: float) -> None:
        """Record the end of a run that was accepted here."""
        self.by_key.pop(end.key, None)
        self.by_key[end.key] = RecentEnd(end=end, at_s=now_s)

    def record_refusal(self, end: runs.RunEnd, now_s: float) -> None:
        """Record that a run was refused, unless its end is known."""
        self.by_key.setdefault(end.key, RecentEnd(end=end, at_s=now_s))

    def expire(self, now_s: float) -> None:
        """Drop the ends that are past their retention time."""
        for key, recent in list(self.by_key.items()):
            if now_s - recent.at_s < RETENTION_S:
                break
            del self.by_key[key]
