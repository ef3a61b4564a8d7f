"""Announcements of an endpoint to its agent over local HTTP."""

import dataclasses

import msgspec
import result

from _jasminewind import errors
from _jasminewind import json_input
from _jasminewind import members
from _jasminewind import resources

ANNOUNCE_PATH = "/v1/announce"
LEAVE_PATH = "/v1/leave"
ANNOUNCE_PERIOD_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """An endpoint's :class:`members.Endpoint` fields and its port.

    ``port`` is the endpoint's TCP port on the agent's host. The same body is
    sent to the announce path and, when the endpoint exits, to the leave path.
    """

    name: str
    kind: members.EndpointKind
    port: int
    service: str = ""
    capacity: resources.Resources = resources.NOTHING
    connections: int = 0

    def endpoint(self) -> members.Endpoint:
        """Return the announced endpoint."""
        return members.Endpoint(
            name=self.name,
            kind=self.kind,
            service=self.service,
            capacity=self.capacity,
            connections=self.connections,
        )


DECODER = msgspec.json.Decoder(Announcement)


def decode(body: bytes) -> result.Result[Announcement, errors.WireError]:
    """Decode and check an announcement."""
    try:
        announcement = DECODER.decode(body)
    except json_input.MALFORMED as e:
        return result.Err(
            errors.WireError(reason=f"malformed announcement: {e}")
        )
    if not members.is_valid_port(announcement.port):
        return result.Err(
            errors.WireError(
                reason=(
                    f"port {announcement.port} is not a TCP port "
                    "(1 to 65535)"
                )
            )
        )
    return result.Ok(announcement)
