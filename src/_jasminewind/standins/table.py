"""Simulated transactional table with rate limits and sync latency."""

import typing

import msgspec
from twisted.internet import task
from twisted.web import server

from _jasminewind.decisions import core
from _jasminewind.platform import protocol
from _jasminewind.standins import server as standin_server

SYNC_S = 0.004
WRITES_PER_S = 400.0
READS_PER_S = 2000.0
MAX_WAIT_S = 2.0


class RateLimiter:
    """Paces calls so that at most ``rate`` of them complete per second."""

    def __init__(self, rate: float) -> None:
        self.period_s = 1.0 / rate
        self.busy_until_s = 0.0

    def backlog_s(self, now_s: float) -> float:
        """Return how long earlier calls delay a new one."""
        return max(0.0, self.busy_until_s - now_s)

    def reserve(self, now_s: float) -> float:
        """Queue a call and return the wait until it runs."""
        self.busy_until_s = max(self.busy_until_s, now_s) + self.period_s
        return self.busy_until_s - now_s


class TableStandIn(standin_server.StandIn):
    """Versioned rows with compare-and-set writes and prefix reads."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        name: str = "table",
        port: int = 0,
        control_port: int = 0,
        sync_s: float = SYNC_S,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
    ) -> None:
        super().__init__(
            reactor=reactor, name=name, port=port, control_port=control_port
        )
        self.sync_s = sync_s
        self.write_limiter = RateLimiter(writes_per_s)
        self.read_limiter = RateLimiter(reads_per_s)
        self.rows: dict[str, core.TableRow] = {}
        # Kept after a deletion, so that a recreated row never reuses an
        # earlier version.
        self.last_versions: dict[str, int] = {}
        self.routes = {
            protocol.TABLE_READ_PATH: self.read,
            protocol.TABLE_WRITE_PATH: self.write,
        }

    def row(self, key: str) -> core.TableRow:
        """Return a row, with version 0 if it does not exist."""
        missing = core.TableRow(key=key, version=0, value="")
        return self.rows.get(key, missing)

    async def read(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Return rows by key and by prefix."""
        del request
        call = msgspec.json.decode(body, type=protocol.TableRead)
        if self.read_limiter.backlog_s(self.reactor.seconds()) > MAX_WAIT_S:
            return standin_server.not_run_reply("the table is overloaded")
        wait_s = self.read_limiter.reserve(self.reactor.seconds())
        await task.deferLater(self.reactor, wait_s)
        rows = {key: self.row(key) for key in call.keys}
        if call.prefix:
            for key, row in self.rows.items():
                if key.startswith(call.prefix):
                    rows[key] = row
        found = tuple(rows.values())
        return standin_server.Reply(body=protocol.TableRows(rows=found))

    async def write(
        self, body: bytes, request: server.Request
    ) -> standin_server.Reply:
        """Write a row if it has the expected version."""
        del request
        call = msgspec.json.decode(body, type=protocol.TableWrite)
        if self.write_limiter.backlog_s(self.reactor.seconds()) > MAX_WAIT_S:
            return standin_server.not_run_reply("the table is overloaded")
        wait_s = self.write_limiter.reserve(self.reactor.seconds())
        await task.deferLater(self.reactor, wait_s + self.sync_s)
        row = self.row(call.key)
        if row.version != call.expected_version:
            return standin_server.not_run_reply(
                f"row {call.key} has version {row.version}, expected "
                f"{call.expected_version}",
                status=protocol.CONFLICT,
            )
        version = self.commit(call.key, call.value)
        return standin_server.Reply(
            body=protocol.TableWritten(version=version)
        )

    def commit(self, key: str, value: str | None) -> int:
        """Replace or delete a row; return its new version, 0 if deleted."""
        if value is None:
            self.rows.pop(key, None)
            return 0
        version = self.last_versions.get(key, 0) + 1
        self.last_versions[key] = version
        self.rows[key] = core.TableRow(key=key, version=version, value=value)
        return version
