"""What a member knows of the other members of its cell."""

import dataclasses
import enum

from _jasminewind import members


class Health(enum.StrEnum):
    """What is known of the life of a peer.

    A peer is ``UNCONFIRMED`` when only others have told of it.
    """

    UNCONFIRMED = "unheard"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclasses.dataclass(kw_only=True)
class Peer:
    """One peer. Times are monotonic seconds.

    ``heartbeat_offset_s`` is the offset of its heartbeat within the period.
    ``sent_load_sequence`` is the sequence of the last load report.
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
        """Return the incarnation that this peer is."""
        return self.record.node

    def in_view(self) -> bool:
        """Tell whether the peer belongs to the view of the cell."""
        return self.health in (Health.ALIVE, Health.SUSPECT)
