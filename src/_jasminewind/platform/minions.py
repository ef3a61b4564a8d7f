"""HTTP client of a minion: one call per task."""

import typing

import result
from twisted.internet import defer

from _jasminewind import errors
from _jasminewind.decisions import core
from _jasminewind.messages import tasks
from _jasminewind.platform import client
from _jasminewind.platform import http
from _jasminewind.platform import protocol

HEALTH_TIMEOUT_S = 2.0
# Time for a response to arrive after the deadline, at which the coordinator
# stops waiting for it.
CALL_GRACE_S = 0.5
ENDPOINT_FAILURES = {
    http.CallFailure.NOT_SENT: errors.EndpointFailure.REFUSED,
    http.CallFailure.REFUSED: errors.EndpointFailure.REFUSED,
    http.CallFailure.FAILED: errors.EndpointFailure.FAILED,
}


def endpoint_error(error: http.CallError) -> errors.EndpointError:
    """Translate the error of a call."""
    return errors.EndpointError(
        failure=ENDPOINT_FAILURES.get(
            error.failure, errors.EndpointFailure.UNKNOWN
        ),
        reason=error.reason,
    )


class HttpMinion(client.EndpointClient):
    """Calls a minion; a call without a response ends as unknown."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        host: str,
        port: int,
        connections: int,
    ) -> None:
        self.reactor = reactor
        self.http_client = http.JsonClient(
            reactor=reactor, host=host, port=port, connections=connections
        )
        self.on_end: client.EndCallback | None = None
        self.in_flight: dict[tasks.TaskKey, defer.Deferred[typing.Any]] = {}

    def attach(
        self, on_end: client.EndCallback, on_usage: client.UsageCallback
    ) -> defer.Deferred[
        result.Result[tuple[tasks.TaskKey, ...], errors.EndpointError]
    ]:
        """Check that the minion is healthy; it has no earlier tasks."""
        del on_usage
        self.on_end = on_end
        response = self.http_client.get(
            protocol.HEALTH_PATH,
            protocol.Empty,
            timeout_s=HEALTH_TIMEOUT_S,
        )
        return response.addCallback(
            lambda reply: reply.map(lambda _: ()).map_err(endpoint_error)
        )

    def start(self, start: tasks.TaskStart) -> None:
        """Call the minion once."""
        response = self.http_client.post(
            protocol.CALL_PATH,
            protocol.Call(
                key=start.key,
                method=start.task.method,
                payload=start.task.payload,
            ),
            protocol.CallReply,
            timeout_s=start.budget_s + CALL_GRACE_S,
        )
        self.in_flight[start.key] = response
        response.addCallback(self.on_reply, start.key, self.reactor.seconds())

    def on_reply(
        self,
        reply: result.Result[protocol.CallReply, http.CallError],
        key: tasks.TaskKey,
        started_s: float,
    ) -> None:
        """Report the end of a call."""
        if self.in_flight.pop(key, None) is None or self.on_end is None:
            return
        match reply:
            case result.Ok(value):
                end = core.TaskEnd(
                    key=key, run_s=value.run_s, payload=value.payload
                )
            case result.Err(error):
                end = core.TaskEnd(
                    key=key,
                    run_s=self.reactor.seconds() - started_s,
                    error=endpoint_error(error),
                )
        self.on_end(end)

    def control(self, key: tasks.TaskKey, command: core.TaskCommand) -> None:
        """Stop a call by closing its connection; it ends as unknown."""
        call = self.in_flight.get(key)
        if call is not None and command is core.TaskCommand.STOP:
            call.cancel()

    def detach(self) -> None:
        """Stop all calls without reporting their ends."""
        calls = list(self.in_flight.values())
        self.in_flight.clear()
        self.on_end = None
        for call in calls:
            call.cancel()
        self.http_client.close()
