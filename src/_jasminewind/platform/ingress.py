"""HTTP API of an entry for callers, and its readiness endpoint."""

import collections
import math
import re
import typing

import msgspec
import structlog

from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import intake
from _jasminewind.decisions.jobs import specs
from _jasminewind.nodes import job_entry
from _jasminewind.platform import bodies
from _jasminewind.platform import client_guard
from _jasminewind.platform import http_server

LOG = structlog.get_logger("ingress")
MAX_LOGGED_CHARS = 120
MAX_DIGITS = 15
METHODS = ("GET", "POST", "DELETE")
JOB_ID = re.compile("[0-9a-f]{16}")
MAX_SPECIFICATION_BYTES = 4_000
# Memory of a job beside its body. Measured: 500 bytes for a step, 40 for each
# step it waits for, 520 for a task, and as much again for its run and orders.
JOB_BYTES = 4_096
STEP_BYTES = 500
PREREQUISITE_BYTES = 40
TASK_BYTES = 1_000
STATUS_BY_JOB_STATE = {
    specs.JobState.COMPLETED: 200,
    specs.JobState.FAILED: 200,
    specs.JobState.CANCELLED: 200,
    specs.JobState.REFUSED: 503,
    # Part of the job may have run; the caller is expected to retry.
    specs.JobState.ABANDONED: 504,
}
CANCEL_RESPONSES = {
    actions.CancelOutcome.CANCELLED: (200, "cancelled"),
    actions.CancelOutcome.PENDING: (202, "cancelling"),
}


class Ingress(job_entry.AnswerSink, http_server.Handler):
    """HTTP API with which callers submit, read and cancel jobs."""

    def __init__(self, entry: job_entry.JobEntry) -> None:
        self.entry = entry
        self.pending_submissions: dict[str, list[ReceivedSubmission]] = (
            collections.defaultdict(list)
        )

    def site(
        self, guard: client_guard.ClientGuard | None = None
    ) -> http_server.Site:
        """Return the server factory of the API."""
        return http_server.Site(self, guard=guard)

    def wanted_headers(self) -> frozenset[bytes]:
        """Return the header with the caller's timeout."""
        return frozenset({bodies.DEADLINE_HEADER.lower().encode()})

    def limits(self) -> http_server.Limits:
        """Return the configured limits of requests."""
        limits = self.entry.configuration().limits
        return http_server.Limits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def handle(self, request: http_server.Request) -> None:
        """Respond to a request, which a starting entry does a little later.

        A caller whose job is refused may not return, but the entry will have
        its configuration in a moment.
        """
        configured = self.entry.configured()
        if configured is None:
            self.route(request)
            return
        configured.addCallback(lambda _: self.route(request))
        configured.addErrback(self.on_unexpected_error, request)

    def on_unexpected_error(
        self, failure: typing.Any, request: http_server.Request
    ) -> None:
        """Log an unexpected exception and respond with its status."""
        request.fail(failure.value)

    def route(self, request: http_server.Request) -> None:
        """Route one request to its handler."""
        if request.has_left:
            return
        target = self.resolve(request)
        if isinstance(target, http_server.Response):
            self.respond(request, target)
            return
        queue, job = target
        if not job:
            waiting = self.entry.queued_count(queue.name)
            body = bodies.WaitingAnswer(waiting=waiting)
            self.respond(request, json_response(200, body))
        elif request.method == "POST":
            self.entry.receive(ReceivedSubmission(self, request, queue, job))
        elif request.method == "DELETE":
            self.cancel(request, job)
        else:
            self.respond(request, self.state(request, job))

    def respond(
        self, request: http_server.Request, response: http_server.Response
    ) -> None:
        """Send a response.

        A caller of an entry that is leaving opens its next connection to
        another one.
        """
        request.respond(response, close=self.entry.is_leaving())

    def resolve(
        self, request: http_server.Request
    ) -> http_server.Response | tuple[specs.Queue, str]:
        """Return the queue and job id of a request, or its refusal."""
        configuration = self.entry.configuration()
        if not configuration.version:
            return refuse(
                request, 503, "this entry has no configuration yet", 1.0
            )
        if request.method not in METHODS:
            return refuse(request, 405, "the methods are GET, POST, DELETE")
        queue = configuration.queue(request.host(), request.path)
        if queue is None:
            return refuse(
                request, 404, "no queue is configured for this host and path"
            )
        job = request.path[len(queue.prefix) :]
        is_list = not job and request.method == "GET"
        if not is_list and not JOB_ID.fullmatch(job):
            return refuse(
                request, 404, "the job id must be 16 lowercase hex digits"
            )
        return queue, job

    def examine(
        self, submission: "ReceivedSubmission"
    ) -> http_server.Response | None:
        """Accept a job, or return its refusal."""
        request = submission.request
        limit = self.entry.configuration().limits.body_bytes
        if request.body_bytes > limit:
            return refuse(
                request, 413, f"the body is longer than {limit} bytes"
            )
        decoded = bodies.decode(request.body, bodies.JobBody)
        if decoded.is_err():
            return refuse(request, 400, decoded.unwrap_err().reason)
        body = decoded.unwrap()
        error = body.validation_error()
        if len(body.specification.encode()) > MAX_SPECIFICATION_BYTES:
            error = (
                f"a specification has at most {MAX_SPECIFICATION_BYTES} bytes"
            )
        if error:
            return refuse(request, 400, error)
        feature = body.unsupported_feature()
        if feature:
            reason = f"this version does not support {feature}"
            return refuse(request, 503, reason)
        spec = specs.JobSpec(
            job=submission.job,
            queue=submission.queue,
            specification=body.specification,
            steps=tuple(step.to_step() for step in body.steps),
            caller_timeout_s=parse_caller_timeout_s(request),
        )
        rejection = self.entry.refusal_reason(spec)
        if rejection:
            return self.refuse_job(submission, rejection, 1.0)
        if not request.exchange_body(kept_bytes(spec)):
            reason = "this entry has no memory for more jobs"
            return self.refuse_job(submission, reason, 1.0)
        if request.has_disconnected():
            # The caller may already retry the job at another entry.
            return refuse(request, 503, "the caller has closed the connection")
        self.pending_submissions[submission.job].append(submission)
        self.entry.submit(spec)
        return None

    def refuse_job(
        self, submission: "ReceivedSubmission", reason: str, retry_s: float
    ) -> http_server.Response:
        """Return the refusal of a job.

        A caller that returns is not told that its job never ran if it did.
        """
        may_have_run = self.entry.may_have_run(submission.job)
        status = 504 if may_have_run else 503
        return refuse(submission.request, status, reason, retry_s)

    def on_disconnect(self, submission: "ReceivedSubmission") -> None:
        """Drop a submission whose connection was lost."""
        job = submission.job
        waiting = self.pending_submissions.get(job, [])
        if submission not in waiting:
            return
        waiting.remove(submission)
        if not waiting:
            del self.pending_submissions[job]
            self.entry.on_caller_left(job)

    def answer(self, job: str, answer: specs.JobAnswer) -> None:
        """Answer all pending requests for a job."""
        for submission in self.pending_submissions.pop(job, []):
            submission.answer(answer)

    def state(
        self, request: http_server.Request, job: str
    ) -> http_server.Response:
        """Return the state of a job that has no final answer yet."""
        state = self.entry.state(job)
        if state is None:
            return refuse(request, 410, "this entry has no such job")
        return json_response(200, bodies.StateAnswer(state=state.value))

    def cancel(self, request: http_server.Request, job: str) -> None:
        """Cancel a job, whichever entry owns it."""

        def on_reply(outcome: actions.CancelOutcome) -> None:
            if outcome is actions.CancelOutcome.UNKNOWN:
                response = refuse(request, 410, "no entry has such a job")
            else:
                status, state = CANCEL_RESPONSES[outcome]
                body = bodies.StateAnswer(state=state)
                response = json_response(status, body)
            self.respond(request, response)

        self.entry.cancel(job).addCallback(on_reply)


class ReceivedSubmission(job_entry.Submission):
    """A submission without a response."""

    def __init__(
        self,
        ingress: Ingress,
        request: http_server.Request,
        queue: specs.Queue,
        job: str,
    ) -> None:
        self.ingress = ingress
        self.request = request
        self.queue = queue
        self.job = job
        request.on_left = self.on_left

    def on_left(self) -> None:
        """Drop the submission, as the caller has closed the connection."""
        self.ingress.on_disconnect(self)

    def examine(self) -> None:
        """Accept the submission, or refuse it for what it asks."""
        if self.request.has_left:
            return
        try:
            refused = self.ingress.examine(self)
        except Exception as error:
            self.request.fail(error)
            return
        if refused is not None:
            self.ingress.respond(self.request, refused)

    def refuse(self, reason: str) -> None:
        """Refuse the submission unexamined, unless its job is here."""
        if self.ingress.entry.is_known(self.job):
            self.examine()
            return
        refused = self.ingress.refuse_job(self, reason, intake.RETRY_S)
        # The caller may find another entry with its next connection.
        self.request.respond(refused, close=True)

    def answer(self, answer: specs.JobAnswer) -> None:
        """Send the final answer of the job."""
        body: bodies.Body = bodies.StateAnswer(state=answer.state.value)
        if answer.state in (
            specs.JobState.REFUSED,
            specs.JobState.ABANDONED,
        ):
            body = bodies.ErrorAnswer(error=answer.reason)
        status = STATUS_BY_JOB_STATE[answer.state]
        self.ingress.respond(
            self.request, json_response(status, body, answer.retry_after_s)
        )


def json_response(
    status: int, body: bodies.Body, retry_s: float = 0.0
) -> http_server.Response:
    """Return a response, with ``Retry-After`` unless ``retry_s`` is 0."""
    headers = {"content-type": bodies.JSON_TYPE}
    if retry_s:
        # The header has whole seconds.
        headers["retry-after"] = str(max(1, math.ceil(retry_s)))
    return http_server.Response(
        status=status, body=msgspec.json.encode(body), headers=headers
    )


def refuse(
    request: http_server.Request,
    status: int,
    reason: str,
    retry_s: float = 0.0,
) -> http_server.Response:
    """Log a refused request and return its response."""
    LOG.info(
        "refused",
        path=request.path[:MAX_LOGGED_CHARS],
        status=status,
        reason=reason,
    )
    return json_response(status, bodies.ErrorAnswer(error=reason), retry_s)


def parse_caller_timeout_s(request: http_server.Request) -> float:
    """Return the caller's timeout in seconds, 0 if it names none."""
    text = request.headers.get(bodies.DEADLINE_HEADER.lower(), "")
    return int(text) / 1000 if is_number(text) else 0.0


def kept_bytes(spec: specs.JobSpec) -> int:
    """Return the memory that a job takes until it is answered."""
    prerequisites = sum(len(step.after) for step in spec.steps)
    return (
        JOB_BYTES
        + STEP_BYTES * len(spec.steps)
        + PREREQUISITE_BYTES * prerequisites
        + TASK_BYTES * sum(step.count for step in spec.steps)
    )


def is_number(text: str) -> bool:
    """Tell whether a header is a number of reasonable length."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
