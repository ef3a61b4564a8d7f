"""Jobs that one entry owns, from submission to the one answer."""

import collections
import random
import typing

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import admission
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import backlog
from _jasminewind.decisions.jobs import placement
from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking
from _jasminewind.messages import runs

# Waiting tasks that are passed over in one round because they fit nowhere
# now, so that smaller tasks behind them can start.
MAX_PASSED_OVER = 16
# A new entry is found by its agents within this time: they try its address
# with every beat, and a restarted agent needs some 0.7 s.
AGENT_DISCOVERY_S = 2.0
# Failed runs beyond the limit of the queue that faulty endpoints explain.
MAX_EXCUSED_FAILURES = 2
# Time between readings of the gauges.
MEASURE_PERIOD_S = 1.0
# Numbers of runs are remembered this long after the end of their job, for
# a caller that submits it again. Callers do so within a few seconds.
KEEP_NUMBERS_S = 30.0


class KeptNumbers(typing.NamedTuple):
    """Last run numbers of the tasks of a job that has ended."""

    at_s: float
    numbers: dict[str, int]


class JobOwner(core.StateMachine):
    """Queues the tasks of jobs, orders runs, and follows them to the end.

    A job is answered once. While the outcome of a run is unknown, its task
    is not started anywhere else.
    """

    TICK_S = 0.05

    def __init__(
        self,
        *,
        policy: placement.Placement,
        discovery_end_s: float = 0.0,
        meter: metrics.Meter = metrics.NO_METER,
    ) -> None:
        """Place by ``policy``.

        Until ``discovery_end_s`` agents are still to be found, and jobs wait
        for them.
        """
        self.policy = policy
        self.meter = meter
        self.discovery_end_s = discovery_end_s
        self.jobs: dict[str, tracking.Job] = {}
        self.agents: dict[members.NodeId, agents.Agent] = {}
        self.names: dict[str, members.NodeId] = {}
        self.backlog = backlog.Backlog()
        self.ordered: dict[members.NodeId, list[runs.RunOrder]] = (
            collections.defaultdict(list)
        )
        self.stops: dict[members.NodeId, list[runs.RunKey]] = (
            collections.defaultdict(list)
        )
        self.numbers: dict[str, KeptNumbers] = {}
        # Runs of answered jobs whose end is not known yet.
        self.leftover: dict[str, set[runs.RunKey]] = {}
        self.can_place = False
        self.next_measure_s = 0.0
        self.actions: core.Actions = []

    def handles(self) -> typing.Iterable[type]:
        """Return the messages of agents."""
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
        """Return an owner with the placement policy of that name."""
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
        """Log one decision."""
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
        """Place what waits, and return everything that was asked for."""
        if self.can_place and self.backlog.size:
            self.place(now)
        self.can_place = False
        for node, orders in self.ordered.items():
            agent = self.agents[node]
            message = runs.StartRuns(
                batch=agent.next_batch,
                grant=agent.grant,
                orders=tuple(orders),
            )
            agent.next_batch += 1
            self.actions.append(actions.send(node, message))
        for node, keys in self.stops.items():
            stop = runs.StopRuns(keys=tuple(keys))
            self.actions.append(actions.send(node, stop))
        self.ordered.clear()
        self.stops.clear()
        taken, self.actions = self.actions, []
        return taken

    # Submissions

    def submit(self, spec: specs.JobSpec, now: core.Instant) -> core.Actions:
        """Take a job or refuse it; a job that is already here is joined."""
        if spec.job in self.jobs:
            self.log("join", spec.job, "the job is already running here")
            return self.flush(now)
        job = tracking.Job(spec, now.mono_s)
        refused = self.refusal(job, now)
        if refused is not None:
            self.log("refuse", spec.job, refused.reason)
            self.measure_answer(job, refused, now)
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
            f"{sum(s.count for s in spec.steps)} tasks of "
            f"{spec.critical_path_s():.3f} s estimated, due in "
            f"{job.due_s - now.mono_s:.3f} s, wait {demand.wait_s():.3f} s",
        )
        if spec.job in self.leftover:
            self.log("hold", spec.job, "earlier runs of it have not ended")
        else:
            self.open_steps(job)
        return self.flush(now)

    def refusal(
        self, job: tracking.Job, now: core.Instant
    ) -> specs.JobAnswer | None:
        """Return why a job cannot be taken, or nothing."""
        service = job.spec.queue.service
        demand = self.demand(service)
        if now.mono_s < self.discovery_end_s:
            # The agents known so far say little about the capacity.
            return None
        if not demand.cores:
            return specs.JobAnswer(
                state=specs.JobState.REFUSED,
                reason=f"no agent of service {service} is in reach",
                retry_after_s=admission.STARTUP_RETRY_S,
            )
        return admission.refusal(job, demand, now.mono_s)

    def demand(self, service: str) -> admission.Demand:
        """Return what waits here, and the capacity of a service."""
        cores = 0.0
        entries = 1
        for agent in self.agents.values():
            endpoint = agent.endpoint
            if endpoint is None or endpoint.service != service:
                continue
            if agent.load.accepting:
                cores += endpoint.capacity.cores / agent.load.slowness
                entries = max(entries, agent.load.owners)
        return admission.Demand(
            waiting_core_s=self.backlog.core_s, cores=cores, entries=entries
        )

    def open_steps(self, job: tracking.Job) -> None:
        """Let the tasks wait whose turn has come."""
        kept = self.numbers.get(job.spec.job)
        for task in job.open_steps():
            if kept is not None:
                task.number = kept.numbers.get(task.name, 0)
            self.enqueue(task)

    def enqueue(self, task: tracking.Task) -> None:
        """Let a task wait for an agent."""
        self.backlog.push(task)
        self.can_place = True

    def cancel(
        self, job_id: str, reason: str, now: core.Instant
    ) -> core.Actions:
        """Stop a job at the wish of its caller."""
        job = self.jobs.get(job_id)
        if job is not None:
            answer = specs.JobAnswer(
                state=specs.JobState.CANCELLED, reason=reason
            )
            self.answer(job, answer, now)
        return self.flush(now)

    def state(self, job_id: str) -> specs.JobState | None:
        """Return the state of a job that is not answered yet."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.has_started:
            return specs.JobState.RUNNING
        return specs.JobState.QUEUED

    def waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return sum(
            1
            for job in self.jobs.values()
            if job.spec.queue.name == queue and not job.has_started
        )

    # Placement

    def place(self, now: core.Instant) -> None:
        """Order runs while agents have room."""
        usable = [a for a in self.agents.values() if a.is_usable(now.mono_s)]
        passed_over: list[tracking.Task] = []
        while len(passed_over) < MAX_PASSED_OVER:
            task = self.backlog.pop(now.mono_s)
            if task is None:
                break
            found = []
            if not any(placement.needs_less(t, task) for t in passed_over):
                found = placement.places(task, usable)
            if found:
                preferred = placement.preferred(task, found)
                agent = self.policy.choose(task, preferred, now.mono_s)
                self.order(task, agent, now, len(found))
            else:
                passed_over.append(task)
        for task in passed_over:
            self.backlog.push(task)

    def order(
        self,
        task: tracking.Task,
        agent: agents.Agent,
        now: core.Instant,
        candidates: int,
    ) -> None:
        """Order one run at one agent."""
        shape = task.shape
        job = task.job
        task.number += 1
        key = runs.RunKey(task.name, task.number)
        expected_s = placement.expected_run_s(task, agent)
        wait_s = max(agents.QUERY_FACTOR * expected_s, agents.QUERY_PERIOD_S)
        now_s = now.mono_s
        run = tracking.Run(key, task, agent, now_s, now_s + wait_s)
        task.run = run
        job.has_started = True
        agent.add(run)
        self.ordered[agent.node].append(
            runs.RunOrder(
                key=key,
                specification=job.spec.specification,
                need=shape.need,
                estimate_s=shape.estimate_s,
                slack_s=round(
                    job.due_s - job.remaining_s(task.step) - now.mono_s, 4
                ),
                checkpoint=task.checkpoint,
            )
        )
        age_ms = (now.mono_s - agent.heard_s) * 1000
        self.log(
            "place",
            job.spec.job,
            f"{self.policy.name} of {candidates}: slowness "
            f"{agent.load.slowness}, {agent.free.cores:.1f} cores left, "
            f"grant {agent.grant} is {age_ms:.0f} ms old",
            task=str(key),
            choice=agent.node.name,
        )

    # Agents

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Take a message of an agent."""
        if isinstance(message, runs.AgentBeat):
            self.on_beat(sender, message, now)
        elif isinstance(message, runs.LoadChanged):
            agent = self.agents.get(sender)
            if agent is not None:
                agent.take_load(message.load)
                self.can_place = True
        elif isinstance(message, runs.RunsEnded):
            self.on_ends(sender, message, now)
        return self.flush(now)

    def on_beat(
        self,
        sender: members.NodeId,
        message: runs.AgentBeat,
        now: core.Instant,
    ) -> None:
        """Take a grant, and confirm it."""
        agent = self.agents.get(sender)
        if agent is None:
            agent = agents.Agent(sender)
            self.agents[sender] = agent
            self.log("agent", "", "its first beat", choice=str(sender))
        agent.take_beat(message, now.mono_s)
        echo = runs.BeatEcho(sequence=message.sequence)
        self.actions.append(actions.send(sender, echo))
        if agent.must_query:
            agent.must_query = False
            keys = tuple(agent.runs)
            if keys:
                query = runs.QueryRuns(keys=keys)
                self.actions.append(actions.send(sender, query))
        if message.load.accepting:
            self.retire_earlier(sender, now)
        self.can_place = True

    def retire_earlier(
        self, sender: members.NodeId, now: core.Instant
    ) -> None:
        """Give up the earlier process of an agent's name.

        The new process accepts work only after every run that it did not
        order itself has ended.
        """
        earlier = self.names.get(sender.name)
        if earlier == sender:
            return
        self.names[sender.name] = sender
        if earlier in self.agents:
            self.lose(self.agents[earlier], "it was replaced", now)

    def on_link_lost(
        self, peer: members.NodeId, now: core.Instant
    ) -> core.Actions:
        """Ask about every run once a new link carries a beat."""
        agent = self.agents.get(peer)
        if agent is not None:
            agent.must_query = True
            self.log("link_lost", "", "runs are queried", choice=str(peer))
        return self.flush(now)

    def on_send_failed(
        self, peer: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Place runs again whose order was certainly not sent."""
        agent = self.agents.get(peer)
        if agent is None or not isinstance(message, runs.StartRuns):
            return self.flush(now)
        for order in message.orders:
            run = agent.runs.get(order.key)
            if run is not None:
                end = runs.RunEnd(
                    key=order.key,
                    outcome=runs.RunOutcome.NOT_STARTED,
                    reason="there is no link to the agent",
                )
                self.take_end(run, end, now)
        agent.must_query = True
        return self.flush(now)

    def lose(self, agent: agents.Agent, why: str, now: core.Instant) -> None:
        """Give up an agent whose runs have all ended."""
        del self.agents[agent.node]
        if self.names.get(agent.node.name) == agent.node:
            del self.names[agent.node.name]
        self.log(
            "agent_lost",
            "",
            f"{why}; {len(agent.runs)} runs are placed again",
            choice=str(agent.node),
        )
        for run in list(agent.runs.values()):
            end = runs.RunEnd(
                key=run.key, outcome=runs.RunOutcome.LAPSED, reason=why
            )
            self.take_end(run, end, now)

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Give up lost agents and impatient callers; place what waits."""
        for agent in list(self.agents.values()):
            if agent.is_lost(now.mono_s):
                silent_s = now.mono_s - agent.heard_s
                self.lose(agent, f"silent for {silent_s:.2f} s", now)
                continue
            keys = agent.to_query(now.mono_s)
            if keys:
                query = runs.QueryRuns(keys=keys)
                self.actions.append(actions.send(agent.node, query))
        for job in list(self.jobs.values()):
            answer = self.hopeless(job, now)
            if answer is not None:
                self.answer(job, answer, now)
        self.forget_numbers(now)
        if now.mono_s >= self.next_measure_s:
            self.next_measure_s = now.mono_s + MEASURE_PERIOD_S
            self.measure(now)
        self.can_place = True
        return self.flush(now)

    def hopeless(
        self, job: tracking.Job, now: core.Instant
    ) -> specs.JobAnswer | None:
        """Return the answer to a job that cannot be of use any more."""
        if now.mono_s >= job.caller_deadline_s:
            return specs.JobAnswer(
                state=specs.JobState.ABANDONED,
                reason="the caller's deadline has passed",
            )
        latest_s = (
            min(job.late_s, job.caller_deadline_s) - job.spec.critical_path_s()
        )
        if job.has_started or now.mono_s < latest_s:
            return None
        waited_s = now.mono_s - job.arrived_s
        demand = self.demand(job.spec.queue.service)
        return specs.JobAnswer(
            state=specs.JobState.REFUSED,
            reason=f"no endpoint had room for it in {waited_s:.2f} s",
            retry_after_s=admission.retry_after_s(demand.wait_s()),
        )

    # Ends

    def on_ends(
        self,
        sender: members.NodeId,
        message: runs.RunsEnded,
        now: core.Instant,
    ) -> None:
        """Take the ends of runs."""
        agent = self.agents.get(sender)
        if agent is None:
            return
        agent.take_load(message.load)
        self.can_place = True
        for end in message.ends:
            run = agent.runs.get(end.key)
            if run is not None:
                self.take_end(run, end, now)

    def take_end(
        self, run: tracking.Run, end: runs.RunEnd, now: core.Instant
    ) -> None:
        """Act on the end of a run."""
        task = run.task
        agent = run.agent
        del agent.runs[run.key]
        task.run = None
        self.meter.add(metrics.RUNS_ENDED, outcome=end.outcome.value)
        if end.checkpoint and task.shape.can_checkpoint:
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
            agent.succeeded()
        if task.job.is_ended:
            self.take_leftover(run)
            return
        if end.outcome is runs.RunOutcome.DONE:
            self.take_done(task, now)
        elif end.outcome is runs.RunOutcome.FAILED:
            self.take_failure(task, agent, now)
        else:
            self.place_again(task, agent, end, now)

    def take_leftover(self, run: tracking.Run) -> None:
        """Let a job begin that was submitted again, after its last run."""
        job_id = run.task.job.spec.job
        left = self.leftover.get(job_id, set())
        left.discard(run.key)
        if left:
            return
        self.leftover.pop(job_id, None)
        job = self.jobs.get(job_id)
        if job is not None:
            self.open_steps(job)

    def take_done(self, task: tracking.Task, now: core.Instant) -> None:
        """Open the next steps, or answer the job."""
        job = task.job
        if not job.take_done(task):
            return
        if job.is_complete:
            answer = specs.JobAnswer(state=specs.JobState.COMPLETED)
            self.answer(job, answer, now)
        else:
            self.open_steps(job)

    def take_failure(
        self, task: tracking.Task, agent: agents.Agent, now: core.Instant
    ) -> None:
        """Try a failed task elsewhere, or fail its job."""
        job = task.job
        self.blame(agent, job, now)
        task.failures.append(tracking.Failure(agent=agent, at_s=now.mono_s))
        task.avoid.add(agent.node.name)
        limit = job.spec.queue.attempt_limit
        if (
            task.counted_failures() >= limit
            or len(task.failures) >= limit + MAX_EXCUSED_FAILURES
        ):
            answer = specs.JobAnswer(
                state=specs.JobState.FAILED,
                reason=f"task {task.name} failed {len(task.failures)} times",
            )
            self.answer(job, answer, now)
            return
        self.enqueue(task)

    def blame(
        self, agent: agents.Agent, job: tracking.Job, now: core.Instant
    ) -> None:
        """Note a run that its endpoint may have spoilt."""
        is_ejected = now.mono_s < agent.ejected_until_s
        if is_ejected or not agent.failed(job.spec.job):
            return
        if self.may_eject(now):
            self.eject(agent, job, now)

    def may_eject(self, now: core.Instant) -> bool:
        """Tell whether enough agents are left without one more."""
        ejected = sum(
            1
            for agent in self.agents.values()
            if now.mono_s < agent.ejected_until_s
        )
        return ejected + 1 <= agents.MAX_EJECTED_SHARE * len(self.agents)

    def eject(
        self, agent: agents.Agent, job: tracking.Job, now: core.Instant
    ) -> None:
        """Give an agent that fails what it starts no new work."""
        agent.eject(now.mono_s)
        self.meter.add(metrics.EJECTIONS)
        pause_s = agent.ejected_until_s - now.mono_s
        self.log(
            "eject",
            job.spec.job,
            f"{agents.EJECT_AFTER_JOBS} jobs in a row failed there; no new "
            f"work for {pause_s:.1f} s",
            choice=agent.node.name,
        )

    def place_again(
        self,
        task: tracking.Task,
        agent: agents.Agent,
        end: runs.RunEnd,
        now: core.Instant,
    ) -> None:
        """Let a task wait again whose run ended without its own fault."""
        if end.outcome is runs.RunOutcome.STALLED:
            self.blame(agent, task.job, now)
        if end.outcome in (
            runs.RunOutcome.STALLED,
            runs.RunOutcome.NOT_STARTED,
        ):
            task.avoid.add(agent.node.name)
        self.enqueue(task)

    def answer(
        self, job: tracking.Job, answer: specs.JobAnswer, now: core.Instant
    ) -> None:
        """Give the one answer of a job and stop what is left of it."""
        job.is_ended = True
        del self.jobs[job.spec.job]
        numbers = {t.name: t.number for t in job.tasks if t.number}
        if answer.state is not specs.JobState.COMPLETED and numbers:
            self.numbers[job.spec.job] = KeptNumbers(now.mono_s, numbers)
        for task in job.tasks:
            self.backlog.drop(task)
            run = task.run
            if run is not None:
                self.leftover.setdefault(job.spec.job, set()).add(run.key)
                self.stops[run.agent.node].append(run.key)
        self.measure_answer(job, answer, now)
        took_s = now.mono_s - job.arrived_s
        late_s = now.mono_s - job.due_s
        self.log(
            "answer",
            job.spec.job,
            f"{answer.state.value} after {took_s:.3f} s, {late_s:+.3f} s "
            f"to the time due; {answer.reason}",
        )
        self.actions.append(actions.AnswerJob(job=job.spec.job, answer=answer))

    def measure_answer(
        self, job: tracking.Job, answer: specs.JobAnswer, now: core.Instant
    ) -> None:
        """Count an answer and the time that it took."""
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

    def measure(self, now: core.Instant) -> None:
        """Record what waits and which agents can be used."""
        usable = sum(a.is_usable(now.mono_s) for a in self.agents.values())
        unusable = len(self.agents) - usable
        self.meter.record(metrics.AGENTS, usable, usable="yes")
        self.meter.record(metrics.AGENTS, unusable, usable="no")
        self.meter.record(metrics.QUEUED, self.backlog.size)

    def forget_numbers(self, now: core.Instant) -> None:
        """Forget the run numbers of jobs that ended long ago."""
        for job_id, kept in list(self.numbers.items()):
            if now.mono_s - kept.at_s < KEEP_NUMBERS_S:
                break
            del self.numbers[job_id]

    def is_idle(self) -> bool:
        """Tell whether every job is answered."""
        return not self.jobs

    def has_agents(self, now: core.Instant) -> bool:
        """Tell whether any agent takes work."""
        return any(a.is_usable(now.mono_s) for a in self.agents.values())
