"""Forwards jobs and requests, and reports their outcome."""

import dataclasses
import random

import result
from twisted.internet import defer
from twisted.python import failure

from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import timers
from _jasminewind.api import backend as backends
from _jasminewind.api import calls
from _jasminewind.api import connect
from _jasminewind.api import validation
from _jasminewind.messages import work

# Transit time of an answer that the owner sends at the deadline.
DEADLINE_GRACE_S = 0.1
QUERY_TIMEOUT_S = 2.0
# A refusal should reach the caller within 50 ms.
REFUSAL_QUERY_TIMEOUT_S = 0.04
DETACH_POLL_INTERVAL_S = 0.05

SubmitResult = result.Result[work.Answer, connect.CallError]
QueryResult = result.Result[work.WorkStatus, connect.CallError]


class Submitter:
    """Submits, queries and cancels jobs and requests."""

    def __init__(
        self,
        *,
        backend: backends.Backend,
        clock: timers.Clock,
        rng: random.Random,
    ) -> None:
        self.backend = backend
        self.clock = clock
        self.rng = rng

    def new_id(self) -> str:
        """Return an id for a submission without one."""
        return self.backend.new_id()

    async def admit(
        self, validated: validation.ValidationResult, *, client_id: str
    ) -> result.Result[work.Submit, connect.CallError]:
        """Return the submission if it may be forwarded, else the error."""
        refusal: validation.Refusal | None = None
        if isinstance(validated, result.Err):
            refusal = validated.err_value
            if refusal.is_permanent:
                return result.Err(refusal.error)
        readiness = self.backend.is_ready()
        # Input that is refused may be valid in a newer configuration.
        is_unsure = refusal is not None and not readiness.confirmed
        if is_unsure or not (readiness.ready or readiness.accepts_work):
            refusal = validation.Refusal(
                error=connect.failure(
                    f"this entry takes no work: {readiness.reason}; send the "
                    "submission again, to another entry if it persists",
                    code=errors.Code.UNAVAILABLE,
                    work_id=client_id,
                ),
                is_permanent=False,
            )
        if refusal is None:
            return validated.map_err(lambda r: r.error)
        return result.Err(await self.correct_outcome(refusal.error, client_id))

    async def correct_outcome(
        self, error: connect.CallError, client_id: str
    ) -> connect.CallError:
        """Return ``error`` with the outcome that is true for the id.

        An earlier submission with the same id may have been accepted, for
        example before its team was removed, or be under way through another
        entry; NOT_RUN would then be wrong.
        """
        if not client_id:
            return error
        # Callers may send an id in upper case; owners use its canonical form.
        client_id = ids.parse(client_id).unwrap_or(client_id)
        status = await self.query(
            client_id, REFUSAL_QUERY_TIMEOUT_S, refuse_unknown=True
        )
        if isinstance(status, result.Ok):
            known = status.ok_value.state is not work.WorkState.UNKNOWN
            if not known and not status.ok_value.may_have_run:
                return error
            if known:
                return self.as_may_have_run(
                    error,
                    client_id,
                    "an earlier submission with this id was accepted; ask "
                    "for its answer with `jasminewind job get`",
                )
        return self.as_may_have_run(
            error,
            client_id,
            "an earlier submission with this id cannot be ruled out",
            not_run_if_first=True,
        )

    def as_may_have_run(
        self,
        error: connect.CallError,
        work_id: str,
        note: str,
        *,
        not_run_if_first: bool = False,
    ) -> connect.CallError:
        """Return ``error`` with the outcome ``MAY_HAVE_RUN`` and a note."""
        changed = connect.failure(
            f"{error.message}; {note}",
            code=error.code,
            outcome=errors.Outcome.MAY_HAVE_RUN,
            work_id=work_id,
            not_run_if_first=not_run_if_first,
        )
        return dataclasses.replace(changed, http_status=error.http_status)

    async def submit_and_wait(self, submit: work.Submit) -> SubmitResult:
        """Forward ``submit`` and return its complete answer.

        When the caller disconnects, the server cancels this coroutine,
        which cancels the work.
        """
        pending = self.backend.submit(submit)
        timeout_s = submit.budget_s + DEADLINE_GRACE_S
        try:
            answer = await calls.with_timeout(self.clock, pending, timeout_s)
        except defer.CancelledError:
            self.backend.cancel(submit.work_id)
            raise
        except Exception as e:
            return result.Err(self.internal_error(submit.work_id, e))
        if isinstance(answer, calls.TimedOut):
            self.backend.cancel(submit.work_id)
            return result.Err(
                connect.failure(
                    f"no answer within {submit.budget_s:g} s; the work was "
                    "cancelled",
                    code=errors.Code.DEADLINE_EXCEEDED,
                    outcome=errors.Outcome.MAY_HAVE_RUN,
                    work_id=submit.work_id,
                )
            )
        return check_answer(submit, answer)

    async def submit_detached(
        self, submit: work.Submit
    ) -> result.Result[work.WorkState, connect.CallError]:
        """Forward ``submit`` and return its state once a process knows it."""
        answers: list[work.Answer] = []
        failures: list[failure.Failure] = []
        pending = self.backend.submit(submit)
        pending.addCallbacks(answers.append, failures.append)
        deadline_s = self.clock.seconds() + submit.budget_s
        while self.clock.seconds() < deadline_s:
            await calls.sleep(self.clock, DETACH_POLL_INTERVAL_S)
            if answers:
                return check_answer(submit, answers[0]).map(lambda a: a.state)
            if failures:
                error = self.internal_error(submit.work_id, failures[0].value)
                return result.Err(error)
            status = await self.query(submit.work_id, QUERY_TIMEOUT_S)
            if isinstance(status, result.Ok):
                if status.ok_value.state is not work.WorkState.UNKNOWN:
                    return result.Ok(status.ok_value.state)
        return result.Err(
            connect.failure(
                "no process confirmed the job before its deadline",
                code=errors.Code.DEADLINE_EXCEEDED,
                outcome=errors.Outcome.MAY_HAVE_RUN,
                work_id=submit.work_id,
            )
        )

    async def query(
        self, work_id: str, timeout_s: float, *, refuse_unknown: bool = False
    ) -> QueryResult:
        """Return the state of a job or a request; see ``Backend.query``."""
        try:
            pending = self.backend.query(
                work_id, refuse_unknown=refuse_unknown
            )
            status = await calls.with_timeout(self.clock, pending, timeout_s)
        except defer.CancelledError:
            raise
        except Exception as e:
            return result.Err(self.internal_error(work_id, e))
        if isinstance(status, calls.TimedOut):
            return result.Err(
                connect.failure(
                    f"the owner did not answer within {timeout_s:g} s; ask "
                    "again",
                    code=errors.Code.UNAVAILABLE,
                    outcome=errors.Outcome.MAY_HAVE_RUN,
                    work_id=work_id,
                )
            )
        return result.Ok(status)

    def cancel(self, text: str) -> connect.CallError | None:
        """Cancel the work with this id, or return the error for the id."""
        wall_ms = self.backend.now().wall_ms
        error = validation.check_work_id(text, wall_ms=wall_ms)
        if error is None:
            self.backend.cancel(ids.parse(text).unwrap())
        return error

    def internal_error(
        self, work_id: str, error: BaseException | None
    ) -> connect.CallError:
        """Return the error for an unexpected exception."""
        return connect.failure(
            f"internal error: {type(error).__name__}: {error}; report it",
            code=errors.Code.INTERNAL,
            outcome=errors.Outcome.MAY_HAVE_RUN,
            work_id=work_id,
        )


def check_answer(submit: work.Submit, answer: work.Answer) -> SubmitResult:
    """Return ``answer`` if it is complete and belongs to ``submit``."""
    if answer.state is not work.WorkState.COMPLETE:
        return result.Err(answer_error(answer))
    expected = [t.name for t in submit.tasks]
    found = [o.name for o in answer.outputs]
    is_same_work = submit.work_id in (answer.work_id, answer.replaces)
    if is_same_work and expected == found:
        return result.Ok(answer)
    return result.Err(
        connect.failure(
            "the answer known for this id belongs to a submission with other "
            "tasks; use a new id for each submission",
            code=errors.Code.ALREADY_EXISTS,
            outcome=errors.Outcome.MAY_HAVE_RUN,
            work_id=submit.work_id,
        )
    )


def answer_error(answer: work.Answer) -> connect.CallError:
    """Return the error for a failed answer."""
    error = answer.error
    if error is None:
        return connect.failure(
            f"the work ended as {answer.state.value} without a reason",
            code=errors.Code.INTERNAL,
            outcome=errors.Outcome.MAY_HAVE_RUN,
            work_id=answer.work_id,
        )
    return connect.failure(
        error.reason,
        code=error.code,
        outcome=error.outcome,
        work_id=answer.work_id,
        not_run_if_first=error.not_run_if_first,
    )
