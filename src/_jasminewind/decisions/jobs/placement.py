"""Placement policies: the choice of the agent that runs a task."""

import abc
import random
import typing

from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import run_times as run_time_model
from _jasminewind.decisions.jobs import tracking

# Agents whose expected run time is within this factor of the fastest one count
# as equal: measured speeds of equal endpoints differ by as much, because
# estimates are off by 40%.
EQUAL_SPEED_FACTOR = 1.25
# Agents that are sampled and compared. Two random choices come close to the
# least loaded agent without all entries picking the same one
# (M. Mitzenmacher, 2001).
SAMPLE_SIZE = 2


class Placement(abc.ABC):
    """Chooses among the agents that have capacity for a task."""

    name: typing.ClassVar[str]

    def __init__(
        self, *, rng: random.Random, run_times: run_time_model.RunTimes
    ) -> None:
        self.rng = rng
        self.run_times = run_times

    @abc.abstractmethod
    def choose(
        self, task: tracking.Task, candidates: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return one of ``candidates``, which is not empty."""


class RandomPlacement(Placement):
    """Chooses a random agent; a baseline."""

    name = "random"

    def choose(
        self, task: tracking.Task, candidates: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return a random agent."""
        del task, now_s
        return self.rng.choice(candidates)


class RoundRobinPlacement(Placement):
    """Cycles through the agents; a baseline."""

    name = "round_robin"

    def __init__(
        self, *, rng: random.Random, run_times: run_time_model.RunTimes
    ) -> None:
        super().__init__(rng=rng, run_times=run_times)
        self.turn = 0

    def choose(
        self, task: tracking.Task, candidates: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return the next agent in name order."""
        del task, now_s
        self.turn += 1
        ordered = sorted(candidates, key=lambda agent: agent.node.name)
        return ordered[self.turn % len(ordered)]


class LeastOutstandingPlacement(Placement):
    """Chooses the agent with the fewest runs; a baseline."""

    name = "least_outstanding"

    def choose(
        self, task: tracking.Task, candidates: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return the agent with the fewest runs."""
        del task, now_s
        return min(
            candidates, key=lambda a: (a.load.running, self.rng.random())
        )


class ExpectedEndPlacement(Placement):
    """Chooses between two random agents among the fastest for the task.

    All entries see the same slightly stale loads. If each chose the single
    best agent, their orders would collide there while equal agents idle.
    """

    name = "expected_end"

    def choose(
        self, task: tracking.Task, candidates: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return the sampled agent with more free cores."""
        del now_s
        expected = [
            (self.run_times.expected_s(task, agent), agent)
            for agent in candidates
        ]
        limit_s = EQUAL_SPEED_FACTOR * min(run_s for run_s, _ in expected)
        fastest = [agent for run_s, agent in expected if run_s <= limit_s]
        if len(fastest) > SAMPLE_SIZE:
            fastest = self.rng.sample(fastest, SAMPLE_SIZE)
        return max(fastest, key=lambda agent: agent.free.cores)


def candidates(
    task: tracking.Task, usable: list[agents.Agent]
) -> list[agents.Agent]:
    """Return the agents of ``usable`` that can run a task now.

    Most steps have neither a label nor a limit for each endpoint, and this is
    called for each task with all agents.
    """
    step_spec = task.step_spec
    need = step_spec.need
    service = task.job.spec.queue.service
    found = [
        agent
        for agent in usable
        if agent.endpoint is not None
        and need.fits(agent.free)
        and agent.endpoint.service == service
        and not agent.is_on_probation()
    ]
    if step_spec.label:
        found = [a for a in found if has_label(a, step_spec.label)]
    if step_spec.max_per_endpoint:
        found = [a for a in found if is_below_limit(task, a)]
    return found


def has_label(agent: agents.Agent, label: str) -> bool:
    """Tell whether the endpoint of an agent has a label."""
    return agent.endpoint is not None and label in agent.endpoint.labels


def is_below_limit(task: tracking.Task, agent: agents.Agent) -> bool:
    """Tell whether an agent may run one more task of the same step."""
    running_siblings = task.job.run_counts[task.step, agent.node]
    return running_siblings < task.step_spec.max_per_endpoint


def needs_at_most(task: tracking.Task, other: tracking.Task) -> bool:
    """Tell whether ``task`` fits wherever ``other`` does."""
    step_spec = task.step_spec
    return (
        not step_spec.label
        and not step_spec.max_per_endpoint
        and task.job.spec.queue.service == other.job.spec.queue.service
        and step_spec.need.fits(other.step_spec.need)
    )


def prefer_untried(
    task: tracking.Task, candidates: list[agents.Agent]
) -> list[agents.Agent]:
    """Return the agents that a task has not been tried on, else all.

    A task that failed prefers agents without recent failures, so that two
    faulty endpoints do not fail its job.
    """
    untried = [a for a in candidates if a.node.name not in task.avoided_agents]
    if task.failures:
        untried = [a for a in untried if not a.failed_jobs] or untried
    return untried or candidates


POLICIES: tuple[type[Placement], ...] = (
    ExpectedEndPlacement,
    LeastOutstandingPlacement,
    RoundRobinPlacement,
    RandomPlacement,
)


def from_name(
    name: str, *, rng: random.Random, run_times: run_time_model.RunTimes
) -> Placement:
    """Return the policy called ``name``."""
    for policy in POLICIES:
        if policy.name == name:
            return policy(rng=rng, run_times=run_times)
    known = ", ".join(policy.name for policy in POLICIES)
    raise ValueError(f"unknown placement policy {name!r}; use one of {known}")
