"""Simulated load balancer with health checks in front of the entries."""

import typing

from twisted.internet import defer
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers
from twisted.web import server

from _jasminewind import members
from _jasminewind.platform import exchanges
from _jasminewind.platform import http
from _jasminewind.platform import protocol
from _jasminewind.standins import forwarding
from _jasminewind.standins import server as standin_server

HEALTH_PERIOD_S = 0.5
HEALTH_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 120.0
MAX_CONNECTIONS_PER_ENTRY = 64
FORWARDED_HEADERS = (
    b"content-type",
    b"connect-protocol-version",
    b"connect-timeout-ms",
    b"accept",
)


class BalancerStandIn(standin_server.StandIn):
    """Forwards calls to the healthy entries in round-robin order.

    A call that was certainly not sent is retried at another entry. With
    ``resend``, so is a call whose connection broke before the response;
    it can run twice if the entries do not deduplicate ids.
    """

    def __init__(
        self,
        *,
        reactor: typing.Any,
        name: str = "balancer",
        port: int = 0,
        control_port: int = 0,
        entries: tuple[members.Address, ...],
        health_path: str = protocol.HEALTH_PATH,
        resend: bool = False,
    ) -> None:
        super().__init__(
            reactor=reactor, name=name, port=port, control_port=control_port
        )
        self.entries = entries
        self.health_path = health_path
        self.resend = resend
        self.healthy = set(entries)
        self.next_index = 0
        self.pool = client.HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False
        self.pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_ENTRY
        self.pool.cachedConnectionTimeout = exchanges.IDLE_CONNECTION_S
        self.agent = client.Agent.usingEndpointFactory(
            reactor, forwarding.IpEndpointFactory(reactor), pool=self.pool
        )
        self.health_loop = task.LoopingCall(self.check_all)
        self.health_loop.clock = reactor

    def open(self) -> None:
        """Open the ports and start the health checks."""
        super().open()
        self.health_loop.start(HEALTH_PERIOD_S)

    async def close(self) -> None:
        """Stop the health checks and close all connections."""
        if self.health_loop.running:
            self.health_loop.stop()
        await super().close()
        await self.pool.closeCachedConnections()

    # Health checks.

    def check_all(self) -> defer.Deferred[typing.Any]:
        """Run the health check of every entry."""
        return defer.gatherResults(
            [
                defer.ensureDeferred(self.check_health(entry))
                for entry in self.entries
            ]
        )

    async def check_health(self, entry: members.Address) -> None:
        """Mark an entry as healthy if its health check returns 200."""
        call = self.agent.request(b"GET", url(entry, self.health_path))
        call.addTimeout(HEALTH_TIMEOUT_S, self.reactor)
        try:
            response = await call
            body = forwarding.read_body(response)
            await body.addTimeout(HEALTH_TIMEOUT_S, self.reactor)
        except Exception:
            self.healthy.discard(entry)
            return
        if response.code == protocol.OK:
            self.healthy.add(entry)
        else:
            self.healthy.discard(entry)

    # Forwarding.

    async def serve(
        self, request: server.Request, path: str, body: bytes
    ) -> None:
        """Forward a call unless a fault of the balancer is active."""
        faults = self.faults
        if faults.delay_s or faults.freeze or faults.refuse or faults.fail:
            await super().serve(request, path, body)
            return
        await self.forward(request, body)

    async def forward(self, request: server.Request, body: bytes) -> None:
        """Try healthy entries until one responds or a response is lost."""
        tried: set[members.Address] = set()
        while True:
            entry = self.next_entry(tried)
            if entry is None:
                standin_server.send_reply(
                    request,
                    standin_server.not_run_reply(
                        "no healthy entry accepts the call"
                    ),
                )
                return
            tried.add(entry)
            try:
                response = await self.send(entry, request, body)
                data = await forwarding.read_body(response)
            except (*http.NOT_SENT_ERRORS, client.RequestNotSent):
                self.healthy.discard(entry)
                continue
            except Exception as e:
                if self.resend:
                    continue
                standin_server.send_reply(
                    request,
                    standin_server.Reply(
                        status=protocol.BAD_GATEWAY,
                        body=protocol.Refused(
                            reason=f"no response from the entry: {e!r}"[:300]
                        ),
                    ),
                )
                return
            relay_response(request, response, data)
            return

    def send(
        self, entry: members.Address, request: server.Request, body: bytes
    ) -> defer.Deferred[typing.Any]:
        """Send a call to ``entry`` without retries."""
        headers = http_headers.Headers()
        for name in FORWARDED_HEADERS:
            values = request.requestHeaders.getRawHeaders(name)
            if values:
                headers.setRawHeaders(name, values)
        call = self.agent.request(
            request.method,
            url(entry, request.uri.decode("latin-1")),
            headers,
            forwarding.RequestBody(body) if body else None,
        )
        return call.addTimeout(CALL_TIMEOUT_S, self.reactor)

    def next_entry(
        self, tried: set[members.Address]
    ) -> members.Address | None:
        """Return the next healthy entry that is not in ``tried``."""
        for _ in self.entries:
            entry = self.entries[self.next_index % len(self.entries)]
            self.next_index += 1
            if entry in self.healthy and entry not in tried:
                return entry
        return None


def url(entry: members.Address, path: str) -> bytes:
    """Return the URL of ``path`` at ``entry``."""
    return f"http://{entry.host}:{entry.port}{path}".encode()


def relay_response(
    request: server.Request, response: typing.Any, data: bytes
) -> None:
    """Send an entry's response to the caller unless it has disconnected."""
    if request.finished or getattr(request, "_disconnected", False):
        return
    request.setResponseCode(response.code)
    for value in response.headers.getRawHeaders(b"content-type") or ():
        request.setHeader(b"content-type", value)
    request.setHeader(b"content-length", str(len(data)).encode())
    request.write(data)
    request.finish()
