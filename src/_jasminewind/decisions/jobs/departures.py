"""Endpoints that are expected to end."""

import dataclasses

from _jasminewind.decisions.jobs import leases
from _jasminewind.messages import runs

# Departures and notices that are remembered. An agent has one endpoint, and
# seldom more than one successor of it, but anybody can send a notice.
MAX_REMEMBERED = 4
# A notice that cannot be dated by the clock of its endpoint takes precedence
# over announcements that arrive up to this long after it. Endpoints announce
# themselves every 1.5 s; an older announcement is not expected to take longer
# than three of these periods.
UNDATED_NOTICE_S = 4.5


@dataclasses.dataclass(frozen=True)
class Departure:
    """An endpoint that an agent uses no longer, and why.

    ``clock_ms`` is the time on the clock of the endpoint.
    """

    incarnation: runs.Incarnation
    clock_ms: int
    reason: str

    def is_before(self, clock_ms: int) -> bool:
        """Tell whether an announcement of this incarnation was sent later.

        The notice was then that of an earlier life under the same name.
        """
        return clock_ms > self.clock_ms


class Departures:
    """The endpoints that have left, and notices of ones that were not in use.

    A new process may read the notice of an endpoint before it knows the
    endpoint. A notice names no incarnation and no time, so it is dated by the
    first answer of the endpoint.
    """

    def __init__(self) -> None:
        self.by_incarnation: dict[runs.Incarnation, Departure] = {}
        # When the last notice of each name arrived.
        self.notices: dict[str, float] = {}

    def record(self, departure: Departure) -> None:
        """Record that an incarnation is expected to end."""
        self.by_incarnation.pop(departure.incarnation, None)
        self.by_incarnation[departure.incarnation] = departure
        if len(self.by_incarnation) > MAX_REMEMBERED:
            del self.by_incarnation[next(iter(self.by_incarnation))]

    def record_notice(self, name: str, now_s: float) -> None:
        """Record the notice of an endpoint that is not in use."""
        self.notices.pop(name, None)
        self.notices[name] = now_s
        if len(self.notices) > MAX_REMEMBERED:
            del self.notices[next(iter(self.notices))]

    def has_departed_since(
        self, incarnation: runs.Incarnation, clock_ms: int
    ) -> bool:
        """Tell whether an incarnation has left since it announced itself."""
        departure = self.by_incarnation.get(incarnation)
        return departure is not None and not departure.is_before(clock_ms)

    def has_undated_notice(self, name: str, announced_s: float) -> bool:
        """Tell whether an announcement may be older than a notice.

        It arrived at ``announced_s``.
        """
        notice_s = self.notices.get(name)
        return (
            notice_s is not None and announced_s - notice_s < UNDATED_NOTICE_S
        )

    def date_notice(
        self, incarnation: runs.Incarnation, clock_ms: int, sent_s: float
    ) -> None:
        """Date a notice by an answer of the incarnation.

        Its clock was at ``clock_ms`` at ``sent_s`` or later, and may be slow.
        """
        notice_s = self.notices.get(incarnation.name)
        if notice_s is None or not clock_ms:
            return
        del self.notices[incarnation.name]
        passed_s = max(sent_s - notice_s, 0.0) * (1 - leases.CLOCK_DRIFT)
        self.record(
            Departure(
                incarnation,
                clock_ms - int(passed_s * 1000),
                "it announced that it is leaving",
            )
        )
