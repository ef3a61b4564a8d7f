"""When an entry last read the connections of its callers.

A turn of the reactor asks once which sockets are readable and handles those,
in any order. A caller whose connection broke before a turn began is known to
have left once that turn is over.
"""

import dataclasses

from _jasminewind import members

# Heartbeats are collected for this long, so that a few share their turns. A
# grant allows for 0.1 s beyond two lost heartbeats.
COLLECT_S = 0.01
# Heartbeats that wait longer for a read are reported: the grants of this entry
# become short.
LATE_READ_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedHeartbeat:
    """The newest heartbeat of an agent, and when it was received."""

    sequence: int
    at_s: float


Heartbeats = dict[members.NodeId, ReceivedHeartbeat]


class CallerReads:
    """Heartbeats that wait until the callers' connections have been read.

    Turns are observed one after the other, each at its begin. Ticks are
    observed as well, since turns are requested only for heartbeats. A whole
    turn lies between two ticks too, but not between a tick and a turn.

    ``known_s`` is when the callers that have not been reported as gone were
    certainly waiting.
    """

    def __init__(self) -> None:
        self.known_s = 0.0
        self.tick_s = 0.0
        self.turn_s = 0.0
        # Received before the last turn began, and since.
        self.before_turn: Heartbeats = {}
        self.since_turn: Heartbeats = {}

    def is_waiting(self) -> bool:
        """Tell whether a heartbeat waits for a further turn."""
        return bool(self.before_turn or self.since_turn)

    def add(self, node: members.NodeId, sequence: int, now_s: float) -> None:
        """Let a heartbeat wait, unless a later one of the agent does."""
        waiting = self.since_turn.get(node)
        if waiting is None or waiting.sequence < sequence:
            self.since_turn[node] = ReceivedHeartbeat(
                sequence=sequence, at_s=now_s
            )

    def on_tick(self, now_s: float) -> None:
        """Record that a tick begins."""
        self.known_s = max(self.known_s, self.tick_s)
        self.tick_s = now_s

    def on_turn(self, now_s: float) -> Heartbeats:
        """Record that a turn begins, and return what is confirmed now."""
        self.known_s = max(self.known_s, self.turn_s)
        self.turn_s = now_s
        confirmed = self.before_turn
        self.before_turn = self.since_turn
        self.since_turn = {}
        return confirmed

    def age_ms(self, now_s: float) -> int:
        """Return how long ago all callers were certainly waiting."""
        return round((now_s - self.known_s) * 1000)
