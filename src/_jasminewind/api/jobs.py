"""JobService: submit, get and cancel jobs."""

import result

from _jasminewind import errors
from _jasminewind import ids
from _jasminewind.api import calls
from _jasminewind.api import connect
from _jasminewind.api import submissions
from _jasminewind.api import validation
from _jasminewind.api.pb import errors_pb2
from _jasminewind.api.pb import work_pb2
from _jasminewind.messages import work


class JobService:
    """Runs jobs of one or more tasks on workers."""

    name = "jasminewind.v1.JobService"

    def __init__(self, submitter: submissions.Submitter) -> None:
        self.submitter = submitter

    def methods(self) -> dict[str, calls.Method]:
        """Return the methods by name."""
        return {
            "SubmitJob": calls.Method(
                request=work_pb2.SubmitJobRequest,
                handler=self.submit_job,
                has_own_timeout=True,
            ),
            "GetJob": calls.Method(
                request=work_pb2.GetJobRequest, handler=self.get_job
            ),
            "CancelJob": calls.Method(
                request=work_pb2.CancelJobRequest, handler=self.cancel_job
            ),
        }

    async def submit_job(
        self, request: work_pb2.SubmitJobRequest, context: calls.CallContext
    ) -> calls.Reply:
        """Run a job; return its answer, or its state if it is detached."""
        validated = validation.submit_job(
            request,
            config=self.submitter.backend.config(),
            wall_ms=self.submitter.backend.now().wall_ms,
            timeout_s=context.timeout_s,
            body_bytes=context.body_bytes,
            new_id=self.submitter.new_id,
        )
        admitted = await self.submitter.admit(validated, client_id=request.id)
        if isinstance(admitted, result.Err):
            return result.Err(admitted.err_value)
        submit = admitted.ok_value
        if request.detach:
            accepted = await self.submitter.submit_detached(submit)
            return accepted.map(
                lambda state: work_pb2.SubmitJobResponse(
                    id=submit.work_id, state=state_value(state)
                )
            )
        answer = await self.submitter.submit_and_wait(submit)
        return answer.map(
            lambda a: work_pb2.SubmitJobResponse(
                id=a.work_id,
                state=state_value(a.state),
                outputs=outputs(a),
            )
        )

    async def get_job(
        self, request: work_pb2.GetJobRequest, context: calls.CallContext
    ) -> calls.Reply:
        """Return the state of a job, and its answer once it has ended."""
        del context
        error = validation.check_work_id(
            request.id, wall_ms=self.submitter.backend.now().wall_ms
        )
        if error is not None:
            return result.Err(error)
        work_id = ids.parse(request.id).unwrap()
        found = await self.submitter.query(
            work_id, submissions.QUERY_TIMEOUT_S
        )
        if isinstance(found, result.Err):
            return result.Err(found.err_value)
        status = found.ok_value
        if status.state is work.WorkState.UNKNOWN:
            return result.Err(unknown_id_error(status))
        return result.Ok(get_response(status))

    async def cancel_job(
        self, request: work_pb2.CancelJobRequest, context: calls.CallContext
    ) -> calls.Reply:
        """Cancel a job; do nothing if it has ended."""
        del context
        error = self.submitter.cancel(request.id)
        if error is not None:
            return result.Err(error)
        return result.Ok(work_pb2.CancelJobResponse())


def unknown_id_error(status: work.WorkStatus) -> connect.CallError:
    """Return the error for an id unknown to all processes."""
    return connect.failure(
        "no process knows this id; it was not submitted, or it ended more "
        "than 10 min ago, or its owner was replaced; submit it again with "
        "the same id, which never runs a task twice",
        code=errors.Code.NOT_FOUND,
        outcome=errors.Outcome.MAY_HAVE_RUN,
        field="id",
        work_id=status.work_id,
    )


def get_response(status: work.WorkStatus) -> work_pb2.GetJobResponse:
    """Convert the state of a job to a message."""
    response = work_pb2.GetJobResponse(
        id=status.work_id,
        state=state_value(status.state),
        tasks_total=status.tasks_total,
        tasks_done=status.tasks_done,
    )
    answer = status.answer
    if answer is None:
        return response
    if answer.state is work.WorkState.COMPLETE:
        response.outputs.extend(outputs(answer))
    else:
        detail = submissions.answer_error(answer).details[0]
        assert isinstance(detail, errors_pb2.FailureDetail)
        response.failure.CopyFrom(detail)
    return response


def outputs(answer: work.Answer) -> list[work_pb2.TaskOutput]:
    """Convert the outputs of a complete answer to messages."""
    return [
        work_pb2.TaskOutput(
            name=output.name,
            payload=validation.payload_value(output.payload),
            endpoint=output.endpoint,
            run_s=output.run_s,
        )
        for output in answer.outputs
    ]


def state_value(state: work.WorkState) -> work_pb2.WorkState.ValueType:
    """Return the protobuf value of a state."""
    return work_pb2.WorkState.Value(state.name)
