"""Jobs that an entry has answered recently, for callers that return.

An answer may be lost with its connection. The caller then submits the job
again, and must not be told that it never ran.
"""

import collections.abc
import dataclasses

from _jasminewind.decisions.jobs import specs

# Callers return within a few seconds of losing their connection.
RETENTION_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndedJob:
    """A job that was answered, or that its callers have left.

    ``answer`` is what a caller that returns is told, ``None`` if the job may
    run again. ``run_numbers`` holds the last run number of each task that was
    started, unless the job completed.
    """

    ended_s: float
    answer: specs.JobAnswer | None
    run_numbers: collections.abc.Mapping[str, int]


class EndedJobs:
    """Ended jobs by id, oldest first."""

    def __init__(self) -> None:
        self.by_id: dict[str, EndedJob] = {}

    def record(self, job_id: str, ended: EndedJob) -> None:
        """Record the end of a job."""
        self.by_id.pop(job_id, None)
        self.by_id[job_id] = ended

    def record_cancellation(
        self, job_id: str, reason: str, at_s: float
    ) -> None:
        """Record that a job is cancelled, which may arrive here later."""
        if self.answer(job_id) is None:
            answer = specs.JobAnswer(
                state=specs.JobState.CANCELLED, reason=reason
            )
            self.record(
                job_id,
                EndedJob(
                    ended_s=at_s,
                    answer=answer,
                    run_numbers=self.run_numbers(job_id),
                ),
            )

    def answer(self, job_id: str) -> specs.JobAnswer | None:
        """Return the final answer that a job was given, if any."""
        ended = self.by_id.get(job_id)
        return None if ended is None else ended.answer

    def run_numbers(self, job_id: str) -> collections.abc.Mapping[str, int]:
        """Return the last run number of each task that was started."""
        ended = self.by_id.get(job_id)
        return {} if ended is None else ended.run_numbers

    def has_run(self, job_id: str) -> bool:
        """Tell whether a task of a job was started, as far as is known."""
        answer = self.answer(job_id)
        is_completed = (
            answer is not None and answer.state is specs.JobState.COMPLETED
        )
        return is_completed or bool(self.run_numbers(job_id))

    def expire(self, now_s: float) -> None:
        """Drop the jobs that ended long ago."""
        for job_id, ended in list(self.by_id.items()):
            if now_s - ended.ended_s < RETENTION_S:
                break
            del self.by_id[job_id]
