"""Responses of the HTTP server, and their encoding."""

import dataclasses
import http

from _jasminewind.platform import http_reader

PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """Status, body and further headers of a response."""

    status: int
    body: bytes = b""
    headers: http_reader.Headers = dataclasses.field(default_factory=dict)


# Retry-After is 1 s: others end, or are ended, within that time.
REFUSED_FOR_MEMORY = Response(
    status=503,
    body=b'{"error":"this entry has no memory for more requests"}',
    headers={"content-type": "application/json", "retry-after": "1"},
)


def encode(response: Response, *, close: bool) -> bytes:
    """Return the bytes of a response."""
    status = response.status
    lines = [
        f"HTTP/1.1 {status} {PHRASES.get(status, '')}",
        f"content-length: {len(response.body)}",
    ]
    if close:
        lines.append("connection: close")
    for name, value in response.headers.items():
        lines.append(f"{name}: {value}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + response.body
