"""Client of the platform's row store, and a watcher of its tables."""

import base64
import collections.abc
import typing
import urllib.parse

import msgspec
import result
import structlog
from twisted.internet import defer

from _jasminewind import errors
from _jasminewind import timers
from _jasminewind.platform import bodies
from _jasminewind.platform import exchanges
from _jasminewind.platform import http
from _jasminewind import odd_input

# The store responds in 4 ms, and in about 0.4 s when it is slow.
CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.3
# Another process has written the row; once it has ended, no other does.
CONFLICT_RETRY_DELAY_S = 0.02
# Two change feeds and one write.
MAX_CONNECTIONS = 3
MAX_PAGE_ROWS = 500
CONFLICT_STATUS = 412
MAX_LOGGED_CHARS = 200

Rows = dict[str, bytes]
OnRows = collections.abc.Callable[[Rows], None]


class StoreError(typing.NamedTuple):
    """A failed call; ``status`` is 0 if there was no response."""

    status: int
    reason: str


class OtherVersion(typing.NamedTuple):
    """The version that a row has instead of the expected one, 0 for none."""

    version: int


class Row(typing.NamedTuple):
    """A row, or the deletion of one if ``value`` is ``None``."""

    key: str
    value: bytes | None


class Page(typing.NamedTuple):
    """Rows of one response, and the version to continue from."""

    rows: tuple[Row, ...]
    version: int
    has_more: bool


class RowStore:
    """Client of the row store; it never retries a call."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        host: str,
        port: int,
        odd: odd_input.OddInput | None = None,
    ) -> None:
        self.odd = odd or odd_input.OddInput()
        self.http_client = http.JsonClient(
            reactor=reactor, host=host, port=port, connections=MAX_CONNECTIONS
        )

    async def read(
        self, table: str, after_key: str = ""
    ) -> result.Result[Page, StoreError]:
        """Return one page of a table's snapshot, sorted by key."""
        query = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
        if after_key:
            # The range includes its start; an appended zero byte excludes the
            # key itself.
            query["range-start"] = after_key + "\0"
        return await self.read_page("/-/rows-get", query, CALL_TIMEOUT_S)

    async def read_row(
        self, table: str, key: str
    ) -> result.Result[bytes | None, StoreError]:
        """Return the value of one row, ``None`` if it does not exist."""
        query = {
            "table": table,
            "part": "",
            "range-start": key,
            "limit": "1",
        }
        page = await self.read_page("/-/rows-get", query, CALL_TIMEOUT_S)
        if page.is_err():
            return result.Err(page.unwrap_err())
        for row in page.unwrap().rows:
            if row.key == key:
                return result.Ok(row.value)
        return result.Ok(None)

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[Page, StoreError]:
        """Long-poll for the changes after a version."""
        query = {
            "table": table,
            "after": str(after),
            "wait-ms": str(int(wait_s * 1000)),
        }
        return await self.read_page(
            "/-/rows-feed", query, wait_s + CALL_TIMEOUT_S
        )

    async def read_page(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> result.Result[Page, StoreError]:
        """Send a read and decode its page."""
        path = f"{path}?{urllib.parse.urlencode(query)}"
        response = await self.http_client.send(
            b"GET", path, timeout_s=timeout_s
        )
        body = decode_body(response, bodies.RowsBody)
        return body.map(self.decode_page)

    def decode_page(self, body: bodies.RowsBody) -> Page:
        """Return the rows of a page; one that cannot be read is left out."""
        found = []
        for text in body.rows:
            row = bodies.decode(bytes(text), bodies.RowBody).and_then(
                decode_row
            )
            if row.is_ok():
                found.append(row.unwrap())
            else:
                name = repr(bytes(text)[:MAX_LOGGED_CHARS])
                self.odd.report("table", name, row.unwrap_err().reason)
        return Page(tuple(found), body.version_number, body.has_more)

    async def put(
        self, table: str, key: str, value: bytes, version: int
    ) -> result.Result[int, StoreError | OtherVersion]:
        """Write one row that has ``version``; return its new version."""
        row = bodies.PutBody(
            table=table, key=key, value=base64.b64encode(value).decode()
        )
        condition = bodies.ExpectedBody(
            table=table, key=key, version_number=version
        )
        data = msgspec.json.encode(
            bodies.WriteBody(puts=(row,), expect=(condition,))
        )
        response = await self.http_client.send(
            b"POST", "/-/rows-tx", data, timeout_s=CALL_TIMEOUT_S
        )
        if response.is_ok() and response.unwrap().status == CONFLICT_STATUS:
            return other_version(response.unwrap(), table, key)
        body = decode_body(response, bodies.WrittenBody)
        return body.map(lambda b: b.version_number)


T = typing.TypeVar("T")


def decode_body(
    response: result.Result[exchanges.Response, http.CallError], kind: type[T]
) -> result.Result[T, StoreError]:
    """Return the body of a 200 response, or the error."""
    if response.is_err():
        return result.Err(StoreError(0, response.unwrap_err().reason))
    reply = response.unwrap()
    if reply.status != 200:
        text = reply.body[:200].decode(errors="replace")
        return result.Err(StoreError(reply.status, text))
    return bodies.decode_with_rows(reply.body, kind).map_err(
        lambda e: StoreError(reply.status, e.reason)
    )


def other_version(
    response: exchanges.Response, table: str, key: str
) -> result.Err[StoreError | OtherVersion]:
    """Return the version that a response to a failed condition names."""
    body = bodies.decode(response.body, bodies.RowsBody)
    if body.is_err():
        return result.Err(
            StoreError(response.status, body.unwrap_err().reason)
        )
    found = [
        bodies.decode(bytes(text), bodies.RowBody)
        for text in body.unwrap().rows
    ]
    versions = [
        row.version_number
        for row in (each.unwrap() for each in found if each.is_ok())
        if (row.table, row.key) == (table, key)
    ]
    return result.Err(OtherVersion(max(versions, default=0)))


def decode_row(row: bodies.RowBody) -> result.Result[Row, errors.WireError]:
    """Return the row with its decoded value."""
    if row.deleted:
        return result.Ok(Row(row.key, None))
    try:
        return result.Ok(
            Row(row.key, base64.b64decode(row.value, validate=True))
        )
    except ValueError as e:
        return result.Err(errors.WireError(reason=f"row {row.key}: {e}"))


class RowWriter:
    """Keeps one row at the latest value that it was given.

    A write whose response is lost may take effect seconds later, also after
    its process has ended. Each write names the version that it replaces, and
    one at a time is sent, so that none takes effect after a later one.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        table: str,
        key: str,
        timer_service: timers.TimerService,
        on_exists: collections.abc.Callable[[bool], None] | None = None,
    ) -> None:
        """Write the row ``key`` of ``table``.

        ``on_exists`` is called with whether this writer has created the row,
        once the row is known to exist.
        """
        self.store = store
        self.table = table
        self.key = key
        self.timers = timer_service
        self.on_exists = on_exists
        # Most rows are new; otherwise the first response names the version.
        self.version = 0
        self.value = b""
        self.written = b""
        self.is_writing = False
        self.is_stopped = False
        self.log = structlog.get_logger("store")

    def set(self, value: bytes) -> None:
        """Write a value, after the write that is in progress."""
        self.value = value
        self.start_next_write()

    def stop(self) -> None:
        """Start no further writes."""
        self.is_stopped = True

    def start_next_write(self) -> None:
        """Write the latest value unless it is there or being written."""
        if self.is_writing or self.is_stopped or self.value == self.written:
            return
        self.is_writing = True
        writing = defer.ensureDeferred(self.write(self.value))
        writing.addErrback(self.on_unexpected_error)
        writing.addCallback(self.on_attempt)

    async def write(self, value: bytes) -> float:
        """Write once; return the delay before the next attempt."""
        reply = await self.store.put(self.table, self.key, value, self.version)
        match reply:
            case result.Ok(version):
                self.report_existence(is_new=not self.version)
                self.version = version
                self.written = value
                return 0.0
            case result.Err(OtherVersion(version)):
                if version:
                    self.report_existence(is_new=False)
                self.version = version
                return CONFLICT_RETRY_DELAY_S
            case result.Err(error):
                self.log.warning(
                    "row not written yet",
                    table=self.table,
                    key=self.key,
                    reason=str(error)[:MAX_LOGGED_CHARS],
                )
        return RETRY_DELAY_S

    def report_existence(self, *, is_new: bool) -> None:
        """Report once that the row exists, and whether it was created here."""
        on_exists, self.on_exists = self.on_exists, None
        if on_exists is not None:
            on_exists(is_new)

    def on_unexpected_error(self, failure: typing.Any) -> float:
        """Log an exception of this program; return the retry delay."""
        self.log.error(
            "unexpected exception; please report it",
            error=repr(failure.value),
            traceback=failure.getTraceback(),
        )
        return RETRY_DELAY_S

    def on_attempt(self, delay_s: float) -> None:
        """Write what was set meanwhile, or try again."""
        self.is_writing = False
        if delay_s:
            self.timers.after(delay_s, lambda now: self.start_next_write())
        else:
            self.start_next_write()


HISTORY_TRUNCATED_STATUS = 410


class TableWatcher:
    """Watches one table and reports all its rows after each change.

    It retries after every failure, and reads the whole table again when
    the store has discarded the changes after the last version.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        table: str,
        wait_s: float,
        timer_service: timers.TimerService,
        on_rows: OnRows,
    ) -> None:
        self.store = store
        self.table = table
        self.wait_s = wait_s
        self.timers = timer_service
        self.on_rows = on_rows
        self.rows: Rows = {}
        self.version = 0
        self.has_snapshot = False
        self.is_failing = False
        self.is_stopped = False
        self.log = structlog.get_logger("store")

    def start(self) -> None:
        """Start watching."""
        self.start_next_call()

    def stop(self) -> None:
        """Start no further calls."""
        self.is_stopped = True

    def start_next_call(self) -> None:
        """Start the next call and schedule the one after it."""
        if self.is_stopped:
            return
        step = self.watch() if self.has_snapshot else self.read()
        calling = defer.ensureDeferred(step)
        calling.addErrback(self.on_unexpected_error)
        calling.addCallback(
            lambda delay_s: self.timers.after(
                delay_s, lambda now: self.start_next_call()
            )
        )

    def on_unexpected_error(self, failure: typing.Any) -> float:
        """Log an exception of this program; return the retry delay."""
        self.log.error(
            "unexpected exception; please report it",
            error=repr(failure.value),
            traceback=failure.getTraceback(),
        )
        return RETRY_DELAY_S

    async def read(self) -> float:
        """Read the whole table; return the delay before the next call."""
        rows: Rows = {}
        version = 0
        after_key = ""
        while True:
            reply = await self.store.read(self.table, after_key)
            if reply.is_err():
                return self.on_failure(reply.unwrap_err())
            page = reply.unwrap()
            # The version of the first page is the oldest. The feed repeats
            # changes made while later pages were read, so none is missed.
            version = version or page.version
            for row in page.rows:
                self.apply_row(rows, row)
            if not page.has_more:
                break
            last_key = max((row.key for row in page.rows), default="")
            if last_key <= after_key:
                return self.on_failure(
                    StoreError(0, f"no readable row after {after_key!r}")
                )
            after_key = last_key
        self.rows = rows
        self.version = version
        self.has_snapshot = True
        self.on_success()
        self.on_rows(dict(rows))
        return 0.0

    async def watch(self) -> float:
        """Wait for changes; return the delay before the next call."""
        began_s = self.timers.clock.seconds()
        reply = await self.store.feed(self.table, self.version, self.wait_s)
        if reply.is_err():
            error = reply.unwrap_err()
            if error.status == HISTORY_TRUNCATED_STATUS:
                self.has_snapshot = False
                self.log.info(
                    "the store dropped its history; reading again",
                    table=self.table,
                    version=self.version,
                )
                return 0.0
            return self.on_failure(error)
        page = reply.unwrap()
        self.on_success()
        is_newer = page.version > self.version
        self.version = max(self.version, page.version)
        for row in page.rows:
            self.apply_row(self.rows, row)
        if page.rows:
            self.on_rows(dict(self.rows))
        # A page that names no newer version is sent again at once.
        waited_s = self.timers.clock.seconds() - began_s
        return 0.0 if is_newer or waited_s > RETRY_DELAY_S else RETRY_DELAY_S

    def apply_row(self, rows: Rows, row: Row) -> None:
        """Store or delete one changed row."""
        if row.value is None:
            rows.pop(row.key, None)
        else:
            rows[row.key] = row.value

    def on_failure(self, error: StoreError) -> float:
        """Log the first of several failures; return the retry delay."""
        if not self.is_failing:
            self.log.warning(
                "store lost; the last known rows stay in use",
                table=self.table,
                status=error.status,
                reason=error.reason[:MAX_LOGGED_CHARS],
                version=self.version,
            )
        self.is_failing = True
        return RETRY_DELAY_S

    def on_success(self) -> None:
        """Log the recovery after failures."""
        if self.is_failing:
            self.log.info(
                "store regained", table=self.table, version=self.version
            )
        self.is_failing = False
