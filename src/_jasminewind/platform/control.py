"""HTTP port of an agent for heartbeats of its endpoint."""

import typing

import structlog
from twisted.web import resource
from twisted.web import server

from _jasminewind import job_settings
from _jasminewind import sites
from _jasminewind.nodes import job_agent
from _jasminewind.platform import bodies

# The platform's limit for one heartbeat.
MAX_BODY_BYTES = 4 << 20


class ControlResource(resource.Resource):
    """Handles heartbeats and leave notices of the endpoint."""

    isLeaf = True

    def __init__(self, agent: job_agent.JobAgent) -> None:
        super().__init__()
        self.agent = agent
        self.log = structlog.get_logger("control")

    # twisted defines the name.
    def render_POST(self, request: typing.Any) -> bytes:  # noqa: N802
        """Handle one call of the endpoint."""
        request.setHeader("Content-Type", bodies.JSON_TYPE)
        path = request.path.decode(errors="replace")
        if path.startswith(bodies.HEARTBEAT_PREFIX):
            name = path[len(bodies.HEARTBEAT_PREFIX) :]
            return self.heartbeat(request, name)
        if path.startswith(bodies.LEAVE_PREFIX):
            self.agent.on_endpoint_left(path[len(bodies.LEAVE_PREFIX) :])
            return b"{}"
        request.setResponseCode(404)
        return b"{}"

    def heartbeat(self, request: typing.Any, name: str) -> bytes:
        """Handle a heartbeat; an invalid one announces no endpoint."""
        data = request.content.read(MAX_BODY_BYTES + 1)
        body = bodies.decode(data, bodies.HeartbeatBody)
        if body.is_err():
            request.setResponseCode(400)
            self.log.warning(
                "unreadable heartbeat",
                endpoint=name,
                reason=body.unwrap_err().reason,
            )
            return b"{}"
        heartbeat = body.unwrap()
        address = job_settings.address(heartbeat.address)
        if address is None:
            request.setResponseCode(400)
            self.log.warning(
                "heartbeat without a usable address",
                endpoint=name,
                address=heartbeat.address[:100],
            )
            return b"{}"
        self.agent.on_announcement(
            job_agent.Announcement(
                record=heartbeat.to_record(name),
                address=address,
                sequence=heartbeat.sequence,
                clock_ms=heartbeat.clock_ms,
                is_draining=heartbeat.state == "draining",
            )
        )
        return b"{}"


def site(agent: job_agent.JobAgent) -> server.Site:
    """Return the server factory of the control port."""
    return sites.quiet_site(ControlResource(agent))
