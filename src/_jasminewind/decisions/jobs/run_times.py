"""Expected run times of tasks at agents."""

from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking
from _jasminewind.decisions.jobs import work_kinds

# Default of the setting ``remote_slowdown``.
REMOTE_SLOWDOWN = 1.5


class RunTimes:
    """Expects run times from estimates, and compares them with actual ones.

    Tasks away from their data take ``remote_slowdown`` times as long.
    """

    def __init__(self, *, remote_slowdown: float = REMOTE_SLOWDOWN) -> None:
        self.remote_slowdown = remote_slowdown
        self.kinds = work_kinds.WorkKinds()

    def expected_s(self, task: tracking.Task, agent: agents.Agent) -> float:
        """Return the expected run time of a task at an agent."""
        slowness = agent.load.slowness * self.slowdown(task, agent)
        return task.step_spec.estimate_s * slowness

    def slowdown(self, task: tracking.Task, agent: agents.Agent) -> float:
        """Return the expected run time of a task divided by its estimate.

        This is on an endpoint of usual speed in the place of that of
        ``agent``.
        """
        slowdown = self.kinds.slowdown(kind(task))
        if not is_near_data(task.step_spec, agent):
            slowdown *= self.remote_slowdown
        return slowdown

    def record(self, run: tracking.Run, run_s: float) -> None:
        """Record a completed run."""
        name = kind(run.task)
        expected_s = run.expected_s / run.kind_slowdown
        self.kinds.record(name, expected_s, run_s)


def kind(task: tracking.Task) -> str:
    """Return the kind of work of a task: that of its queue."""
    return task.job.spec.queue.name


def is_near_data(step_spec: specs.Step, agent: agents.Agent) -> bool:
    """Tell whether an endpoint is near the data of a step, if it has any."""
    return (
        not step_spec.data_rack
        or agent.endpoint is None
        or step_spec.data_rack in agent.endpoint.labels
    )
