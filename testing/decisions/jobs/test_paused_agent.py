"""Agents that are paused, and handle what arrived meanwhile on waking.

A reactor reads its connections before it runs the timers that are overdue,
so the first message is handled before any tick.
"""

import pytest

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import executor
from _jasminewind.decisions.jobs import leases
from _jasminewind.decisions.jobs import registry
from _jasminewind.messages import runs

ENTRY = members.NodeId("entry-0", 1)
OTHER_ENTRY = members.NodeId("entry-1", 1)
CAPACITY = resources.Resources(cores=10.0, memory_mb=1_000.0)
RECORD = runs.EndpointRecord(
    name="i-1",
    born_ms=1,
    service="orders",
    failure_domain="a",
    capacity=CAPACITY,
)
FIRST = runs.RunKey("0000000000000001.0.0.0", 1)
QUEUED = runs.RunKey("0000000000000002.0.0.0", 1)
DONE = actions.CallReply(outcome=actions.CallOutcome.DONE)


def instant(now_s):
    """Return an instant."""
    return core.Instant(now_s, int(now_s * 1000))


def order(key, cores):
    """Return an order to start a run."""
    return runs.RunOrder(
        key=key,
        specification="text",
        need=resources.Resources(cores=cores, memory_mb=1.0),
        estimate_s=0.3,
        slack_s=1.0,
        checkpoint="",
    )


def calls(found, kind):
    """Return the calls of one kind to the endpoint."""
    return [action for action in found if isinstance(action, kind)]


class Agent:
    """An executor with a run in progress and one queued behind it."""

    def __init__(self):
        self.now_s = 10.0
        self.executor = executor.RunExecutor(agent="agent-0")
        self.executor.on_registered(is_first=True)
        self.executor.set_entries(
            tuple(
                registry.EntryAddress(node.name, members.Address(node.name, 1))
                for node in (ENTRY, OTHER_ENTRY)
            ),
            self.now(),
        )
        attached = self.announce()
        (self.renewal,) = calls(attached, actions.CallRenew)
        self.pending = calls(self.renewed(), actions.CallRenew)[0]
        self.executor.on_tick(self.now())
        self.grant = self.executor.grants.sequence
        self.executor.on_message(
            ENTRY, runs.BeatEcho(sequence=self.grant), self.now()
        )
        assert self.order(1, order(FIRST, 9.0)) == [FIRST]
        assert self.order(2, order(QUEUED, 1.2)) == []
        assert [run.key for run in self.executor.allocation.queue] == [QUEUED]

    def order(self, batch, *orders, endpoint=None):
        """Order runs; return those that are started at once."""
        message = runs.StartRuns(
            batch=batch, grant=self.grant, orders=orders, endpoint=endpoint
        )
        return self.started_keys(
            self.executor.on_message(ENTRY, message, self.now())
        )

    def now(self):
        """Return the current instant."""
        return instant(self.now_s)

    def announce(self):
        """Announce the endpoint."""
        return self.executor.on_announcement(
            RECORD,
            clock_ms=int(self.now_s * 1000),
            is_draining=False,
            now=self.now(),
        )

    def renewed(self, **lists):
        """Answer the pending renewal."""
        call = getattr(self, "pending", None) or self.renewal
        reply = actions.RenewReply(
            outcome=actions.CallOutcome.DONE,
            sent_s=self.now_s,
            clock_ms=int(self.now_s * 1000),
            complete=True,
            born_ms=RECORD.born_ms,
            **lists,
        )
        return self.executor.on_renew_reply(call, reply, self.now())

    def started_keys(self, found):
        """Return the runs that the actions start."""
        return [a.order.key for a in calls(found, actions.CallStart)]


def end_first_run(agent):
    """Let the endpoint list the end of the first run."""
    agent.executor.on_start_reply(FIRST, DONE, agent.now())
    ended = actions.ListedEnd(
        number=1, key=FIRST, outcome=runs.RunOutcome.DONE
    )
    return agent.renewed(ended=(ended,))


def refuse_first_start(agent):
    """Let the endpoint refuse the first start, which makes room."""
    refused = actions.CallReply(
        outcome=actions.CallOutcome.NO_ROOM,
        clock_ms=int(agent.now_s * 1000),
    )
    return agent.executor.on_start_reply(FIRST, refused, agent.now())


EVENTS = {"end": end_first_run, "refused start": refuse_first_start}


@pytest.mark.parametrize("event", EVENTS)
def test_a_queued_run_starts_once_there_is_room(event):
    """Shows that the events start the queued run without a pause."""
    agent = Agent()
    agent.now_s += 0.1
    assert agent.started_keys(EVENTS[event](agent)) == [QUEUED]


@pytest.mark.parametrize("event", EVENTS)
def test_a_queued_run_is_not_started_after_its_grant(event):
    """Guards against a start under a grant that expired in a pause.

    Its entry has placed the task elsewhere by then.
    """
    agent = Agent()
    agent.now_s += leases.AGENT_TIMEOUT_S + 0.5
    assert agent.started_keys(EVENTS[event](agent)) == []


def test_an_order_for_another_life_of_the_endpoint_is_refused():
    """Guards against tasks on an endpoint that lacks what they require.

    The entry has not heard yet that the endpoint was replaced.
    """
    agent = Agent()
    end_first_run(agent)
    key = runs.RunKey("other.0.0.0", 1)
    earlier = runs.Incarnation("earlier", 1)
    assert agent.order(3, order(key, 0.5), endpoint=earlier) == []
    assert key in agent.executor.recent_ends
    assert key not in agent.executor.allocation.runs
    following = runs.RunKey("other.0.0.0", 2)
    agent.order(4, order(following, 0.5), endpoint=runs.incarnation(RECORD))
    assert following in agent.executor.allocation.runs


def test_a_lost_renewal_is_not_repeated_for_a_lost_entry():
    """Guards against a lease that is extended under an expired grant."""
    agent = Agent()
    agent.executor.on_start_reply(FIRST, DONE, agent.now())
    agent.now_s += leases.OWNER_GRANT_S + 0.1
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.LOST, sent_s=agent.now_s
    )
    found = agent.executor.on_renew_reply(agent.pending, reply, agent.now())
    stops = calls(found, actions.CallStop)
    assert [call.key for call in stops] == [FIRST]
    assert not any(
        call.deadline_ms for call in calls(found, actions.CallRenew)
    )
