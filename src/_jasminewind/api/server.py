"""HTTP server of an entry: remote methods and health checks."""

import collections.abc
import json
import random
import typing

import klein
import result
import structlog
from google.protobuf import message as protobuf
from twisted.internet import defer
from twisted.web import http
from twisted.web import resource
from werkzeug import exceptions

from _jasminewind import errors
from _jasminewind import timers
from _jasminewind.api import backend as backends
from _jasminewind.api import calls
from _jasminewind.api import channel
from _jasminewind.api import configs
from _jasminewind.api import connect
from _jasminewind.api import jobs
from _jasminewind.api import operations
from _jasminewind.api import requests
from _jasminewind.api import submissions

LOG = structlog.get_logger("api")
HTTP_METHOD_NOT_ALLOWED = 405


class ApiServer:
    """Serves the services of the schema, ``/healthz`` and ``/readyz``."""

    app = klein.Klein()

    def __init__(
        self,
        *,
        backend: backends.Backend,
        clock: timers.Clock,
        rng: random.Random,
    ) -> None:
        self.backend = backend
        self.clock = clock
        submitter = submissions.Submitter(
            backend=backend, clock=clock, rng=rng
        )
        proposer = configs.ConfigProposer(submitter)
        services: tuple[calls.Service, ...] = (
            jobs.JobService(submitter),
            requests.RequestService(submitter),
            configs.ConfigService(submitter, proposer),
            operations.OperationsService(submitter, proposer),
        )
        self.services = {s.name: s.methods() for s in services}

    def site(self, *, reactor: typing.Any = None) -> channel.ApiSite:
        """Return the site to listen with."""
        return channel.ApiSite(
            typing.cast(resource.IResource, self.app.resource()),
            max_body_bytes=lambda: self.backend.config().limits.max_body_bytes,
            reactor=reactor,
        )

    @app.route("/healthz", methods=["GET"])
    def healthz(self, request: http.Request) -> bytes:
        """Answer the liveness check."""
        request.setHeader("Content-Type", "text/plain")
        return b"ok\n"

    @app.route("/readyz", methods=["GET"])
    def readyz(self, request: http.Request) -> bytes:
        """Answer the readiness check of the load balancer."""
        readiness = self.backend.is_ready()
        request.setHeader("Content-Type", connect.CONTENT_TYPE)
        request.setResponseCode(200 if readiness.ready else 503)
        body = {"ready": readiness.ready, "reason": readiness.reason}
        return json.dumps(body).encode() + b"\n"

    @app.route("/<string:service>/<string:method>", methods=["POST"])
    async def call(
        self, request: http.Request, service: str, method: str
    ) -> bytes:
        """Call one remote method."""
        found = self.services.get(service, {}).get(method)
        if found is None:
            return self.write_error(
                request, self.unknown_method_error(service, method)
            )
        reply = await self.handle(request, found, method)
        if isinstance(reply, result.Err):
            return self.write_error(request, reply.err_value)
        return self.write(request, reply.ok_value)

    @app.handle_errors(exceptions.NotFound, exceptions.MethodNotAllowed)
    def handle_unknown_path(
        self, request: http.Request, failure: typing.Any
    ) -> bytes:
        """Answer a request with an unknown path or HTTP method."""
        if isinstance(failure.value, exceptions.MethodNotAllowed):
            allowed = ", ".join(sorted(failure.value.valid_methods or ()))
            request.setHeader("Allow", allowed)
            error = connect.failure(
                f"the HTTP method is not allowed; send {allowed}",
                code=errors.Code.UNIMPLEMENTED,
            )
            body = self.write_error(request, error)
            request.setResponseCode(HTTP_METHOD_NOT_ALLOWED)
            return body
        path = request.uri.decode("ascii", "replace")[:200]
        error = connect.failure(
            f"there is no {path}; see docs/api.md",
            code=errors.Code.UNIMPLEMENTED,
        )
        body = self.write_error(request, error)
        request.setResponseCode(http.NOT_FOUND)
        return body

    @app.handle_errors(exceptions.HTTPException)
    def handle_http_error(
        self, request: http.Request, failure: typing.Any
    ) -> bytes:
        """Answer any other request that cannot be routed."""
        error = connect.failure(f"{failure.value.name}; see docs/api.md")
        return self.write_error(request, error)

    def unknown_method_error(
        self, service: str, method: str
    ) -> connect.CallError:
        """Return the error for an unknown service or method."""
        if service not in self.services:
            names: collections.abc.Collection[str] = self.services
            return connect.failure(
                f"there is no service {service[:100]!r}"
                + connect.suggestion(service, list(names)),
                code=errors.Code.UNIMPLEMENTED,
            )
        names = self.services[service]
        return connect.failure(
            f"{service} has no method {method[:100]!r}"
            + connect.suggestion(method, list(names)),
            code=errors.Code.UNIMPLEMENTED,
        )

    async def handle(
        self, request: http.Request, method: calls.Method, name: str
    ) -> calls.Reply:
        """Check and decode a request, and call its handler."""
        for error in (
            connect.check_content_type(request.getHeader("Content-Type")),
            connect.check_encoding(request.getHeader("Content-Encoding")),
            connect.check_version(request.getHeader(connect.VERSION_HEADER)),
        ):
            if error is not None:
                return result.Err(error)
        timeout = connect.parse_timeout(
            request.getHeader(connect.TIMEOUT_HEADER)
        )
        if isinstance(timeout, result.Err):
            return result.Err(timeout.err_value)
        body = request.content.read() if request.content else b""
        decoded = connect.decode(body, method.request)
        if isinstance(decoded, result.Err):
            return result.Err(decoded.err_value)
        context = calls.CallContext(
            timeout_s=timeout.ok_value, body_bytes=len(body)
        )
        try:
            return await self.run(method, decoded.ok_value, context)
        except defer.CancelledError:
            # The caller disconnected.
            raise
        except Exception as e:
            LOG.error("handler failed", method=name, exc_info=e)
            return result.Err(
                connect.failure(
                    f"internal error in {name}: {type(e).__name__}; see the "
                    "log of the entry",
                    code=errors.Code.INTERNAL,
                    outcome=errors.Outcome.MAY_HAVE_RUN,
                )
            )

    async def run(
        self,
        method: calls.Method,
        message: protobuf.Message,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Run a handler, with the caller's timeout if it has none itself."""
        if method.has_own_timeout or context.timeout_s is None:
            return await method.handler(message, context)
        source = defer.Deferred.fromCoroutine(method.handler(message, context))
        reply = await calls.with_timeout(self.clock, source, context.timeout_s)
        if isinstance(reply, calls.TimedOut):
            return result.Err(
                connect.failure(
                    f"the call did not finish within {context.timeout_s:g} s",
                    code=errors.Code.DEADLINE_EXCEEDED,
                    outcome=errors.Outcome.MAY_HAVE_RUN,
                )
            )
        return reply

    def write(self, request: http.Request, message: protobuf.Message) -> bytes:
        """Return the body of a successful response."""
        body = connect.encode(message)
        request.setHeader("Content-Type", connect.CONTENT_TYPE)
        request.setHeader("Content-Length", str(len(body)))
        return body

    def write_error(
        self, request: http.Request, error: connect.CallError
    ) -> bytes:
        """Return the body of an error response."""
        request.setHeader("Content-Type", connect.CONTENT_TYPE)
        request.setResponseCode(error.status)
        if error.status == http.UNSUPPORTED_MEDIA_TYPE:
            request.setHeader("Accept-Post", connect.CONTENT_TYPE)
        body = connect.encode_error(error)
        request.setHeader("Content-Length", str(len(body)))
        return body
