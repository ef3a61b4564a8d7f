"""Calls to the endpoint on the same machine."""

import typing

import msgspec
import result
from twisted.internet import defer
from twisted.web import http_headers

from _jasminewind import members
from _jasminewind import timers
from _jasminewind.decisions.jobs import actions
from _jasminewind.nodes import job_agent
from _jasminewind.platform import bodies
from _jasminewind.platform import http

# A local call takes about 1 ms, and some 8 ms on a machine that runs 5.5
# times slower. A start that takes longer than this is settled by a stop, in
# time to place a task of 0.1 s elsewhere before it is due.
CALL_TIMEOUT_S = 0.08
# Beyond the time for which the endpoint holds a renewal back.
RENEW_TIMEOUT_S = 0.06
# Starts of one job arrive together; idle connections are kept.
CONNECTIONS = 16


class Machine(job_agent.EndpointClient):
    """The endpoint at one address; every call is sent once."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        timer_service: timers.TimerService,
        address: members.Address,
    ) -> None:
        self.timers = timer_service
        self.calls = http.JsonClient(
            reactor=reactor,
            host=address.host,
            port=address.port,
            connections=CONNECTIONS,
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
        answer = await self.call(
            bodies.MACHINE_START_PATH, body, action, CALL_TIMEOUT_S
        )
        return call_reply(answer)

    async def stop(self, action: actions.CallStop) -> actions.CallReply:
        """Stop a run."""
        body = bodies.StopBody(
            task=action.key.task,
            run=action.key.number,
            fencing_token=action.fencing_token,
        )
        answer = await self.call(
            bodies.MACHINE_STOP_PATH, body, action, CALL_TIMEOUT_S
        )
        return call_reply(answer)

    async def renew(self, action: actions.CallRenew) -> actions.RenewReply:
        """Renew the lease and read the state."""
        sent_s = self.timers.clock.seconds()
        body = bodies.RenewBody(
            fencing_token=action.fencing_token,
            last_seen=action.last_end,
            deadline_ms=action.deadline_ms,
            wait_ms=int(action.wait_s * 1000),
        )
        answer = await self.call(
            bodies.MACHINE_RENEW_PATH,
            body,
            action,
            action.wait_s + RENEW_TIMEOUT_S,
        )
        return renew_reply(answer, sent_s)

    def call(
        self,
        path: str,
        body: bodies.Body,
        action: actions.EndpointCall,
        timeout_s: float,
    ) -> defer.Deferred[result.Result[http.Answer, http.CallError]]:
        """Send one call to the life of the endpoint that is meant."""
        headers = http_headers.Headers(
            {
                "content-type": [bodies.JSON_TYPE],
                bodies.INSTANCE_HEADER: [action.endpoint.name],
            }
        )
        return self.calls.send(
            b"POST",
            path,
            msgspec.json.encode(body),
            timeout_s=timeout_s,
            headers=headers,
        )

    def close(self) -> None:
        """Close idle connections."""
        self.calls.close()


STATUS_OUTCOMES = {
    200: actions.CallOutcome.DONE,
    400: actions.CallOutcome.MALFORMED,
    421: actions.CallOutcome.OTHER_ENDPOINT,
    429: actions.CallOutcome.UNHEALTHY,
    503: actions.CallOutcome.UNHEALTHY,
}
CONFLICT = 409


def outcome_of(status: int, reason: str) -> actions.CallOutcome:
    """Return what a status says; an unknown one says nothing."""
    if status == CONFLICT:
        return bodies.REFUSALS.get(reason, actions.CallOutcome.MALFORMED)
    return STATUS_OUTCOMES.get(status, actions.CallOutcome.LOST)


def call_reply(
    answer: result.Result[http.Answer, http.CallError],
) -> actions.CallReply:
    """Translate the answer to a start or a stop."""
    if answer.is_err():
        error = answer.unwrap_err()
        outcome = actions.CallOutcome.LOST
        if error.failure is http.CallFailure.NOT_SENT:
            outcome = actions.CallOutcome.UNHEALTHY
        return actions.CallReply(outcome=outcome, reason=error.reason)
    found = answer.unwrap()
    body = bodies.decode(found.body or b"{}", bodies.AnswerBody)
    said = body.unwrap_or(bodies.AnswerBody())
    return actions.CallReply(
        outcome=outcome_of(found.status, said.reason),
        clock_ms=said.clock_ms,
        reason=f"status {found.status} {said.reason}".strip(),
    )


def renew_reply(
    answer: result.Result[http.Answer, http.CallError], sent_s: float
) -> actions.RenewReply:
    """Translate the answer to a renewal."""
    reply = call_reply(answer)
    if reply.outcome is not actions.CallOutcome.DONE:
        return actions.RenewReply(
            outcome=reply.outcome, sent_s=sent_s, clock_ms=reply.clock_ms
        )
    body = bodies.decode(answer.unwrap().body, bodies.StateBody)
    lost = actions.RenewReply(outcome=actions.CallOutcome.LOST, sent_s=sent_s)
    if body.is_err():
        return lost
    state = body.unwrap()
    try:
        running = tuple(bodies.running_run(row) for row in state.running)
        ended = tuple(bodies.listed_end(row) for row in state.ended)
    except (ValueError, TypeError):
        return lost
    return actions.RenewReply(
        outcome=actions.CallOutcome.DONE,
        sent_s=sent_s,
        clock_ms=state.clock_ms,
        running=running,
        ended=ended,
        complete=len(ended) < bodies.MAX_LISTED_ENDS,
        born_ms=state.born,
    )
