"""HTTP channel that limits the size and the read time of requests."""

import collections.abc
import typing

from twisted.internet import interfaces
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from _jasminewind import errors
from _jasminewind import timers
from _jasminewind.api import connect

READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 120.0
# Lingering close: the rest of a rejected body is discarded for this long,
# because closing with unread data would reset the connection and lose the
# error response.
LINGER_S = 1.0


def early_response(error: connect.CallError) -> bytes:
    """Return the bytes of a response sent before the body has been read."""
    body = connect.encode_error(error)
    reason = http.RESPONSES.get(error.status, b"Error").decode()
    head = (
        f"HTTP/1.1 {error.status} {reason}\r\n"
        f"Content-Type: {connect.CONTENT_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


class LimitedRequest(server.Request):
    """A request whose body size is checked while it arrives."""

    received_bytes = 0

    # Twisted defines these method names.
    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Reject a declared length above the limit."""
        super().gotLength(length)
        if length is not None:
            self.reject_if_too_large(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body unless the body exceeds the limit."""
        self.received_bytes += len(data)
        if not self.reject_if_too_large(self.received_bytes):
            super().handleContentChunk(data)

    def reject_if_too_large(self, size: int) -> bool:
        """Reject a body above the limit; return whether it is rejected."""
        channel = typing.cast(LimitedChannel, self.channel)
        if channel.is_rejected:
            return True
        max_bytes = typing.cast(ApiSite, channel.site).max_body_bytes()
        if size <= max_bytes:
            return False
        channel.reject(
            connect.failure(
                f"the body has {size} bytes or more, at most {max_bytes}; "
                "send smaller payloads or fewer tasks",
                code=errors.Code.RESOURCE_EXHAUSTED,
            )
        )
        return True


class LimitedChannel(http.HTTPChannel):
    """A connection on which each request must arrive before a timeout."""

    site: server.Site
    is_rejected = False
    is_reading = False
    read_timer: timers.DelayedCall | None = None
    linger_timer: timers.DelayedCall | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start the read timeout at the first byte of a request."""
        if self.is_rejected:
            return
        if not self.is_reading and not self._handlingRequest:
            self.is_reading = True
            # The idle timeout restarts with each byte, so a client that
            # sends one byte a minute would hold a connection for ever.
            self.read_timer = self.callLater(
                READ_TIMEOUT_S, self.on_read_timeout
            )
        super().dataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """Cancel the read timeout and handle the request."""
        if self.is_rejected:
            return
        self.cancel_read_timer()
        super().allContentReceived()

    def connectionLost(self, reason: typing.Any = None) -> None:  # noqa: N802
        """Cancel the timers."""
        self.cancel_read_timer()
        if self.linger_timer is not None and self.linger_timer.active():
            self.linger_timer.cancel()
        super().connectionLost(reason)

    def cancel_read_timer(self) -> None:
        """Cancel the read timeout."""
        self.is_reading = False
        if self.read_timer is not None and self.read_timer.active():
            self.read_timer.cancel()
        self.read_timer = None

    def on_read_timeout(self) -> None:
        """Reject a request that did not arrive in time."""
        self.reject(
            connect.failure(
                f"the request did not arrive within {READ_TIMEOUT_S:g} s; "
                "send it again on a faster connection",
                code=errors.Code.DEADLINE_EXCEEDED,
            )
        )

    def reject(self, error: connect.CallError) -> None:
        """Send an error before the body is read, and close the connection."""
        if self.is_rejected or self.transport is None:
            return
        self.is_rejected = True
        self.cancel_read_timer()
        transport = typing.cast(typing.Any, self.transport)
        transport.write(early_response(error))
        if interfaces.IHalfCloseableDescriptor.providedBy(transport):
            transport.loseWriteConnection()
        self.linger_timer = self.callLater(LINGER_S, self.close_after_linger)

    def close_after_linger(self) -> None:
        """Close the connection of a rejected request."""
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).loseConnection()


class ApiSite(server.Site):
    """Site of the API; ``max_body_bytes`` is called for each request."""

    # HTTP/2 is not offered, so twisted's negotiation is not needed.
    protocol = typing.cast(typing.Any, LimitedChannel)

    def __init__(
        self,
        root: resource.IResource,
        *,
        max_body_bytes: collections.abc.Callable[[], int],
        reactor: typing.Any = None,
    ) -> None:
        super().__init__(
            root,
            requestFactory=LimitedRequest,
            timeout=IDLE_TIMEOUT_S,
            reactor=reactor,
        )
        self.max_body_bytes = max_body_bytes
        self.displayTracebacks = False

    def log(self, request: http.Request) -> None:
        """Write no access log; the decision log records what happened."""
        del request
