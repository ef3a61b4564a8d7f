"""Liveness probe of a process on a new connection."""

import typing

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.protocols import basic

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.messages import links as link_messages
from _jasminewind.wire import frames

PROBE_TIMEOUT_S = 1.5


class ProbeProtocol(basic.Int32StringReceiver):
    """Reads the identity of a process and waits for one pong.

    It sends no ``Hello``, so that the probed process does not use the
    connection as a link.
    """

    # twisted defines the name.
    MAX_LENGTH = frames.MAX_FRAME_BYTES

    def __init__(self) -> None:
        self.identity: members.NodeId | None = None
        self.outcome: defer.Deferred[members.NodeId | None] = defer.Deferred()

    def connectionMade(self) -> None:  # noqa: N802
        """Send the ping."""
        self.sendString(frames.encode(link_messages.Ping(nonce=0)))

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Store the identity; finish on the pong."""
        message = frames.decode(string).unwrap_or(None)
        if isinstance(message, link_messages.Hello):
            self.identity = message.sender
        elif isinstance(message, link_messages.Pong):
            self.finish(self.identity)

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Finish without an identity."""
        self.finish(None)

    def finish(self, identity: members.NodeId | None) -> None:
        """Report the outcome once and close the connection."""
        if self.outcome.called:
            return
        self.outcome.callback(identity)
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()


def probe(
    reactor: typing.Any, to: members.NodeId, address: members.Address
) -> defer.Deferred[core.ProbeReply]:
    """Return the process that responds within ``PROBE_TIMEOUT_S``."""
    probe_protocol = ProbeProtocol()
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=PROBE_TIMEOUT_S
    )
    connecting = endpoints.connectProtocol(endpoint, probe_protocol)
    connecting.addErrback(_on_connect_failed, probe_protocol)
    reactor.callLater(PROBE_TIMEOUT_S, probe_protocol.finish, None)
    return probe_protocol.outcome.addCallback(
        lambda identity: core.ProbeReply(to=to, found=identity)
    )


def _on_connect_failed(
    failure: typing.Any, probe_protocol: ProbeProtocol
) -> None:
    failure.trap(error.ConnectError, error.ConnectionAborted)
    probe_protocol.finish(None)
