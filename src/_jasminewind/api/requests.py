"""RequestService: call a method of a service, and cancel a call."""

import result

from _jasminewind.api import calls
from _jasminewind.api import submissions
from _jasminewind.api import validation
from _jasminewind.api.pb import work_pb2


class RequestService:
    """Single requests, which run on the minions of a service."""

    name = "jasminewind.v1.RequestService"

    def __init__(self, shared: submissions.Submissions) -> None:
        self.shared = shared

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
        checked = validation.call(
            request,
            config=self.shared.backend.config(),
            wall_ms=self.shared.backend.now().wall_ms,
            timeout_s=context.timeout_s,
            body_bytes=context.body_bytes,
            new_id=self.shared.new_id,
        )
        allowed = await self.shared.check(checked, client_id=request.id)
        if isinstance(allowed, result.Err):
            return result.Err(allowed.err_value)
        ran = await self.shared.run(allowed.ok_value)
        if isinstance(ran, result.Err):
            return result.Err(ran.err_value)
        output = ran.ok_value.outputs[0]
        return result.Ok(
            work_pb2.CallResponse(
                id=ran.ok_value.work_id,
                payload=validation.payload_value(output.payload),
                endpoint=output.endpoint,
                run_s=output.run_s,
            )
        )

    async def cancel(
        self, request: work_pb2.CancelRequest, context: calls.CallContext
    ) -> calls.Reply:
        """Cancel a request; cancelling one that has ended does nothing."""
        del context
        error = self.shared.cancel(request.id)
        if error is not None:
            return result.Err(error)
        return result.Ok(work_pb2.CancelResponse())
