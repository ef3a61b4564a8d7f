"""Ends of runs: the next step, a retry, a requeue or an ejection."""

from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import agents
from _jasminewind.decisions.jobs import run_placement
from _jasminewind.decisions.jobs import specs
from _jasminewind.decisions.jobs import tracking
from _jasminewind.messages import runs

# Failures of a task beyond the attempt limit of its queue that may be
# attributed to faulty endpoints.
MAX_EXCUSED_FAILURES = 2


class RunEnds(run_placement.RunPlacement):
    """Decides what follows the end of a run."""

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
            self.scheduler.policy.run_times.record(run, end.run_s)
        if task.job.is_answered:
            self.on_unfinished_run_end(run, now)
            return
        if end.outcome is runs.RunOutcome.DONE:
            self.on_task_done(task, now)
        elif end.outcome is runs.RunOutcome.FAILED:
            self.on_task_failed(task, agent, now)
        else:
            self.requeue(task, agent, end, now)

    def on_unfinished_run_end(
        self, run: tracking.Run, now: core.Instant
    ) -> None:
        """Start a resubmitted job after the last run of the earlier one."""
        job_id = run.task.job.spec.job
        left = self.unfinished_runs.get(job_id, set())
        left.discard(run.key)
        if left:
            return
        self.unfinished_runs.pop(job_id, None)
        job = self.jobs.get(job_id)
        if job is not None:
            self.enqueue_ready_tasks(job, now)

    def on_task_done(self, task: tracking.Task, now: core.Instant) -> None:
        """Queue the next steps, or complete the job."""
        job = task.job
        if not job.mark_done(task):
            return
        if job.is_complete:
            answer = specs.JobAnswer(state=specs.JobState.COMPLETED)
            self.answer_job(job, answer, now)
        else:
            self.enqueue_ready_tasks(job, now)

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
        self.scheduler.enqueue(task, now.mono_s)

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
        is_unwanted = end.outcome in (
            runs.RunOutcome.STALLED,
            runs.RunOutcome.NOT_STARTED,
        )
        if is_unwanted or end.is_moved is True:
            task.avoided_agents.add(agent.node.name)
        if end.outcome is runs.RunOutcome.NOT_STARTED:
            self.observe_start(task, -1, now)
        self.scheduler.enqueue(task, now.mono_s)
