"""State of the other members of a cell, as one member knows them."""

import dataclasses
import enum

from _jasminewind import members


class Health(enum.StrEnum):
    """Liveness of a peer.

    ``UNCONFIRMED``: known only from records that others relayed.
    """

    UNCONFIRMED = "unheard"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclasses.dataclass(kw_only=True)
class Peer:
    """State of one peer. Times are in monotonic seconds.

    Heartbeats are sent to it at ``heartbeat_offset_s`` within the period.
    ``sent_load_sequence`` is the sequence of the last load report sent to it.
    ``death_deferred``: it fell silent in a mass failure and stays a suspect
    for longer.
    """

    record: members.Member
    health: Health
    last_heard_s: float
    heartbeat_offset_s: float
    next_heartbeat_s: float = 0.0
    next_retry_s: float = 0.0
    last_request_s: float = float("-inf")
    health_since_s: float = 0.0
    death_deferred: bool = False
    sent_load_sequence: int = -1

    @property
    def node(self) -> members.NodeId:
        """Return the name and incarnation of this peer."""
        return self.record.node

    def in_view(self) -> bool:
        """Return whether the peer is in the view of the cell."""
        return self.health in (Health.ALIVE, Health.SUSPECT)
