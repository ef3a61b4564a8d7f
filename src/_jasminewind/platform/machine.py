"""HTTP client of an agent for the endpoint on the same machine."""

import typing

import msgspec
import result
from twisted.internet import defer
from twisted.internet import task

from _jasminewind import members
from _jasminewind import timers
from _jasminewind.decisions.jobs import actions
from _jasminewind.nodes import job_agent
from _jasminewind.platform import bodies
from _jasminewind.platform import exchanges
from _jasminewind.platform import http
from _jasminewind import odd_input
from _jasminewind.platform import run_rows

# A local call takes about 1 ms, and some 8 ms on a machine that runs 5.5
# times slower. A start that times out is followed by a stop, early enough
# to place a task of 0.1 s elsewhere before its deadline.
CALL_TIMEOUT_S = 0.08
# Added to the time for which the endpoint may delay the reply.
RENEW_TIMEOUT_S = 0.06
# The endpoint answers at once while it lists an end that is not acknowledged.
HELD_END_DELAY_S = 0.05
MAX_REASON_CHARS = 200
# The starts of one job are sent at once; idle connections are kept.
MAX_CONNECTIONS = 16


class MachineClient(job_agent.EndpointClient):
    """Client of the endpoint at one address; it never retries a call."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        timer_service: timers.TimerService,
        address: members.Address,
        odd: odd_input.OddInput,
    ) -> None:
        self.reactor = reactor
        self.timers = timer_service
        self.odd = odd
        self.holds_end = False
        self.http_client = http.JsonClient(
            reactor=reactor,
            host=address.host,
            port=address.port,
            connections=MAX_CONNECTIONS,
        )

    async def start(self, action: actions.CallStart) -> actions.CallReply:
        """Start a run."""
        order = action.order
        body = bodies.StartBody(
            task=order.key.task,
            run=order.key.number,
            specification=order.specification,
            deadline_ms=action.deadline_ms,
            fencing_token=action.fencing_token,
            checkpoint=order.checkpoint,
        )
        response = await self.call(
            bodies.MACHINE_START_PATH, body, action, CALL_TIMEOUT_S
        )
        return call_reply(response)

    async def stop(self, action: actions.CallStop) -> actions.CallReply:
        """Stop a run."""
        body = bodies.StopBody(
            task=action.key.task,
            run=action.key.number,
            fencing_token=action.fencing_token,
        )
        response = await self.call(
            bodies.MACHINE_STOP_PATH, body, action, CALL_TIMEOUT_S
        )
        return call_reply(response)

    async def renew(self, action: actions.CallRenew) -> actions.RenewReply:
        """Renew the lease and return running and ended work."""
        if self.holds_end and action.wait_s:
            await task.deferLater(self.reactor, HELD_END_DELAY_S)
        sent_s = self.timers.clock.seconds()
        body = bodies.RenewBody(
            fencing_token=action.fencing_token,
            last_seen=action.last_end,
            deadline_ms=action.deadline_ms,
            wait_ms=int(action.wait_s * 1000),
        )
        response = await self.call(
            bodies.MACHINE_RENEW_PATH,
            body,
            action,
            action.wait_s + RENEW_TIMEOUT_S,
        )
        state = renew_reply(response, sent_s)
        self.holds_end = state.holds_end
        for row in state.odd:
            self.odd.report(row.source, row.name, row.reason)
        return state.reply

    def call(
        self,
        path: str,
        body: bodies.Body,
        action: actions.EndpointCall,
        timeout_s: float,
    ) -> defer.Deferred[result.Result[exchanges.Response, http.CallError]]:
        """Send a call that only the named endpoint instance accepts."""
        headers = {
            "content-type": bodies.JSON_TYPE,
            bodies.INSTANCE_HEADER: action.endpoint.name,
        }
        return self.http_client.send(
            b"POST",
            path,
            msgspec.json.encode(body),
            timeout_s=timeout_s,
            headers=headers,
        )

    def close(self) -> None:
        """Close idle connections."""
        self.http_client.close()


STATUS_OUTCOMES = {
    200: actions.CallOutcome.DONE,
    400: actions.CallOutcome.MALFORMED,
    421: actions.CallOutcome.OTHER_ENDPOINT,
    429: actions.CallOutcome.UNHEALTHY,
    503: actions.CallOutcome.UNHEALTHY,
}
CONFLICT_STATUS = 409


def call_outcome(status: int, reason: str) -> actions.CallOutcome:
    """Translate an HTTP status; an unknown one counts as a lost reply."""
    if status == CONFLICT_STATUS:
        return bodies.CONFLICT_OUTCOMES.get(
            reason, actions.CallOutcome.MALFORMED
        )
    return STATUS_OUTCOMES.get(status, actions.CallOutcome.LOST)


def call_reply(
    response: result.Result[exchanges.Response, http.CallError],
) -> actions.CallReply:
    """Translate the response to a start or a stop."""
    if response.is_err():
        error = response.unwrap_err()
        outcome = actions.CallOutcome.LOST
        if error.failure is http.CallFailure.NOT_SENT:
            outcome = actions.CallOutcome.UNHEALTHY
        return actions.CallReply(outcome=outcome, reason=error.reason)
    http_response = response.unwrap()
    body = bodies.decode(http_response.body or b"{}", bodies.AnswerBody)
    fields = body.unwrap_or(bodies.AnswerBody())
    return actions.CallReply(
        outcome=call_outcome(http_response.status, fields.reason),
        clock_ms=fields.clock_ms,
        reason=f"status {http_response.status} "
        f"{fields.reason[:MAX_REASON_CHARS]}".strip(),
    )


def renew_reply(
    response: result.Result[exchanges.Response, http.CallError], sent_s: float
) -> run_rows.ReadState:
    """Translate the response to a renewal."""
    reply = call_reply(response)
    if reply.outcome is not actions.CallOutcome.DONE:
        failed = actions.RenewReply(
            outcome=reply.outcome, sent_s=sent_s, clock_ms=reply.clock_ms
        )
        return run_rows.ReadState(failed)
    return run_rows.read(response.unwrap().body, sent_s)
