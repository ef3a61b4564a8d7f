"""The ports of an entry: callers' submissions, and readiness."""

import collections
import math
import re
import socket
import typing

import klein
import msgspec
import structlog
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from _jasminewind import sites
from _jasminewind.decisions.jobs import specs
from _jasminewind.nodes import job_entry
from _jasminewind.platform import bodies

LOG = structlog.get_logger("ingress")
MAX_LOGGED_CHARS = 120
JOB_ID = re.compile("[0-9a-f]{16}")
# Longest specification of a job, in bytes.
MAX_SPECIFICATION_BYTES = 4_000
STATUS = {
    specs.JobState.COMPLETED: 200,
    specs.JobState.FAILED: 200,
    specs.JobState.CANCELLED: 200,
    specs.JobState.REFUSED: 503,
    # The job may have run in part; the caller sends it again.
    specs.JobState.ABANDONED: 504,
}


class Ingress(job_entry.AnswerSink):
    """Serves callers."""

    app = klein.Klein()

    def __init__(self, backend: job_entry.JobEntry) -> None:
        self.backend = backend
        self.callers: dict[str, list[Caller]] = collections.defaultdict(list)

    def site(self) -> server.Site:
        """Return the factory to listen with."""
        return sites.quiet_site(self.app.resource())

    @app.route("/", branch=True, methods=["GET", "POST", "DELETE"])
    def handle(self, request: typing.Any) -> typing.Any:
        """Answer one request of a caller."""
        request.setHeader("Content-Type", bodies.JSON_TYPE)
        if self.backend.is_leaving():
            # The caller's next request reaches another entry.
            request.setHeader("Connection", "close")
        found = self.find(request)
        if isinstance(found, bytes):
            return found
        queue, job = found
        method = request.method
        if not job:
            waiting = self.backend.queued_count(queue.name)
            return msgspec.json.encode(bodies.WaitingAnswer(waiting=waiting))
        if method == b"POST":
            return self.submit(request, queue, job)
        if method == b"DELETE":
            return self.cancel(request, job)
        return self.state(request, job)

    def find(self, request: typing.Any) -> bytes | tuple[specs.Queue, str]:
        """Return the queue and job that are named, or the refusal."""
        configuration = self.backend.configuration()
        if not configuration.version:
            return refuse(request, 503, "there is no configuration yet", 1.0)
        host = request.getRequestHostname().decode(errors="replace")
        path = request.path.decode(errors="replace")
        queue = configuration.queue(host, path)
        if queue is None:
            return refuse(request, 404, "no queue has this host and path")
        job = path[len(queue.prefix) :]
        if job and not JOB_ID.fullmatch(job):
            return refuse(request, 404, "need an id of 16 hex digits")
        if not job and request.method != b"GET":
            return refuse(request, 404, "need an id of 16 hex digits")
        return queue, job

    def submit(
        self, request: typing.Any, queue: specs.Queue, job: str
    ) -> typing.Any:
        """Take a job, or refuse it as not run."""
        limit = self.backend.configuration().limits.body_bytes
        data = request.content.read(limit + 1)
        if len(data) > limit:
            return refuse(request, 413, f"the body is above {limit} bytes")
        body = bodies.decode(data, bodies.JobBody)
        if body.is_err():
            return refuse(request, 400, body.unwrap_err().reason)
        found = body.unwrap()
        mistake = found.mistake()
        if len(found.specification.encode()) > MAX_SPECIFICATION_BYTES:
            mistake = f"a specification has {MAX_SPECIFICATION_BYTES} bytes"
        if mistake:
            return refuse(request, 400, mistake)
        unsupported = found.unsupported()
        if unsupported:
            reason = f"this version cannot run {unsupported}"
            return refuse(request, 503, reason)
        spec = specs.JobSpec(
            job=job,
            queue=queue,
            specification=found.specification,
            steps=tuple(step.step() for step in found.steps),
            caller_timeout_s=patience_s(request),
        )
        closed = self.backend.refusal_reason(spec.critical_path_s())
        if closed:
            return refuse(request, 503, closed, 1.0)
        if has_hung_up(request):
            # The caller may be sending the job to another entry by now.
            return refuse(request, 503, "its caller has closed the connection")
        caller = Caller(request)
        self.callers[job].append(caller)
        request.notifyFinish().addErrback(self.caller_left, caller, job)
        self.backend.submit(spec)
        return caller.body

    def caller_left(
        self, failure: typing.Any, caller: "Caller", job: str
    ) -> None:
        """Forget a caller whose connection is gone."""
        del failure
        waiting = self.callers.get(job, [])
        if caller in waiting:
            waiting.remove(caller)
        if job in self.callers and not waiting:
            del self.callers[job]
            self.backend.on_caller_left(job)

    def answer(self, job: str, answer: specs.JobAnswer) -> None:
        """Answer every caller that waits for a job."""
        for caller in self.callers.pop(job, []):
            caller.answer(answer)

    def state(self, request: typing.Any, job: str) -> bytes:
        """Tell the state of a job that is not answered yet."""
        state = self.backend.state(job)
        if state is None:
            return refuse(request, 410, "there is no such job here")
        return msgspec.json.encode(bodies.StateAnswer(state=state.value))

    def cancel(self, request: typing.Any, job: str) -> typing.Any:
        """Cancel a job, wherever it is."""

        def answered(is_known: bool) -> bytes:
            if not is_known:
                return refuse(request, 410, "there is no such job")
            return msgspec.json.encode(bodies.StateAnswer(state="cancelled"))

        return self.backend.cancel(job).addCallback(answered)


class Caller:
    """A caller that waits; ``body`` fires with what it is sent."""

    def __init__(self, request: typing.Any) -> None:
        self.request = request
        self.body: defer.Deferred[bytes] = defer.Deferred()

    def answer(self, answer: specs.JobAnswer) -> None:
        """Send the final answer of the job."""
        self.request.setResponseCode(STATUS[answer.state])
        body: bodies.Body = bodies.StateAnswer(state=answer.state.value)
        if answer.state is specs.JobState.REFUSED:
            set_retry_after(self.request, answer.retry_after_s)
            body = bodies.ErrorAnswer(error=answer.reason)
        elif answer.state is specs.JobState.ABANDONED:
            body = bodies.ErrorAnswer(error=answer.reason)
        self.body.callback(msgspec.json.encode(body))


def has_hung_up(request: typing.Any) -> bool:
    """Tell whether the caller closed its connection after the request.

    The reactor reports that only after it has served the other sockets,
    which takes long when many connections break at once.
    """
    handle = request.transport.getHandle()
    try:
        return not handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def refuse(
    request: typing.Any, status: int, reason: str, retry_s: float = 0.0
) -> bytes:
    """Return the body of a refusal that has no effect."""
    LOG.info(
        "refused",
        path=request.path.decode(errors="replace")[:MAX_LOGGED_CHARS],
        status=status,
        reason=reason,
    )
    request.setResponseCode(status)
    if retry_s:
        set_retry_after(request, retry_s)
    return msgspec.json.encode(bodies.ErrorAnswer(error=reason))


def set_retry_after(request: typing.Any, retry_s: float) -> None:
    """Tell the caller when to come back, in whole seconds."""
    request.setHeader("Retry-After", str(max(1, math.ceil(retry_s))))


def patience_s(request: typing.Any) -> float:
    """Return how long the caller waits, 0 when it does not say."""
    text = request.getHeader(bodies.DEADLINE_HEADER) or ""
    return int(text) / 1000 if text.isdecimal() else 0.0


class ReadyResource(resource.Resource):
    """Tells the balancer whether this entry takes new connections."""

    isLeaf = True

    def __init__(self, backend: job_entry.JobEntry) -> None:
        super().__init__()
        self.backend = backend

    # The name is twisted's.
    def render_GET(self, request: typing.Any) -> bytes:  # noqa: N802
        """Return 200, or 503 with the reason."""
        reason = self.backend.unready_reason()
        request.setResponseCode(503 if reason else 200)
        return f"{reason or 'ok'}\n".encode()


def ready_site(backend: job_entry.JobEntry) -> server.Site:
    """Return the factory to listen with for readiness."""
    return sites.quiet_site(ReadyResource(backend))
