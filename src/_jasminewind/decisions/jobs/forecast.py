"""Admission by a forecast of the work that starts before a job."""

import collections
import collections.abc
import math

from _jasminewind.decisions.jobs import admission
from _jasminewind.decisions.jobs import queue_shares
from _jasminewind.decisions.jobs import queued_work
from _jasminewind.decisions.jobs import rates
from _jasminewind.decisions.jobs import return_times
from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking

# Slack of the first class of jobs; each further class begins at 1.5 times the
# slack of the one before. The last one begins at about 15 minutes.
MIN_CLASS_SLACK_S = 0.01
CLASS_RATIO = 1.5
LAST_CLASS = 28
# Tasks that have waited without a break for this long are a lasting overload
# if more work also arrives than can be done; less is a burst, during which
# late jobs are accepted.
STANDING_AFTER_S = 0.5
# Arrivals count as more than can be done above this multiple of the capacity:
# within the time constant of the rate, arrivals at 0.8 of it vary by a third.
OVERLOAD_FACTOR = 1.1
# Difference between the slack of a job and the forecast wait that it may have:
# estimates are off by 40%, and some endpoints are slow. A job of small slack
# keeps a share of it. With a quarter of the slack as margin, half of the
# accepted short jobs were late at three times the capacity.
MARGIN_S = 0.06
MAX_MARGIN_SHARE = 0.6
# Queues are limited to their share while more work than this is queued, in
# seconds of the capacity. With less, refusals could leave capacity idle.
BUSY_S = 0.1
# A caller that returns as told is queued as if its job had arrived earlier by
# this share of its slack, which is before new jobs of the same kind.
LEAD_SHARE = 0.25


class ClassArrivals:
    """Recently accepted work of a class of slacks."""

    def __init__(self) -> None:
        self.core_s = rates.RecentSum()
        self.cores = rates.RecentSum()


class ServiceArrivals:
    """Recent arrivals of one service.

    ``offered`` counts the core-seconds of all jobs, ``accepted`` those that
    were accepted to be on time, by the class of their slack.
    """

    def __init__(self) -> None:
        self.offered = rates.RecentSum()
        # The same without jobs of callers that return.
        self.first_offered = rates.RecentSum()
        self.returns = return_times.ReturnTimes()
        self.retry_budget = return_times.RetryBudget()
        self.shares = queue_shares.QueueShares()
        # Used while no agent accepts work, for the time after that.
        self.last_capacity_cores = 0.0
        self.accepted: dict[int, ClassArrivals] = collections.defaultdict(
            ClassArrivals
        )

    def offer(self, spec: specs.JobSpec, now_s: float) -> return_times.Return:
        """Record a job that arrives, and tell how its caller comes."""
        kind = self.returns.arrive(spec.job, now_s)
        self.offered.add(spec.core_s, now_s)
        if kind is return_times.Return.FIRST:
            self.first_offered.add(spec.core_s, now_s)
        self.shares.ask(spec, now_s)
        return kind

    def accept(
        self, kind: return_times.Return, spec: specs.JobSpec, now_s: float
    ) -> None:
        """Record an accepted job."""
        self.retry_budget.accept(kind, spec.core_s, now_s)
        self.returns.release(spec.job)
        self.shares.accept(spec, now_s)

    def accept_on_time(
        self, spec: specs.JobSpec, slack_s: float, now_s: float
    ) -> None:
        """Record that an accepted job is expected to be on time."""
        accepted = self.accepted[slack_class(slack_s)]
        accepted.core_s.add(spec.core_s, now_s)
        accepted.cores.add(spec.cores, now_s)

    def shared_limit(
        self,
        kind: return_times.Return,
        spec: specs.JobSpec,
        demand: admission.Demand,
        now_s: float,
    ) -> admission.Limit | None:
        """Return the limit that an overload sets to a job, if any."""
        cores = demand.expected_cores
        if not self.retry_budget.has_room(kind, cores, now_s):
            return admission.Limit.RETRY_BUDGET
        is_as_told = kind is return_times.Return.AS_TOLD
        is_busy = demand.total_core_s() > BUSY_S * cores
        if is_busy and not self.shares.has_room(
            spec, cores, now_s, is_preferred=is_as_told
        ):
            return admission.Limit.QUEUE_SHARE
        return None


class ForecastAdmission(admission.Admission):
    """Refuses jobs that cannot be on time while work that can is waiting.

    The wait of a job is the queued work with an earlier latest start, and the
    work that will be accepted meanwhile with an earlier latest start,
    divided by the capacity that this entry expects to get. Work is counted in
    core-seconds and in cores, and the longer wait counts: with long tasks
    running, few cores become free, however short the queued tasks are.
    """

    name = "forecast"

    def __init__(self) -> None:
        self.arrivals: dict[str, ServiceArrivals] = collections.defaultdict(
            ServiceArrivals
        )

    def decide(
        self, job: tracking.Job, demand: admission.Demand, now_s: float
    ) -> admission.Decision:
        """Accept or refuse a job."""
        spec = job.spec
        arrivals = self.arrivals[spec.queue.service]
        arrivals.last_capacity_cores = demand.expected_cores
        kind = arrivals.offer(spec, now_s)
        path_s = spec.critical_path_s
        slack_s = min(job.due_s, job.caller_deadline_s) - now_s - path_s
        lead_s = 0.0
        margin_s = min(MARGIN_S, MAX_MARGIN_SHARE * slack_s)
        if kind is return_times.Return.AS_TOLD and slack_s > 0.0:
            lead_s = LEAD_SHARE * slack_s
            margin_s = 0.0
        is_overload = is_overloaded(arrivals, demand, now_s)
        is_preferred = is_overload and arrivals.shares.is_first(
            spec, demand.expected_cores, now_s
        )
        if is_preferred:
            margin_s = 0.0
        order_s = 0.0 if is_preferred else slack_s - lead_s
        ahead = demand.ahead(now_s + slack_s - lead_s, is_preferred, now_s)
        wait_s = forecast_s(ahead, spec, order_s, arrivals, demand, now_s)
        late_wait_s = demand.total_core_s() / max(
            demand.share_cores, demand.expected_cores
        )
        late_by_s = late_wait_s + path_s - admission.limit_s(job, now_s)
        limit = None
        if is_overload:
            limit = arrivals.shared_limit(kind, spec, demand, now_s)
        if limit is None:
            if wait_s <= slack_s - margin_s:
                arrivals.accept(kind, spec, now_s)
                arrivals.accept_on_time(spec, order_s, now_s)
                return admission.Decision(
                    wait_s=wait_s, lead_s=lead_s, is_preferred=is_preferred
                )
            if late_by_s <= 0 and not is_overload:
                arrivals.accept(kind, spec, now_s)
                return admission.Decision(wait_s=late_wait_s)
            limit = admission.Limit.WAIT
        offered_cores = arrivals.offered.per_s(now_s)
        refused = admission.Refusal(
            limit=limit,
            reason=(
                f"{ahead.core_s:.1f} core-seconds on {ahead.cores:.0f} cores "
                f"start earlier; the forecast wait is {wait_s:.2f} s and the "
                f"slack {slack_s:.2f} s, and {offered_cores:.0f} cores of "
                f"work arrive for {demand.expected_cores:.0f} cores"
            ),
            retry_after_s=self.retry_after_s(
                job, wait_s - slack_s, demand, now_s
            ),
        )
        return admission.Decision(wait_s=wait_s, refusal=refused)

    def withdraw(self, job: tracking.Job, now_s: float) -> None:
        """Record that an accepted job ends before it has started."""
        spec = job.spec
        self.arrivals[spec.queue.service].shares.withdraw(spec, now_s)

    def retry_after_s(
        self,
        job: tracking.Job,
        wait_s: float,
        demand: admission.Demand,
        now_s: float,
    ) -> float:
        """Return a second in which the capacity for a job is expected.

        While no agent accepts work, the last known capacity is expected to
        be back.
        """
        arrivals = self.arrivals[job.spec.queue.service]
        if demand.share_cores:
            arrivals.last_capacity_cores = demand.expected_cores
        if not arrivals.last_capacity_cores:
            return admission.retry_after_s(wait_s)
        outlook = return_times.Outlook(
            capacity_cores=arrivals.last_capacity_cores,
            queued_core_s=demand.total_core_s(),
            arriving_cores=arrivals.first_offered.per_s(now_s),
        )
        return arrivals.returns.book(
            job.spec.job,
            job.spec.core_s,
            earliest_s=wait_s,
            outlook=outlook,
            now_s=now_s,
        )


def forecast_s(
    ahead: queued_work.Work,
    spec: specs.JobSpec,
    slack_s: float,
    arrivals: ServiceArrivals,
    demand: admission.Demand,
    now_s: float,
) -> float:
    """Return the time until the last task of a job starts, if it is on time.

    A job does not wait if no task waits for capacity.
    """
    if not demand.is_waiting():
        return 0.0
    overtaking = [
        (slack_s - class_slack_s(number), accepted)
        for number, accepted in arrivals.accepted.items()
        if class_slack_s(number) < slack_s
    ]
    by_work_s = drain_s(
        ahead.core_s,
        [(s, each.core_s.per_s(now_s)) for s, each in overtaking],
        demand.expected_cores,
    )
    by_cores_s = drain_s(
        ahead.cores + spec.cores,
        [(s, each.cores.per_s(now_s)) for s, each in overtaking],
        demand.freed_cores_per_s,
    )
    return max(by_work_s, by_cores_s)


def drain_s(
    amount: float,
    arriving: collections.abc.Iterable[tuple[float, float]],
    rate: float,
) -> float:
    """Return when an amount that drains at a rate is gone, infinite if never.

    ``arriving`` holds durations from now and the rates that arrive in them.
    """
    windows = sorted(arriving)
    arriving_rate = sum(each for _, each in windows)
    for window_s, each in windows:
        if rate > arriving_rate:
            drained_s = amount / (rate - arriving_rate)
            if drained_s <= window_s:
                return drained_s
        amount += each * window_s
        arriving_rate -= each
    return amount / rate if rate else math.inf


def is_overloaded(
    arrivals: ServiceArrivals, demand: admission.Demand, now_s: float
) -> bool:
    """Tell whether a late job would take capacity from jobs on time."""
    return (
        demand.waiting_for_s > STANDING_AFTER_S
        and arrivals.offered.per_s(now_s)
        > OVERLOAD_FACTOR * demand.expected_cores
    )


def slack_class(slack_s: float) -> int:
    """Return the number of the class of a slack."""
    if slack_s <= MIN_CLASS_SLACK_S:
        return 0
    ratio = math.log(slack_s / MIN_CLASS_SLACK_S) / math.log(CLASS_RATIO)
    return min(int(ratio), LAST_CLASS)


def class_slack_s(number: int) -> float:
    """Return the middle of the slacks of a class."""
    middle: float = MIN_CLASS_SLACK_S * CLASS_RATIO ** (number + 0.5)
    return middle
