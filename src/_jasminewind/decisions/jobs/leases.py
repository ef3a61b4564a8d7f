"""Leases that keep two runs of one task from overlapping.

An owner starts runs under a grant that the agent issued a short time ago, and
an endpoint executes runs under a lease that the agent renews. Both expire when
a process crashes, pauses or is partitioned.
"""

import dataclasses

# Callers resubmit a job this long after their connection broke; the platform
# sets it (``resend-ms``). When an entry crashes, all its runs must have ended
# by then, even if an agent crashes just before it would stop them: the grant,
# the lease with clock drift and one tick of the agent together stay below.
RESUBMIT_DELAY_S = 1.3
# A process whose timers were this late was paused. Callers may have left it
# meanwhile, and can resubmit their jobs elsewhere soon after; after a shorter
# pause, half a second remains to notice that they have left.
PAUSE_S = RESUBMIT_DELAY_S - 0.5
# An agent stops the runs of an owner that has acknowledged none of the
# heartbeats sent within this time. It allows for two lost ones, 0.2 s apart.
OWNER_GRANT_S = 0.7
# Lease that an agent requests for the runs of its endpoint.
ENDPOINT_LEASE_S = 0.5
# Endpoints shorten longer leases to this. A later life of an endpoint, whose
# clock starts anew, takes every deadline of the earlier one for a longer one.
LEASE_LIMIT_S = 1.0
# A reply is from a later life if its clock is this far behind the last one or
# ahead of the time that has passed since. Others arrive within the time-out of
# a call.
MAX_CLOCK_ERROR_MS = 500
# Share by which the clock of an endpoint may be slower than that of the agent.
CLOCK_DRIFT = 0.02
# The clock of an endpoint was read at most this long before its lease is
# renewed, as an agent that gets no replies stops renewing it.
CLOCK_AGE_S = 1.0
# After this time every lease has expired that an agent renewed before.
MAX_LEASE_S = (ENDPOINT_LEASE_S + CLOCK_DRIFT * CLOCK_AGE_S) / (
    1 - CLOCK_DRIFT
)
# A broken connection may reach the entry this late. Until then the entry
# acknowledges heartbeats without a stop.
MAX_NOTICE_S = 0.6
# Allows for a stop in flight, its handling, and the tick of the agent.
NOTICE_MARGIN_S = 0.07
# While an endpoint leaves a stop unanswered, its lease is extended no later
# than this after the stop arrived. Even after a notice that was late by
# ``MAX_NOTICE_S`` the run has ended before its caller returns.
STOP_RENEWAL_S = (
    RESUBMIT_DELAY_S - MAX_LEASE_S - MAX_NOTICE_S - NOTICE_MARGIN_S
)
# Allows for a stop to take effect and for messages in flight.
STOP_MARGIN_S = 0.3
# After this time without a heartbeat all runs on an agent have ended: the
# grant has expired, and so has the lease that the agent last renewed under it.
AGENT_TIMEOUT_S = OWNER_GRANT_S + MAX_LEASE_S + STOP_MARGIN_S


@dataclasses.dataclass
class EndpointLease:
    """The lease of an endpoint, as its agent knows it.

    Deadlines are on the clock of the endpoint, which is estimated from its
    last reply, which may have waited in a paused agent. ``state_clock_ms`` is
    that of the last renewal, sent at ``state_sent_s``. ``later_life_s`` is
    until when a later life of the endpoint may hold a lease that was meant for
    this one, by the clock of the agent.
    """

    clock_ms: int = 0
    clock_read_s: float = 0.0
    state_clock_ms: int = 0
    state_sent_s: float = 0.0
    deadline_ms: int = 0
    later_life_s: float = 0.0

    def observe_clock(self, clock_ms: int, now_s: float) -> None:
        """Record the clock of the endpoint from a reply that just arrived."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_s = now_s

    def has_restarted(self, clock_ms: int, now_s: float) -> bool:
        """Tell whether a reply with this clock is from a later life."""
        if not clock_ms:
            return False
        if clock_ms < self.clock_ms - MAX_CLOCK_ERROR_MS:
            return True
        passed_ms = (now_s - self.state_sent_s) * 1000
        latest_ms = self.state_clock_ms + passed_ms + MAX_CLOCK_ERROR_MS
        return bool(self.state_clock_ms) and clock_ms > latest_ms

    def observe_state(self, clock_ms: int, sent_s: float) -> None:
        """Record the clock in the reply to a renewal sent at ``sent_s``."""
        if clock_ms >= self.state_clock_ms:
            self.state_clock_ms = clock_ms
            self.state_sent_s = sent_s

    def allow_for_later_life(self, now_s: float) -> None:
        """Allow for a run that a later life of the endpoint has started."""
        self.later_life_s = now_s + LEASE_LIMIT_S / (1 - CLOCK_DRIFT)

    def estimated_clock_ms(self, now_s: float) -> int:
        """Return the estimated time on the clock of the endpoint."""
        return self.clock_ms + int((now_s - self.clock_read_s) * 1000)

    def next_deadline_ms(self, now_s: float) -> int:
        """Return the lease deadline to send in a renewal now."""
        deadline_ms = self.estimated_clock_ms(now_s) + int(
            ENDPOINT_LEASE_S * 1000
        )
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    def has_expired(self, now_s: float) -> bool:
        """Tell whether every renewed lease has certainly expired."""
        return self.remaining_s(now_s) < 0

    def remaining_s(self, now_s: float) -> float:
        """Return how long the lease may still last, negative if expired."""
        left_ms = self.deadline_ms - self.clock_ms
        left_s = left_ms / 1000 / (1 - CLOCK_DRIFT)
        return max(self.clock_read_s + left_s, self.later_life_s) - now_s
