"""The agents that an entry knows, and the capacity of their endpoints."""

import dataclasses
import typing

from _jasminewind import members
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import caller_reads
from _jasminewind.decisions.jobs import evacuations
from _jasminewind.decisions.jobs import speed
from _jasminewind.messages import runs


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCapacity:
    """Capacity of the endpoints of one service that accept work.

    ``cores`` is at their measured speed. ``share`` is the part of it that
    this entry gets when all entries that use an endpoint are equally busy.
    Endpoints in evacuated failure domains only count in ``evacuated``.
    """

    cores: float = 0.0
    share: float = 0.0
    evacuated: int = 0

    def is_all_evacuated(self) -> bool:
        """Tell whether evacuations leave no endpoint of the service."""
        return not self.share and self.evacuated > 0


NO_CAPACITY = ServiceCapacity()


class AgentDirectory:
    """Agents by process, with an index of the capacity of each service.

    ``gained`` holds the agents whose free capacity may have grown, or that
    may have become usable, since it was last cleared.
    """

    def __init__(self) -> None:
        self.by_node: dict[members.NodeId, agents.Agent] = {}
        self.node_by_name: dict[str, members.NodeId] = {}
        self.gained: dict[members.NodeId, agents.Agent] = {}
        # Agents by the labels of their endpoint; racks are labels.
        self.by_label: dict[str, dict[members.NodeId, agents.Agent]] = {}
        self.capacities: dict[str, ServiceCapacity] | None = None
        self.evacuations = evacuations.Evacuations()

    def get(self, node: members.NodeId) -> agents.Agent | None:
        """Return an agent, or ``None`` if it is unknown."""
        return self.by_node.get(node)

    def add(self, node: members.NodeId) -> agents.Agent:
        """Add an agent that has sent its first heartbeat."""
        agent = agents.Agent(node, self.evacuations)
        self.by_node[node] = agent
        return agent

    def remove(self, agent: agents.Agent) -> None:
        """Remove an agent."""
        del self.by_node[agent.node]
        self.update_labels(agent, agent.endpoint, None)
        self.gained.pop(agent.node, None)
        if self.node_by_name.get(agent.node.name) == agent.node:
            del self.node_by_name[agent.node.name]
        self.capacities = None

    def is_superseded(self, node: members.NodeId) -> bool:
        """Tell whether a later process of the same name accepts work."""
        known = self.node_by_name.get(node.name)
        return known is not None and known.incarnation > node.incarnation

    def replace_predecessor(self, node: members.NodeId) -> agents.Agent | None:
        """Make ``node`` the process of its name; return the earlier one."""
        earlier = self.node_by_name.get(node.name)
        self.node_by_name[node.name] = node
        if earlier is None or earlier == node:
            return None
        return self.by_node.get(earlier)

    def on_heartbeat(
        self, agent: agents.Agent, heartbeat: runs.AgentBeat, now_s: float
    ) -> None:
        """Record a heartbeat."""
        was_accepting = agent.load.accepting
        was_usable = agent.is_usable(now_s)
        free = agent.free
        endpoint = agent.endpoint
        agent.on_heartbeat(heartbeat, now_s)
        if agent.load.accepting != was_accepting or agent.endpoint != endpoint:
            self.capacities = None
        if agent.endpoint != endpoint:
            self.update_labels(agent, endpoint, agent.endpoint)
        if not was_usable or not agent.free.fits(free):
            self.gained[agent.node] = agent

    def update_labels(
        self,
        agent: agents.Agent,
        earlier: runs.EndpointRecord | None,
        endpoint: runs.EndpointRecord | None,
    ) -> None:
        """Index an agent whose endpoint has changed."""
        for label in set(earlier.labels if earlier is not None else ()):
            labelled = self.by_label[label]
            labelled.pop(agent.node, None)
            if not labelled:
                del self.by_label[label]
        for label in endpoint.labels if endpoint is not None else ():
            self.by_label.setdefault(label, {})[agent.node] = agent

    def in_rack(self, rack: str) -> typing.Iterable[agents.Agent]:
        """Return the agents whose endpoint is in a rack."""
        return self.by_label.get(rack, {}).values()

    def confirm(
        self,
        agent: agents.Agent,
        heartbeat: caller_reads.ReceivedHeartbeat,
        now_s: float,
    ) -> None:
        """Let a heartbeat be the grant for new runs."""
        was_usable = agent.is_usable(now_s)
        agent.confirm(heartbeat)
        if not was_usable:
            self.gained[agent.node] = agent

    def read_evacuations(self, version: int, domains: frozenset[str]) -> None:
        """Record the evacuated domains that the table lists at a version."""
        self.evacuations.read(version, domains)
        self.capacities = None

    def learn_domain_state(
        self, agent: agents.Agent, state: runs.OptionalDomainState
    ) -> None:
        """Record the state that an agent reports of its own domain."""
        if (
            isinstance(state, runs.DomainState)
            and agent.endpoint is not None
            and agent.endpoint.failure_domain == state.domain
            and self.evacuations.merge(state)
        ):
            self.capacities = None

    def in_domain(self, domain: str) -> list[agents.Agent]:
        """Return the agents whose endpoint is in a failure domain."""
        return [
            agent
            for agent in self.by_node.values()
            if agent.endpoint is not None
            and agent.endpoint.failure_domain == domain
        ]

    def update_load(self, agent: agents.Agent, load: runs.AgentLoad) -> None:
        """Record a reported load."""
        was_accepting = agent.load.accepting
        free = agent.free
        agent.update_load(load)
        if agent.load.accepting != was_accepting:
            self.capacities = None
        if not agent.free.fits(free):
            self.gained[agent.node] = agent

    def capacity(self, service: str) -> ServiceCapacity:
        """Return the capacity of a service."""
        if self.capacities is None:
            self.capacities = self.measure_capacities()
        return self.capacities.get(service, NO_CAPACITY)

    def measure_capacities(self) -> dict[str, ServiceCapacity]:
        """Return the capacity of each service."""
        capacities: dict[str, ServiceCapacity] = {}
        for agent in self.by_node.values():
            endpoint = agent.endpoint
            if endpoint is None:
                continue
            before = capacities.get(endpoint.service, NO_CAPACITY)
            if agent.is_evacuated():
                capacities[endpoint.service] = dataclasses.replace(
                    before, evacuated=before.evacuated + 1
                )
                continue
            if not agent.load.accepting:
                continue
            slowness = max(agent.load.slowness, speed.MIN_SLOWNESS)
            cores = endpoint.capacity.cores / slowness
            capacities[endpoint.service] = dataclasses.replace(
                before,
                cores=before.cores + cores,
                share=before.share + cores / max(agent.load.owners, 1),
            )
        return capacities

    def refresh(self, now_s: float) -> list[agents.Agent]:
        """Measure the capacities again; return the agents that are lost.

        The speeds that agents report change with every run. They are taken
        into account once per call of this method.
        """
        self.capacities = None
        return [a for a in self.by_node.values() if a.is_lost(now_s)]

    def usable(self, now_s: float) -> list[agents.Agent]:
        """Return the agents on which new runs may be placed."""
        return [a for a in self.by_node.values() if a.is_usable(now_s)]

    def take_gained(self, now_s: float) -> list[agents.Agent]:
        """Return the usable agents of ``gained``, and clear it."""
        gained = [a for a in self.gained.values() if a.is_usable(now_s)]
        self.gained.clear()
        return gained

    def may_eject(self, now_s: float) -> bool:
        """Tell whether the share of ejected agents allows one more."""
        ejected = sum(
            1
            for agent in self.by_node.values()
            if now_s < agent.ejected_until_s
        )
        return ejected + 1 <= agents.MAX_EJECTED_SHARE * len(self.by_node)
