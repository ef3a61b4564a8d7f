"""Forecast of when capacity in one rack is released."""

import dataclasses
import heapq
import typing

from _jasminewind import resources
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import tracking

# A run that takes this many times its expected time has an estimate that says
# nothing about its end: estimates are off by 40%.
MAX_OVERDUE_FACTOR = 1.6
# The remaining time of a run is at least this share of its expected time.
MIN_REMAINING_SHARE = 0.15
# Releases by runs of other entries that are expected for each agent. Those
# after them are too far off for their average rate to say much.
MAX_OTHER_RELEASES = 2


class Release(typing.NamedTuple):
    """Capacity that is expected to be released at an agent."""

    after_s: float
    sequence: int
    agent: agents.Agent
    amount: resources.Resources


@dataclasses.dataclass(frozen=True, kw_only=True)
class LocalCapacity:
    """Capacity for one task, expected at ``agent`` in ``after_s``."""

    agent: agents.Agent
    after_s: float


class RackForecast:
    """Releases in one rack, each of which is promised to one task.

    The ends of runs of this entry are expected from their estimates. Of those
    of other entries only the load is known: they end at the mean rate, and
    this entry gets an equal share of what they release.
    """

    def __init__(
        self,
        rack_agents: typing.Iterable[agents.Agent],
        *,
        now_s: float,
        mean_run_s: float,
    ) -> None:
        """Forecast the releases at ``rack_agents``, which are usable."""
        self.built_s = now_s
        self.after_s = 0.0
        self.releases: list[Release] = []
        self.free: dict[str, resources.Resources] = {}
        self.agents: dict[str, agents.Agent] = {}
        for agent in rack_agents:
            self.agents[agent.node.name] = agent
            self.free[agent.node.name] = agent.free
            self.add_own(agent, now_s)
            self.add_others(agent, mean_run_s)
        heapq.heapify(self.releases)

    def add(
        self, agent: agents.Agent, after_s: float, amount: resources.Resources
    ) -> None:
        """Add a release."""
        sequence = len(self.releases)
        self.releases.append(Release(after_s, sequence, agent, amount))

    def add_own(self, agent: agents.Agent, now_s: float) -> None:
        """Add the ends of the runs of this entry at an agent."""
        for run in agent.runs.values():
            passed_s = now_s - run.sent_s
            if passed_s > MAX_OVERDUE_FACTOR * run.expected_s:
                continue
            shortest_s = MIN_REMAINING_SHARE * run.expected_s
            after_s = max(run.expected_s - passed_s, shortest_s)
            self.add(agent, after_s, run.task.step_spec.need)

    def add_others(self, agent: agents.Agent, mean_run_s: float) -> None:
        """Add the ends of the runs of other entries at an agent."""
        own = len(agent.runs) - len(agent.unreported_starts)
        count = agent.load.running + agent.load.queued - own
        if count <= 0 or agent.endpoint is None or mean_run_s <= 0.0:
            return
        used = agent.endpoint.capacity - agent.free
        for run in agent.runs.values():
            used -= run.task.step_spec.need
        amount = used.scaled(1.0 / count)
        period_s = mean_run_s / count * max(agent.load.owners, 1)
        for number in range(1, MAX_OTHER_RELEASES + 1):
            self.add(agent, number * period_s, amount)

    def reserve(
        self,
        need: resources.Resources,
        *,
        until_s: float,
        is_suitable: typing.Callable[[agents.Agent, float], bool],
    ) -> LocalCapacity | None:
        """Reserve the first capacity within ``until_s`` that is suitable."""
        for name, free in self.free.items():
            agent = self.agents[name]
            if need.fits(free) and is_suitable(agent, self.after_s):
                return self.take(agent, need)
        while self.releases and self.releases[0].after_s <= until_s:
            release = heapq.heappop(self.releases)
            self.after_s = release.after_s
            name = release.agent.node.name
            self.free[name] += release.amount
            if need.fits(self.free[name]) and is_suitable(
                release.agent, self.after_s
            ):
                return self.take(release.agent, need)
        return None

    def take(
        self, agent: agents.Agent, need: resources.Resources
    ) -> LocalCapacity:
        """Remove capacity that is reserved for a task."""
        self.free[agent.node.name] -= need
        return LocalCapacity(agent=agent, after_s=self.after_s)

    def reserve_for(self, task: tracking.Task) -> LocalCapacity | None:
        """Reserve capacity for a task that waits already."""
        return self.reserve(
            task.step_spec.need,
            until_s=float("inf"),
            is_suitable=lambda agent, after_s: True,
        )
