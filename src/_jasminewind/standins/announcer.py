"""Announces a simulated endpoint to its agent."""

import typing

from twisted.internet import defer
from twisted.internet import task

from _jasminewind import announcements
from _jasminewind.platform import http
from _jasminewind.platform import protocol
from _jasminewind.standins import server

REQUEST_TIMEOUT_S = 0.8


class Announcer:
    """Posts an announcement to the agent's local port every second."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        standin: server.StandIn,
        announcement: announcements.Announcement,
        agent_port: int,
    ) -> None:
        self.standin = standin
        self.announcement = announcement
        self.client = http.JsonClient(
            reactor=reactor, host=server.HOST, port=agent_port, connections=1
        )
        self.loop = task.LoopingCall(self.announce)
        self.loop.clock = reactor

    def start(self) -> None:
        """Announce now and every second from then on."""
        self.loop.start(announcements.ANNOUNCE_PERIOD_S)

    def announce(self) -> defer.Deferred[typing.Any] | None:
        """Announce once unless the fault ``down`` or ``silent`` is active."""
        faults = self.standin.faults
        if faults.down or faults.silent:
            return None
        return self.post(announcements.ANNOUNCE_PATH)

    def post(self, path: str) -> defer.Deferred[typing.Any]:
        """Send the announcement to ``path`` of the agent."""
        return self.client.post(
            path,
            self.announcement,
            protocol.Empty,
            timeout_s=REQUEST_TIMEOUT_S,
        )

    async def leave(self) -> None:
        """Stop announcing and tell the agent that the endpoint will exit."""
        if self.loop.running:
            self.loop.stop()
        await self.post(announcements.LEAVE_PATH)

    async def close(self) -> None:
        """Stop announcing and close the connection to the agent."""
        if self.loop.running:
            self.loop.stop()
        await self.client.close()
