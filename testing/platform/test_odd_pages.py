"""Tests of the store's pages, among whose rows some cannot be read."""

import base64
import json

import hypothesis
import pytest
import result
from hypothesis import strategies
from twisted.internet import defer
from twisted.internet import task

from _jasminewind import timers
from _jasminewind.platform import exchanges
from _jasminewind.platform import http
from _jasminewind import odd_input
from _jasminewind.platform import rows
from testing.platform import odd_values
from testing.platform import test_odd_rows_of_endpoints as meters


def row(key, value=b"{}", **fields):
    """Return a row in its JSON form."""
    return {
        "table": "members",
        "part": "",
        "key": key,
        "value": base64.b64encode(value).decode(),
        "version-number": 3,
        **fields,
    }


PAGE = {"rows": [row("a"), row("b")], "has-more": False, "version-number": 5}
ODD_ROWS = [
    None,
    5,
    [],
    row(5),
    row("k" * 201),
    {**row("x"), "value": 5},
    {**row("x"), "value": "*"},
    {**row("x"), "value": "\u00e9"},
    row("x", deleted="yes"),
    row("x", **{"version-number": "three"}),
    row("x", **{"version-number": 10**400}),
    row("x", **{"version-number": -1}),
    row("x", part=[]),
]
ODD_TEXTS = [
    odd_values.NESTED,
    '{"key": "x", "y": ' + odd_values.NESTED + "}",
    '{"key": "\udcff"}',
    '{"key": "\\ud800"}',
    '{"key": NaN}',
    *map(json.dumps, ODD_ROWS),
]


class ScriptedClient:
    """Answers each call with the next body."""

    def __init__(self):
        self.bodies = []
        self.paths = []

    def send(self, method, path, data=b"", *, timeout_s):
        """Return the next response; the last one is repeated."""
        del method, data, timeout_s
        self.paths.append(path)
        body = self.bodies[0]
        if len(self.bodies) > 1:
            self.bodies.pop(0)
        if body is None:
            lost = http.CallError(failure=http.CallFailure.UNKNOWN, reason="x")
            return defer.succeed(result.Err(lost))
        return defer.succeed(
            result.Ok(exchanges.Response(status=200, body=body))
        )


class Watched:
    """A watcher of a table, and what it has reported."""

    def __init__(self):
        self.clock = task.Clock()
        self.meter = meters.CountingMeter()
        self.client = ScriptedClient()
        store = rows.RowStore(
            reactor=self.clock,
            host="127.0.0.1",
            port=1,
            odd=odd_input.OddInput(self.meter),
        )
        store.http_client = self.client
        self.reports = []
        self.watcher = rows.TableWatcher(
            store=store,
            table="members",
            wait_s=1.0,
            timer_service=timers.TimerService(clock=self.clock),
            on_rows=self.reports.append,
        )

    def read(self, *bodies):
        """Read the table or a change of it; return what is reported."""
        self.client.bodies = list(bodies)
        if self.watcher.has_snapshot:
            self.clock.advance(rows.RETRY_DELAY_S)
        else:
            self.watcher.start()
        return self.reports[-1] if self.reports else None


@pytest.fixture
def watched():
    """Return a watcher that has read nothing."""
    return Watched()


def page(*texts, version=5, more=False):
    """Return a page with these rows."""
    text = (
        f'{{"rows": [{", ".join(texts)}], "has-more": {json.dumps(more)}, '
        f'"version-number": {version}}}'
    )
    return text.encode(errors="surrogateescape")


def step(watcher):
    """Make one call of a watcher, and return the delay before the next."""
    call = watcher.watch() if watcher.has_snapshot else watcher.read()
    outcome = []
    defer.ensureDeferred(call).addBoth(outcome.append)
    assert outcome, "the call goes on"
    assert isinstance(outcome[0], float), outcome[0]
    return outcome[0]


@pytest.mark.parametrize("text", ODD_TEXTS, ids=lambda text: text[:40])
@pytest.mark.parametrize("is_early", [True, False])
def test_an_odd_row_of_a_page_does_not_stop_the_feed(watched, text, is_early):
    """Guards against processes that no longer follow a table.

    The row is there when the table is read first, or comes with a change.
    """
    first, second = (json.dumps(each) for each in PAGE["rows"])
    odd = page(text, second, text, version=6)
    pages = [odd] if is_early else [page(first), odd]
    for body in pages:
        watched.client.bodies = [body]
        assert step(watched.watcher) == 0.0
    assert "b" in watched.reports[-1]
    assert ("a" in watched.reports[-1]) is not is_early
    assert "x" not in watched.reports[-1]
    assert watched.watcher.version == 6
    assert watched.meter.counts == {("jasminewind.input.unusable", "table"): 1}


@pytest.mark.parametrize(
    "body",
    [
        page(json.dumps(row("a")), more=True),
        page("5", more=True),
    ],
)
def test_a_table_that_does_not_end_is_read_again_later(watched, body):
    """Guards against calls without a pause, and against half a table."""
    watched.client.bodies = [body]
    assert step(watched.watcher) == rows.RETRY_DELAY_S
    assert len(watched.client.paths) <= 2
    assert not watched.watcher.has_snapshot


def test_a_change_without_a_newer_version_is_read_with_pauses(watched):
    """Guards against calls without a pause, each of which has a price."""
    text = json.dumps(row("a"))
    watched.client.bodies = [page(text)]
    assert step(watched.watcher) == 0.0
    for version in (5, 4, 0):
        watched.client.bodies = [page(text, version=version)]
        assert step(watched.watcher) == rows.RETRY_DELAY_S
        assert watched.watcher.version == 5
    watched.client.bodies = [page(text, version=6)]
    assert step(watched.watcher) == 0.0


@pytest.mark.parametrize("version", [10**30, 10**400, -1, '"5"', "1e400"])
def test_a_version_that_no_store_has_is_not_used(watched, version):
    """Guards against a feed that skips every later change."""
    for body in (page(json.dumps(row("a"))), page(version=version)):
        watched.client.bodies = [body]
        step(watched.watcher)
    assert watched.watcher.version == 5
    watched.client.bodies = [page(json.dumps(row("c")), version=6)]
    step(watched.watcher)
    assert sorted(watched.reports[-1]) == ["a", "c"]


@hypothesis.given(texts=strategies.lists(odd_values.texts(PAGE), max_size=4))
def test_pages_fuzz(texts):
    """Guards against an exception that ends the following of a table."""
    watched = Watched()
    for text in texts:
        watched.client.bodies = [text, None]
        step(watched.watcher)
    watched.client.bodies = [page(json.dumps(row("z")), version=2**62)]
    step(watched.watcher)
    assert "z" in watched.reports[-1]


@hypothesis.given(text=odd_values.texts(PAGE) | odd_values.texts(PAGE["rows"]))
def test_answers_to_writes_fuzz(text):
    """Guards against an exception that ends the writing of a row."""
    found = rows.other_version(
        exchanges.Response(status=412, body=text), "members", "a"
    )
    assert found.is_err()
    response = result.Ok(exchanges.Response(status=200, body=text))
    rows.decode_body(response, rows.bodies.WrittenBody)
