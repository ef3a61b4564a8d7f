"""Loopback TCP proxy that injects network faults."""

import enum

from twisted.internet import endpoints
from twisted.internet import protocol

HOST = "127.0.0.1"


class Direction(enum.Enum):
    """Direction in which data passes the proxy."""

    TO_SERVER = "to the server"
    TO_CLIENT = "to the client"


class Pipe(protocol.Protocol):
    """One end of a proxied connection."""

    def __init__(self, proxy, direction, other=None):
        self.proxy = proxy
        self.direction = direction
        self.other = other
        self.buffered = []
        self.is_silent = False

    def connectionMade(self):  # noqa: N802
        """Connect the two ends, or refuse the client if told to."""
        self.proxy.pipes.add(self)
        if self.direction is Direction.TO_SERVER:
            if self.proxy.refuses_connections:
                self.transport.abortConnection()
                return
            self.proxy.connect_server(self)
        else:
            self.other.server_connected(self)

    def server_connected(self, other):
        """Send the data that arrived before the server connected."""
        self.other = other
        buffered, self.buffered = self.buffered, []
        for data in buffered:
            self.dataReceived(data)

    def dataReceived(self, data):  # noqa: N802
        """Forward data; delay or drop it if a fault is active."""
        if self.is_silent or self.direction in self.proxy.dropped_directions:
            return
        if self.other is None:
            self.buffered.append(data)
            return
        if self.direction is Direction.TO_CLIENT:
            data = data.replace(*self.proxy.rewrite)
        if self.proxy.delay_s:
            self.proxy.reactor.callLater(
                self.proxy.delay_s, self.forward, data
            )
        else:
            self.forward(data)

    def forward(self, data):
        """Write to the other end if it is still connected."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def connectionLost(self, reason=None):  # noqa: N802
        """Close the other end too, unless the connection is blackholed."""
        del reason
        self.proxy.pipes.discard(self)
        other, self.other = self.other, None
        if other is not None and not self.is_silent:
            other.transport.loseConnection()


class Proxy(protocol.Factory):
    """Listens on its own port in front of one server.

    ``rewrite`` replaces bytes from the server by others of the same length,
    so that a server that sends its own address names the proxy instead.
    """

    noisy = False

    def __init__(self, reactor, port, server_port, *, rewrite=(b"", b"")):
        self.reactor = reactor
        self.port = port
        self.server_port = server_port
        self.rewrite = rewrite if rewrite[0] else (b"\0\0\0", b"\0\0\0")
        self.pipes = set()
        self.listener = None
        self.clear_faults()

    def clear_faults(self):
        """Forward all data again; blackholed connections stay so."""
        self.dropped_directions = frozenset()
        self.refuses_connections = False
        self.delay_s = 0.0

    async def start(self):
        """Start to listen."""
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor, self.port, interface=HOST, backlog=256
        )
        self.listener = await endpoint.listen(self)

    def stop(self):
        """Close the port and every connection."""
        self.listener.stopListening()
        self.reset()

    def buildProtocol(self, addr):  # noqa: N802
        """Return the client's end of a new connection."""
        del addr
        return Pipe(self, Direction.TO_SERVER)

    def connect_server(self, client):
        """Connect a client's end to the server."""
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor, HOST, self.server_port, timeout=2
        )
        server = Pipe(self, Direction.TO_CLIENT, client)
        connecting = endpoints.connectProtocol(endpoint, server)
        connecting.addErrback(lambda _: client.transport.abortConnection())

    def reset(self):
        """Reset every connection."""
        for pipe in list(self.pipes):
            pipe.transport.abortConnection()

    def silence(self):
        """Blackhole all open connections; new ones work."""
        for pipe in list(self.pipes):
            pipe.is_silent = True
