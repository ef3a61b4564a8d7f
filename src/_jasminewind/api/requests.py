"""RequestService: call a method of a service and cancel a call."""

import result

from _jasminewind.api import calls
from _jasminewind.api import submissions
from _jasminewind.api import validation
from _jasminewind.api.pb import work_pb2


class RequestService:
    """Runs single requests on the minions of a service."""

    name = "jasminewind.v1.RequestService"

    def __init__(self, submitter: submissions.Submitter) -> None:
        self.submitter = submitter

    def methods(self) -> dict[str, calls.Method]:
        """Return the methods by name."""
        return {
            "Call": calls.Method(
                request=work_pb2.CallRequest,
                handler=self.call,
                has_own_timeout=True,
            ),
            "Cancel": calls.Method(
                request=work_pb2.CancelRequest, handler=self.cancel
            ),
        }

    async def call(
        self, request: work_pb2.CallRequest, context: calls.CallContext
    ) -> calls.Reply:
        """Run one request and return its answer."""
        validated = validation.call(
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
        answer = await self.submitter.submit_and_wait(admitted.ok_value)
        if isinstance(answer, result.Err):
            return result.Err(answer.err_value)
        output = answer.ok_value.outputs[0]
        return result.Ok(
            work_pb2.CallResponse(
                id=answer.ok_value.work_id,
                payload=validation.payload_value(output.payload),
                endpoint=output.endpoint,
                run_s=output.run_s,
            )
        )

    async def cancel(
        self, request: work_pb2.CancelRequest, context: calls.CallContext
    ) -> calls.Reply:
        """Cancel a request; do nothing if it has ended."""
        del context
        error = self.submitter.cancel(request.id)
        if error is not None:
            return result.Err(error)
        return result.Ok(work_pb2.CancelResponse())
