"""Tests of the HTTP table client against a stand-in table."""

import pytest

from _jasminewind import errors
from _jasminewind.decisions import core
from _jasminewind.platform import protocol
from _jasminewind.platform import tables
from _jasminewind.standins import faults
from _jasminewind.standins import table as table_standin
from testing import reactor


@pytest.fixture
def standin():
    """A running table stand-in."""
    made = table_standin.TableStandIn(reactor=reactor.reactor)
    reactor.run(made.open)
    yield made
    reactor.run(made.close)


@pytest.fixture
def table(standin):
    """A client of the table."""
    made = tables.HttpTable(
        reactor=reactor.reactor,
        host="127.0.0.1",
        port=standin.port,
        timeout_s=1.0,
    )
    yield made
    reactor.run(made.close)


def test_write_needs_the_expected_version(table):
    """Guards against two writers that both succeed with one version."""
    assert reactor.run(table.write, "a", 0, "1").unwrap() == 1
    error = reactor.run(table.write, "a", 0, "2").unwrap_err()
    assert error.failure is errors.TableFailure.CONFLICT
    assert reactor.run(table.write, "a", 1, "3").unwrap() == 2
    rows = reactor.run(table.read, ("a", "missing"), "").unwrap()
    assert rows == (
        core.TableRow(key="a", version=2, value="3"),
        core.TableRow(key="missing", version=0, value=""),
    )


def test_deleted_row_does_not_reuse_versions(table):
    """Guards against a stale write to a row that was deleted and recreated."""
    reactor.run(table.write, "a", 0, "1")
    assert reactor.run(table.write, "a", 1, None).unwrap() == 0
    assert reactor.run(table.write, "a", 0, "2").unwrap() == 2


def test_prefix_read_returns_each_row_once(table):
    """Guards against missing or duplicate shard rows."""
    for key in ("shard/1", "shard/2", "config"):
        reactor.run(table.write, key, 0, "{}")
    rows = reactor.run(table.read, ("shard/1",), "shard/").unwrap()
    assert [row.key for row in rows] == ["shard/1", "shard/2"]


def test_lost_response_of_a_write_is_unknown(standin, table):
    """Guards against a write that took effect but is reported as failed."""
    lose = faults.Faults(drop_answer=True, paths=(protocol.TABLE_WRITE_PATH,))
    reactor.run(standin.set_faults, lose)
    error = reactor.run(table.write, "a", 0, "1").unwrap_err()
    assert error.failure is errors.TableFailure.UNKNOWN
    reactor.run(standin.set_faults, faults.Faults())
    (row,) = reactor.run(table.read, ("a",), "").unwrap()
    assert (row.version, row.value) == (1, "1")


def test_write_with_a_lost_response_is_not_retried(standin, table):
    """Guards against an HTTP client that retries a write."""
    reactor.run(table.write, "a", 0, "1")
    seen = []
    handler = standin.routes[protocol.TABLE_WRITE_PATH]

    async def counted(body, request):
        seen.append(body)
        return await handler(body, request)

    standin.routes[protocol.TABLE_WRITE_PATH] = counted
    reactor.run(standin.set_faults, faults.Faults(drop_answer=True))
    reactor.run(table.write, "a", 1, "2")
    assert len(seen) == 1


@pytest.mark.parametrize(
    ("wanted", "failure"),
    [
        (faults.Faults(down=True), errors.TableFailure.NOT_SENT),
        (faults.Faults(refuse=True), errors.TableFailure.NOT_SENT),
        (faults.Faults(fail=True), errors.TableFailure.UNKNOWN),
        (faults.Faults(freeze=True), errors.TableFailure.UNKNOWN),
        (faults.Faults(delay_s=5.0), errors.TableFailure.UNKNOWN),
    ],
)
def test_faults_are_told_apart(standin, table, wanted, failure):
    """Guards against a write reported as not sent that may have been made."""
    reactor.run(standin.set_faults, wanted)
    error = reactor.run(table.write, "a", 0, "1").unwrap_err()
    assert error.failure is failure


def test_new_connection_works_while_open_ones_are_silent(standin, table):
    """Guards against a connection pool that reuses a silent connection."""
    reactor.run(table.write, "a", 0, "1")
    reactor.run(standin.set_faults, faults.Faults(freeze_open=True))
    silent = reactor.run(table.read, ("a",), "")
    assert silent.unwrap_err().failure is errors.TableFailure.UNKNOWN
    assert reactor.run(table.read, ("a",), "").unwrap()[0].version == 1


def test_table_returns_after_an_outage(standin, table):
    """Guards against a client that does not recover after an outage."""
    reactor.run(standin.set_faults, faults.Faults(down=True))
    assert reactor.run(table.read, ("a",), "").is_err()
    reactor.run(standin.set_faults, faults.Faults())
    assert reactor.run(table.read, ("a",), "").is_ok()
