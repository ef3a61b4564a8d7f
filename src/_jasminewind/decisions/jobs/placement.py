"""Choice of the agent that runs a task."""

import abc
import random
import typing

from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking

# Work away from its data, or spread over racks although it belongs on one,
# takes this many times as long, unless the platform says otherwise.
REMOTE_SLOWDOWN = 1.5
# Agents at which a task takes up to this many times as long as at the fastest
# count as equal: measured speeds of equal endpoints differ by as much, because
# estimates are off by 40%.
EQUAL_FACTOR = 1.25
# Agents that are drawn and compared. Two choices come close to the least
# loaded one without sending every entry to it (M. Mitzenmacher, 2001).
CHOICES = 2


class Placement(abc.ABC):
    """Chooses among the agents that have room for a task."""

    name: typing.ClassVar[str]

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    @abc.abstractmethod
    def choose(
        self, task: tracking.Task, found: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return one of ``found``, which is not empty."""


class RandomPlacement(Placement):
    """Chooses at random; a baseline."""

    name = "random"

    def choose(
        self, task: tracking.Task, found: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return any agent."""
        del task, now_s
        return self.rng.choice(found)


class RoundRobinPlacement(Placement):
    """Chooses each agent in turn; a baseline."""

    name = "round_robin"

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.turn = 0

    def choose(
        self, task: tracking.Task, found: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return the agent whose turn it is."""
        del task, now_s
        self.turn += 1
        ordered = sorted(found, key=lambda agent: agent.node.name)
        return ordered[self.turn % len(ordered)]


class LeastOutstandingPlacement(Placement):
    """Chooses the agent with the fewest runs; a baseline."""

    name = "least_outstanding"

    def choose(
        self, task: tracking.Task, found: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return the agent that runs the least."""
        del task, now_s
        return min(found, key=lambda a: (a.load.running, self.rng.random()))


class ExpectedEndPlacement(Placement):
    """Chooses an agent where the task is expected to end early.

    Entries see the same loads a moment late. If each chose the one best
    agent, their orders would meet there while its equals stand idle.
    """

    name = "expected_end"

    def choose(
        self, task: tracking.Task, found: list[agents.Agent], now_s: float
    ) -> agents.Agent:
        """Return the one with more room of two of the fastest agents."""
        del now_s
        expected = [(expected_run_s(task, agent), agent) for agent in found]
        limit_s = EQUAL_FACTOR * min(run_s for run_s, _ in expected)
        fastest = [agent for run_s, agent in expected if run_s <= limit_s]
        if len(fastest) > CHOICES:
            fastest = self.rng.sample(fastest, CHOICES)
        return max(fastest, key=lambda agent: agent.free.cores)


def expected_run_s(task: tracking.Task, agent: agents.Agent) -> float:
    """Return the expected run time of a task at an agent, in seconds."""
    shape = task.shape
    expected_s = shape.estimate_s * agent.load.slowness
    if not is_near_data(shape, agent):
        expected_s *= REMOTE_SLOWDOWN
    return expected_s


def is_near_data(shape: specs.Step, agent: agents.Agent) -> bool:
    """Tell whether an endpoint is where the data of a step is."""
    if not shape.data_rack or agent.endpoint is None:
        return True
    return shape.data_rack in agent.endpoint.labels


def fits(task: tracking.Task, agent: agents.Agent) -> bool:
    """Tell whether an agent's endpoint may run a task at all."""
    endpoint = agent.endpoint
    shape = task.shape
    if endpoint is None or endpoint.service != task.job.spec.queue.service:
        return False
    if shape.label and shape.label not in endpoint.labels:
        return False
    return shape.need.fits(endpoint.capacity)


def has_place(task: tracking.Task, agent: agents.Agent) -> bool:
    """Tell whether an agent has room for a task now."""
    shape = task.shape
    if not shape.need.fits(agent.free):
        return False
    if not shape.max_per_endpoint:
        return True
    beside = sum(
        1
        for other in task.job.tasks
        if other.step == task.step
        and other.run is not None
        and other.run.agent is agent
    )
    return beside < shape.max_per_endpoint


def places(
    task: tracking.Task, usable: list[agents.Agent]
) -> list[agents.Agent]:
    """Return the agents of ``usable`` that have room for a task now."""
    return [
        agent
        for agent in usable
        if not agent.is_on_probation()
        and has_place(task, agent)
        and fits(task, agent)
    ]


def needs_less(task: tracking.Task, other: tracking.Task) -> bool:
    """Tell whether ``task`` fits wherever ``other`` does."""
    shape = task.shape
    return (
        not shape.label
        and not shape.max_per_endpoint
        and task.job.spec.queue.service == other.job.spec.queue.service
        and shape.need.fits(other.shape.need)
    )


def preferred(
    task: tracking.Task, found: list[agents.Agent]
) -> list[agents.Agent]:
    """Return the agents that a task has not met, else all.

    A task that failed before goes where nothing has failed lately, so that
    two faulty endpoints do not fail its job.
    """
    unmet = [a for a in found if a.node.name not in task.avoid]
    if task.failures:
        unmet = [a for a in unmet if not a.failed_jobs] or unmet
    return unmet or found


POLICIES: tuple[type[Placement], ...] = (
    ExpectedEndPlacement,
    LeastOutstandingPlacement,
    RoundRobinPlacement,
    RandomPlacement,
)


def from_name(name: str, *, rng: random.Random) -> Placement:
    """Return the policy of that name; a wrong name is an error."""
    for policy in POLICIES:
        if policy.name == name:
            return policy(rng=rng)
    known = ", ".join(policy.name for policy in POLICIES)
    raise ValueError(f"unknown placement {name!r}; use one of {known}")
