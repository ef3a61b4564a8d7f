"""The ``job`` commands: submit, follow, get and cancel jobs."""

import threading
import time
import typing

from _jasminewind.cli import context
from _jasminewind.cli import outcomes
from _jasminewind.cli import output

POLL_INTERVAL_S = 0.3
# `follow` is read-only, so it can retry while an entry is replaced.
MAX_UNREACHABLE_S = 10.0
DEFAULT_DEADLINE_S = 600.0
TERMINAL_STATES = ("COMPLETE", "FAILED")

Body = dict[str, typing.Any]


def deadline_s(body: Body) -> float:
    """Return the deadline of a job, used as the timeout of the call."""
    value = body.get("deadlineS") or body.get("deadline_s")
    if isinstance(value, int | float) and 0 < value:
        return float(value)
    return DEFAULT_DEADLINE_S


def resubmit_hint(work_id: str) -> str:
    """Return the hint for a submission whose response was lost."""
    return (
        f"the work may have run; submit it again with --id {work_id}, which "
        "never runs a task twice and returns the same answer"
    )


class Submission(threading.Thread):
    """Submits a job in a thread, so that its progress can be shown."""

    def __init__(
        self, shared_context: context.Context, body: Body, *, is_first: bool
    ) -> None:
        super().__init__(daemon=True)
        self.context = shared_context
        self.body = body
        self.is_first = is_first
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
                is_first=self.is_first,
            )
        except outcomes.CommandError as e:
            self.error = e


class JobCommands:
    """Submit, follow, get and cancel jobs."""

    def __init__(self, shared_context: context.Context) -> None:
        # Private, because fire exposes public attributes as commands.
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
        given_id = id or body.get("id")
        body["id"] = given_id or context.new_id()
        if context.parse_bool("detach", detach):
            body["detach"] = True
        if not self._context.is_json:
            output.print_error(f"id: {body['id']}")
        if body.get("detach"):
            self._submit_detached(body, is_first=not given_id)
        else:
            self._submit_and_wait(body, is_first=not given_id)

    def _submit_detached(self, body: Body, *, is_first: bool) -> None:
        """Submit a job and print its state once it is accepted."""
        answer = self._context.call(
            "JobService/SubmitJob",
            body,
            timeout_s=deadline_s(body),
            hint=resubmit_hint(body["id"]),
            is_first=is_first,
        )
        self._context.show(
            answer, lambda: f"{answer['id']} {answer['state'].lower()}"
        )

    def _submit_and_wait(self, body: Body, *, is_first: bool) -> None:
        """Submit a job, show its progress, and print its answer."""
        submission = Submission(self._context, body, is_first=is_first)
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
        """Show the progress of a job; errors are ignored."""
        try:
            body = self._context.call("JobService/GetJob", {"id": work_id})
        except outcomes.CommandError:
            # The submission reports the error itself.
            return
        progress.show(body)

    @context.command
    def get(self, id: str) -> None:
        """Print the state of a job, and its answer once it has ended.

        Args:
            id: UUIDv7 of the job.
        """
        body = self._context.call("JobService/GetJob", {"id": id})
        self._show_job(body)

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
        self._show_job(body)

    @context.command
    def cancel(self, id: str) -> None:
        """Cancel a job; has no effect on a job that has ended.

        Args:
            id: UUIDv7 of the job.
        """
        body = self._context.call(
            "JobService/CancelJob",
            {"id": id},
            hint="the job may not be cancelled; run the command again",
        )
        self._context.show(body, lambda: f"cancellation of {id} was sent")

    def _show_job(self, body: Body) -> None:
        """Print the state of a job; raise an error if it failed."""
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
    """Return the time of the first failure since the last response.

    Raises ``error`` unless the entry is unreachable, or once it has been
    for longer than ``MAX_UNREACHABLE_S``.
    """
    if error.exit_code is not outcomes.ExitCode.UNREACHABLE:
        raise error
    now_s = time.monotonic()
    since_s = now_s if unreachable_since_s is None else unreachable_since_s
    if now_s - since_s > MAX_UNREACHABLE_S:
        raise error
    return since_s


def format_job(body: Body) -> str:
    """Return the outputs of a complete job, or the state of any other."""
    if body["state"] == "COMPLETE":
        return output.format_outputs(body)
    return (
        f"{body['id']} {body['state'].lower()}: {body['tasksDone']} of "
        f"{body['tasksTotal']} tasks done"
    )
