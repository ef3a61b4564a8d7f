"""Grants under which entries run tasks on an agent.

Entries renew them by acknowledging the heartbeats of the agent.
"""

import dataclasses

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import leases
from _jasminewind.messages import runs

# A grant outlives two lost heartbeats and the delay of the next one.
HEARTBEAT_PERIOD_S = 0.2


@dataclasses.dataclass
class Owner:
    """An entry that uses this agent.

    ``granted_s`` is when the last heartbeat that it acknowledged was sent,
    and ``batch`` the last batch of starts received from it.
    """

    node: members.NodeId
    granted_s: float = 0.0
    batch: int = 0


class Grants:
    """Grants to entries, timed by the clock of this agent alone."""

    def __init__(self) -> None:
        self.entries: tuple[members.Address, ...] = ()
        self.owners: dict[members.NodeId, Owner] = {}
        self.sent_s: dict[int, float] = {}
        self.sequence = 0
        self.next_heartbeat_s = 0.0

    def ensure_owner(self, node: members.NodeId) -> Owner:
        """Return an owner, which is added if it is new."""
        return self.owners.setdefault(node, Owner(node))

    def renew(self, node: members.NodeId, sequence: int) -> bool:
        """Renew the grant of an owner; tell whether the owner is new."""
        sent_s = self.sent_s.get(sequence)
        if sent_s is None:
            return False
        is_new = node not in self.owners
        owner = self.ensure_owner(node)
        owner.granted_s = max(owner.granted_s, sent_s)
        return is_new

    def heartbeat_age_s(self, sequence: int, now_s: float) -> float:
        """Return the age of a heartbeat, infinite if it has expired."""
        sent_s = self.sent_s.get(sequence)
        return float("inf") if sent_s is None else now_s - sent_s

    def heartbeats(
        self,
        load: runs.AgentLoad,
        endpoint: runs.EndpointRecord | None,
        now_s: float,
    ) -> core.Actions:
        """Return a heartbeat to every entry."""
        self.next_heartbeat_s = now_s + HEARTBEAT_PERIOD_S
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        limit_s = now_s - leases.OWNER_GRANT_S
        for sequence, sent_s in list(self.sent_s.items()):
            if sent_s >= limit_s:
                break
            del self.sent_s[sequence]
        message = runs.AgentBeat(
            sequence=self.sequence, load=load, endpoint=endpoint
        )
        return [
            core.Send(to=members.UNNAMED, address=address, message=message)
            for address in self.entries
        ]

    def expire(self, now_s: float) -> list[Owner]:
        """Remove the owners whose grant has expired, and return them."""
        expired = [
            owner
            for owner in self.owners.values()
            if now_s - owner.granted_s > leases.OWNER_GRANT_S
        ]
        for owner in expired:
            del self.owners[owner.node]
        return expired
