"""Tests of the HTTP minion client against a stand-in minion."""

import pytest

from _jasminewind import errors
from _jasminewind.decisions import core
from _jasminewind.platform import minions
from _jasminewind.standins import faults
from _jasminewind.standins import minion as minion_standin
from testing import reactor
from testing import starts


@pytest.fixture
def standin():
    """A running minion stand-in."""
    made = minion_standin.MinionStandIn(
        reactor=reactor.reactor,
        name="minion-1",
        service="hutch-orders",
        slots=2,
        max_connections=4,
    )
    reactor.run(made.open)
    yield made
    reactor.run(made.close)


@pytest.fixture
def minion(standin, ends):
    """A client that is attached to the minion."""
    made = minions.HttpMinion(
        reactor=reactor.reactor,
        host="127.0.0.1",
        port=standin.port,
        connections=4,
    )
    assert reactor.run(made.attach, ends.on_end, ends.on_usage).unwrap() == ()
    yield made
    reactor.run(made.detach)


def set_faults(standin, **wanted):
    """Inject faults."""
    reactor.run(standin.set_faults, faults.Faults(**wanted))


def test_call_returns_its_payload(minion, ends):
    """Guards against responses assigned to the wrong task."""
    batch = [starts.task_start(seed, run_s=0.01) for seed in range(4)]
    for item in batch:
        reactor.run(minion.start, item)
    found = ends.wait(4)
    assert all(found[item.key].error is None for item in batch)


def test_failed_call_is_reported_as_failed(minion, ends):
    """Guards against a failure reported as success."""
    item = starts.task_start(1, fail=True)
    reactor.run(minion.start, item)
    end = ends.wait(1)[item.key]
    assert end.error.failure is errors.EndpointFailure.FAILED


def test_frozen_minion_ends_as_unknown(standin, minion, ends):
    """Guards against a frozen minion that blocks its caller forever."""
    set_faults(standin, freeze=True)
    item = starts.task_start(1, budget_s=0.1)
    reactor.run(minion.start, item)
    end = ends.wait(1)[item.key]
    assert end.error.failure is errors.EndpointFailure.UNKNOWN


def test_lost_response_ends_as_unknown_and_runs_once(standin, minion, ends):
    """Guards against an HTTP client that retries a call."""
    set_faults(standin, drop_answer=True)
    item = starts.task_start(1)
    reactor.run(minion.start, item)
    end = ends.wait(1)[item.key]
    assert end.error.failure is errors.EndpointFailure.UNKNOWN
    records = reactor.run(standin.start_list).starts
    assert [record.key for record in records] == [item.key]


@pytest.mark.parametrize("fault", ["down", "refuse"])
def test_call_that_was_not_accepted_is_not_run(standin, minion, ends, fault):
    """Guards against a proven refusal reported as unknown."""
    # A call on a connection that breaks during it would end as unknown.
    reactor.run(minion.http_client.close)
    set_faults(standin, **{fault: True})
    item = starts.task_start(1)
    reactor.run(minion.start, item)
    end = ends.wait(1)[item.key]
    assert end.error.failure is errors.EndpointFailure.REFUSED


def test_stop_frees_the_slot(standin, minion, ends):
    """Guards against cancelled calls that still occupy a slot."""
    item = starts.task_start(1, run_s=50.0)
    reactor.run(minion.start, item)
    reactor.run(reactor.until, standin.is_busy)
    reactor.run(minion.control, item.key, core.TaskCommand.STOP)
    end = ends.wait(1)[item.key]
    assert end.error.failure is errors.EndpointFailure.UNKNOWN
    reactor.run(reactor.until, lambda: not standin.is_busy())
