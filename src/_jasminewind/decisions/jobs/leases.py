"""Time limits that keep two starts of one task apart.

An owner may use an agent under a grant that the agent issued a short time
ago, and an endpoint runs work under a lease that the agent renews. Both end
by themselves when a process dies, pauses or is cut off.
"""

import dataclasses

# Time after which callers send a job again whose connection broke; the
# platform's figure (``resend-ms``). When an entry dies, every run of it must
# have ended by then, also if an agent dies just before it would stop it:
# grant, lease with drift, and one tick of the agent together stay below.
RESUBMIT_DELAY_S = 1.3
# An agent drops the work of an owner that has confirmed none of the beats
# of this last time. Two lost beats of 0.2 s are allowed for.
OWNER_GRANT_S = 0.7
# Lease that an agent asks for what its endpoint runs; the endpoint shortens
# one of more than 1 s.
ENDPOINT_LEASE_S = 0.5
# An endpoint's clock may run this much slower than ours.
CLOCK_DRIFT = 0.02
# Time for a stop to take effect and for messages under way.
STOP_MARGIN_S = 0.3
# After this time without a beat, every run on an agent has ended: its grant
# has lapsed, and with it at the latest the lease that the agent renewed.
AGENT_TIMEOUT_S = (
    OWNER_GRANT_S + ENDPOINT_LEASE_S * (1 + CLOCK_DRIFT) + STOP_MARGIN_S
)


@dataclasses.dataclass
class EndpointLease:
    """The lease of an endpoint, as the agent knows it.

    Deadlines are on the endpoint's own clock, which is known from its last
    answer.
    """

    clock_ms: int = 0
    clock_read_s: float = 0.0
    deadline_ms: int = 0

    def observe_clock(self, clock_ms: int, now_s: float) -> None:
        """Note the endpoint's clock in an answer that has just arrived."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_s = now_s

    def estimated_clock_ms(self, now_s: float) -> int:
        """Return the estimated time on the endpoint's clock."""
        return self.clock_ms + int((now_s - self.clock_read_s) * 1000)

    def next_deadline_ms(self, now_s: float) -> int:
        """Return the deadline of a renewal that is sent now."""
        deadline_ms = self.estimated_clock_ms(now_s) + int(
            ENDPOINT_LEASE_S * 1000
        )
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    def has_expired(self, now_s: float) -> bool:
        """Tell whether every lease has certainly ended."""
        left_ms = self.deadline_ms - self.clock_ms
        left_s = left_ms / 1000 * (1 + CLOCK_DRIFT)
        return now_s > self.clock_read_s + left_s
