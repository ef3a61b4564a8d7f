"""Jobs of one entry, and their answers."""

import collections

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import admission
from _jasminewind.decisions.jobs import agent_directory
from _jasminewind.decisions.jobs import caller_reads
from _jasminewind.decisions.jobs import ended_jobs
from _jasminewind.decisions.jobs import placement
from _jasminewind.decisions.jobs import scheduler
from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking
from _jasminewind.messages import runs


class JobAnswers(core.StateMachine):
    """Answers each job once, and stops its remaining runs."""

    def __init__(
        self,
        *,
        policy: placement.Placement,
        meter: metrics.Meter,
        placement_wait: str,
    ) -> None:
        """Queue tasks that are placed by ``policy``.

        They wait for capacity near their data by ``placement_wait``.
        """
        self.meter = meter
        self.jobs: dict[str, tracking.Job] = {}
        self.directory = agent_directory.AgentDirectory()
        self.scheduler = scheduler.Scheduler(
            policy=policy,
            directory=self.directory,
            placement_wait=placement_wait,
        )
        self.pending_stops: dict[members.NodeId, list[runs.RunKey]] = (
            collections.defaultdict(list)
        )
        self.caller_reads = caller_reads.CallerReads()
        self.ended_jobs = ended_jobs.EndedJobs()
        # Runs of answered jobs that have not been reported as ended.
        self.unfinished_runs: dict[str, set[runs.RunKey]] = {}
        self.actions: core.Actions = []

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

    def is_idle(self) -> bool:
        """Tell whether every job has been answered."""
        return not self.jobs

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

    def answer_job(
        self, job: tracking.Job, answer: specs.JobAnswer, now: core.Instant
    ) -> None:
        """Answer a job and stop its remaining runs."""
        job.is_answered = True
        del self.jobs[job.spec.job]
        self.record_end(job, answer, now)
        for task in job.tasks:
            self.scheduler.remove(task, now.mono_s)
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
