"""Dispatch of queued tasks to executors: late binding, retries, hedging."""

import dataclasses
import heapq
import itertools
import random
import typing

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import resources
from _jasminewind.decisions import candidates
from _jasminewind.decisions import core
from _jasminewind.decisions import outbox
from _jasminewind.decisions import outliers
from _jasminewind.decisions import placement
from _jasminewind.decisions import pools
from _jasminewind.decisions import retries
from _jasminewind.decisions import routing
from _jasminewind.decisions import runs
from _jasminewind.decisions import runtimes
from _jasminewind.messages import tasks
from _jasminewind.messages import work

# A start without a result is queried after the longer of this time and this
# multiple of the learned p99 run time (the expected one until p99 is known).
MIN_RESULT_TIMEOUT_S = 2.0
RESULT_TIMEOUT_FACTOR = 3.0
# Back-off between queries for the same start; it doubles up to the limit.
QUERY_RETRY_S = 1.0
MAX_QUERY_RETRY_S = 8.0
# A start counts as lost when its executor still reports an unknown status
# after this many queries.
MAX_QUERIES = 5
# An executor that left the member view is removed after this time without a
# message from it, and at once when a new incarnation takes its name.
ABSENCE_GRACE_S = 5.0
# Back-off after a refusal; it doubles with each consecutive refusal.
REFUSAL_BACKOFF_S = 0.02
MAX_REFUSAL_BACKOFF_S = 2.0
# Tasks at the head of a queue that may be skipped in one round because no
# executor has room, so that smaller tasks behind them can start.
MAX_SKIPPED_TASKS = 4
# A task that was queued this long is not skipped, which prevents starvation.
MAX_SKIP_WAIT_S = 5.0
# Period at which the set of fast executors is updated.
SPEED_UPDATE_PERIOD_S = 0.5
# Candidates named in one line of the decision log.
MAX_LOGGED_CANDIDATES = 4

# Errors that another attempt would return again.
NON_RETRYABLE_CODES = frozenset(
    (
        errors.Code.INVALID_ARGUMENT,
        errors.Code.FAILED_PRECONDITION,
        errors.Code.CANCELED,
    )
)
# Errors that are not the fault of the endpoint.
EJECTION_EXEMPT_CODES = frozenset(
    (
        errors.Code.INVALID_ARGUMENT,
        errors.Code.FAILED_PRECONDITION,
        errors.Code.CANCELED,
        errors.Code.DEADLINE_EXCEEDED,
    )
)


class Timer(typing.NamedTuple):
    """The time at which an attempt, run or executor must be checked."""

    when_s: float
    sequence: int
    target: runs.Attempt | runs.Run | pools.ExecutorState


class Dispatcher:
    """Queues tasks, sends each start once, and tracks it to its result.

    :meth:`take_answers` returns the answers of submissions that ended.
    :meth:`flush` returns the starts, stops and queries that were collected,
    as one message of each type per executor.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        meter: metrics.Meter = metrics.NO_METER,
    ) -> None:
        self.rng = rng
        self.meter = meter
        self.config = configuration.NO_CONFIGURATION
        self.weights: dict[str, float] = {}
        self.routing_policy: routing.RoutingPolicy = routing.from_name(
            self.config.policy.routing, rng=rng
        )
        self.retry_budget = retries.RetryBudget(
            per_success=self.config.policy.retry_budget
        )
        self.run_times = runtimes.RunTimes()
        self.usage_ratios = placement.UsageRatios()
        self.executors: dict[members.NodeId, pools.ExecutorState] = {}
        self.executors_by_name: dict[str, pools.ExecutorState] = {}
        self.pools: dict[pools.PoolKey, pools.Pool] = {}
        self.runs: dict[str, runs.Run] = {}
        self.attempts: dict[tasks.TaskKey, runs.Attempt] = {}
        self.timers: list[Timer] = []
        self.timer_sequence = itertools.count()
        self.coordinator_count = 1
        self.next_speed_update_s = 0.0
        self.answers: list[work.Answer] = []
        self.ended_runs: list[runs.Run] = []
        self.actions: core.Actions = []
        self.outbox = outbox.Outbox()

    # Configuration and members

    def configure(
        self, config: configuration.Configuration, now: core.Instant
    ) -> None:
        """Apply a configuration."""
        if config.policy.routing != self.config.policy.routing:
            self.routing_policy = routing.from_name(
                config.policy.routing, rng=self.rng
            )
        self.config = config
        self.weights = {team.name: team.weight for team in config.teams}
        self.retry_budget.per_success = config.policy.retry_budget
        for executor in self.executors.values():
            executor.serving = self.is_serving(executor.member)
        for pool in self.pools.values():
            pool.binds_early = self.routing_policy.binds_early
            pool.update_totals()
            for executor in pool.executors:
                pool.refresh(executor, now.mono_s)

    def team_weight(self, team: str) -> float:
        """Return the fair-share weight of a team, above 0."""
        return max(self.weights.get(team, 1.0), 0.01)

    def is_serving(self, member: members.Member) -> bool:
        """Tell whether a member is serving and not drained."""
        endpoint = member.endpoint
        if endpoint is None or member.state != members.State.SERVING:
            return False
        drained = self.config.drained
        return endpoint.name not in drained and member.node.name not in drained

    def set_members(
        self, view: tuple[members.Member, ...], now: core.Instant
    ) -> None:
        """Apply a member view: add and update executors, mark absent ones."""
        self.coordinator_count = max(1, sum(1 for each in view if each.shards))
        for pool in self.pools.values():
            pool.coordinator_count = self.coordinator_count
        seen = set()
        for member in view:
            if member.endpoint is not None:
                self.update_executor(member, member.endpoint, now)
                seen.add(member.node)
        for executor in list(self.executors.values()):
            if executor.node not in seen and executor.present:
                executor.present = False
                executor.absent_since_s = now.mono_s
                executor.pool.refresh(executor, now.mono_s)
                self.schedule_check(now.mono_s + ABSENCE_GRACE_S, executor)
        for pool in self.pools.values():
            pool.update_totals()

    def update_executor(
        self,
        member: members.Member,
        endpoint: members.Endpoint,
        now: core.Instant,
    ) -> None:
        """Add an executor or update its state from its member record."""
        known = self.executors_by_name.get(member.node.name)
        if known is not None:
            known_incarnation = known.node.incarnation
            if member.node.incarnation < known_incarnation:
                return
            if member.node.incarnation > known_incarnation:
                self.remove_executor(known, now, "it was replaced")
            elif pool_key(known.endpoint) != pool_key(endpoint):
                known.pool.remove_executor(known)
                known.endpoint = endpoint
                self.pool(pool_key(endpoint)).add_executor(known)
        executor = self.executors.get(member.node)
        if executor is None:
            pool = self.pool(pool_key(endpoint))
            executor = pools.ExecutorState(member, endpoint, pool)
            self.executors[member.node] = executor
            self.executors_by_name[member.node.name] = executor
            pool.add_executor(executor)
        executor.member = member
        executor.endpoint = endpoint
        executor.address = member.address
        executor.present = True
        became_suspect = member.suspect and not executor.suspect
        executor.suspect = member.suspect
        executor.serving = self.is_serving(member)
        executor.apply_load(member.load, now.mono_s, self.coordinator_count)
        executor.pool.refresh(executor, now.mono_s)
        if became_suspect:
            for attempt in executor.outstanding.values():
                self.hedge(attempt, now)

    def pool(self, key: pools.PoolKey) -> pools.Pool:
        """Return the pool with a key, which is created on first use."""
        found = self.pools.get(key)
        if found is None:
            found = pools.Pool(key=key, rng=self.rng, weight=self.team_weight)
            found.binds_early = self.routing_policy.binds_early
            found.coordinator_count = self.coordinator_count
            self.pools[key] = found
        return found

    def pool_for(self, submit: work.Submit) -> pools.Pool:
        """Return the pool that can run a submission."""
        if submit.kind == work.WorkKind.JOB:
            kind = members.EndpointKind.WORKER
            return self.pool(pools.PoolKey(kind, ""))
        service = submit.tasks[0].service
        kind = members.EndpointKind.MINION
        return self.pool(pools.PoolKey(kind, service))

    def remove_executor(
        self, executor: pools.ExecutorState, now: core.Instant, why: str
    ) -> None:
        """Remove an executor incarnation and retry or fail its attempts."""
        del self.executors[executor.node]
        if self.executors_by_name.get(executor.node.name) is executor:
            del self.executors_by_name[executor.node.name]
        executor.present = False
        pool = executor.pool
        pool.remove_executor(executor)
        pool.update_totals()
        self.outbox.forget(executor)
        for attempt in list(executor.outstanding.values()):
            self.remove_attempt(attempt, now)
            attempt.task.may_have_run = True
            error = errors.WorkError(
                code=errors.Code.UNAVAILABLE,
                outcome=errors.Outcome.MAY_HAVE_RUN,
                reason=f"executor {executor.node.name} was lost: {why}",
            )
            self.retry_or_fail(attempt, error, now)

    # Submissions

    def create_run(self, submit: work.Submit, now: core.Instant) -> runs.Run:
        """Create the run of a submission without queueing its tasks."""
        pool = self.pool_for(submit)
        run = runs.Run(submit, now.mono_s + submit.budget_s, pool)
        largest = resources.NOTHING
        is_job = submit.kind == work.WorkKind.JOB
        if is_job and self.usage_ratios.cores:
            largest = placement.largest_worker(pool)
        long_task_s = self.config.policy.long_task_s
        for index, task in enumerate(submit.tasks):
            demand = resources.ONE_SLOT
            if is_job:
                demand = placement.worker_demand(task.demand)
                demand = self.usage_ratios.corrected(
                    (task.service, task.method), demand, largest
                )
            times = self.run_times.method(task.service, task.method)
            task_run = runs.TaskRun(run, index, task, times, demand)
            expected_s = self.run_times.expected_s(times, task.expected_s)
            task_run.cost_s = runtimes.cost_s(times, expected_s)
            task_run.is_long = expected_s > long_task_s
            run.tasks.append(task_run)
        return run

    def enqueue(self, run: runs.Run, now: core.Instant) -> None:
        """Queue every task of an admitted run."""
        self.runs[run.submit.work_id] = run
        for task in run.tasks:
            self.enqueue_task(task, now)
        self.schedule_check(self.next_deadline_check_s(run, now.mono_s), run)

    def enqueue_task(self, task: runs.TaskRun, now: core.Instant) -> None:
        """Queue one task."""
        pool = task.run.pool
        team = task.run.team if self.config.policy.fair_share else ""
        task.queue = pool.queue(
            task.is_long and self.config.policy.separate_long_work
        )
        task.queue_team = team
        task.queued_s = now.mono_s
        task.queue.push(team, task)
        pool.needs_dispatch = True

    def dequeue_task(self, task: runs.TaskRun) -> None:
        """Remove one task from its queue."""
        if task.waiting and task.queue is not None:
            task.queue.discard(task.queue_team, task)

    def next_deadline_check_s(self, run: runs.Run, now_s: float) -> float:
        """Return when a queued task of a run may first miss the deadline."""
        if not self.config.policy.shed_by_deadline:
            return run.deadline_s
        latest_s = run.deadline_s
        for task in run.tasks:
            if task.waiting:
                need_s = runtimes.learned_median_s(task.run_times)
                latest_s = min(latest_s, run.deadline_s - need_s)
        return max(latest_s, now_s + 0.001)

    def check_run_deadline(self, run: runs.Run, now: core.Instant) -> None:
        """Fail a run that can no longer meet its deadline."""
        if run.answered:
            return
        now_s = now.mono_s
        if now_s >= run.deadline_s:
            outcome = run.outcome()
            code = errors.Code.DEADLINE_EXCEEDED
            if outcome == errors.Outcome.NOT_RUN:
                code = errors.Code.RESOURCE_EXHAUSTED
            reason = (
                "the deadline passed before every task finished; "
                "allow more time or submit less work at once"
            )
            self.fail(run, code, reason, now)
            return
        if self.config.policy.shed_by_deadline:
            for task in run.tasks:
                need_s = runtimes.learned_median_s(task.run_times)
                is_late = now_s + need_s >= run.deadline_s
                if task.waiting and not task.live_attempts and is_late:
                    reason = (
                        f"task {task.task.name} was queued until it could "
                        "not meet the deadline; submit it again later"
                    )
                    code = errors.Code.RESOURCE_EXHAUSTED
                    self.fail(run, code, reason, now)
                    return
        self.schedule_check(self.next_deadline_check_s(run, now_s), run)

    def cancel(self, work_id: str, now: core.Instant) -> None:
        """Cancel a run on request of its caller."""
        run = self.runs.get(work_id)
        if run is not None:
            reason = "cancelled by the caller"
            self.fail(run, errors.Code.CANCELED, reason, now)

    def fail(
        self,
        run: runs.Run,
        code: errors.Code,
        reason: str,
        now: core.Instant,
    ) -> None:
        """Fail a run, dequeue its tasks and stop its live attempts."""
        error = errors.WorkError(
            code=code, outcome=run.outcome(), reason=reason
        )
        answer = work.Answer(
            work_id=run.submit.work_id,
            state=work.WorkState.FAILED,
            error=error,
        )
        self.finish_run(run, answer)
        for task in run.tasks:
            self.dequeue_task(task)
            for attempt in task.live_attempts:
                self.stop(attempt, now)

    def finish_run(self, run: runs.Run, answer: work.Answer) -> None:
        """Record the only answer of a run and remove the run."""
        run.answered = True
        self.answers.append(answer)
        self.ended_runs.append(run)
        del self.runs[run.submit.work_id]

    def take_answers(self) -> list[work.Answer]:
        """Return the answers since the last call."""
        answers = self.answers
        self.answers = []
        return answers

    def take_ended(self) -> list[runs.Run]:
        """Return the runs that ended since the last call."""
        ended = self.ended_runs
        self.ended_runs = []
        return ended

    # Starts

    def dispatch_pool(self, pool: pools.Pool, now: core.Instant) -> None:
        """Start queued tasks of a pool while executors have room.

        Short tasks go first, unless the next long one has been queued for
        more than ``long_task_s``.
        """
        pool.needs_dispatch = False
        if not pool.available:
            return
        long_head = pool.long_queue.peek()
        long_first = (
            long_head is not None
            and now.mono_s - long_head[1].queued_s
            > self.config.policy.long_task_s
        )
        if long_first:
            self.dispatch_queue(pool, pool.long_queue, now)
        self.dispatch_queue(pool, pool.short_queue, now)
        if not long_first:
            self.dispatch_queue(pool, pool.long_queue, now)

    def dispatch_queue(
        self, pool: pools.Pool, queue: typing.Any, now: core.Instant
    ) -> None:
        """Start tasks of one queue until it is empty or none fits."""
        skipped_tasks: list[runs.TaskRun] = []
        while pool.available:
            head = queue.peek()
            if head is None:
                break
            team, task = head
            found = candidates.find(
                pool,
                task,
                separate_long_work=self.config.policy.separate_long_work,
            )
            if found:
                executor = self.routing_policy.choose(found, task, now.mono_s)
                if self.routing_policy.should_wait(executor, len(queue)):
                    break
                queue.pop(team, task)
                self.start_attempt(task, executor, found, now)
                continue
            # Requests all need one slot; only jobs differ in size.
            waited_s = now.mono_s - task.queued_s
            if (
                not task.run.is_request
                and len(skipped_tasks) < MAX_SKIPPED_TASKS
                and waited_s < MAX_SKIP_WAIT_S
            ):
                queue.pop(team, task)
                skipped_tasks.append(task)
                continue
            break
        for task in skipped_tasks:
            queued_s = task.queued_s
            self.enqueue_task(task, now)
            task.queued_s = queued_s
        if skipped_tasks:
            pool.needs_dispatch = False

    def start_attempt(
        self,
        task: runs.TaskRun,
        executor: pools.ExecutorState,
        found: list[pools.ExecutorState],
        now: core.Instant,
    ) -> None:
        """Send the start of a new attempt to an executor, once."""
        run = task.run
        now_s = now.mono_s
        key = tasks.TaskKey(run.submit.work_id, task.index, task.next_attempt)
        task.next_attempt += 1
        attempt = runs.Attempt(key, task, executor, now_s)
        task.live_attempts.append(attempt)
        self.attempts[key] = attempt
        executor.add(attempt)
        run.pool.outstanding += 1
        if not run.is_request:
            placement.record_start(executor, run)
        content = task.task
        if content.demand is not task.demand and (
            content.demand != task.demand
        ):
            content = dataclasses.replace(content, demand=task.demand)
        self.outbox.start(
            executor,
            tasks.TaskStart(
                key=key,
                team=run.team,
                task=content,
                budget_s=max(run.deadline_s - now_s, 0.0),
                is_long=task.is_long,
            ),
        )
        self.record_start_metrics(attempt, now_s)
        self.schedule_checks(attempt, now_s)
        run.pool.refresh(executor, now_s)
        self.log_start(attempt, found)

    def record_start_metrics(
        self, attempt: runs.Attempt, now_s: float
    ) -> None:
        """Record metrics of a start and of the time its task was queued."""
        task = attempt.task
        team = task.run.team
        self.meter.add(metrics.TASK_STARTS, team=team)
        waited_s = now_s - task.queued_s
        self.meter.record(metrics.QUEUE_TIME, waited_s, team=team)
        if attempt.key.attempt == 0:
            return
        is_hedge = len(task.live_attempts) > 1
        metric = metrics.TASK_HEDGES if is_hedge else metrics.TASK_RETRIES
        self.meter.add(metric, team=team)

    def log_start(
        self, attempt: runs.Attempt, found: list[pools.ExecutorState]
    ) -> None:
        """Log which executor was chosen and why."""
        task = attempt.task
        executor = attempt.executor
        names = [each.node.name for each in found[:MAX_LOGGED_CANDIDATES]]
        self.actions.append(
            core.LogDecision(
                kind="routing" if task.run.is_request else "placement",
                work_id=attempt.key.work_id,
                task=task.task.name,
                team=task.run.team,
                candidates=tuple(names),
                choice=executor.node.name,
                reason=(
                    f"{self.routing_policy.name}: "
                    f"slowness {executor.slowness:.2f}, "
                    f"{len(executor.outstanding)} outstanding attempts"
                ),
            )
        )

    def schedule_checks(self, attempt: runs.Attempt, now_s: float) -> None:
        """Schedule the first query of an attempt, and its hedge."""
        task = attempt.task
        times = task.run_times
        typical_run_s = task.cost_s
        if times.samples >= runtimes.MIN_SAMPLES:
            typical_run_s = max(typical_run_s, times.p99_s)
            if task.task.repeatable and task.run.is_request:
                attempt.hedge_at_s = now_s + retries.HEDGE_FACTOR * times.p99_s
        attempt.next_query_s = now_s + max(
            MIN_RESULT_TIMEOUT_S, RESULT_TIMEOUT_FACTOR * typical_run_s
        )
        self.schedule_attempt_check(attempt, now_s)

    def schedule_attempt_check(
        self, attempt: runs.Attempt, now_s: float
    ) -> None:
        """Schedule the next check of an attempt."""
        when_s = attempt.next_query_s
        if attempt.hedge_at_s > 0.0:
            when_s = min(when_s, attempt.hedge_at_s)
        if not attempt.is_long:
            reclassify_at_s = attempt.sent_s + self.config.policy.long_task_s
            when_s = min(when_s, reclassify_at_s)
        self.schedule_check(max(when_s, now_s + 0.001), attempt)

    def check_attempt(self, attempt: runs.Attempt, now: core.Instant) -> None:
        """Reclassify, hedge or query an attempt that has not ended."""
        if self.attempts.get(attempt.key) is not attempt:
            return
        now_s = now.mono_s
        policy = self.config.policy
        if not attempt.is_long and (
            now_s >= attempt.sent_s + policy.long_task_s
        ):
            self.reclassify(attempt)
        if 0.0 < attempt.hedge_at_s <= now_s:
            attempt.hedge_at_s = 0.0
            self.hedge(attempt, now)
        if attempt.next_query_s <= now_s:
            self.query(attempt, now_s)
        self.schedule_attempt_check(attempt, now_s)

    def reclassify(self, attempt: runs.Attempt) -> None:
        """Treat a running task as long from now on."""
        attempt.is_long = True
        task = attempt.task
        if not task.waiting:
            task.is_long = True
        self.actions.append(
            core.LogDecision(
                kind="reclassify",
                work_id=attempt.key.work_id,
                task=task.task.name,
                team=task.run.team,
                choice="long",
                reason=(
                    f"still running after {self.config.policy.long_task_s} s, "
                    f"expected {task.cost_s:.3f} s"
                ),
            )
        )

    def hedge(self, attempt: runs.Attempt, now: core.Instant) -> None:
        """Queue a second attempt of a repeatable request if allowed."""
        task = attempt.task
        if (
            not task.task.repeatable
            or not task.run.is_request
            or task.run.answered
            or task.finished
            or task.waiting
            or attempt.stop_requested
            or len(task.live_attempts) != 1
            or task.next_attempt >= retries.MAX_ATTEMPTS
            or not self.retry_budget.try_spend()
        ):
            return
        task.avoided_executors = (
            *task.avoided_executors,
            attempt.executor.node.name,
        )
        self.enqueue_task(task, now)

    def query(self, attempt: runs.Attempt, now_s: float) -> None:
        """Ask the executor for the status of an attempt."""
        self.outbox.query(attempt.executor, attempt.key)
        wait_s = QUERY_RETRY_S * 2.0 ** min(attempt.queries, 3)
        attempt.queries += 1
        attempt.next_query_s = now_s + min(wait_s, MAX_QUERY_RETRY_S)

    def stop(self, attempt: runs.Attempt, now: core.Instant) -> None:
        """Ask the executor to stop an attempt that is no longer needed."""
        if attempt.stop_requested:
            return
        attempt.stop_requested = True
        attempt.hedge_at_s = 0.0
        self.outbox.stop(attempt.executor, attempt.key)

    # Messages from executors

    def on_results(
        self, message: tasks.TaskResults, now: core.Instant
    ) -> None:
        """Apply results; those of unknown attempts are ignored."""
        executor = self.executors.get(message.keeper)
        for task_result in message.results:
            attempt = self.attempts.get(task_result.key)
            if attempt is not None and attempt.executor is executor:
                self.apply_result(attempt, task_result, now)
        if executor is not None:
            self.update_load(executor, message.load, now)

    def on_refused(
        self,
        sender: members.NodeId,
        message: tasks.TasksRefused,
        now: core.Instant,
    ) -> None:
        """Requeue refused starts, which the executor will never run."""
        executor = self.executors.get(sender)
        if executor is None:
            return
        found = False
        for refusal in message.refusals:
            attempt = self.attempts.get(refusal.key)
            if attempt is None or attempt.executor is not executor:
                continue
            found = True
            executor.mark_reported_up_to(attempt)
            self.remove_attempt(attempt, now)
            self.requeue(attempt.task, now)
        if found:
            self.back_off(executor, now.mono_s)
        self.update_load(executor, message.load, now)

    def on_statuses(
        self, message: tasks.TaskStatuses, now: core.Instant
    ) -> list[tasks.TaskKey]:
        """Apply the reply to a query; return the results to acknowledge."""
        executor = self.executors.get(message.keeper)
        stored: list[tasks.TaskKey] = []
        for status in message.statuses:
            if status.result is not None:
                stored.append(status.key)
            attempt = self.attempts.get(status.key)
            if attempt is None or attempt.executor is not executor:
                continue
            self.apply_status(attempt, status, now)
        if executor is not None:
            executor.absent_since_s = now.mono_s
            executor.pool.refresh(executor, now.mono_s)
        return stored

    def apply_status(
        self,
        attempt: runs.Attempt,
        status: tasks.TaskStatus,
        now: core.Instant,
    ) -> None:
        """Apply the status that an executor reports for one attempt."""
        state = status.standing
        if state == tasks.TaskState.DONE and status.result is not None:
            self.apply_result(attempt, status.result, now)
            return
        if state == tasks.TaskState.NEVER_SEEN:
            self.remove_attempt(attempt, now)
            self.requeue(attempt.task, now)
            return
        if state in (
            tasks.TaskState.RUNNING,
            tasks.TaskState.QUEUED,
        ):
            attempt.executor.mark_reported_up_to(attempt)
            attempt.queries = 0
            typical_run_s = max(attempt.task.cost_s, MIN_RESULT_TIMEOUT_S)
            attempt.next_query_s = now.mono_s + typical_run_s
            if attempt.stop_requested:
                self.outbox.stop(attempt.executor, attempt.key)
            return
        if attempt.queries >= MAX_QUERIES:
            self.remove_attempt(attempt, now)
            attempt.task.may_have_run = True
            error = errors.WorkError(
                code=errors.Code.UNAVAILABLE,
                outcome=errors.Outcome.MAY_HAVE_RUN,
                reason=(
                    f"executor {attempt.executor.node.name} has no record of "
                    "whether the task ran"
                ),
            )
            self.retry_or_fail(attempt, error, now)

    def on_load(self, message: tasks.LoadReport, now: core.Instant) -> None:
        """Apply a load report."""
        executor = self.executors.get(message.keeper)
        if executor is not None:
            self.update_load(executor, message.load, now)

    def update_load(
        self,
        executor: pools.ExecutorState,
        load: members.Load,
        now: core.Instant,
    ) -> None:
        """Apply the load of a message, which also shows a live executor."""
        executor.absent_since_s = now.mono_s
        executor.apply_load(load, now.mono_s, self.coordinator_count)
        executor.pool.refresh(executor, now.mono_s)

    def on_link_lost(self, peer: members.NodeId, now: core.Instant) -> None:
        """Query every attempt whose result may be lost with the link."""
        executor = self.executors.get(peer)
        if executor is None:
            return
        for attempt in executor.outstanding.values():
            self.query(attempt, now.mono_s)
            self.schedule_attempt_check(attempt, now.mono_s)

    def on_starts_not_sent(
        self, message: tasks.StartTasks, now: core.Instant
    ) -> None:
        """Requeue starts that were certainly not written to a link."""
        for start in message.starts:
            attempt = self.attempts.get(start.key)
            if attempt is None or attempt.executor.node != message.keeper:
                continue
            self.remove_attempt(attempt, now)
            self.requeue(attempt.task, now)
        executor = self.executors.get(message.keeper)
        if executor is not None:
            self.back_off(executor, now.mono_s)
            executor.pool.refresh(executor, now.mono_s)

    def on_query_not_sent(
        self, message: tasks.QueryTasks, now: core.Instant
    ) -> None:
        """Query again later; each attempt still has a scheduled check."""
        for key in message.keys:
            attempt = self.attempts.get(key)
            if attempt is not None:
                attempt.next_query_s = now.mono_s + QUERY_RETRY_S

    def back_off(self, executor: pools.ExecutorState, now_s: float) -> None:
        """Send an executor nothing until its back-off has passed."""
        backoff_s = REFUSAL_BACKOFF_S * 2.0 ** min(executor.refusals, 8)
        executor.refusals += 1
        executor.backoff_until_s = now_s + min(
            backoff_s, MAX_REFUSAL_BACKOFF_S
        )
        self.schedule_check(executor.backoff_until_s, executor)

    # Ends of attempts

    def remove_attempt(
        self,
        attempt: runs.Attempt,
        now: core.Instant,
        *,
        refresh: bool = True,
    ) -> None:
        """Remove an attempt that ended, did not run or counts as lost.

        A caller that refreshes the executor later passes ``refresh=False``.
        """
        del self.attempts[attempt.key]
        attempt.executor.remove(attempt)
        attempt.task.live_attempts.remove(attempt)
        attempt.task.run.pool.outstanding -= 1
        if refresh:
            # A removed executor stays unavailable, because it is not present.
            attempt.executor.pool.refresh(attempt.executor, now.mono_s)

    def apply_result(
        self,
        attempt: runs.Attempt,
        task_result: tasks.TaskResult,
        now: core.Instant,
    ) -> None:
        """Apply an attempt's result; the caller refreshes the executor."""
        executor = attempt.executor
        executor.mark_reported_up_to(attempt)
        self.remove_attempt(attempt, now, refresh=False)
        if task_result.used is not None:
            self.learn_usage(attempt.task, task_result.used)
        if task_result.error is None:
            self.record_success(attempt, task_result, now)
            return
        error = task_result.error
        self.record_failure(attempt, error, now)
        task = attempt.task
        if error.outcome == errors.Outcome.NOT_RUN:
            self.back_off(executor, now.mono_s)
            self.requeue(task, now)
            return
        if error.outcome == errors.Outcome.FAILED_WHILE_RUNNING:
            task.run.has_run = True
        else:
            task.may_have_run = True
        self.retry_or_fail(attempt, error, now)

    def learn_usage(
        self, task: runs.TaskRun, used: resources.Resources
    ) -> None:
        """Update the usage ratios of the task's method."""
        method = (task.task.service, task.task.method)
        self.usage_ratios.observe(
            method, placement.worker_demand(task.task.demand), used
        )

    def record_failure(
        self,
        attempt: runs.Attempt,
        error: errors.WorkError,
        now: core.Instant,
    ) -> None:
        """Count a failure against its endpoint, unless its code is exempt."""
        if attempt.stop_requested or error.code in EJECTION_EXEMPT_CODES:
            return
        executor = attempt.executor
        pool = executor.pool
        if not outliers.record_failure(pool, executor, now.mono_s):
            return
        self.schedule_check(executor.ejected_until_s, executor)
        pool.refresh(executor, now.mono_s)
        period_s = executor.ejected_until_s - now.mono_s
        self.actions.append(
            core.LogDecision(
                kind="ejection",
                work_id=attempt.key.work_id,
                choice=executor.node.name,
                reason=(
                    f"it fails more often than its peers; no work for "
                    f"{period_s:.0f} s"
                ),
            )
        )

    def record_success(
        self,
        attempt: runs.Attempt,
        task_result: tasks.TaskResult,
        now: core.Instant,
    ) -> None:
        """Store a task's output; answer the run when all are complete."""
        task = attempt.task
        run = task.run
        executor = attempt.executor
        executor.refusals = 0
        outliers.record_success(executor)
        self.retry_budget.record_success()
        run_s = task_result.run_s
        typical_s = runtimes.learned_median_s(task.run_times)
        executor.slowness = runtimes.update_slowness(
            executor.slowness, run_s, typical_s
        )
        task.run_times.add(run_s, now.mono_s)
        self.meter.record(metrics.RUN_TIME, run_s, team=run.team)
        run.has_run = True
        if run.answered or task.finished:
            return
        task.finished = True
        self.dequeue_task(task)
        for other in list(task.live_attempts):
            self.stop(other, now)
        run.outputs[task.index] = work.TaskOutput(
            name=task.task.name,
            payload=task_result.payload,
            endpoint=executor.endpoint.name,
            run_s=run_s,
        )
        run.done_count += 1
        if run.done_count < len(run.tasks):
            return
        outputs = tuple(each for each in run.outputs if each is not None)
        self.finish_run(
            run,
            work.Answer(
                work_id=run.submit.work_id,
                state=work.WorkState.COMPLETE,
                outputs=outputs,
            ),
        )

    def requeue(self, task: runs.TaskRun, now: core.Instant) -> None:
        """Queue a task again whose attempt certainly did not run."""
        if task.run.answered or task.finished:
            return
        if not task.waiting and not task.live_attempts:
            self.enqueue_task(task, now)

    def retry_or_fail(
        self,
        attempt: runs.Attempt,
        error: errors.WorkError,
        now: core.Instant,
    ) -> None:
        """Retry a repeatable request within the budget, else fail its run."""
        task = attempt.task
        run = task.run
        task.possible_runs += 1
        if run.answered or task.finished or attempt.stop_requested:
            return
        if task.live_attempts or task.waiting:
            return
        # A task of a job never starts twice, even one that is repeatable.
        if (
            run.is_request
            and task.task.repeatable
            and error.code not in NON_RETRYABLE_CODES
            and task.possible_runs < retries.MAX_ATTEMPTS
            and self.retry_budget.try_spend()
        ):
            task.avoided_executors = (
                *task.avoided_executors,
                attempt.executor.node.name,
            )
            self.enqueue_task(task, now)
            return
        reason = f"task {task.task.name}: {error.reason}"
        self.fail(run, error.code, reason, now)

    # Timers

    def schedule_check(
        self,
        when_s: float,
        target: runs.Attempt | runs.Run | pools.ExecutorState,
    ) -> None:
        """Schedule a check of ``target`` at ``when_s``."""
        timer = Timer(when_s, next(self.timer_sequence), target)
        heapq.heappush(self.timers, timer)

    def on_tick(self, now: core.Instant) -> None:
        """Run the checks that are due and update the fast executors."""
        now_s = now.mono_s
        while self.timers and self.timers[0].when_s <= now_s:
            target = heapq.heappop(self.timers).target
            if isinstance(target, runs.Attempt):
                self.check_attempt(target, now)
            elif isinstance(target, runs.Run):
                self.check_run_deadline(target, now)
            else:
                self.check_executor(target, now)
        if now_s >= self.next_speed_update_s:
            self.next_speed_update_s = now_s + SPEED_UPDATE_PERIOD_S
            for pool in self.pools.values():
                pool.update_fast_executors()
        for pool in self.pools.values():
            pool.needs_dispatch = (
                pool.needs_dispatch or pool.queued_count() > 0
            )

    def check_executor(
        self, executor: pools.ExecutorState, now: core.Instant
    ) -> None:
        """Refresh an executor after a back-off, or remove an absent one."""
        if self.executors.get(executor.node) is not executor:
            return
        if not executor.present:
            removal_s = executor.absent_since_s + ABSENCE_GRACE_S
            if now.mono_s >= removal_s:
                self.remove_executor(executor, now, "it left the cell")
                return
            self.schedule_check(removal_s, executor)
        executor.pool.refresh(executor, now.mono_s)

    def flush(self, now: core.Instant) -> core.Actions:
        """Start queued tasks where possible and return all actions."""
        for pool in self.pools.values():
            if pool.needs_dispatch:
                self.dispatch_pool(pool, now)
        actions = self.actions
        self.actions = []
        actions.extend(self.outbox.flush(self.config.version))
        return actions


def pool_key(endpoint: members.Endpoint) -> pools.PoolKey:
    """Return the key of the pool that an endpoint belongs to."""
    if endpoint.kind == members.EndpointKind.WORKER:
        return pools.PoolKey(endpoint.kind, "")
    return pools.PoolKey(endpoint.kind, endpoint.service)
