"""Reads HTTP/1.1 requests from bytes that arrive in any parts.

httptools parses the head of each request. What it is given ends where a head
or a body ends, so that the outcome depends only on the bytes and not on the
parts in which they arrive, and so that a part of a request is kept as bytes.
"""

import collections.abc
import dataclasses
import enum
import re
import typing

import httptools

# A longer line before a chunk is refused: extensions of chunks have no use
# here.
MAX_CHUNK_LINE_BYTES = 4_096
# Bytes of a body beyond the limit that are read, so that the client gets 413
# and may send its next request on the connection.
DISCARDED_BYTES = 1 << 20
# Frames of chunks may take this much beside the setting.
CHUNK_FRAME_BYTES = 65_536
VERSIONS = ("1.0", "1.1")
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
# Size of a chunk, and extensions, which have no meaning here.
CHUNK_LINE = re.compile(
    rb"([0-9a-fA-F]{1,15})(?:;[\t\x20-\x7e\x80-\xff]{0,4000})?\r\n"
)

Headers = collections.abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on the requests of one connection."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits that no request within :class:`Limits` reaches by default."""

    # The shortest line takes four bytes of 16,384.
    header_lines: int = 4_096
    # Bytes of chunk lines for each byte of the longest body: one byte in a
    # chunk of its own needs five.
    chunk_overhead: int = 8
    # Time for the whole body of one request.
    body_timeout_s: float = 120.0


class Problem(typing.NamedTuple):
    """Why a request cannot be read, and the limit that it met."""

    status: int
    limit: str
    reason: str


class Received(typing.NamedTuple):
    """A request that was read completely."""

    method: str
    target: str
    headers: Headers
    body: bytes
    body_bytes: int
    keep_alive: bool


class Stage(enum.Enum):
    """What is read next."""

    HEAD = enum.auto()
    BODY = enum.auto()
    CHUNK_LINE = enum.auto()
    CHUNK = enum.auto()
    TRAILER = enum.auto()


class Refused(Exception):
    """Ends the parsing of a request after a problem was set."""


class RequestReader:
    """Reads the requests of one connection, one at a time.

    Only the headers named in ``wanted`` are kept: a header of three bytes
    costs over 200 in objects.
    """

    def __init__(
        self,
        get_limits: collections.abc.Callable[[], Limits],
        bounds: Bounds,
        wanted: collections.abc.Set[bytes],
    ) -> None:
        self.get_limits = get_limits
        self.limits = get_limits()
        self.bounds = bounds
        self.wanted = wanted
        self.parser = httptools.HttpRequestParser(self)
        self.buffer = bytearray()
        self.problem: Problem | None = None
        self.blank_bytes = 0
        self.begin()

    def begin(self) -> None:
        """Begin a request."""
        self.stage = Stage.HEAD
        self.searched = 0
        self.has_begun = False
        self.has_headers = False
        self.is_complete = False
        self.method = ""
        self.keep_alive = False
        self.target = b""
        self.headers: dict[str, str] = {}
        self.header_size = 0
        self.line_count = 0
        self.content_length = 0
        self.is_chunked = False
        self.awaits_continue = False
        self.body: bytes | bytearray = b""
        self.body_size = 0
        # Bytes of the body or the chunk that are still to come.
        self.remaining = 0
        self.overhead = 0
        self.chunk_end = b""

    def is_idle(self) -> bool:
        """Tell whether no part of a request has arrived."""
        return self.stage is Stage.HEAD and not self.buffer

    def held_bytes(self) -> int:
        """Return the memory of the part that was read.

        A growing buffer may have an eighth more than its length.
        """
        return (len(self.buffer) + len(self.body)) * 9 // 8

    def drop(self) -> None:
        """Release what was read."""
        self.buffer = bytearray()
        self.begin()

    def receive(self, data: bytes) -> None:
        """Add bytes; parse them at once if they are part of a body."""
        if (
            self.stage is Stage.BODY
            and not self.buffer
            and len(data) <= self.remaining
        ):
            self.remaining -= len(data)
            self.parse(data)
        else:
            self.buffer += data

    def take(self) -> Received | None:
        """Return the next request that is complete, if there is one.

        Nothing is returned any more once ``problem`` is set.
        """
        while (
            self.problem is None
            and not self.is_complete
            and self.buffer
            and self.read_part()
        ):
            pass
        if self.problem is not None or not self.is_complete:
            return None
        received = Received(
            method=self.method,
            target=self.target.decode("latin-1"),
            headers=self.headers,
            body=bytes(self.body),
            body_bytes=self.body_size,
            keep_alive=self.keep_alive,
        )
        self.begin()
        return received

    def read_part(self) -> bool:
        """Parse the next part; return whether it had arrived."""
        match self.stage:
            case Stage.HEAD:
                return self.read_head()
            case Stage.CHUNK_LINE:
                return self.read_chunks()
            case Stage.CHUNK:
                return self.read_chunk()
            case Stage.TRAILER:
                return self.read_trailer_line()
            case _:
                return self.read_body()

    def read_head(self) -> bool:
        """Parse the request line and all headers."""
        # Line ends and the request line are not counted in the limit.
        limit = 2 * self.limits.header_bytes
        end = self.buffer.find(HEAD_END, max(0, self.searched - 3), limit)
        if end < 0:
            self.searched = len(self.buffer)
            if len(self.buffer) >= limit:
                self.set_problem(
                    431, "header_bytes", "the headers are too long"
                )
            return False
        self.searched = 0
        self.parse(self.cut(end + len(HEAD_END)))
        if self.problem is not None or self.is_complete:
            return True
        if not self.has_begun:
            # Empty lines may come before a request.
            self.blank_bytes += len(HEAD_END)
            if self.blank_bytes > limit:
                self.set_problem(400, "malformed", "too many empty lines")
        elif not self.has_headers:
            self.set_problem(400, "malformed", "malformed request")
        elif self.is_chunked:
            self.stage = Stage.CHUNK_LINE
        else:
            self.stage = Stage.BODY
            self.remaining = self.content_length
        return True

    def read_body(self) -> bool:
        """Parse what has arrived of the body."""
        data = self.cut(min(len(self.buffer), self.remaining))
        self.remaining -= len(data)
        self.parse(data)
        return True

    def read_chunks(self) -> bool:
        """Read chunks; their frames cost too much in the parser.

        A chunk of two bytes would take it 6 us. Once the last chunk is read,
        the parser is told that the body ends.
        """
        data = bytes(self.buffer)
        length = len(data)
        allowed = self.bounds.chunk_overhead * self.limits.body_bytes
        allowed += CHUNK_FRAME_BYTES
        room = self.limits.body_bytes + DISCARDED_BYTES - self.body_size
        body = bytearray()
        position = 0
        while True:
            line = CHUNK_LINE.match(data, position)
            if line is None:
                self.check_chunk_line(position)
                break
            size = int(line[1], 16)
            start = line.end()
            if not size:
                position = start
                self.stage = Stage.TRAILER
                break
            self.overhead += start - position + 2
            room -= size
            if self.overhead > allowed:
                self.set_problem(
                    413, "chunk_overhead", "too many small chunks"
                )
                break
            if room < 0:
                self.set_problem(413, "body_bytes", "the body is too long")
                break
            end = start + size
            body += data[start:end]
            if length < end + 2:
                # The rest is read without its frame.
                self.remaining = end + 2 - length
                self.chunk_end = data[end:]
                position = length
                self.stage = Stage.CHUNK
                break
            if data[end : end + 2] != LINE_END:
                self.set_problem(400, "malformed", "a chunk is too long")
                break
            position = end + 2
        if body:
            self.add_to_body(bytes(body))
        del self.buffer[:position]
        if self.stage is Stage.TRAILER:
            self.parse(b"0\r\n")
        return bool(position)

    def check_chunk_line(self, position: int) -> None:
        """Refuse a line before a chunk that is malformed or too long."""
        end = self.buffer.find(
            b"\n", position, position + MAX_CHUNK_LINE_BYTES
        )
        if end >= 0:
            self.set_problem(400, "malformed", "malformed size of a chunk")
        elif len(self.buffer) - position >= MAX_CHUNK_LINE_BYTES:
            self.set_problem(400, "malformed", "a long chunk line")

    def read_chunk(self) -> bool:
        """Read what has arrived of a chunk and of the line end after it."""
        data = self.cut(min(len(self.buffer), self.remaining))
        self.remaining -= len(data)
        # The last two bytes end the line.
        size = len(data) - max(0, 2 - self.remaining)
        self.add_to_body(data[: max(size, 0)])
        self.chunk_end += data[max(size, 0) :]
        if not self.remaining:
            if self.chunk_end != LINE_END:
                self.set_problem(400, "malformed", "a chunk is too long")
            self.chunk_end = b""
            self.stage = Stage.CHUNK_LINE
        return True

    def read_trailer_line(self) -> bool:
        """Parse a line after the last chunk."""
        limit = self.limits.header_bytes
        end = self.buffer.find(b"\n", 0, limit)
        if end < 0:
            if len(self.buffer) >= limit:
                self.set_problem(431, "header_bytes", "a long trailer")
            return False
        self.parse(self.cut(end + 1))
        return True

    def cut(self, size: int) -> bytes:
        """Remove bytes from the buffer."""
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    def parse(self, data: bytes) -> None:
        """Pass bytes to the parser, which calls the methods below."""
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.set_problem(400, "malformed", f"malformed request: {error}")

    def set_problem(self, status: int, limit: str, reason: str) -> None:
        """Refuse the request, unless that was done before."""
        if self.problem is None:
            self.problem = Problem(status, limit, reason)

    def refuse(self, status: int, limit: str, reason: str) -> None:
        """Refuse the request while it is parsed."""
        self.set_problem(status, limit, reason)
        raise Refused

    def is_too_long(self, size: int) -> bool:
        """Tell whether a body of this size is not even read."""
        return size > self.limits.body_bytes + DISCARDED_BYTES

    # The parser defines these names.

    def on_message_begin(self) -> None:
        """Use the limits that are in force now."""
        self.limits = self.get_limits()
        self.has_begun = True
        self.blank_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Collect a part of the target."""
        self.target += url
        self.count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header, and keep it if it is wanted."""
        self.count_header(len(name) + len(value))
        self.line_count += 1
        if self.line_count > self.bounds.header_lines:
            self.refuse(431, "header_lines", "too many header lines")
        if self.has_headers:
            # A trailer, which must not replace a header.
            return
        key = name.lower()
        match key:
            case b"content-length":
                self.content_length = int(value)
            case b"transfer-encoding":
                if value.lower() != b"chunked":
                    self.refuse(400, "ambiguous", "unknown transfer encoding")
                self.is_chunked = True
            case b"expect":
                self.awaits_continue = value.lower() == b"100-continue"
            case b"host":
                if "host" in self.headers:
                    self.refuse(400, "ambiguous", "repeated Host")
                self.headers["host"] = value.decode("latin-1")
                return
        if key in self.wanted:
            text = value.decode("latin-1")
            self.add_header(key.decode("latin-1"), text)

    def add_header(self, key: str, text: str) -> None:
        """Keep a header; a repeated one is joined."""
        earlier = self.headers.get(key)
        self.headers[key] = text if earlier is None else f"{earlier}, {text}"

    def count_header(self, size: int) -> None:
        """Refuse a request whose headers are too long."""
        self.header_size += size
        if self.header_size > self.limits.header_bytes:
            self.refuse(431, "header_bytes", "the headers are too long")

    def on_headers_complete(self) -> None:
        """Refuse what another parser may read differently, or is too long."""
        self.has_headers = True
        version = self.parser.get_http_version()
        if version not in VERSIONS:
            self.refuse(400, "ambiguous", f"unknown HTTP version {version}")
        if self.is_chunked and version == "1.0":
            self.refuse(400, "ambiguous", "chunks in HTTP/1.0")
        limit = self.limits.body_bytes
        if self.is_too_long(self.content_length) or (
            self.awaits_continue and self.content_length > limit
        ):
            self.refuse(413, "body_bytes", "the body is too long")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.add_to_body(data)

    def add_to_body(self, data: bytes) -> None:
        """Add a part to the body, and discard what is beyond the limit.

        The first part is kept as it is, as most bodies arrive in one.
        """
        self.body_size += len(data)
        if self.body_size > self.limits.body_bytes:
            self.body = b""
        elif not self.body:
            self.body = data
        else:
            if isinstance(self.body, bytes):
                self.body = bytearray(self.body)
            self.body += data

    def on_message_complete(self) -> None:
        """End the request.

        The parser forgets about it once this returns.
        """
        self.method = self.parser.get_method().decode("latin-1")
        self.keep_alive = self.parser.should_keep_alive()
        self.is_complete = True
