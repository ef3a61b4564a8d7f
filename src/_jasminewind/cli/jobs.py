"""Commands for jobs."""

import threading
import time
import typing

from _jasminewind.cli import context
from _jasminewind.cli import outcomes
from _jasminewind.cli import output

POLL_INTERVAL_S = 0.3
# A read-only call may be repeated while an entry is replaced.
MAX_UNREACHABLE_S = 10.0
DEFAULT_DEADLINE_S = 600.0
TERMINAL_STATES = ("COMPLETE", "FAILED")

Body = dict[str, typing.Any]


def deadline_s(body: Body) -> float:
    """Return the deadline in a job, for the limit of the connection."""
    value = body.get("deadlineS") or body.get("deadline_s")
    if isinstance(value, int | float) and 0 < value:
        return float(value)
    return DEFAULT_DEADLINE_S


def resubmit_hint(work_id: str) -> str:
    """Return what to do when the answer to a submission was lost."""
    return (
        f"the work may have run; submit it again with --id {work_id}, which "
        "never runs a task twice and returns the same answer"
    )


class Submission(threading.Thread):
    """Waits for the answer to a job while the progress is shown."""

    def __init__(self, shared_context: context.Context, body: Body) -> None:
        super().__init__(daemon=True)
        self.context = shared_context
        self.body = body
        self.answer: Body | None = None
        self.error: outcomes.CommandError | None = None

    def run(self) -> None:
        """Submit the job and wait for its answer."""
        try:
            self.answer = self.context.call(
                "JobService/SubmitJob",
                self.body,
                timeout_s=deadline_s(self.body),
                hint=resubmit_hint(self.body["id"]),
            )
        except outcomes.CommandError as e:
            self.error = e


class JobCommands:
    """Submit, follow, get and cancel jobs."""

    def __init__(self, shared_context: context.Context) -> None:
        # fire would offer a public attribute as a further command.
        self._context = shared_context

    @context.command
    def submit(
        self, file: str, *, id: str = "", detach: str = "false"
    ) -> None:
        """Submit the job in FILE and print its answer.

        FILE holds a SubmitJobRequest in JSON; see examples/. The id of the
        job is the one in --id or FILE, otherwise a new one, and is printed
        on stderr. Submitting again with the same id is safe: it never runs
        a task twice and returns the same answer. Interrupting the command
        cancels the job, unless it is detached.

        Args:
            file: File with the job.
            id: UUIDv7 of the job.
            detach: Return once the job is accepted; see `job follow`.
        """
        body = context.read_json_object(file)
        body["id"] = id or body.get("id") or context.new_id()
        if context.parse_bool("detach", detach):
            body["detach"] = True
        if not self._context.is_json:
            output.print_error(f"id: {body['id']}")
        if body.get("detach"):
            self._submit_detached(body)
        else:
            self._submit_and_wait(body)

    def _submit_detached(self, body: Body) -> None:
        """Submit a job and print that it was accepted."""
        answer = self._context.call(
            "JobService/SubmitJob",
            body,
            timeout_s=deadline_s(body),
            hint=resubmit_hint(body["id"]),
        )
        self._context.show(
            answer, lambda: f"{answer['id']} {answer['state'].lower()}"
        )

    def _submit_and_wait(self, body: Body) -> None:
        """Submit a job, show its progress, and print its answer."""
        submission = Submission(self._context, body)
        progress = output.Progress()
        submission.start()
        try:
            while submission.is_alive():
                submission.join(POLL_INTERVAL_S)
                if submission.is_alive():
                    self._show_progress(progress, body["id"])
        except KeyboardInterrupt:
            raise outcomes.CommandError(
                outcomes.ExitCode.MAY_HAVE_RUN,
                f"interrupted; job {body['id']} is cancelled, but tasks may "
                "have run",
            ) from None
        finally:
            progress.end()
        if submission.error is not None:
            raise submission.error
        answer = submission.answer
        assert answer is not None
        self._context.show(answer, lambda: output.format_outputs(answer))

    def _show_progress(self, progress: output.Progress, work_id: str) -> None:
        """Show how far a job is, if the entry can tell."""
        try:
            body = self._context.call("JobService/GetJob", {"id": work_id})
        except outcomes.CommandError:
            # The submission itself reports what is wrong.
            return
        progress.show(body)

    @context.command
    def get(self, id: str) -> None:
        """Print the state of a job, and its answer once it ended.

        Args:
            id: UUIDv7 of the job.
        """
        body = self._context.call("JobService/GetJob", {"id": id})
        self._finish(body)

    @context.command
    def follow(self, id: str) -> None:
        """Wait until a job ends and print its answer.

        Args:
            id: UUIDv7 of the job.
        """
        progress = output.Progress()
        unreachable_since_s: float | None = None
        try:
            while True:
                try:
                    body = self._context.call("JobService/GetJob", {"id": id})
                    unreachable_since_s = None
                except outcomes.CommandError as e:
                    unreachable_since_s = track_unreachable(
                        e, unreachable_since_s
                    )
                    time.sleep(POLL_INTERVAL_S)
                    continue
                progress.show(body)
                if body["state"] in TERMINAL_STATES:
                    break
                time.sleep(POLL_INTERVAL_S)
        finally:
            progress.end()
        self._finish(body)

    @context.command
    def cancel(self, id: str) -> None:
        """Cancel a job; a job that has ended is left as it is.

        Args:
            id: UUIDv7 of the job.
        """
        body = self._context.call(
            "JobService/CancelJob",
            {"id": id},
            hint="the job may not be cancelled; cancel it again",
        )
        self._context.show(body, lambda: f"cancellation of {id} was sent")

    def _finish(self, body: Body) -> None:
        """Print a job's state, and fail as the job failed."""
        failure = body.get("failure")
        if body["state"] != "FAILED" or not failure:
            self._context.show(body, lambda: format_job(body))
            return
        error = {"code": "failed", "message": failure.get("reason", "")}
        raise outcomes.CommandError(
            outcomes.ExitCode[failure["outcome"]],
            f"job {body['id']} failed, {failure['outcome']}: "
            f"{failure.get('reason', '')}",
            {**error, "failure": failure},
        )


def track_unreachable(
    error: outcomes.CommandError, unreachable_since_s: float | None
) -> float:
    """Return since when the entry is silent; raise when it is too long."""
    if error.exit_code is not outcomes.ExitCode.UNREACHABLE:
        raise error
    now_s = time.monotonic()
    since_s = now_s if unreachable_since_s is None else unreachable_since_s
    if now_s - since_s > MAX_UNREACHABLE_S:
        raise error
    return since_s


def format_job(body: Body) -> str:
    """Return the state of a job, with its outputs when complete."""
    if body["state"] == "COMPLETE":
        return output.format_outputs(body)
    return (
        f"{body['id']} {body['state'].lower()}: {body['tasksDone']} of "
        f"{body['tasksTotal']} tasks done"
    )
