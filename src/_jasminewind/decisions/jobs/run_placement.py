"""Orders of runs: when tasks may be placed, and the messages for them."""

import collections

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import backlog
from _jasminewind.decisions.jobs import job_answers
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import placement
from _jasminewind.decisions.jobs import rates
from _jasminewind.decisions.jobs import run_times as run_time_model
from _jasminewind.decisions.jobs import scheduler
from _jasminewind.decisions.jobs import tracking
from _jasminewind.decisions.jobs import waiting_tasks
from _jasminewind.messages import runs


class RunPlacement(job_answers.JobAnswers):
    """Places the queued tasks of jobs on agents."""

    def __init__(
        self,
        *,
        policy: placement.Placement,
        meter: metrics.Meter,
        placement_wait: str,
    ) -> None:
        """Place tasks by ``policy``, after waits by ``placement_wait``."""
        super().__init__(
            policy=policy, meter=meter, placement_wait=placement_wait
        )
        self.pending_starts: dict[members.NodeId, list[runs.RunOrder]] = (
            collections.defaultdict(list)
        )
        self.start_rates: dict[str, rates.StartRate] = collections.defaultdict(
            rates.StartRate
        )
        self.last_tick_s = 0.0
        # Set by the first tick after a pause, until the next one.
        self.was_paused = False

    def flush(self, now: core.Instant) -> core.Actions:
        """Place queued tasks, and return the accumulated actions."""
        if self.may_place(now) and self.scheduler.is_due(now.mono_s):
            self.place(now)
        for ended in self.scheduler.take_ended_waits():
            self.record_wait(ended)
        self.observe_queues(now)
        for node, orders in self.pending_starts.items():
            agent = self.directory.by_node[node]
            message = runs.StartRuns(
                batch=agent.next_batch,
                grant=agent.grant,
                orders=tuple(orders),
                stops=tuple(agent.stops),
                endpoint=agent.incarnation(),
                callers_age_ms=self.caller_reads.age_ms(now.mono_s),
                domain_state=agent.domain_update(),
            )
            agent.next_batch += 1
            self.actions.append(actions.send(node, message))
        for node, keys in self.pending_stops.items():
            stop = runs.StopRuns(
                keys=tuple(keys),
                callers_age_ms=self.caller_reads.age_ms(now.mono_s),
            )
            self.actions.append(actions.send(node, stop))
        self.pending_starts.clear()
        self.pending_stops.clear()
        flushed, self.actions = self.actions, []
        return flushed

    def observe_queues(self, now: core.Instant) -> None:
        """Record for which services tasks still wait for capacity."""
        for service, work in self.scheduler.backlog.work.items():
            self.start_rates[service].observe_queue(
                is_waiting=work.is_waiting(),
                share_cores=self.directory.capacity(service).share,
                now_s=now.mono_s,
            )

    def observe_start(
        self, task: tracking.Task, number: int, now: core.Instant
    ) -> None:
        """Record an ordered run, or with ``number`` -1 that it was refused."""
        service = task.job.spec.queue.service
        self.start_rates[service].observe_start(
            backlog.work_of(task), number, now.mono_s
        )

    def enqueue_ready_tasks(
        self, job: tracking.Job, now: core.Instant
    ) -> None:
        """Queue the tasks of the steps that are ready."""
        numbers = self.ended_jobs.run_numbers(job.spec.job)
        for task in job.take_ready_tasks():
            task.number = numbers.get(task.name, 0)
            self.scheduler.enqueue(task, now.mono_s)

    def may_place(self, now: core.Instant) -> bool:
        """Tell whether runs may be ordered now.

        After a pause, the heartbeats and the broken connections that arrived
        meanwhile are handled in any order. A job whose caller has left may
        run elsewhere by now, so queued tasks wait for one more tick.
        """
        late_s = now.mono_s - self.last_tick_s
        return not self.was_paused and late_s <= leases.PAUSE_S

    def observe_tick(self, now: core.Instant) -> None:
        """Record the time of a tick, and whether it ends a pause."""
        self.caller_reads.on_tick(now.mono_s)
        late_s = now.mono_s - self.last_tick_s
        self.was_paused = late_s > leases.PAUSE_S
        if self.was_paused and self.last_tick_s:
            self.log(
                "pause",
                "",
                f"no timer for {late_s:.2f} s; queued tasks wait until broken "
                "connections are handled",
            )
        self.last_tick_s = now.mono_s

    def place(self, now: core.Instant) -> None:
        """Place queued tasks while agents have free capacity."""
        scan = self.scheduler.begin_pass(now)
        while assignment := self.scheduler.next_assignment(scan):
            self.order_run(assignment, now)

    def record_wait(self, ended: waiting_tasks.EndedWait) -> None:
        """Record a wait for capacity near the data that has ended."""
        task = ended.task
        wait = ended.wait
        outcome = ended.outcome.value
        self.meter.add(metrics.WAITS, outcome=outcome)
        self.meter.record(metrics.WAIT_TIME, ended.waited_s, outcome=outcome)
        gain_s = wait.remote_s - wait.local_s - ended.waited_s
        if ended.outcome is waiting_tasks.WaitOutcome.LOCAL:
            self.meter.record(metrics.WAIT_GAIN, max(gain_s, 0.0))
        self.log(
            "wait",
            task.job.spec.job,
            f"{outcome} after {ended.waited_s:.3f} s, expected "
            f"{wait.expected_s:.3f} s, {wait.until_s - wait.began_s:.3f} s at "
            f"most; expected run {wait.local_s:.3f} s there, "
            f"{wait.remote_s:.3f} s elsewhere",
            task=task.name,
            choice=wait.rack,
        )

    def order_run(
        self, assignment: scheduler.Assignment, now: core.Instant
    ) -> None:
        """Order a run of a task from the agent that it is assigned to."""
        task = assignment.task
        agent = assignment.agent
        step_spec = task.step_spec
        job = task.job
        task.number += 1
        key = runs.RunKey(task.name, task.number)
        run_times = self.scheduler.policy.run_times
        expected_s = run_times.expected_s(task, agent)
        wait_s = max(agents.QUERY_FACTOR * expected_s, agents.QUERY_PERIOD_S)
        now_s = now.mono_s
        run = tracking.Run(
            key=key,
            task=task,
            agent=agent,
            sent_s=now_s,
            next_query_s=now_s + wait_s,
            expected_s=expected_s,
            kind_slowdown=run_times.kinds.slowdown(run_time_model.kind(task)),
        )
        task.begin_run(run)
        job.has_started = True
        self.observe_start(task, 1, now)
        agent.add_run(run)
        self.pending_starts[agent.node].append(
            runs.RunOrder(
                key=key,
                specification=job.spec.specification,
                need=step_spec.need,
                estimate_s=step_spec.estimate_s,
                slack_s=round(
                    job.due_s - job.remaining_path_s(task.step) - now.mono_s, 4
                ),
                checkpoint=task.checkpoint,
                slowdown=round(run_times.slowdown(task, agent), 3),
            )
        )
        age_ms = (now.mono_s - agent.granted_s) * 1000
        self.log(
            "place",
            job.spec.job,
            f"{self.scheduler.policy.name} of "
            f"{assignment.candidate_count}: slowness "
            f"{agent.load.slowness}, {agent.free.cores:.1f} cores left, "
            f"grant {agent.grant} is {age_ms:.0f} ms old",
            task=str(key),
            choice=agent.node.name,
        )
