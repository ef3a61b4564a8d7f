"""HTTP port of an agent for heartbeats of its endpoint."""

from _jasminewind import job_settings
from _jasminewind import odd_input
from _jasminewind.decisions.jobs import endpoint_selection
from _jasminewind.nodes import job_agent
from _jasminewind.platform import bodies
from _jasminewind.platform import http_server


class Control(http_server.Handler):
    """Handles heartbeats and leave notices of the endpoint."""

    def __init__(
        self, agent: job_agent.JobAgent, odd: odd_input.OddInput
    ) -> None:
        self.agent = agent
        self.odd = odd

    def handle(self, request: http_server.Request) -> None:
        """Handle one call of the endpoint."""
        request.respond(
            http_server.Response(
                status=self.status(request),
                body=b"{}",
                headers={"content-type": bodies.JSON_TYPE},
            )
        )

    def status(self, request: http_server.Request) -> int:
        """Handle one call, and return the status of its response."""
        path = request.path
        if request.method != "POST":
            return 405
        if path.startswith(bodies.HEARTBEAT_PREFIX):
            return self.heartbeat(
                path.removeprefix(bodies.HEARTBEAT_PREFIX), request
            )
        if path.startswith(bodies.LEAVE_PREFIX):
            return self.leave(path.removeprefix(bodies.LEAVE_PREFIX))
        return 404

    def leave(self, name: str) -> int:
        """Handle the notice of an endpoint that it leaves."""
        if not 0 < len(name) <= bodies.MAX_NAME_CHARS:
            return 400
        self.agent.on_endpoint_left(name)
        return 200

    def heartbeat(self, name: str, request: http_server.Request) -> int:
        """Handle a heartbeat; an invalid one announces no endpoint."""
        if not 0 < len(name) <= bodies.MAX_NAME_CHARS:
            return 400
        body = bodies.decode(request.body, bodies.HeartbeatBody)
        if body.is_err():
            reason = body.unwrap_err().reason
            self.odd.report("heartbeat", name, reason)
            return 400
        heartbeat = body.unwrap()
        address = job_settings.address(heartbeat.address)
        if address is None:
            reason = f"no endpoint can listen at {heartbeat.address!r}"
            self.odd.report("heartbeat", name, reason)
            return 400
        remaining_s = heartbeat.drain_remaining_s()
        if remaining_s.is_err():
            reason = f"drain-remaining-ms: {remaining_s.unwrap_err().reason}"
            self.odd.report("heartbeat", name, reason)
        self.agent.on_announcement(
            endpoint_selection.Announcement(
                record=heartbeat.to_record(name),
                address=address,
                sequence=heartbeat.sequence,
                clock_ms=heartbeat.clock_ms,
                is_draining=heartbeat.state == "draining",
                drain_remaining_s=remaining_s.unwrap_or(None),
            )
        )
        return 200
