"""Selects the endpoint of an agent among the incarnations announced to it."""

import dataclasses
import typing

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import executor
from _jasminewind.messages import runs

# A candidate that has not identified itself is asked again after this time.
IDENTITY_RETRY_S = 0.1
# The configuration is read again after this time for a service that it did
# not name.
SERVICES_RETRY_S = 1.0
# Candidates that are remembered. An agent has one endpoint, and seldom more
# than one successor of it.
MAX_CANDIDATES = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """Heartbeat of an endpoint, with its state and address.

    ``clock_ms`` is the endpoint's monotonic clock. ``sequence`` increases
    with each announcement of one incarnation, to detect reordered ones.
    ``drain_remaining_s`` is how long a draining endpoint stays at least.
    """

    record: runs.EndpointRecord
    address: members.Address
    sequence: int
    clock_ms: int
    is_draining: bool
    drain_remaining_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identify(core.Action):
    """Ask the endpoint at an announced address who it is."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadServices(core.Action):
    """Read the names of the configured services."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UseEndpoint(core.Action):
    """Use the endpoint of an announcement, in the announced state."""

    announcement: Announcement


@dataclasses.dataclass
class Candidate:
    """An announced incarnation that the agent does not use."""

    announcement: Announcement
    announced_s: float
    has_answered: bool = False
    has_service: bool = False
    next_identify_s: float = 0.0
    next_services_s: float = 0.0
    logged_reason: str = ""


class EndpointSelection(core.StateMachine):
    """Decides which announcements the executor gets to see.

    Anybody can send an announcement. One of another incarnation takes effect
    only if its service is configured, an endpoint answers as this incarnation
    at the announced address, and the endpoint in use is certainly gone.
    """

    TICK_S = 0.05

    def __init__(self, *, run_executor: executor.RunExecutor) -> None:
        """Select the endpoint of ``run_executor``."""
        self.executor = run_executor
        # Sequence number of the last announcement that took effect.
        self.sequence = -1
        self.services: frozenset[str] = frozenset()
        self.candidates: dict[runs.Incarnation, Candidate] = {}
        self.actions: core.Actions = []

    def handles(self) -> typing.Iterable[type]:
        """Return the message types handled: announcements are calls."""
        return ()

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle no message."""
        del sender, message, now
        return []

    def flush(self) -> core.Actions:
        """Return the accumulated actions."""
        flushed, self.actions = self.actions, []
        return flushed

    def trust_service(self, service: str) -> None:
        """Add a service that is known to be configured."""
        self.services |= {service}

    def on_announcement(
        self, announcement: Announcement, now: core.Instant
    ) -> core.Actions:
        """Handle an announcement of the current or another incarnation."""
        record = announcement.record
        known = self.executor.endpoint
        if self.executor.has_departed_since(record, announcement.clock_ms):
            return []
        if self.is_current(record):
            if announcement.sequence <= self.sequence:
                return []
            if known is not None and known.service == record.service:
                self.use(announcement)
                return self.flush()
        self.add_candidate(announcement, now)
        return self.flush()

    def is_current(self, record: runs.EndpointRecord) -> bool:
        """Tell whether a record describes the incarnation in use."""
        known = self.executor.endpoint
        return known is not None and runs.incarnation(
            known
        ) == runs.incarnation(record)

    def use(self, announcement: Announcement) -> None:
        """Let an announcement take effect."""
        self.candidates.pop(runs.incarnation(announcement.record), None)
        self.sequence = announcement.sequence
        self.trust_service(announcement.record.service)
        self.actions.append(UseEndpoint(announcement=announcement))

    def add_candidate(
        self, announcement: Announcement, now: core.Instant
    ) -> None:
        """Remember an incarnation, and examine it at once."""
        key = runs.incarnation(announcement.record)
        candidate = self.candidates.get(key)
        if candidate is None:
            if len(self.candidates) >= MAX_CANDIDATES:
                del self.candidates[next(iter(self.candidates))]
            candidate = Candidate(announcement, now.mono_s)
            self.candidates[key] = candidate
        elif announcement.sequence <= candidate.announcement.sequence:
            return
        candidate.announcement = announcement
        candidate.announced_s = now.mono_s
        self.examine(candidate, now)

    def examine(self, candidate: Candidate, now: core.Instant) -> None:
        """Use a candidate, or ask for what is not known about it."""
        announcement = candidate.announcement
        record = announcement.record
        is_current = self.is_current(record)
        if not is_current and not self.executor.is_endpoint_gone(now):
            self.log_ignored(candidate, "the endpoint in use still answers")
            return
        left = self.executor.departures
        if left.has_undated_notice(record.name, candidate.announced_s):
            candidate.has_answered = False
            self.log_ignored(candidate, "it may have left since")
        has_answered = candidate.has_answered or is_current
        has_service = candidate.has_service or record.service in self.services
        if has_answered and has_service:
            self.use(announcement)
            return
        if not has_answered and now.mono_s >= candidate.next_identify_s:
            candidate.next_identify_s = now.mono_s + IDENTITY_RETRY_S
            self.actions.append(Identify(announcement=announcement))
        if not has_service and now.mono_s >= candidate.next_services_s:
            candidate.next_services_s = now.mono_s + SERVICES_RETRY_S
            self.actions.append(ReadServices())

    def on_identity(
        self,
        announcement: Announcement,
        reply: actions.RenewReply,
        now: core.Instant,
    ) -> core.Actions:
        """Handle the reply of the endpoint at an announced address."""
        record = announcement.record
        candidate = self.candidates.get(runs.incarnation(record))
        if candidate is None:
            return []
        if self.is_identity(record, reply):
            self.executor.departures.date_notice(
                runs.incarnation(record), reply.clock_ms, reply.sent_s
            )
            clock_ms = candidate.announcement.clock_ms
            if self.executor.has_departed_since(record, clock_ms):
                self.log_ignored(candidate, "it has left since")
                del self.candidates[runs.incarnation(record)]
            else:
                candidate.has_answered = True
                self.examine(candidate, now)
        else:
            self.log_ignored(
                candidate,
                f"no endpoint answers as it at {announcement.address}: "
                f"{reply.outcome.value}, born {reply.born_ms}",
            )
        return self.flush()

    def is_identity(
        self, record: runs.EndpointRecord, reply: actions.RenewReply
    ) -> bool:
        """Tell whether a reply comes from the incarnation of a record."""
        if reply.outcome is actions.CallOutcome.DONE:
            return reply.born_ms in (0, record.born_ms)
        # A refused fencing token names no time of birth, so it does not tell
        # an incarnation from the one before under the same name.
        known = self.executor.endpoint
        is_other_name = known is None or known.name != record.name
        return reply.outcome is actions.CallOutcome.FENCED and is_other_name

    def on_services(
        self, names: frozenset[str] | None, now: core.Instant
    ) -> core.Actions:
        """Handle the names of the services, ``None`` if not readable.

        Without a configuration the answer of the endpoint has to be enough.
        """
        if names is not None:
            self.services = names
        for candidate in list(self.candidates.values()):
            service = candidate.announcement.record.service
            if names is None or service in names:
                candidate.has_service = True
                self.examine(candidate, now)
            else:
                self.log_ignored(
                    candidate, f"service {service!r} is not configured"
                )
        return self.flush()

    def on_endpoint_left(self, name: str) -> None:
        """Forget the incarnations of an endpoint that is leaving."""
        for key in list(self.candidates):
            if key.name == name:
                del self.candidates[key]

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Examine the candidates again, and drop those that fell silent."""
        for key, candidate in list(self.candidates.items()):
            silent_s = now.mono_s - candidate.announced_s
            if silent_s > executor.ANNOUNCEMENT_TIMEOUT_S:
                del self.candidates[key]
            else:
                self.examine(candidate, now)
        return self.flush()

    def log_ignored(self, candidate: Candidate, reason: str) -> None:
        """Log why a candidate is not used, once for each reason."""
        if candidate.logged_reason == reason:
            return
        candidate.logged_reason = reason
        record = candidate.announcement.record
        known = self.executor.endpoint
        self.actions.append(
            core.LogDecision(
                kind="ignore_announcement",
                choice="" if known is None else known.name,
                candidates=(record.name,),
                reason=f"{record.name} of service {record.service!r}: "
                f"{reason}",
            )
        )
