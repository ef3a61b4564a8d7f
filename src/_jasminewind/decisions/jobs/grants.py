"""Grants under which entries run tasks on an agent.

Entries renew them by acknowledging the heartbeats of the agent.
"""

import collections.abc
import dataclasses
import math

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import registry
from _jasminewind.decisions.jobs import subsets
from _jasminewind.messages import runs

# A grant outlives two lost heartbeats and the delay of the next one.
HEARTBEAT_PERIOD_S = 0.2
# Period for an entry that has no runs here and has ordered none lately.
IDLE_HEARTBEAT_PERIOD_S = 0.4
IDLE_AFTER_S = 2.0
# An entry that this agent no longer serves is told so for this long: by then
# it has received a heartbeat, or its last grant has expired.
RELEASE_NOTICE_S = 1.0


@dataclasses.dataclass
class Owner:
    """An entry that uses this agent.

    ``granted_s`` is when the last heartbeat that it acknowledged was sent, or
    when its callers were last known to wait if that is earlier. ``batch`` is
    the last batch of starts received from it, ``reported_batch`` the last one
    acknowledged to it, ``ordered_s`` when the last one arrived, and
    ``released_s`` when this agent stopped serving it, 0 while it is served.
    """

    node: members.NodeId
    granted_s: float = 0.0
    batch: int = 0
    reported_batch: int = 0
    ordered_s: float = 0.0
    released_s: float = 0.0


class Grants:
    """Grants to entries, timed by the clock of this agent alone."""

    def __init__(self, agent: str) -> None:
        self.subset = subsets.Subset(agent)
        self.owners: dict[members.NodeId, Owner] = {}
        self.sent_s: dict[int, float] = {}
        self.sequence = 0
        self.next_heartbeat_s = 0.0
        # What the entries must learn soon, and when it last changed.
        self.announced: tuple[runs.EndpointRecord | None, bool] = (None, False)
        self.announced_s = 0.0

    def set_entries(
        self, entries: tuple[registry.EntryAddress, ...], now_s: float
    ) -> None:
        """Set the registered entries, of which a subset is served."""
        self.subset.set_entries(entries, now_s)

    def serves(self, node: members.NodeId) -> bool:
        """Tell whether an entry may order new runs."""
        return self.subset.serves(node.name)

    def served_owners(self) -> list[members.NodeId]:
        """Return the owners that may order new runs."""
        return [node for node in self.owners if self.serves(node)]

    def ensure_owner(self, node: members.NodeId) -> Owner:
        """Return an owner, which is added if it is new."""
        return self.owners.setdefault(node, Owner(node))

    def record_batch(
        self, node: members.NodeId, batch: int, now_s: float
    ) -> None:
        """Record a batch of starts of an owner, which may be new."""
        owner = self.ensure_owner(node)
        owner.batch = max(owner.batch, batch)
        owner.ordered_s = now_s

    def owes_batch(self, node: members.NodeId) -> bool:
        """Tell whether a batch of starts is not acknowledged yet."""
        owner = self.owners[node]
        return owner.batch > owner.reported_batch

    def report_batch(self, node: members.NodeId) -> int:
        """Return the last batch of an owner, as acknowledged to it now."""
        owner = self.owners.get(node)
        if owner is None:
            return 0
        owner.reported_batch = owner.batch
        return owner.batch

    def repeat_batch(self, node: members.NodeId) -> None:
        """Acknowledge the last batch of an owner again."""
        owner = self.owners.get(node)
        if owner is not None:
            owner.reported_batch = 0

    def renew(
        self,
        node: members.NodeId,
        sequence: int,
        now_s: float,
        *,
        callers_age_ms: int = 0,
    ) -> bool:
        """Renew the grant of an owner; tell whether the owner is new."""
        self.subset.on_response(node.name, now_s)
        age_s = self.grant_age_s(
            sequence, now_s, callers_age_ms=callers_age_ms
        )
        if age_s == math.inf:
            return False
        is_new = node not in self.owners
        owner = self.ensure_owner(node)
        owner.granted_s = max(owner.granted_s, now_s - age_s)
        return is_new

    def expires_s(self, node: members.NodeId) -> float:
        """Return when the grant of an owner expires, 0 if it has none."""
        owner = self.owners.get(node)
        return 0.0 if owner is None else owner.granted_s + leases.OWNER_GRANT_S

    def grant_age_s(
        self, sequence: int, now_s: float, *, callers_age_ms: int
    ) -> float:
        """Return the age of a grant, infinite if its heartbeat has expired.

        A grant is as old as its heartbeat, or as what the owner knows of its
        callers if that is older. The message may be late, so that the second
        one alone is not enough.
        """
        sent_s = self.sent_s.get(sequence)
        if sent_s is None:
            return math.inf
        return max(now_s - sent_s, callers_age_ms / 1000)

    def heartbeats(
        self,
        load: runs.AgentLoad,
        endpoint: runs.EndpointRecord | None,
        now_s: float,
        active: collections.abc.Set[members.NodeId],
        *,
        domain_state: runs.OptionalDomainState = runs.NO_DOMAIN_STATE,
    ) -> core.Actions:
        """Return a heartbeat to every entry that is due one.

        An entry that is no longer served keeps the grant of its runs: it gets
        heartbeats that accept no new runs while it is in ``active``, the
        owners with runs here.
        """
        self.next_heartbeat_s = now_s + HEARTBEAT_PERIOD_S
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        limit_s = now_s - leases.OWNER_GRANT_S
        for sequence, sent_s in list(self.sent_s.items()):
            if sent_s >= limit_s:
                break
            del self.sent_s[sequence]
        message = runs.AgentBeat(
            sequence=self.sequence,
            load=load,
            endpoint=endpoint,
            domain_state=domain_state,
        )
        if self.announced != (endpoint, load.accepting):
            self.announced = (endpoint, load.accepting)
            self.announced_s = now_s
        is_settled = now_s - self.announced_s >= IDLE_AFTER_S
        due = self.subset.take_due(
            now_s,
            busy=self.busy_names(now_s, active),
            idle_period_s=IDLE_HEARTBEAT_PERIOD_S if is_settled else 0.0,
        )
        return [
            core.Send(
                to=members.UNNAMED, address=entry.address, message=message
            )
            for entry in due
        ] + self.releases(message, now_s, active)

    def busy_names(
        self, now_s: float, active: collections.abc.Set[members.NodeId]
    ) -> set[str]:
        """Return the names of owners that have runs or ordered some lately."""
        return {
            owner.node.name
            for owner in self.owners.values()
            if owner.node in active or now_s - owner.ordered_s < IDLE_AFTER_S
        }

    def releases(
        self,
        heartbeat: runs.AgentBeat,
        now_s: float,
        active: collections.abc.Set[members.NodeId],
    ) -> core.Actions:
        """Return the heartbeats to owners that are no longer served."""
        message = dataclasses.replace(
            heartbeat,
            load=dataclasses.replace(heartbeat.load, accepting=False),
        )
        sends: core.Actions = []
        for owner in self.owners.values():
            if self.serves(owner.node):
                owner.released_s = 0.0
                continue
            owner.released_s = owner.released_s or now_s
            is_recent = now_s - owner.released_s <= RELEASE_NOTICE_S
            if is_recent or owner.node in active:
                sends.append(
                    core.Send(
                        to=owner.node,
                        address=members.NO_ADDRESS,
                        message=message,
                    )
                )
        return sends

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
