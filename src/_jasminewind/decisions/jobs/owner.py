"""Schedules the jobs that one entry owns, from submission to answer."""

import collections
import random
import typing

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import admission
from _jasminewind.decisions.jobs import agent_directory
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import ended_jobs
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import placement
from _jasminewind.decisions.jobs import scheduler
from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking
from _jasminewind.messages import runs

# Agents discover a new entry within this time: they try its address with
# every heartbeat, and a restarted agent needs some 0.7 s.
AGENT_DISCOVERY_S = 2.0
# Failures of a task beyond the attempt limit of its queue that may be
# attributed to faulty endpoints.
MAX_EXCUSED_FAILURES = 2
# Interval at which gauges are recorded.
GAUGE_PERIOD_S = 1.0


class JobOwner(core.StateMachine):
    """Queues the tasks of jobs, places them on agents and tracks their runs.

    Each job is answered exactly once. A task is not started again while the
    outcome of its last run is unknown.
    """

    TICK_S = 0.05

    def __init__(
        self,
        *,
        policy: placement.Placement,
        discovery_end_s: float = 0.0,
        meter: metrics.Meter = metrics.NO_METER,
    ) -> None:
        """Place tasks by ``policy``.

        Until ``discovery_end_s`` agents may still be undiscovered, so jobs
        are queued rather than refused.
        """
        self.meter = meter
        self.discovery_end_s = discovery_end_s
        self.jobs: dict[str, tracking.Job] = {}
        self.directory = agent_directory.AgentDirectory()
        self.scheduler = scheduler.Scheduler(
            policy=policy, directory=self.directory
        )
        self.pending_starts: dict[members.NodeId, list[runs.RunOrder]] = (
            collections.defaultdict(list)
        )
        self.pending_stops: dict[members.NodeId, list[runs.RunKey]] = (
            collections.defaultdict(list)
        )
        self.ended_jobs = ended_jobs.EndedJobs()
        # Runs of answered jobs that have not been reported as ended.
        self.unfinished_runs: dict[str, set[runs.RunKey]] = {}
        self.next_gauge_s = 0.0
        self.last_tick_s = 0.0
        # Set by the first tick after a pause, until the next one.
        self.was_paused = False
        self.actions: core.Actions = []

    def handles(self) -> typing.Iterable[type]:
        """Return the types of messages that agents send."""
        return (
            runs.AgentBeat,
            runs.LoadChanged,
            runs.RunsEnded,
        )

    @classmethod
    def from_policy(
        cls,
        name: str,
        *,
        rng: random.Random,
        now_s: float,
        meter: metrics.Meter = metrics.NO_METER,
    ) -> "JobOwner":
        """Return an owner that uses the placement policy ``name``."""
        return cls(
            policy=placement.from_name(name, rng=rng),
            discovery_end_s=now_s + AGENT_DISCOVERY_S,
            meter=meter,
        )

    def log(
        self,
        kind: str,
        job: str,
        reason: str,
        *,
        task: str = "",
        choice: str = "",
        candidates: tuple[str, ...] = (),
    ) -> None:
        """Add an entry to the decision log."""
        self.actions.append(
            core.LogDecision(
                kind=kind,
                work_id=job,
                task=task,
                choice=choice,
                candidates=candidates,
                reason=reason,
            )
        )

    def flush(self, now: core.Instant) -> core.Actions:
        """Place queued tasks, and return the accumulated actions."""
        if self.may_place(now) and self.scheduler.is_due():
            self.place(now)
        for node, orders in self.pending_starts.items():
            agent = self.directory.by_node[node]
            message = runs.StartRuns(
                batch=agent.next_batch,
                grant=agent.grant,
                orders=tuple(orders),
                stops=tuple(agent.stops),
                endpoint=agent.incarnation(),
            )
            agent.next_batch += 1
            self.actions.append(actions.send(node, message))
        for node, keys in self.pending_stops.items():
            stop = runs.StopRuns(keys=tuple(keys))
            self.actions.append(actions.send(node, stop))
        self.pending_starts.clear()
        self.pending_stops.clear()
        flushed, self.actions = self.actions, []
        return flushed

    # Submissions

    def submit(self, spec: specs.JobSpec, now: core.Instant) -> core.Actions:
        """Accept or refuse a job; a job that is already here is joined."""
        if spec.job in self.jobs:
            self.log(
                "join", spec.job, "the job is already owned by this entry"
            )
            return self.flush(now)
        earlier = self.ended_jobs.answer(spec.job)
        if earlier is not None:
            self.log("repeat", spec.job, f"{earlier.state.value} before")
            self.actions.append(
                actions.AnswerJob(job=spec.job, answer=earlier)
            )
            return self.flush(now)
        job = tracking.Job(spec, now.mono_s)
        refused = self.refusal(job, now)
        if refused is not None:
            self.log("refuse", spec.job, refused.reason)
            self.record_answer(job, refused, now)
            self.actions.append(
                actions.AnswerJob(job=spec.job, answer=refused)
            )
            return self.flush(now)
        self.jobs[spec.job] = job
        demand = self.demand(spec.queue.service)
        self.log(
            "accept",
            spec.job,
            f"queue {spec.queue.name}, "
            f"{sum(s.count for s in spec.steps)} tasks, critical path "
            f"{spec.critical_path_s:.3f} s, due in "
            f"{job.due_s - now.mono_s:.3f} s, wait {demand.wait_s():.3f} s",
        )
        if spec.job in self.unfinished_runs:
            self.log(
                "hold", spec.job, "earlier runs of the job have not ended"
            )
        else:
            self.enqueue_ready_tasks(job)
        return self.flush(now)

    def refusal(
        self, job: tracking.Job, now: core.Instant
    ) -> specs.JobAnswer | None:
        """Return the refusal of a job, or ``None`` to accept it."""
        service = job.spec.queue.service
        demand = self.demand(service)
        if now.mono_s < self.discovery_end_s:
            # The agents discovered so far are only part of the capacity.
            return None
        if not demand.share_cores:
            refused = admission.Refusal(
                reason=f"no agent of service {service} accepts work",
                retry_after_s=admission.STARTUP_RETRY_S,
            )
        else:
            maybe_refused = admission.refusal(job, demand, now.mono_s)
            if maybe_refused is None:
                return None
            refused = maybe_refused
        return self.refusal_answer(job.spec.job, refused)

    def is_known(self, job_id: str) -> bool:
        """Tell whether a job is owned here, or was answered recently."""
        has_answer = self.ended_jobs.answer(job_id) is not None
        return job_id in self.jobs or has_answer

    def may_have_run(self, job_id: str) -> bool:
        """Tell whether a task of an unfinished or ended job has started."""
        job = self.jobs.get(job_id)
        return (
            (job is not None and job.has_started)
            or job_id in self.unfinished_runs
            or self.ended_jobs.has_run(job_id)
        )

    def refusal_answer(
        self, job_id: str, refused: admission.Refusal
    ) -> specs.JobAnswer:
        """Return the answer to a refused job.

        A caller that returns is not told that its job never ran if it did.
        """
        state = specs.JobState.REFUSED
        if self.may_have_run(job_id):
            state = specs.JobState.ABANDONED
        return specs.JobAnswer(
            state=state,
            reason=refused.reason,
            retry_after_s=refused.retry_after_s,
        )

    def demand(self, service: str) -> admission.Demand:
        """Return the queued work and the capacity of a service."""
        return admission.Demand(
            queued_core_s=self.scheduler.backlog.core_s,
            share_cores=self.directory.capacity(service).share,
        )

    def enqueue_ready_tasks(self, job: tracking.Job) -> None:
        """Queue the tasks of the steps that are ready."""
        numbers = self.ended_jobs.run_numbers(job.spec.job)
        for task in job.take_ready_tasks():
            task.number = numbers.get(task.name, 0)
            self.scheduler.enqueue(task)

    def cancel(
        self, job_id: str, reason: str, now: core.Instant
    ) -> core.Actions:
        """Cancel a job on behalf of its caller.

        It does not start either if a submission of it arrives later.
        """
        self.stop_job(job_id, reason, now)
        self.ended_jobs.record_cancellation(job_id, reason, now.mono_s)
        return self.flush(now)

    def on_caller_left(self, job_id: str, now: core.Instant) -> core.Actions:
        """Stop a job whose last caller has disconnected.

        The caller may return and submit it again.
        """
        self.stop_job(job_id, "its caller closed the connection", now)
        return self.flush(now)

    def stop_job(self, job_id: str, reason: str, now: core.Instant) -> None:
        """Stop a job, if there is one."""
        job = self.jobs.get(job_id)
        if job is not None:
            answer = specs.JobAnswer(
                state=specs.JobState.CANCELLED, reason=reason
            )
            self.answer_job(job, answer, now)

    def state(self, job_id: str) -> specs.JobState | None:
        """Return the state of an unanswered job, or ``None``."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.has_started:
            return specs.JobState.RUNNING
        return specs.JobState.QUEUED

    def waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return sum(
            1
            for job in self.jobs.values()
            if job.spec.queue.name == queue and not job.has_started
        )

    # Placement

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
        expected_s = placement.expected_run_s(step_spec, agent)
        wait_s = max(agents.QUERY_FACTOR * expected_s, agents.QUERY_PERIOD_S)
        now_s = now.mono_s
        run = tracking.Run(key, task, agent, now_s, now_s + wait_s)
        task.begin_run(run)
        job.has_started = True
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
            )
        )
        age_ms = (now.mono_s - agent.last_heartbeat_s) * 1000
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

    # Agents

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a message of an agent."""
        if isinstance(message, runs.AgentBeat):
            self.on_heartbeat(sender, message, now)
        elif isinstance(message, runs.LoadChanged):
            agent = self.directory.get(sender)
            if agent is not None:
                self.directory.update_load(agent, message.load)
        elif isinstance(message, runs.RunsEnded):
            self.on_runs_ended(sender, message, now)
        return self.flush(now)

    def on_heartbeat(
        self,
        sender: members.NodeId,
        message: runs.AgentBeat,
        now: core.Instant,
    ) -> None:
        """Record and acknowledge a heartbeat.

        One of a process that was replaced has been in its link for long, and
        says nothing about the runs of the process that replaced it.
        """
        if self.directory.is_superseded(sender):
            return
        agent = self.directory.get(sender)
        if agent is None:
            agent = self.directory.add(sender)
            self.log("agent", "", "first heartbeat", choice=str(sender))
        self.directory.on_heartbeat(agent, message, now.mono_s)
        echo = runs.BeatEcho(
            sequence=message.sequence, stops=tuple(agent.stops)
        )
        self.actions.append(actions.send(sender, echo))
        if agent.needs_query:
            agent.needs_query = False
            keys = tuple(agent.runs)
            if keys:
                query = runs.QueryRuns(keys=keys)
                self.actions.append(actions.send(sender, query))
        if message.load.accepting:
            self.remove_predecessor(sender, now)

    def remove_predecessor(
        self, sender: members.NodeId, now: core.Instant
    ) -> None:
        """Remove the earlier process of the agent that ``sender`` replaces.

        The new process accepts work only after every run that it did not
        start itself has ended.
        """
        earlier = self.directory.replace_predecessor(sender)
        if earlier is not None:
            self.remove_agent(earlier, "replaced by a new process", now)

    def on_link_lost(
        self, peer: members.NodeId, now: core.Instant
    ) -> core.Actions:
        """Query every run once a heartbeat arrives on a new link."""
        agent = self.directory.get(peer)
        if agent is not None:
            agent.needs_query = True
            self.log(
                "link_lost",
                "",
                "link lost; runs are queried after the next heartbeat",
                choice=str(peer),
            )
        return self.flush(now)

    def on_send_failed(
        self, peer: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Requeue the tasks of a start message that was not sent."""
        agent = self.directory.get(peer)
        if agent is None or not isinstance(message, runs.StartRuns):
            return self.flush(now)
        for order in message.orders:
            run = agent.runs.get(order.key)
            if run is not None:
                end = runs.RunEnd(
                    key=order.key,
                    outcome=runs.RunOutcome.NOT_STARTED,
                    reason="no link to the agent",
                )
                self.on_run_end(run, end, now)
        agent.needs_query = True
        return self.flush(now)

    def remove_agent(
        self, agent: agents.Agent, reason: str, now: core.Instant
    ) -> None:
        """Remove an agent, all of whose runs have certainly ended."""
        self.directory.remove(agent)
        self.log(
            "agent_lost",
            "",
            f"{reason}; {len(agent.runs)} runs are requeued",
            choice=str(agent.node),
        )
        for run in list(agent.runs.values()):
            end = runs.RunEnd(
                key=run.key, outcome=runs.RunOutcome.LAPSED, reason=reason
            )
            self.on_run_end(run, end, now)

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Remove lost agents, answer expired jobs and place tasks."""
        self.observe_tick(now)
        for agent in self.directory.refresh(now.mono_s):
            silent_s = now.mono_s - agent.last_heartbeat_s
            self.remove_agent(agent, f"no heartbeat for {silent_s:.2f} s", now)
        for agent in self.directory.by_node.values():
            keys = agent.take_due_queries(now.mono_s)
            if keys:
                query = runs.QueryRuns(keys=keys)
                self.actions.append(actions.send(agent.node, query))
        for job in list(self.jobs.values()):
            answer = self.expiry_answer(job, now)
            if answer is not None:
                self.answer_job(job, answer, now)
        self.ended_jobs.expire(now.mono_s)
        if now.mono_s >= self.next_gauge_s:
            self.next_gauge_s = now.mono_s + GAUGE_PERIOD_S
            self.record_gauges(now)
        self.scheduler.examine_all()
        return self.flush(now)

    def expiry_answer(
        self, job: tracking.Job, now: core.Instant
    ) -> specs.JobAnswer | None:
        """Return the final answer to an expired job, else ``None``."""
        if now.mono_s >= job.caller_deadline_s:
            return specs.JobAnswer(
                state=specs.JobState.ABANDONED,
                reason="the caller's deadline has passed",
            )
        latest_start_s = (
            min(job.overdue_s, job.caller_deadline_s)
            - job.spec.critical_path_s
        )
        if job.has_started or now.mono_s < latest_start_s:
            return None
        waited_s = now.mono_s - job.arrived_s
        demand = self.demand(job.spec.queue.service)
        refused = admission.Refusal(
            reason=f"no endpoint had free capacity within {waited_s:.2f} s",
            retry_after_s=admission.retry_after_s(demand.wait_s()),
        )
        return self.refusal_answer(job.spec.job, refused)

    # Ends of runs

    def on_runs_ended(
        self,
        sender: members.NodeId,
        message: runs.RunsEnded,
        now: core.Instant,
    ) -> None:
        """Handle ends of runs that an agent reports."""
        agent = self.directory.get(sender)
        if agent is None:
            return
        self.directory.update_load(agent, message.load)
        for end in message.ends:
            run = agent.runs.get(end.key)
            if run is not None:
                self.on_run_end(run, end, now)

    def on_run_end(
        self, run: tracking.Run, end: runs.RunEnd, now: core.Instant
    ) -> None:
        """Handle the end of one run."""
        task = run.task
        agent = run.agent
        agent.remove_run(run.key)
        task.end_run()
        self.meter.add(metrics.RUNS_ENDED, outcome=end.outcome.value)
        if end.checkpoint and task.step_spec.can_checkpoint:
            task.checkpoint = end.checkpoint
        if end.outcome is not runs.RunOutcome.DONE:
            self.log(
                "run_ended",
                task.job.spec.job,
                f"{end.outcome.value} after {end.run_s:.3f} s: {end.reason}",
                task=str(run.key),
                choice=agent.node.name,
            )
        if end.outcome is runs.RunOutcome.DONE:
            agent.record_success()
        if task.job.is_answered:
            self.on_unfinished_run_end(run)
            return
        if end.outcome is runs.RunOutcome.DONE:
            self.on_task_done(task, now)
        elif end.outcome is runs.RunOutcome.FAILED:
            self.on_task_failed(task, agent, now)
        else:
            self.requeue(task, agent, end, now)

    def on_unfinished_run_end(self, run: tracking.Run) -> None:
        """Start a resubmitted job after the last run of the earlier one."""
        job_id = run.task.job.spec.job
        left = self.unfinished_runs.get(job_id, set())
        left.discard(run.key)
        if left:
            return
        self.unfinished_runs.pop(job_id, None)
        job = self.jobs.get(job_id)
        if job is not None:
            self.enqueue_ready_tasks(job)

    def on_task_done(self, task: tracking.Task, now: core.Instant) -> None:
        """Queue the next steps, or complete the job."""
        job = task.job
        if not job.mark_done(task):
            return
        if job.is_complete:
            answer = specs.JobAnswer(state=specs.JobState.COMPLETED)
            self.answer_job(job, answer, now)
        else:
            self.enqueue_ready_tasks(job)

    def on_task_failed(
        self, task: tracking.Task, agent: agents.Agent, now: core.Instant
    ) -> None:
        """Retry a failed task on another agent, or fail its job."""
        job = task.job
        self.record_agent_failure(agent, job, now)
        task.failures.append(tracking.Failure(agent=agent, at_s=now.mono_s))
        task.avoided_agents.add(agent.node.name)
        limit = job.spec.queue.attempt_limit
        if (
            task.counted_failures() >= limit
            or len(task.failures) >= limit + MAX_EXCUSED_FAILURES
        ):
            answer = specs.JobAnswer(
                state=specs.JobState.FAILED,
                reason=f"task {task.name} failed {len(task.failures)} times",
            )
            self.answer_job(job, answer, now)
            return
        self.scheduler.enqueue(task)

    def record_agent_failure(
        self, agent: agents.Agent, job: tracking.Job, now: core.Instant
    ) -> None:
        """Record a failure that the endpoint may have caused."""
        is_ejected = now.mono_s < agent.ejected_until_s
        if is_ejected or not agent.record_failure(job.spec.job):
            return
        if self.directory.may_eject(now.mono_s):
            self.eject(agent, job, now)

    def eject(
        self, agent: agents.Agent, job: tracking.Job, now: core.Instant
    ) -> None:
        """Eject an agent whose runs keep failing."""
        agent.eject(now.mono_s)
        self.meter.add(metrics.EJECTIONS)
        pause_s = agent.ejected_until_s - now.mono_s
        self.log(
            "eject",
            job.spec.job,
            f"{agents.EJECT_AFTER_FAILED_JOBS} jobs in a row failed there; no "
            f"new runs for {pause_s:.1f} s",
            choice=agent.node.name,
        )

    def requeue(
        self,
        task: tracking.Task,
        agent: agents.Agent,
        end: runs.RunEnd,
        now: core.Instant,
    ) -> None:
        """Queue a task again whose run ended without failing itself."""
        if end.outcome is runs.RunOutcome.STALLED:
            self.record_agent_failure(agent, task.job, now)
        if end.outcome in (
            runs.RunOutcome.STALLED,
            runs.RunOutcome.NOT_STARTED,
        ):
            task.avoided_agents.add(agent.node.name)
        self.scheduler.enqueue(task)

    def answer_job(
        self, job: tracking.Job, answer: specs.JobAnswer, now: core.Instant
    ) -> None:
        """Answer a job and stop its remaining runs."""
        job.is_answered = True
        del self.jobs[job.spec.job]
        self.record_end(job, answer, now)
        for task in job.tasks:
            self.scheduler.remove(task)
            run = task.run
            if run is not None:
                self.unfinished_runs.setdefault(job.spec.job, set()).add(
                    run.key
                )
                run.agent.stops[run.key] = None
                self.pending_stops[run.agent.node].append(run.key)
        self.record_answer(job, answer, now)
        took_s = now.mono_s - job.arrived_s
        late_s = now.mono_s - job.due_s
        self.log(
            "answer",
            job.spec.job,
            f"{answer.state.value} after {took_s:.3f} s, {late_s:+.3f} s "
            f"relative to the due time; {answer.reason}",
        )
        self.actions.append(actions.AnswerJob(job=job.spec.job, answer=answer))

    def record_end(
        self, job: tracking.Job, answer: specs.JobAnswer, now: core.Instant
    ) -> None:
        """Record what a caller that submits the job again needs."""
        is_completed = answer.state is specs.JobState.COMPLETED
        is_failed = answer.state is specs.JobState.FAILED
        earlier = self.ended_jobs.run_numbers(job.spec.job)
        numbers = {t.name: t.number for t in job.tasks if t.number}
        self.ended_jobs.record(
            job.spec.job,
            ended_jobs.EndedJob(
                ended_s=now.mono_s,
                answer=answer if is_completed or is_failed else None,
                run_numbers={} if is_completed else {**earlier, **numbers},
            ),
        )

    def record_answer(
        self, job: tracking.Job, answer: specs.JobAnswer, now: core.Instant
    ) -> None:
        """Record the metrics of an answer."""
        queue = job.spec.queue.name
        self.meter.add(
            metrics.JOBS_ANSWERED, state=answer.state.value, queue=queue
        )
        if answer.state is not specs.JobState.COMPLETED:
            return
        self.meter.record(
            metrics.JOB_TIME, now.mono_s - job.arrived_s, queue=queue
        )
        if now.mono_s <= job.due_s:
            self.meter.add(metrics.JOBS_ON_TIME, queue=queue)

    def record_gauges(self, now: core.Instant) -> None:
        """Record the queue length and the usable agents."""
        usable = len(self.directory.usable(now.mono_s))
        unusable = len(self.directory.by_node) - usable
        self.meter.record(metrics.AGENTS, usable, usable="yes")
        self.meter.record(metrics.AGENTS, unusable, usable="no")
        self.meter.record(metrics.QUEUED, self.scheduler.backlog.size)

    def is_idle(self) -> bool:
        """Tell whether every job has been answered."""
        return not self.jobs

    def has_agents(self, now: core.Instant) -> bool:
        """Tell whether any agent is usable."""
        return bool(self.directory.usable(now.mono_s))
