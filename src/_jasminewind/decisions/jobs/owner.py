"""Schedules the jobs that one entry owns, from submission to answer."""

import random
import typing

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import admission
from _jasminewind.decisions.jobs import admission_policies
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import caller_reads
from _jasminewind.decisions.jobs import local_waits
from _jasminewind.decisions.jobs import placement
from _jasminewind.decisions.jobs import run_ends
from _jasminewind.decisions.jobs import run_times
from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking
from _jasminewind.messages import runs

# Agents discover a new entry within this time: they try its address with
# every heartbeat, and a restarted agent needs some 0.7 s.
AGENT_DISCOVERY_S = 2.0
# Interval at which gauges are recorded.
GAUGE_PERIOD_S = 1.0


class JobOwner(run_ends.RunEnds):
    """Queues the tasks of jobs, places them on agents and tracks their runs.

    Each job is answered exactly once. A task is not started again while the
    outcome of its last run is unknown.
    """

    TICK_S = 0.05

    def __init__(
        self,
        *,
        policy: placement.Placement,
        admission_policy: admission.Admission | None = None,
        discovery_end_s: float = 0.0,
        meter: metrics.Meter = metrics.NO_METER,
        placement_wait: str = local_waits.NeverWait.name,
    ) -> None:
        """Place tasks by ``policy``, and accept jobs by another.

        Until ``discovery_end_s`` agents may still be undiscovered, so jobs
        are queued rather than refused.
        """
        super().__init__(
            policy=policy, meter=meter, placement_wait=placement_wait
        )
        self.admission = admission_policy or admission.BacklogAdmission()
        self.scheduler.backlog.is_started_first = (
            self.admission.is_started_first
        )
        self.discovery_end_s = discovery_end_s
        self.next_gauge_s = 0.0

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
        admission_name: str = admission_policies.DEFAULT,
        meter: metrics.Meter = metrics.NO_METER,
        remote_slowdown: float = run_times.REMOTE_SLOWDOWN,
        placement_wait: str = local_waits.ForecastWait.name,
    ) -> "JobOwner":
        """Return an owner that uses the placement policy ``name``."""
        expectations = run_times.RunTimes(remote_slowdown=remote_slowdown)
        return cls(
            policy=placement.from_name(name, rng=rng, run_times=expectations),
            admission_policy=admission_policies.from_name(admission_name),
            discovery_end_s=now_s + AGENT_DISCOVERY_S,
            meter=meter,
            placement_wait=placement_wait,
        )

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
        decision = self.decide(job, now)
        if decision.refusal is not None:
            self.refuse(job, decision.refusal, now)
            return self.flush(now)
        job.lead_s = decision.lead_s
        job.is_preferred = decision.is_preferred
        self.jobs[spec.job] = job
        self.log(
            "accept",
            spec.job,
            f"queue {spec.queue.name}, "
            f"{sum(s.count for s in spec.steps)} tasks, critical path "
            f"{spec.critical_path_s:.3f} s, due in "
            f"{job.due_s - now.mono_s:.3f} s, wait {decision.wait_s:.3f} s",
        )
        if spec.job in self.unfinished_runs:
            self.log(
                "hold", spec.job, "earlier runs of the job have not ended"
            )
        else:
            self.enqueue_ready_tasks(job, now)
        return self.flush(now)

    def refuse(
        self,
        job: tracking.Job,
        refused: admission.Refusal,
        now: core.Instant,
    ) -> None:
        """Refuse a job that has just arrived."""
        job_id = job.spec.job
        answer = self.refusal_answer(job_id, refused)
        self.log("refuse", job_id, f"{refused.limit.value}: {refused.reason}")
        self.record_answer(job, answer, now)
        self.actions.append(actions.AnswerJob(job=job_id, answer=answer))

    def decide(
        self, job: tracking.Job, now: core.Instant
    ) -> admission.Decision:
        """Decide whether a job is accepted."""
        service = job.spec.queue.service
        demand = self.demand(service, now)
        if now.mono_s < self.discovery_end_s:
            # The agents discovered so far are only part of the capacity.
            return admission.Decision(wait_s=demand.wait_s())
        if self.directory.capacity(service).is_all_evacuated():
            refused = admission.evacuation_refusal(service)
        elif not demand.share_cores:
            refused = admission.Refusal(
                limit=admission.Limit.NO_CAPACITY,
                reason=f"no agent of service {service} accepts work",
                retry_after_s=self.admission.retry_after_s(
                    job, admission.STARTUP_RETRY_S, demand, now.mono_s
                ),
            )
        else:
            return self.admission.decide(job, demand, now.mono_s)
        return admission.Decision(wait_s=demand.wait_s(), refusal=refused)

    def demand(self, service: str, now: core.Instant) -> admission.Demand:
        """Return the queued work and the capacity of a service."""
        share_cores = self.directory.capacity(service).share
        start_rate = self.start_rates[service]
        return admission.Demand(
            queued_core_s=self.scheduler.queued_core_s(),
            share_cores=share_cores,
            expected_cores=start_rate.capacity_cores(share_cores, now.mono_s),
            freed_cores_per_s=start_rate.freed_cores_per_s(
                share_cores, now.mono_s
            ),
            waiting_for_s=start_rate.waiting_for_s(now.mono_s),
            work=self.scheduler.backlog.work[service].other,
            preferred_work=self.scheduler.backlog.work[service].preferred,
        )

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
        """Record a heartbeat, which is acknowledged after a turn.

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
        self.directory.learn_domain_state(agent, message.domain_state)
        if not self.caller_reads.is_waiting():
            delay_s = caller_reads.COLLECT_S
            self.actions.append(actions.NextTurn(delay_s=delay_s))
        self.caller_reads.add(sender, message.sequence, now.mono_s)
        if agent.needs_query:
            agent.needs_query = False
            keys = tuple(agent.runs)
            if keys:
                query = runs.QueryRuns(keys=keys)
                self.actions.append(actions.send(sender, query))
        if message.load.accepting:
            self.remove_predecessor(sender, now)

    def on_turn(self, now: core.Instant) -> core.Actions:
        """Acknowledge the heartbeats that waited for a whole turn.

        Callers may have left before those were sent, and all connections
        that were broken by then have been handled. A run whose caller left is
        among the stops, so that no lease is extended for it.
        """
        confirmed = self.caller_reads.on_turn(now.mono_s)
        next_turn: core.Actions = []
        if self.caller_reads.is_waiting():
            next_turn.append(actions.NextTurn())
        if not confirmed:
            return next_turn
        self.actions += next_turn
        age_ms = self.caller_reads.age_ms(now.mono_s)
        self.report_late_read(confirmed, now)
        for sender, heartbeat in confirmed.items():
            agent = self.directory.get(sender)
            if agent is None or self.directory.is_superseded(sender):
                continue
            self.directory.confirm(agent, heartbeat, now.mono_s)
            echo = runs.BeatEcho(
                sequence=heartbeat.sequence,
                stops=tuple(agent.stops),
                callers_age_ms=age_ms,
                domain_state=agent.domain_update(),
            )
            self.actions.append(actions.send(sender, echo))
        return self.flush(now)

    def report_late_read(
        self, confirmed: caller_reads.Heartbeats, now: core.Instant
    ) -> None:
        """Report heartbeats that waited long for a read of the callers."""
        waits_s = [now.mono_s - each.at_s for each in confirmed.values()]
        late = [w for w in waits_s if w > caller_reads.LATE_READ_S]
        if late:
            self.meter.add(metrics.CALLERS_READ_LATE, len(late))
            self.log(
                "late_read",
                "",
                f"{len(late)} heartbeats waited up to {max(late):.2f} s until "
                "the connections of callers had been read",
            )

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

    def read_evacuations(
        self, version: int, domains: frozenset[str], now: core.Instant
    ) -> core.Actions:
        """Record the evacuated domains that the table lists at a version."""
        self.directory.read_evacuations(version, domains)
        self.scheduler.examine_all()
        return self.flush(now)

    def log_evacuations(self) -> None:
        """Log the evacuations that have begun or ended."""
        for state in self.directory.evacuations.take_changes():
            affected = self.directory.in_domain(state.domain)
            count = sum(len(agent.runs) for agent in affected)
            text = f"{len(affected)} agents here, {count} runs left in them"
            if not affected:
                text = "no endpoint of this domain is known here"
            verb = "begins" if state.is_evacuated else "ends"
            self.log(
                "evacuation",
                "",
                f"{verb} by version {state.version} of the table; {text}",
                choice=state.domain,
            )

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
        self.log_evacuations()
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
                if not job.has_started:
                    self.admission.withdraw(job, now.mono_s)
                self.answer_job(job, answer, now)
        self.ended_jobs.expire(now.mono_s)
        if now.mono_s >= self.next_gauge_s:
            self.next_gauge_s = now.mono_s + GAUGE_PERIOD_S
            self.record_gauges(now)
        self.scheduler.review_waits(now.mono_s)
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
        if not job.has_started and now.mono_s >= self.discovery_end_s:
            service = job.spec.queue.service
            if self.directory.capacity(service).is_all_evacuated():
                return self.refusal_answer(
                    job.spec.job, admission.evacuation_refusal(service)
                )
        if job.has_started or now.mono_s < latest_start_s:
            return None
        waited_s = now.mono_s - job.arrived_s
        demand = self.demand(job.spec.queue.service, now)
        refused = admission.Refusal(
            limit=admission.Limit.QUEUED_TOO_LONG,
            reason=f"no endpoint had free capacity within {waited_s:.2f} s",
            retry_after_s=self.admission.retry_after_s(
                job, demand.wait_s(), demand, now.mono_s
            ),
        )
        return self.refusal_answer(job.spec.job, refused)

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

    def record_gauges(self, now: core.Instant) -> None:
        """Record the queue length and the usable agents."""
        usable = len(self.directory.usable(now.mono_s))
        unusable = len(self.directory.by_node) - usable
        self.meter.record(metrics.AGENTS, usable, usable="yes")
        self.meter.record(metrics.AGENTS, unusable, usable="no")
        self.meter.record(metrics.QUEUED, self.scheduler.queued_count())
        domains = self.directory.evacuations.evacuated
        left = sum(
            len(agent.runs)
            for agent in self.directory.by_node.values()
            if agent.is_evacuated()
        )
        self.meter.record(metrics.EVACUATED_DOMAINS, len(domains))
        self.meter.record(metrics.EVACUATED_RUNS, left)

    def has_agents(self, now: core.Instant) -> bool:
        """Tell whether any agent is usable or only evacuated.

        While everything is evacuated, this entry refuses jobs itself, with a
        Retry-After that a balancer without ready entries does not give.
        """
        return any(
            agent.is_usable(now.mono_s) or agent.is_evacuated()
            for agent in self.directory.by_node.values()
        )
