"""Local HTTP port of a process: announcements, health and status."""

import collections.abc
import typing

import msgspec
from twisted.web import resource
from twisted.web import server

from _jasminewind import announcements
from _jasminewind import sites

MAX_BODY_BYTES = 16 << 10


class HealthResource(resource.Resource):
    """Serves a health check; ``check`` returns why it fails, or ''."""

    isLeaf = True

    def __init__(self, check: collections.abc.Callable[[], str]) -> None:
        super().__init__()
        self.check = check

    # Twisted defines the names of the render methods.
    def render_GET(self, request: typing.Any) -> bytes:  # noqa: N802
        """Return 200, or 503 with the reason."""
        reason = self.check()
        request.setResponseCode(503 if reason else 200)
        request.setHeader("Content-Type", "text/plain")
        return f"{reason or 'ok'}\n".encode()


class AnnounceResource(resource.Resource):
    """Receives announcements of the endpoint."""

    isLeaf = True

    def __init__(
        self,
        handle: collections.abc.Callable[[announcements.Announcement], None],
    ) -> None:
        super().__init__()
        self.handle = handle

    def render_POST(self, request: typing.Any) -> bytes:  # noqa: N802
        """Decode one announcement and pass it to the handler."""
        request.setHeader("Content-Type", "application/json")
        body = request.content.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            request.setResponseCode(413)
            return msgspec.json.encode({"error": "body above 16 KiB"})
        decoded = announcements.decode(body)
        if decoded.is_err():
            request.setResponseCode(400)
            reason = decoded.unwrap_err().reason
            return msgspec.json.encode({"error": reason})
        self.handle(decoded.unwrap())
        return b"{}"


class StatusResource(resource.Resource):
    """Serves the status of this process to operators, as JSON."""

    isLeaf = True

    def __init__(self, read: collections.abc.Callable[[], object]) -> None:
        super().__init__()
        self.read = read

    def render_GET(self, request: typing.Any) -> bytes:  # noqa: N802
        """Return the status."""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self.read())


class StatusOverlay(resource.Resource):
    """Adds ``/v1/status`` to the API resource of an entry."""

    def __init__(self, *, api: resource.Resource, read: typing.Any) -> None:
        super().__init__()
        self.api = api
        version = resource.Resource()
        add_child(version, b"status", StatusResource(read))
        add_child(self, b"v1", version)

    # Twisted defines the name.
    def getChild(  # noqa: N802
        self, path: bytes, request: typing.Any
    ) -> resource.Resource:
        """Route every other path to the API, unchanged."""
        request.prepath.pop()
        request.postpath.insert(0, path)
        return self.api


def add_child(parent: resource.Resource, name: bytes, child: object) -> None:
    """Add a child resource; twisted declares its interface untyped."""
    parent.putChild(name, typing.cast(typing.Any, child))


def site(
    *,
    on_announcement: collections.abc.Callable[
        [announcements.Announcement], None
    ],
    on_leave: collections.abc.Callable[[], None],
    unready_reason: collections.abc.Callable[[], str],
    status: collections.abc.Callable[[], object],
) -> server.Site:
    """Return the site that serves the local paths of an agent."""
    version = resource.Resource()
    add_child(version, b"announce", AnnounceResource(on_announcement))
    add_child(
        version, b"leave", AnnounceResource(lambda announcement: on_leave())
    )
    add_child(version, b"status", StatusResource(status))
    root = resource.Resource()
    add_child(root, b"v1", version)
    add_child(root, b"healthz", HealthResource(lambda: ""))
    add_child(root, b"readyz", HealthResource(unready_reason))
    return sites.quiet_site(root)
