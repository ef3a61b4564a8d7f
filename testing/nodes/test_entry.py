"""Tests of the entry: how its state machines are wired together."""

import random

from _jasminewind import ids
from _jasminewind.decisions import core
from _jasminewind.messages import membership
from _jasminewind.messages import ownership
from _jasminewind.messages import work
from testing.decisions import fakes
from testing.decisions import fleet

OWNER = fleet.agent_record(0)


def record_sends(entry):
    """Return a list to which each sent submission is added."""
    sent = []

    def record(machine, action):
        del machine
        if isinstance(action.message, work.Submit):
            sent.append(action.message)

    entry.handlers[core.Send] = record
    return sent


def report_owner(entry):
    """Tell the entry that an agent serves and owns the only shard."""
    digest = membership.CellDigest(
        cell=0,
        reporter=OWNER.node,
        sequence=1,
        digest_hash=0,
        full=True,
        records=(OWNER,),
    )
    entry.link_message(OWNER.node, digest)
    row = fleet.shard_row(0, OWNER)
    entry.link_message(OWNER.node, ownership.OwnerAnnounce(row=row))


def submission(entry):
    """Return a request whose id the caller chose."""
    now = entry.timers.now()
    return work.Submit(
        work_id=ids.new(wall_ms=now.wall_ms, rng=random.Random(1)),
        kind=work.WorkKind.REQUEST,
        team="millers",
        tasks=(
            work.Task(name="call", service="hutch-orders", method="quote"),
        ),
        budget_s=30.0,
        config_version=1,
    )


def test_an_entry_takes_work_as_soon_as_it_is_ready(entry, clock):
    """Guards against an entry that is ready and refuses what it is sent.

    Pattern: entries are replaced one after the other under load, and the
    balancer sends calls to a new one at its first successful health check.
    """
    sent = record_sends(entry)
    entry.table.fake.mode = fakes.TableMode.OUTAGE
    clock.run(0.5)
    entry.table.fake.mode = fakes.TableMode.OK
    report_owner(entry)
    while not entry.is_ready().ready:
        clock.advance(0.01)
    entry.submit(submission(entry))
    assert [message.join_only for message in sent] == [False]


def test_an_entry_without_reports_is_not_ready(entry, clock):
    """Guards against calls that wait in an entry that knows no owner.

    Pattern: entries are replaced one after the other under load.
    """
    clock.run(1.0)
    readiness = entry.is_ready()
    assert (readiness.ready, readiness.accepts_work) == (False, True)
    report_owner(entry)
    assert entry.is_ready().ready


def test_an_entry_without_agents_becomes_ready(entry, clock):
    """Guards against an entry that operators cannot reach."""
    clock.run(11.0)
    assert entry.is_ready().ready


def test_an_entry_that_was_paused_forwards_what_waited(entry, clock):
    """Guards against refusals after a pause of 2 s.

    Pattern: under load the confirmation of the configuration is out of date
    when the entry reads the calls that arrived meanwhile.
    """
    sent = record_sends(entry)
    clock.run(1.0)
    report_owner(entry)
    entry.table.clock = clock
    clock.advance(2.5)
    readiness = entry.is_ready()
    assert (readiness.ready, readiness.accepts_work) == (False, True)
    entry.submit(submission(entry))
    assert sent == []
    clock.run(0.3)
    assert [message.join_only for message in sent] == [False]
