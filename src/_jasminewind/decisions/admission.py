"""Checks that refuse work before any of it is queued."""

import dataclasses

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind.decisions import core
from _jasminewind.decisions import placement
from _jasminewind.decisions import pools
from _jasminewind.decisions import runs
from _jasminewind.decisions import runtimes

# Share of suspect keepers above which the view is taken to be at fault.
SHRUNK_SHARE = 1.0 / 3.0
# Rounding of the rate must not cost a start.
TOKEN_ROUNDING = 1e-6
# Starts that a keeper may hold beyond its slots.
KEEPER_QUEUE = 2
# Share of the time until its deadline that a submission may queue. More
# waiting keeps no slot busier: it only makes every answer later, leaves no
# room for a wrong estimate, and has to be worked off after a crest.
QUEUE_SHARE = 0.25
# Part of a coordinator's share of the slots that it counts on at least.
SURE_SHARE = 0.5
NEW_ID_ADVICE = "submit it again with a new id"


@dataclasses.dataclass(kw_only=True, slots=True)
class TeamUse:
    """Tasks of a team in flight here, and its starts per second."""

    in_flight: int = 0
    tokens: float = 0.0
    refilled_s: float = float("-inf")

    def refill(self, rate: float, now_s: float) -> None:
        """Add the starts earned since the last call, one second at most."""
        elapsed_s = min(max(now_s - self.refilled_s, 0.0), 1.0)
        self.tokens = min(self.tokens + elapsed_s * rate, rate)
        self.refilled_s = now_s


class Admission:
    """Team quotas, queue limits and deadlines.

    ``quota_share`` is the part of the shards that this coordinator owns;
    team quotas are split by it.
    """

    def __init__(self) -> None:
        self.config = configuration.NO_CONFIGURATION
        self.teams: dict[str, configuration.Team] = {}
        self.services: frozenset[str] = frozenset()
        self.use: dict[str, TeamUse] = {}

    def configure(self, config: configuration.Configuration) -> None:
        """Put a configuration in force."""
        self.config = config
        self.teams = {team.name: team for team in config.teams}
        self.services = frozenset(each.name for each in config.services)

    def refuse(
        self,
        run: runs.Run,
        *,
        quota_share: float,
        queued: int,
        now: core.Instant,
    ) -> errors.WorkError | None:
        """Return why a run must be refused, ``None`` to admit it."""
        return (
            self.refuse_impossible(run)
            or self.refuse_queue(run, queued)
            or self.refuse_quota(run, quota_share, now)
            or self.refuse_shrunk(run)
            or self.refuse_late(run, now)
        )

    def admit(self, run: runs.Run) -> None:
        """Count a run that is admitted."""
        use = self.team_use(run.team)
        use.in_flight += len(run.tasks)
        use.tokens -= len(run.tasks)

    def release(self, run: runs.Run) -> None:
        """Stop counting a run that ended."""
        self.team_use(run.team).in_flight -= len(run.tasks)

    def team_use(self, team: str) -> TeamUse:
        """Return the use of a team."""
        use = self.use.get(team)
        if use is None:
            use = TeamUse()
            self.use[team] = use
        return use

    def refuse_impossible(self, run: runs.Run) -> errors.WorkError | None:
        """Refuse what no endpoint could ever run."""
        if self.teams and run.team not in self.teams:
            return never(f"team {run.team} is not configured")
        pool = run.pool
        if run.is_request:
            known = pool.executors or pool.key.service in self.services
            if not known and self.services:
                return never(f"service {pool.key.service} is not configured")
            return None
        for task in run.tasks:
            declared = placement.worker_demand(task.task.demand)
            demand = placement.elementwise_min(declared, task.demand)
            if not placement.fits_any_worker(demand, pool):
                return never(
                    f"task {task.task.name} is larger than every worker; "
                    "declare less or split it"
                )
        return None

    def refuse_queue(
        self, run: runs.Run, queued: int
    ) -> errors.WorkError | None:
        """Refuse what the queues cannot take."""
        if queued + len(run.tasks) <= self.config.limits.max_queued:
            return None
        return exhausted(
            f"{queued} tasks are queued here, the limit is "
            f"{self.config.limits.max_queued}"
        )

    def refuse_quota(
        self, run: runs.Run, quota_share: float, now: core.Instant
    ) -> errors.WorkError | None:
        """Refuse what exceeds the share of the team's quota here.

        A team with nothing in flight here may start one submission that
        exceeds the share, as long as the whole quota covers it; otherwise
        a small quota would refuse large jobs for ever.
        """
        team = self.teams.get(run.team)
        if team is None:
            return None
        count = len(run.tasks)
        use = self.team_use(run.team)
        limit = team.max_in_flight * quota_share
        is_alone = use.in_flight == 0 and count <= team.max_in_flight
        if use.in_flight + count > limit and not is_alone:
            return exhausted(
                f"team {team.name} has {use.in_flight} tasks in flight "
                f"here, its share of the quota is {limit:.0f}"
            )
        rate = team.starts_per_s * quota_share
        use.refill(rate, now.mono_s)
        is_full = (
            use.tokens + TOKEN_ROUNDING >= rate and count <= team.starts_per_s
        )
        if use.tokens + TOKEN_ROUNDING < count and not is_full:
            return exhausted(
                f"team {team.name} exceeds its share of "
                f"{rate:.1f} starts per second here"
            )
        return None

    def refuse_shrunk(self, run: runs.Run) -> errors.WorkError | None:
        """Cap the load when many keepers became suspect at once."""
        pool = run.pool
        suspects = pool.suspect_count
        if suspects <= len(pool.executors) * SHRUNK_SHARE:
            return None
        rest = [
            each
            for each in pool.executors
            if each.present and not each.suspect
        ]
        held = (
            sum(len(each.outstanding) for each in rest) + pool.queued_count()
        )
        room = capacity_of(rest, run)
        if held + len(run.tasks) <= room:
            return None
        return exhausted(
            f"{suspects} of {len(pool.executors)} endpoints are silent and "
            f"the others can hold {room} tasks"
        )

    def refuse_late(
        self, run: runs.Run, now: core.Instant
    ) -> errors.WorkError | None:
        """Refuse what cannot end within its deadline."""
        left_s = run.deadline_s - now.mono_s
        if left_s <= 0.0:
            return exhausted("no time is left until the deadline")
        if not self.config.policy.shed_by_deadline:
            return None
        need_s = max(
            runtimes.learned_median_s(task.run_times) for task in run.tasks
        )
        own_s = sum(
            runtimes.learned_median_s(each.run_times) for each in run.tasks[1:]
        )
        slots = max(run.pool.capacity_for(run.tasks[0].amounts), 1.0)
        need_s += own_s / slots
        if need_s > left_s:
            return exhausted(
                f"the run time of {need_s:.2f} s exceeds the {left_s:.2f} s "
                "that are left"
            )
        limit_s = min(left_s - need_s, QUEUE_SHARE * left_s)
        wait_s = expected_wait_s(run, self.config.policy, limit_s)
        if wait_s <= limit_s:
            return None
        return exhausted(
            f"the expected wait of {wait_s:.2f} s exceeds the {limit_s:.2f} s "
            f"that a submission with {left_s:.2f} s left may queue"
        )


def expected_wait_s(
    run: runs.Run, policy: configuration.Policy, limit_s: float
) -> float:
    """Return how long the first task of a run is expected to wait.

    Every outstanding task works off one task second per second, so the
    number of tasks that run for this coordinator is the rate at which its
    queue shrinks. The estimate starts with bounds that cost little and
    goes on only while they do not show that the wait is short.
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
    # A coordinator that holds few slots at the moment soon gets more of
    # them, but seldom its whole share while all coordinators have work.
    rate = max(rate + pool.room_for(amounts), share * SURE_SHARE)
    if queue.cost_s <= limit_s * rate:
        return queue.cost_s / rate
    team = run.team if policy.fair_share else ""
    return queue.ahead_s(team, run.deadline_s) / rate


def capacity_of(keepers: list[pools.ExecutorState], run: runs.Run) -> int:
    """Return how many tasks like those of ``run`` the keepers can hold."""
    if run.is_request:
        return sum(
            int(each.endpoint.capacity.slots) + KEEPER_QUEUE
            for each in keepers
        )
    demand = run.tasks[0].demand
    total = 0.0
    for each in keepers:
        share = demand.share_of(each.endpoint.capacity)
        if 0.0 < share <= 1.0:
            total += int(1.0 / share)
    return int(total)


def exhausted(reason: str) -> errors.WorkError:
    """Return the refusal of work that could run at another time."""
    return errors.WorkError(
        code=errors.Code.RESOURCE_EXHAUSTED,
        outcome=errors.Outcome.NOT_RUN,
        reason=f"{reason}; {NEW_ID_ADVICE} later",
    )


def never(reason: str) -> errors.WorkError:
    """Return the refusal of work that can never run."""
    return errors.WorkError(
        code=errors.Code.FAILED_PRECONDITION,
        outcome=errors.Outcome.NOT_RUN,
        reason=reason,
    )
