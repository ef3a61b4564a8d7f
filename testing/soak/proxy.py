"""A loopback proxy that delays, resets, silences and refuses."""

import enum

from twisted.internet import endpoints
from twisted.internet import protocol

HOST = "127.0.0.1"


class Way(enum.Enum):
    """Directions in which bytes may be swallowed."""

    UP = "to the server"
    DOWN = "to the client"


class Pipe(protocol.Protocol):
    """One end of a proxied connection."""

    def __init__(self, proxy, way, other=None):
        self.proxy = proxy
        self.way = way
        self.other = other
        self.early = []
        self.is_silent = False

    def connectionMade(self):  # noqa: N802
        """Join the two ends; refuse the client if the proxy does."""
        self.proxy.pipes.add(self)
        if self.way is Way.UP:
            if self.proxy.refuses:
                self.transport.abortConnection()
                return
            self.proxy.dial(self)
        else:
            self.other.joined(self)

    def joined(self, other):
        """Send what arrived before the server was reached."""
        self.other = other
        early, self.early = self.early, []
        for data in early:
            self.dataReceived(data)

    def dataReceived(self, data):  # noqa: N802
        """Pass data on, later or never if a fault says so."""
        if self.is_silent or self.way in self.proxy.swallowed:
            return
        if self.other is None:
            self.early.append(data)
            return
        if self.way is Way.DOWN:
            data = data.replace(*self.proxy.rewrite)
        if self.proxy.delay_s:
            self.proxy.reactor.callLater(
                self.proxy.delay_s, self.pass_on, data
            )
        else:
            self.pass_on(data)

    def pass_on(self, data):
        """Write to the other end if it is still there."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def connectionLost(self, reason=None):  # noqa: N802
        """Close the other end too, unless the connection is silent."""
        del reason
        self.proxy.pipes.discard(self)
        other, self.other = self.other, None
        if other is not None and not self.is_silent:
            other.transport.loseConnection()


class Proxy(protocol.Factory):
    """Listens on a port of its own in front of one server.

    ``rewrite`` replaces bytes of the server by as many others, so that a
    server that tells its own address names the proxy instead.
    """

    noisy = False

    def __init__(self, reactor, port, server_port, *, rewrite=(b"", b"")):
        self.reactor = reactor
        self.port = port
        self.server_port = server_port
        self.rewrite = rewrite if rewrite[0] else (b"\0\0\0", b"\0\0\0")
        self.pipes = set()
        self.listening = None
        self.heal()

    def heal(self):
        """Pass everything on; connections that are silent stay so."""
        self.swallowed = frozenset()
        self.refuses = False
        self.delay_s = 0.0

    async def start(self):
        """Listen."""
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor, self.port, interface=HOST, backlog=256
        )
        self.listening = await endpoint.listen(self)

    def stop(self):
        """Close the port and every connection."""
        self.listening.stopListening()
        self.reset()

    def buildProtocol(self, addr):  # noqa: N802
        """Return the client's end of a new connection."""
        del addr
        return Pipe(self, Way.UP)

    def dial(self, client):
        """Connect a client's end to the server."""
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor, HOST, self.server_port, timeout=2
        )
        server = Pipe(self, Way.DOWN, client)
        dialling = endpoints.connectProtocol(endpoint, server)
        dialling.addErrback(lambda _: client.transport.abortConnection())

    def reset(self):
        """Reset every connection."""
        for pipe in list(self.pipes):
            pipe.transport.abortConnection()

    def silence(self):
        """Let every open connection go silent; new ones work."""
        for pipe in list(self.pipes):
            pipe.is_silent = True
