"""Clients that make a process keep as much as they may, on plain sockets.

They run in the thread of the test, beside the reactor of the fakes.
"""

import contextlib
import itertools
import pathlib
import socket

HOST = "127.0.0.1"
# A client that the process neither reads nor ends gives up after this time.
SEND_LIMIT_S = 10.0
HEADER_BYTES = 16_384
BODY_BYTES = 262_144
QUEUE_LINE = b"POST /quotes/%016x HTTP/1.1\r\nHost: orders.example\r\n"
# Characters of names of which a process keeps each in an object.
NAME_CHARS = b"abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"


class Crowd:
    """Open connections to one port, and what was sent on them."""

    def __init__(self, port):
        self.port = port
        self.sockets = []

    def send(self, parts):
        """Send parts on a new connection, which stays open.

        The process may refuse or end the connection at any point.
        """
        client = socket.socket()
        client.settimeout(SEND_LIMIT_S)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # What the process cannot send, it has to keep.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client.connect((HOST, self.port))
        self.sockets.append(client)
        with contextlib.suppress(OSError):
            for part in parts:
                client.sendall(part)

    def close(self):
        """Close all connections."""
        for client in self.sockets:
            client.close()


def short_lines():
    """Return header lines of three characters each, within the limit."""
    return distinct_lines(b"")


def odd_lines():
    """Return header lines with values of two characters beyond ASCII."""
    return distinct_lines(b"\xfe\xff")


def distinct_lines(value):
    """Return lines of different short names, within the limit of bytes."""
    lines = []
    size = 0
    for name in itertools.product(NAME_CHARS, repeat=3):
        line = bytes(name) + b":" + value + b"\r\n"
        size += len(line)
        if size > HEADER_BYTES - 200:
            break
        lines.append(line)
    return b"".join(lines)


def with_lines(line, lines):
    """Return a request with these header lines, all but its last byte."""
    return [line + lines + b"Content-Length: 9\r\n\r\n12345678"]


def body_parts(line, size, part_bytes, *, stops_short):
    """Return a request with a body in parts of this size."""
    head = line + b"Content-Length: %d\r\n\r\n" % size
    size -= stops_short
    parts = [
        b"x" * min(part_bytes, size - start)
        for start in range(0, size, part_bytes)
    ]
    return [head, *parts]


def chunked(line, size, chunk_bytes, *, stops_short):
    """Return a request with a chunked body, without its last byte or whole."""
    head = line + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    body = chunk * (size // chunk_bytes) + b"0\r\n\r\n"
    return [head, body[: -7 if stops_short else None]]


def status_field(process, name):
    """Return a field in MB of what the system says of a process' memory.

    ``VmHWM`` is the highest resident memory so far, ``VmRSS`` that of now.
    """
    text = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) / 1024
    raise LookupError(name)


def descriptors(process):
    """Return how many descriptors a process has open."""
    return len(list(pathlib.Path(f"/proc/{process.child.pid}/fd").iterdir()))


def reply(port, data, limit_s=30.0):
    """Send one request on a new connection; return its status and body.

    The status is 0 if the connection ends before.
    """
    received = b""
    with contextlib.suppress(OSError):
        with socket.create_connection((HOST, port), limit_s) as client:
            client.sendall(data)
            while part := client.recv(65_536):
                received += part
    head, _, body = received.partition(b"\r\n\r\n")
    status = head.split()[1:2]
    return (int(status[0]) if status else 0), body
