"""The platform's store: rows in tables, and a feed of their changes."""

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
from _jasminewind.platform import http

# A call that has no answer after this time is given up. The store answers
# in 4 ms, and in about 0.4 s when it is slow.
CALL_TIMEOUT_S = 1.0
# Pause after a failed call, in seconds.
RETRY_DELAY_S = 0.3
# Two feeds and a write.
MAX_CONNECTIONS = 3
# Rows in one answer to a read.
MAX_PAGE_ROWS = 500

Rows = dict[str, bytes]
OnRows = collections.abc.Callable[[Rows], None]


class StoreError(typing.NamedTuple):
    """A failed call: its status, 0 when there was no answer."""

    status: int
    reason: str


class Page(typing.NamedTuple):
    """Rows of an answer, and the version to continue from."""

    rows: tuple[bodies.RowBody, ...]
    version: int
    has_more: bool


class RowStore:
    """Calls the store; each call is sent once."""

    def __init__(self, *, reactor: typing.Any, host: str, port: int) -> None:
        self.http_client = http.JsonClient(
            reactor=reactor, host=host, port=port, connections=MAX_CONNECTIONS
        )

    async def read(
        self, table: str, after_key: str = ""
    ) -> result.Result[Page, StoreError]:
        """Return rows of a table as of one moment, in order of their keys."""
        query = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
        if after_key:
            # The range begins with this key; a byte more skips it.
            query["range-start"] = after_key + "\0"
        return await self.read_page("/-/rows-get", query, CALL_TIMEOUT_S)

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[Page, StoreError]:
        """Return what changed after a version, once something has."""
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
        """Make one reading call."""
        path = f"{path}?{urllib.parse.urlencode(query)}"
        answer = await self.http_client.send(b"GET", path, timeout_s=timeout_s)
        body = decode_body(answer, bodies.RowsBody)
        return body.map(lambda b: Page(b.rows, b.version_number, b.has_more))

    async def put(
        self, table: str, key: str, value: bytes
    ) -> result.Result[int, StoreError]:
        """Write one row whatever it held; return the version."""
        row = bodies.PutBody(
            table=table, key=key, value=base64.b64encode(value).decode()
        )
        data = msgspec.json.encode(bodies.WriteBody(puts=(row,)))
        answer = await self.http_client.send(
            b"POST", "/-/rows-tx", data, timeout_s=CALL_TIMEOUT_S
        )
        body = decode_body(answer, bodies.WrittenBody)
        return body.map(lambda b: b.version_number)


T = typing.TypeVar("T")


def decode_body(
    answer: result.Result[http.Response, http.CallError], kind: type[T]
) -> result.Result[T, StoreError]:
    """Return the body of a successful answer."""
    if answer.is_err():
        return result.Err(StoreError(0, answer.unwrap_err().reason))
    found = answer.unwrap()
    if found.status != 200:
        text = found.body[:200].decode(errors="replace")
        return result.Err(StoreError(found.status, text))
    return bodies.decode(found.body, kind).map_err(
        lambda e: StoreError(found.status, e.reason)
    )


def row_value(
    row: bodies.RowBody,
) -> result.Result[bytes, errors.WireError]:
    """Return the bytes in a row."""
    try:
        return result.Ok(base64.b64decode(row.value, validate=True))
    except ValueError as e:
        return result.Err(errors.WireError(reason=f"row {row.key}: {e}"))


HISTORY_TRUNCATED_STATUS = 410


class TableWatcher:
    """Follows one table and reports all its rows after each change.

    It goes on by itself after every failure, and reads the table anew when
    the store no longer has the changes.
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
        """Begin to follow."""
        self.start_next_call()

    def stop(self) -> None:
        """Make no further calls."""
        self.is_stopped = True

    def start_next_call(self) -> None:
        """Make the next call, and plan the one after it."""
        if self.is_stopped:
            return
        step = self.watch() if self.has_snapshot else self.read()
        calling = defer.ensureDeferred(step)
        calling.addErrback(self.on_unexpected_error)
        calling.addCallback(
            lambda pause_s: self.timers.after(
                pause_s, lambda now: self.start_next_call()
            )
        )

    def on_unexpected_error(self, failure: typing.Any) -> float:
        """Log a fault of this program, and go on."""
        self.log.error(
            "unexpected exception; please report it",
            error=repr(failure.value),
            traceback=failure.getTraceback(),
        )
        return RETRY_DELAY_S

    async def read(self) -> float:
        """Read the whole table; return the pause before the next call."""
        rows: Rows = {}
        version = 0
        after_key = ""
        while True:
            found = await self.store.read(self.table, after_key)
            if found.is_err():
                return self.on_failure(found.unwrap_err())
            page = found.unwrap()
            # The first page is the oldest, so that no change is missed.
            version = version or page.version
            for row in page.rows:
                self.apply_row(rows, row)
                after_key = row.key
            if not page.has_more or not page.rows:
                break
        self.rows = rows
        self.version = version
        self.has_snapshot = True
        self.on_success()
        self.on_rows(dict(rows))
        return 0.0

    async def watch(self) -> float:
        """Wait for changes; return the pause before the next call."""
        found = await self.store.feed(self.table, self.version, self.wait_s)
        if found.is_err():
            error = found.unwrap_err()
            if error.status == HISTORY_TRUNCATED_STATUS:
                self.has_snapshot = False
                self.log.info(
                    "the store dropped its history; reading again",
                    table=self.table,
                    version=self.version,
                )
                return 0.0
            return self.on_failure(error)
        page = found.unwrap()
        self.on_success()
        self.version = max(self.version, page.version)
        for row in page.rows:
            self.apply_row(self.rows, row)
        if page.rows:
            self.on_rows(dict(self.rows))
        return 0.0

    def apply_row(self, rows: Rows, row: bodies.RowBody) -> None:
        """Put one changed row in its place."""
        if row.deleted:
            rows.pop(row.key, None)
            return
        value = row_value(row)
        if value.is_err():
            self.log.warning("unreadable row", reason=value.unwrap_err())
            return
        rows[row.key] = value.unwrap()

    def on_failure(self, error: StoreError) -> float:
        """Note a failed call; return the pause before the next."""
        if not self.is_failing:
            self.log.warning(
                "store lost; the last known rows stay in use",
                table=self.table,
                status=error.status,
                reason=error.reason[:200],
                version=self.version,
            )
        self.is_failing = True
        return RETRY_DELAY_S

    def on_success(self) -> None:
        """Note an answered call."""
        if self.is_failing:
            self.log.info(
                "store regained", table=self.table, version=self.version
            )
        self.is_failing = False
