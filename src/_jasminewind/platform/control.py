"""The port on which the endpoint beside an agent announces itself."""

import typing

import structlog
from twisted.web import resource
from twisted.web import server

from _jasminewind import job_settings
from _jasminewind import sites
from _jasminewind.nodes import job_agent
from _jasminewind.platform import bodies

# The platform's limit on one announcement.
MAX_BODY_BYTES = 4 << 20


class ControlResource(resource.Resource):
    """Takes heartbeats and departures."""

    isLeaf = True

    def __init__(self, owner: job_agent.JobAgent) -> None:
        super().__init__()
        self.owner = owner
        self.log = structlog.get_logger("control")

    # The name is twisted's.
    def render_POST(self, request: typing.Any) -> bytes:  # noqa: N802
        """Answer one call of the endpoint."""
        request.setHeader("Content-Type", bodies.JSON_TYPE)
        path = request.path.decode(errors="replace")
        if path.startswith(bodies.BEAT_PREFIX):
            name = path[len(bodies.BEAT_PREFIX) :]
            return self.beat(request, name)
        if path.startswith(bodies.LEAVE_PREFIX):
            self.owner.on_endpoint_left(path[len(bodies.LEAVE_PREFIX) :])
            return b"{}"
        request.setResponseCode(404)
        return b"{}"

    def beat(self, request: typing.Any, name: str) -> bytes:
        """Take one heartbeat; one that cannot be read names no endpoint."""
        data = request.content.read(MAX_BODY_BYTES + 1)
        body = bodies.decode(data, bodies.BeatBody)
        if body.is_err():
            request.setResponseCode(400)
            self.log.warning(
                "unreadable heartbeat",
                endpoint=name,
                reason=body.unwrap_err().reason,
            )
            return b"{}"
        found = body.unwrap()
        address = job_settings.address(found.address)
        if address is None:
            request.setResponseCode(400)
            self.log.warning(
                "heartbeat without a usable address",
                endpoint=name,
                address=found.address[:100],
            )
            return b"{}"
        self.owner.on_announcement(
            job_agent.Announcement(
                record=found.record(name),
                address=address,
                sequence=found.sequence,
                clock_ms=found.clock_ms,
                is_draining=found.state == "draining",
            )
        )
        return b"{}"


def site(owner: job_agent.JobAgent) -> server.Site:
    """Return the factory to listen with."""
    return sites.quiet_site(ControlResource(owner))
