"""What a member knows of the other members of its cell."""

import dataclasses
import enum

from _jasminewind import members


class Health(enum.StrEnum):
    """What is known of the life of a peer.

    A peer is ``UNHEARD`` when only others have told of it.
    """

    UNHEARD = "unheard"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclasses.dataclass(kw_only=True)
class Peer:
    """One peer. Times are monotonic seconds.

    ``slot_s`` is the offset of its heartbeat within the period. ``known``
    is the record sequence that it has been sent and ``load_sent`` the
    sequence of the last load report.
    """

    record: members.Member
    health: Health
    heard_s: float
    slot_s: float
    next_beat_s: float = 0.0
    next_try_s: float = 0.0
    asked_s: float = float("-inf")
    since_s: float = 0.0
    held: bool = False
    load_sent: int = -1

    @property
    def node(self) -> members.NodeId:
        """Return the incarnation that this peer is."""
        return self.record.node

    def in_view(self) -> bool:
        """Tell whether the peer belongs to the view of the cell."""
        return self.health in (Health.ALIVE, Health.SUSPECT)
