"""Admission control of a coordinator: quotas, queue limit and deadlines."""

import dataclasses

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind.decisions import core
from _jasminewind.decisions import placement
from _jasminewind.decisions import pools
from _jasminewind.decisions import runs
from _jasminewind.decisions import runtimes

# Above this share of suspect executors the fault is assumed to be in the
# membership view, and admission is limited to the capacity of the others.
MAX_SUSPECT_SHARE = 1.0 / 3.0
# Keeps rounding errors of the rate from refusing a start.
TOKEN_EPSILON = 1e-6
# Tasks that an executor may queue beyond its slots.
EXECUTOR_QUEUE_LIMIT = 2
# Share of the time until its deadline that a submission may queue. A longer
# queue does not raise utilisation: it delays every answer, leaves no margin
# for wrong estimates, and has to drain after a peak.
MAX_QUEUE_TIME_SHARE = 0.25
# Part of its even share of the slots that a coordinator can rely on.
MIN_CAPACITY_SHARE = 0.5
NEW_ID_ADVICE = "submit it again with a new id"


@dataclasses.dataclass(kw_only=True, slots=True)
class TeamUsage:
    """Tasks of a team in flight here, and its token bucket of starts."""

    in_flight: int = 0
    tokens: float = 0.0
    last_refill_s: float = float("-inf")

    def refill(self, rate: float, now_s: float) -> None:
        """Add the tokens since the last call, at most those of one second."""
        elapsed_s = min(max(now_s - self.last_refill_s, 0.0), 1.0)
        self.tokens = min(self.tokens + elapsed_s * rate, rate)
        self.last_refill_s = now_s


class Admission:
    """Decides which submissions a coordinator accepts.

    Team quotas are scaled by ``quota_share``, the share of the shards that
    this coordinator owns.
    """

    def __init__(self) -> None:
        self.config = configuration.NO_CONFIGURATION
        self.teams: dict[str, configuration.Team] = {}
        self.services: frozenset[str] = frozenset()
        self.usage: dict[str, TeamUsage] = {}

    def configure(self, config: configuration.Configuration) -> None:
        """Apply a configuration."""
        self.config = config
        self.teams = {team.name: team for team in config.teams}
        self.services = frozenset(service.name for service in config.services)

    def check(
        self,
        run: runs.Run,
        *,
        quota_share: float,
        queued: int,
        now: core.Instant,
    ) -> errors.WorkError | None:
        """Return the error that refuses a run, ``None`` to admit it."""
        return (
            self.check_feasible(run)
            or self.check_queue_limit(run, queued)
            or self.check_quota(run, quota_share, now)
            or self.check_suspects(run)
            or self.check_deadline(run, now)
        )

    def admit(self, run: runs.Run) -> None:
        """Count an admitted run against the quota of its team."""
        usage = self.team_usage(run.team)
        usage.in_flight += len(run.tasks)
        usage.tokens -= len(run.tasks)

    def release(self, run: runs.Run) -> None:
        """Return the quota of a run that ended."""
        self.team_usage(run.team).in_flight -= len(run.tasks)

    def team_usage(self, team: str) -> TeamUsage:
        """Return the usage of a team, created on first use."""
        usage = self.usage.get(team)
        if usage is None:
            usage = TeamUsage()
            self.usage[team] = usage
        return usage

    def check_feasible(self, run: runs.Run) -> errors.WorkError | None:
        """Refuse a run that no endpoint can ever run."""
        if self.teams and run.team not in self.teams:
            return failed_precondition(
                f"team {run.team} is not configured; ask an operator to add it"
            )
        pool = run.pool
        if run.is_request:
            known = pool.executors or pool.key.service in self.services
            if not known and self.services:
                return failed_precondition(
                    f"service {pool.key.service} is not configured; ask an "
                    "operator to add it"
                )
            return None
        for task in run.tasks:
            declared = placement.worker_demand(task.task.demand)
            demand = placement.elementwise_min(declared, task.demand)
            if not placement.fits_any_worker(demand, pool):
                return failed_precondition(
                    f"task {task.task.name} is larger than every worker; "
                    "declare less or split it"
                )
        return None

    def check_queue_limit(
        self, run: runs.Run, queued: int
    ) -> errors.WorkError | None:
        """Refuse a run that exceeds the limit on queued tasks."""
        if queued + len(run.tasks) <= self.config.limits.max_queued:
            return None
        return resource_exhausted(
            f"{queued} tasks are queued at this coordinator, the limit is "
            f"{self.config.limits.max_queued}"
        )

    def check_quota(
        self, run: runs.Run, quota_share: float, now: core.Instant
    ) -> errors.WorkError | None:
        """Refuse a run that exceeds the share of its team's quota here.

        A team with nothing in flight here may submit one run that exceeds
        the share but not the whole quota; otherwise a small quota would
        refuse large jobs permanently.
        """
        team = self.teams.get(run.team)
        if team is None:
            return None
        count = len(run.tasks)
        usage = self.team_usage(run.team)
        limit = team.max_in_flight * quota_share
        is_sole_work = usage.in_flight == 0 and count <= team.max_in_flight
        if usage.in_flight + count > limit and not is_sole_work:
            return resource_exhausted(
                f"team {team.name} has {usage.in_flight} tasks in flight "
                f"at this coordinator, its share of the quota is {limit:.0f}"
            )
        rate = team.starts_per_s * quota_share
        usage.refill(rate, now.mono_s)
        has_full_bucket = (
            usage.tokens + TOKEN_EPSILON >= rate and count <= team.starts_per_s
        )
        if usage.tokens + TOKEN_EPSILON < count and not has_full_bucket:
            return resource_exhausted(
                f"team {team.name} exceeds its share of "
                f"{rate:.1f} starts per second at this coordinator"
            )
        return None

    def check_suspects(self, run: runs.Run) -> errors.WorkError | None:
        """Limit the load when many executors are suspect at once.

        The load of the suspects must not shift to the remaining ones.
        """
        pool = run.pool
        suspects = pool.suspect_count
        if suspects <= len(pool.executors) * MAX_SUSPECT_SHARE:
            return None
        available = [
            each
            for each in pool.executors
            if each.present and not each.suspect
        ]
        assigned = (
            sum(len(each.outstanding) for each in available)
            + pool.queued_count()
        )
        capacity = capacity_in_tasks(available, run)
        if assigned + len(run.tasks) <= capacity:
            return None
        return resource_exhausted(
            f"{suspects} of {len(pool.executors)} endpoints are silent and "
            f"the others can take {capacity} tasks"
        )

    def check_deadline(
        self, run: runs.Run, now: core.Instant
    ) -> errors.WorkError | None:
        """Refuse a run that cannot finish before its deadline."""
        remaining_s = run.deadline_s - now.mono_s
        if remaining_s <= 0.0:
            return resource_exhausted("the deadline has passed")
        if not self.config.policy.shed_by_deadline:
            return None
        required_s = max(
            runtimes.learned_median_s(task.run_times) for task in run.tasks
        )
        later_tasks_s = sum(
            runtimes.learned_median_s(each.run_times) for each in run.tasks[1:]
        )
        slots = max(run.pool.capacity_for(run.tasks[0].amounts), 1.0)
        required_s += later_tasks_s / slots
        if required_s > remaining_s:
            return resource_exhausted(
                f"the expected run time of {required_s:.2f} s exceeds the "
                f"{remaining_s:.2f} s until the deadline"
            )
        limit_s = min(
            remaining_s - required_s, MAX_QUEUE_TIME_SHARE * remaining_s
        )
        wait_s = expected_wait_s(run, self.config.policy, limit_s)
        if wait_s <= limit_s:
            return None
        return resource_exhausted(
            f"the expected wait of {wait_s:.2f} s exceeds the {limit_s:.2f} s "
            f"that a submission due in {remaining_s:.2f} s may queue"
        )


def expected_wait_s(
    run: runs.Run, policy: configuration.Policy, limit_s: float
) -> float:
    """Return the expected queueing time of the first task of a run.

    Each outstanding task completes one task second per second, so the number
    of tasks that run for this coordinator is the rate at which its queue
    drains. Cheap upper bounds come first; the costly estimate is computed
    only if they exceed ``limit_s``.
    """
    pool = run.pool
    is_long = any(task.is_long for task in run.tasks)
    queue = pool.queue(is_long and policy.separate_long_work)
    if len(queue) == 0:
        return 0.0
    rate = max(float(pool.outstanding), 1.0)
    if queue.cost_s <= limit_s * rate:
        return queue.cost_s / rate
    amounts = run.tasks[0].amounts
    share = pool.capacity_for(amounts) / pool.coordinator_count
    # A coordinator with few slots soon gets more, but rarely its whole share
    # while all coordinators have work.
    rate = max(rate + pool.room_for(amounts), share * MIN_CAPACITY_SHARE)
    if queue.cost_s <= limit_s * rate:
        return queue.cost_s / rate
    team = run.team if policy.fair_share else ""
    return queue.work_ahead_s(team, run.deadline_s) / rate


def capacity_in_tasks(
    executors: list[pools.ExecutorState], run: runs.Run
) -> int:
    """Return how many tasks like those of ``run`` the executors can take."""
    if run.is_request:
        return sum(
            int(each.endpoint.capacity.slots) + EXECUTOR_QUEUE_LIMIT
            for each in executors
        )
    demand = run.tasks[0].demand
    total = 0.0
    for each in executors:
        share = demand.share_of(each.endpoint.capacity)
        if 0.0 < share <= 1.0:
            total += int(1.0 / share)
    return int(total)


def resource_exhausted(reason: str) -> errors.WorkError:
    """Return the error for work that could run later."""
    return errors.WorkError(
        code=errors.Code.RESOURCE_EXHAUSTED,
        outcome=errors.Outcome.NOT_RUN,
        reason=f"{reason}; {NEW_ID_ADVICE} later",
    )


def failed_precondition(reason: str) -> errors.WorkError:
    """Return the error for work that cannot run as submitted."""
    return errors.WorkError(
        code=errors.Code.FAILED_PRECONDITION,
        outcome=errors.Outcome.NOT_RUN,
        reason=reason,
    )
