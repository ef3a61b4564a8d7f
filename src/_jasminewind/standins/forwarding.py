"""HTTP client helpers of the stand-ins that forward requests."""

import typing

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol as protocols
from twisted.python import failure
from twisted.web import client
from twisted.web import iweb
from zope import interface  # type: ignore[import-untyped]

from _jasminewind.platform import exchanges


@interface.implementer(iweb.IBodyProducer)
class RequestBody:
    """Request body that is written in one piece."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.length = len(data)

    # The names are those of twisted's interface.
    def startProducing(  # noqa: N802
        self, consumer: typing.Any
    ) -> defer.Deferred[None]:
        """Write the whole body."""
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""


class BodyReader(protocols.Protocol):
    """Collects a response body up to :data:`exchanges.MAX_BODY_BYTES`.

    twisted's ``readBody`` has no limit, and warns if the whole body arrives
    together with the headers.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0
        self.done: defer.Deferred[bytes] = defer.Deferred(self.abort)

    # The names are those of twisted's interface.
    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect a chunk of the body."""
        self.size += len(data)
        if self.size > exchanges.MAX_BODY_BYTES:
            self.fail(
                BodyTooLong(
                    f"the response is too long: {self.size} bytes or more"
                )
            )
            return
        self.parts.append(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocols.connectionDone
    ) -> None:
        """Fire with the body, or with the failure that truncated it."""
        if self.done.called:
            return
        if reason.check(client.ResponseDone):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)

    def fail(self, error: Exception) -> None:
        """Discard the response and close its connection."""
        self.abort(self.done)
        if not self.done.called:
            self.done.errback(error)

    def abort(self, done: defer.Deferred[bytes]) -> None:
        """Close the connection and discard the body."""
        del done
        self.parts.clear()
        transport: typing.Any = self.transport
        if transport is not None:
            transport.loseConnection()


class BodyTooLong(Exception):
    """A response body is longer than :data:`exchanges.MAX_BODY_BYTES`."""


def read_body(response: typing.Any) -> defer.Deferred[bytes]:
    """Return the whole body of ``response``."""
    reader = BodyReader()
    response.deliverBody(reader)
    return reader.done


@interface.implementer(iweb.IAgentEndpointFactory)
class IpEndpointFactory:
    """Connects to IP addresses without a name lookup."""

    def __init__(self, reactor: typing.Any) -> None:
        self.reactor = reactor

    def endpointForURI(  # noqa: N802
        self, uri: client.URI
    ) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint for the host and port of ``uri``."""
        return endpoints.TCP4ClientEndpoint(
            self.reactor,
            uri.host.decode(),
            uri.port,
            timeout=exchanges.CONNECT_TIMEOUT_S,
        )
