"""Delay scheduling: when a task waits for capacity near its data.

A task away from the rack of its data takes longer. If no endpoint in that
rack has free capacity, a short wait for one may end earlier than a start
elsewhere (M. Zaharia and others, Delay Scheduling, 2010).
"""

import abc
import dataclasses
import typing

from _jasminewind.decisions.jobs import agent_directory
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import rack_forecast
from _jasminewind.decisions.jobs import run_times as run_time_model
from _jasminewind.decisions.jobs import tracking

# A wait has to save this share of the remote run time, because estimates are
# off by 40% in either direction.
MIN_GAIN_SHARE = 0.1
# Forecasts are kept for this long: one takes 0.1 to 0.4 ms, and there may be
# hundreds of passes a second.
FORECAST_AGE_S = 0.02
# Weight of the last run in the mean run time.
MEAN_WEIGHT = 0.02
# Limits of the correction of forecasts for a rack. It rises with each wait
# that ends without local capacity, and falls with each that gets it, and with
# time, as no waits begin while it is high.
MAX_CORRECTION = 8.0
CORRECTION_RISE = 1.3
CORRECTION_FALL = 0.9
CORRECTION_HALF_LIFE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wait:
    """A wait of a task for capacity in a rack, until ``until_s`` at most.

    The capacity is expected after ``expected_s``. ``remote_s`` and
    ``local_s`` are the expected times of a run elsewhere and in the rack.
    """

    rack: str
    began_s: float
    until_s: float
    expected_s: float
    remote_s: float
    local_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """What a decision is about: a task that could start in another rack."""

    task: tracking.Task
    remote: list[agents.Agent]
    now_s: float

    @property
    def rack(self) -> str:
        """Return the rack of the task's data."""
        return self.task.step_spec.data_rack


class WaitPolicy(abc.ABC):
    """Decides whether a task waits for capacity near its data."""

    name: typing.ClassVar[str]
    # Whether tasks wait while capacity is short everywhere.
    waits_when_short: typing.ClassVar[bool] = False
    # Whether tasks near their data start first then.
    defers_when_short: typing.ClassVar[bool] = False

    def __init__(
        self,
        *,
        run_times: run_time_model.RunTimes,
        directory: agent_directory.AgentDirectory,
    ) -> None:
        self.run_times = run_times
        self.directory = directory

    @abc.abstractmethod
    def decide(
        self, choice: Choice, waiting: typing.Iterable[tracking.Task]
    ) -> Wait | None:
        """Return the wait of a task, or ``None`` for a remote start now.

        ``waiting`` are the tasks that wait for the same rack.
        """

    def begin_pass(self, now_s: float) -> None:
        """Forget what was computed for earlier passes and is outdated."""

    def is_worthwhile(
        self,
        task: tracking.Task,
        wait: Wait,
        forecast: rack_forecast.RackForecast,
        now_s: float,
    ) -> bool:
        """Tell whether a wait that has begun should go on."""
        del task, wait, forecast, now_s
        return True

    def forecast(
        self, rack: str, now_s: float
    ) -> rack_forecast.RackForecast | None:
        """Return the releases in a rack, ``None`` without usable agents."""
        usable = [
            agent
            for agent in self.directory.in_rack(rack)
            if agent.is_usable(now_s)
        ]
        if not usable:
            return None
        return rack_forecast.RackForecast(
            usable, now_s=now_s, mean_run_s=self.mean_run_s()
        )

    def mean_run_s(self) -> float:
        """Return the mean run time of tasks, 0 if unknown."""
        return 0.0

    def observe_start(self, expected_s: float) -> None:
        """Record the expected time of a run that starts."""

    def observe_end(self, wait: Wait, now_s: float, *, is_local: bool) -> None:
        """Record how a wait ended."""


class NeverWait(WaitPolicy):
    """Starts every task at once."""

    name = "never"

    def decide(
        self, choice: Choice, waiting: typing.Iterable[tracking.Task]
    ) -> Wait | None:
        """Return no wait."""
        del choice, waiting
        return None


class FixedWait(WaitPolicy):
    """Waits for a fixed time; a baseline for tests."""

    name = "fixed"
    waits_when_short = True
    DELAY_S = 0.1

    def decide(
        self, choice: Choice, waiting: typing.Iterable[tracking.Task]
    ) -> Wait | None:
        """Return the same wait for every task."""
        del waiting
        return Wait(
            rack=choice.rack,
            began_s=choice.now_s,
            until_s=choice.now_s + self.DELAY_S,
            expected_s=self.DELAY_S,
            remote_s=0.0,
            local_s=0.0,
        )


@dataclasses.dataclass
class Correction:
    """Factor by which waits for a rack are longer than expected."""

    factor: float = 1.0
    at_s: float = 0.0

    def current(self, now_s: float) -> float:
        """Return the factor, which returns to 1 with time."""
        age = (now_s - self.at_s) / CORRECTION_HALF_LIFE_S
        return 1.0 + (self.factor - 1.0) * 0.5**age

    def update(self, change: float, now_s: float) -> None:
        """Multiply the factor by ``change``, within its limits."""
        factor = self.current(now_s) * change
        self.factor = min(max(factor, 1.0), MAX_CORRECTION)
        self.at_s = now_s


class ForecastWait(WaitPolicy):
    """Waits if this is expected to end earlier than a remote start.

    The wait is at most the extra time of a remote run, as in the ski-rental
    problem, so that the end is at most twice as late as by the best choice. It
    is expected to end with a local start that keeps the job on time, if a
    remote start now would.
    """

    name = "forecast"
    defers_when_short = True

    def __init__(
        self,
        *,
        run_times: run_time_model.RunTimes,
        directory: agent_directory.AgentDirectory,
    ) -> None:
        super().__init__(run_times=run_times, directory=directory)
        self.mean_s = 0.0
        self.corrections: dict[str, Correction] = {}
        # Recent forecasts, in which capacity is reserved.
        self.forecasts: dict[str, rack_forecast.RackForecast | None] = {}
        self.forecasts_end_s = 0.0

    def begin_pass(self, now_s: float) -> None:
        """Forget the forecasts if they are outdated."""
        if now_s >= self.forecasts_end_s:
            self.forecasts.clear()
            self.forecasts_end_s = now_s + FORECAST_AGE_S

    def mean_run_s(self) -> float:
        """Return the mean expected time of the runs started here."""
        return self.mean_s

    def observe_start(self, expected_s: float) -> None:
        """Record the expected time of a run that starts."""
        if not self.mean_s:
            self.mean_s = expected_s
        self.mean_s += MEAN_WEIGHT * (expected_s - self.mean_s)

    def observe_end(self, wait: Wait, now_s: float, *, is_local: bool) -> None:
        """Correct later forecasts for the rack."""
        known = self.corrections.get(wait.rack)
        if known is None:
            if is_local:
                return
            self.drop_expired_corrections(now_s)
            known = self.corrections[wait.rack] = Correction()
        known.update(CORRECTION_FALL if is_local else CORRECTION_RISE, now_s)

    def drop_expired_corrections(self, now_s: float) -> None:
        """Forget corrections that have no effect any more.

        Callers name racks, so there may be any number of names.
        """
        self.corrections = {
            rack: known
            for rack, known in self.corrections.items()
            if known.current(now_s) > 1.01
        }

    def correction(self, rack: str, now_s: float) -> float:
        """Return the factor by which waits for a rack are corrected."""
        known = self.corrections.get(rack)
        return 1.0 if known is None else known.current(now_s)

    def reserved_forecast(
        self,
        rack: str,
        waiting: typing.Iterable[tracking.Task],
        now_s: float,
    ) -> rack_forecast.RackForecast | None:
        """Return the forecast of a rack, without what is reserved."""
        if rack not in self.forecasts:
            forecast = self.forecast(rack, now_s)
            if forecast is not None:
                for task in waiting:
                    forecast.reserve_for(task)
            self.forecasts[rack] = forecast
        return self.forecasts[rack]

    def decide(
        self, choice: Choice, waiting: typing.Iterable[tracking.Task]
    ) -> Wait | None:
        """Return a wait that is expected to pay off."""
        task = choice.task
        rack = choice.rack
        now_s = choice.now_s
        forecast = self.reserved_forecast(rack, waiting, now_s)
        if forecast is None:
            return None
        remote_s, error = min(
            (self.run_times.expected_s(task, agent), agent.load.slowness_error)
            for agent in choice.remote
        )
        local_s = min(
            self.run_times.expected_s(task, agent)
            for agent in forecast.agents.values()
        )
        slack = slack_s(choice, local_s=local_s, remote_s=remote_s)
        limit_s = min(remote_s - local_s, slack)
        if limit_s <= 0.0:
            return None
        correction = self.correction(rack, now_s)
        age_s = now_s - forecast.built_s

        def pays_off(agent: agents.Agent, after_s: float) -> bool:
            if agent.node.name in task.avoided_agents:
                return False
            local_s = self.run_times.expected_s(task, agent)
            wait_s = max(after_s - age_s, 0.0) * correction
            gain_s = remote_s - wait_s - local_s
            share = MIN_GAIN_SHARE + max(error, agent.load.slowness_error)
            return gain_s >= share * remote_s

        capacity = forecast.reserve(
            task.step_spec.need,
            until_s=limit_s / correction + age_s,
            is_suitable=pays_off,
        )
        if capacity is None:
            return None
        return Wait(
            rack=rack,
            began_s=now_s,
            until_s=now_s + limit_s,
            expected_s=max(capacity.after_s - age_s, 0.0) * correction,
            remote_s=remote_s,
            local_s=self.run_times.expected_s(task, capacity.agent),
        )

    def is_worthwhile(
        self,
        task: tracking.Task,
        wait: Wait,
        forecast: rack_forecast.RackForecast,
        now_s: float,
    ) -> bool:
        """Tell whether capacity is expected before the wait ends."""
        capacity = forecast.reserve_for(task)
        return (
            capacity is not None and now_s + capacity.after_s <= wait.until_s
        )


def slack_s(choice: Choice, *, local_s: float, remote_s: float) -> float:
    """Return how long a task may wait without harm to its job.

    A job that a remote start now would complete on time is on time even if
    the task starts in another rack at the end of its wait. Another job ends
    neither overdue nor after its caller's deadline, unless it does so anyway.
    """
    job = choice.task.job
    step = choice.task.step
    later_s = job.remaining_path_s(step) - job.spec.steps[step].estimate_s
    local_end_s = choice.now_s + local_s + later_s
    remote_end_s = choice.now_s + remote_s + later_s
    useful_until_s = min(job.overdue_s, job.caller_deadline_s)
    on_time_until_s = min(job.due_s, job.caller_deadline_s)
    if remote_end_s <= on_time_until_s:
        return on_time_until_s - remote_end_s
    last_end_s = on_time_until_s
    if local_end_s > last_end_s:
        last_end_s = useful_until_s
    slack_s = last_end_s - local_end_s
    if remote_end_s <= useful_until_s:
        return min(slack_s, useful_until_s - remote_end_s)
    return slack_s


POLICIES: tuple[type[WaitPolicy], ...] = (ForecastWait, NeverWait, FixedWait)


def from_name(
    name: str,
    *,
    run_times: run_time_model.RunTimes,
    directory: agent_directory.AgentDirectory,
) -> WaitPolicy:
    """Return the policy called ``name``."""
    for policy in POLICIES:
        if policy.name == name:
            return policy(run_times=run_times, directory=directory)
    known = ", ".join(policy.name for policy in POLICIES)
    raise ValueError(f"unknown wait policy {name!r}; use one of {known}")
