"""JSON over HTTP client that never retries a request."""

import collections.abc
import dataclasses
import enum
import typing

import msgspec
import result
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.python import failure

from _jasminewind import json_input
from _jasminewind.platform import exchanges

JSON_HEADERS = {"content-type": "application/json"}
# These prove that no byte of the request was written. A call that times out
# raises defer.TimeoutError, which proves nothing.
NOT_SENT_ERRORS = (
    net_error.ConnectError,
    net_error.ConnectingCancelledError,
    net_error.TimeoutError,
)


class CallFailure(enum.StrEnum):
    """Kinds of failed calls."""

    NOT_SENT = "NOT_SENT"
    REFUSED = "REFUSED"
    CONFLICT = "CONFLICT"
    FAILED = "FAILED"
    UNKNOWN = "UNKNOWN"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallError:
    """A failed call.

    ``NOT_SENT``, ``REFUSED`` and ``CONFLICT`` prove that it had no effect;
    ``FAILED`` is an error response; ``UNKNOWN`` is a lost response.
    ``generation`` is that of :class:`protocol.Refused`.
    """

    failure: CallFailure
    reason: str
    generation: int = 0


Reply = typing.TypeVar("Reply")


class GraceCall:
    """Call after a delay and one more turn of the reactor.

    A reactor runs timers before it reads sockets. In a busy or paused process
    a response may be waiting when its timeout expires; it is read first.
    """

    def __init__(
        self,
        reactor: typing.Any,
        delay_s: float,
        function: collections.abc.Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.function = function
        self.call = reactor.callLater(delay_s, self.wait_for_turn)

    def wait_for_turn(self) -> None:
        """Call the function after the sockets have been read."""
        self.call = self.reactor.callLater(0, self.function)

    def active(self) -> int:
        """Return whether the call is still pending."""
        return self.call.active()

    def cancel(self) -> None:
        """Cancel the call."""
        self.call.cancel()


class GraceClock:
    """Clock for ``Deferred.addTimeout`` that schedules grace calls."""

    def __init__(self, reactor: typing.Any) -> None:
        self.reactor = reactor

    # twisted defines the name.
    def callLater(  # noqa: N802
        self, delay: float, function: collections.abc.Callable[[], None]
    ) -> GraceCall:
        """Call ``function`` after ``delay`` seconds and a reactor turn."""
        return GraceCall(self.reactor, delay, function)


class JsonClient:
    """Client of one server over persistent connections."""

    def __init__(
        self, *, reactor: typing.Any, host: str, port: int, connections: int
    ) -> None:
        self.reactor = reactor
        self.pool = exchanges.ConnectionPool(
            reactor=reactor, host=host, port=port, max_idle=connections
        )

    def post(
        self,
        path: str,
        body: object,
        kind: type[Reply],
        *,
        timeout_s: float,
    ) -> defer.Deferred[result.Result[Reply, CallError]]:
        """Send ``body`` once; return the response decoded as ``kind``."""
        return self.call(
            b"POST", path, msgspec.json.encode(body), kind, timeout_s
        )

    def get(
        self, path: str, kind: type[Reply], *, timeout_s: float
    ) -> defer.Deferred[result.Result[Reply, CallError]]:
        """Read ``path`` once; return the response decoded as ``kind``."""
        return self.call(b"GET", path, b"", kind, timeout_s)

    def call(
        self,
        method: bytes,
        path: str,
        data: bytes,
        kind: type[Reply],
        timeout_s: float,
    ) -> defer.Deferred[result.Result[Reply, CallError]]:
        """Make one call and decode its response."""

        def decode_reply(
            response: result.Result[exchanges.Response, CallError],
        ) -> result.Result[Reply, CallError]:
            return response.and_then(
                lambda r: decode_response(r.status, r.body, kind)
            )

        exchange = self.send(method, path, data, timeout_s=timeout_s)
        return exchange.addCallback(decode_reply)

    def send(
        self,
        method: bytes,
        path: str,
        data: bytes = b"",
        *,
        timeout_s: float,
        headers: exchanges.Headers | None = None,
    ) -> defer.Deferred[result.Result[exchanges.Response, CallError]]:
        """Make one call; return its response whatever the status."""
        exchange = self.pool.send(
            method.decode(), path, data, headers or JSON_HEADERS
        )
        # A timeout also aborts the connection, so that the next call does
        # not reuse a silent one.
        exchange.addTimeout(
            timeout_s, typing.cast(typing.Any, GraceClock(self.reactor))
        )
        return exchange.addCallbacks(result.Ok, self.call_error)

    def call_error(
        self, reason: failure.Failure
    ) -> result.Result[typing.Any, CallError]:
        """Translate the failure of a call without a response."""
        kind = CallFailure.UNKNOWN
        if reason.check(*NOT_SENT_ERRORS):
            kind = CallFailure.NOT_SENT
        text = f"{type(reason.value).__name__}: {reason.getErrorMessage()}"
        return result.Err(CallError(failure=kind, reason=text[:300]))

    def close(self) -> defer.Deferred[typing.Any]:
        """Close idle connections."""
        return self.pool.close()


def decode_response(
    status: int, body: bytes, kind: type[Reply]
) -> result.Result[Reply, CallError]:
    """Return the decoded body, or the error that the response reports."""
    # Processes on the users' platform decode bodies of their own, and do not
    # need these at their start.
    from _jasminewind.platform import protocol

    try:
        if status == protocol.OK:
            return result.Ok(msgspec.json.decode(body, type=kind))
        refused = msgspec.json.decode(body, type=protocol.Refused)
    except json_input.MALFORMED as e:
        return result.Err(
            CallError(
                failure=CallFailure.UNKNOWN,
                reason=f"status {status} with a malformed body: {e}",
            )
        )
    failure_kind = CallFailure.FAILED
    if status == protocol.CONFLICT:
        failure_kind = CallFailure.CONFLICT
    elif refused.not_run:
        failure_kind = CallFailure.REFUSED
    return result.Err(
        CallError(
            failure=failure_kind,
            reason=refused.reason,
            generation=refused.generation,
        )
    )
