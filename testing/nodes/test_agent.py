"""Tests of the agent: how its state machines are wired together."""

import dataclasses
import random

from _jasminewind import ids
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.messages import membership
from _jasminewind.messages import tasks
from _jasminewind.messages import work
from testing import starts
from testing.decisions import fakes

ENTRY = members.NodeId("entry-1", 1)
ENDPOINT = members.Endpoint(
    name="minion-1",
    kind=members.EndpointKind.MINION,
    service="orders",
    capacity=resources.Resources(slots=8),
    connections=64,
)


def announce(agent):
    """Attach the endpoint and send one announcement of it."""
    now = agent.timers.now()
    agent.endpoint.is_attached = True
    agent.perform(
        agent.executor, agent.executor.on_announcement(ENDPOINT, now)
    )


def test_silent_endpoint_leaves_the_serving_state(agent, clock):
    """Guards against routing work to an endpoint whose lease expired."""
    announce(agent)
    clock.run(3.8)
    assert agent.membership.member.state is members.State.SERVING
    clock.run(0.6)
    assert agent.membership.member.state is members.State.JOINING
    announce(agent)
    clock.run(0.4)
    assert agent.membership.member.state is members.State.SERVING


def test_silent_endpoint_refuses_starts(agent, clock):
    """Guards against accepting a start before the state is refreshed."""
    announce(agent)
    agent.executor.on_attached((), agent.timers.now())
    clock.run(4.4)
    message = tasks.StartTasks(
        keeper=agent.member.node,
        starts=(starts.task_start(1),),
        config_version=1,
    )
    actions = agent.executor.on_message(ENTRY, message, agent.timers.now())
    sent = [a.message for a in actions if isinstance(a, core.Send)]
    assert any(isinstance(m, tasks.TasksRefused) for m in sent)


def test_known_entries_are_told_the_owners(agent, clock):
    """Guards against entries that learn of new owners only by digest."""
    address = members.Address("127.0.0.1", 7100)
    contact = members.Contact(node=ENTRY, address=address)
    agent.membership.entries = {ENTRY.name: contact}
    clock.run(0.3)
    assert agent.ownership.entries == {ENTRY: address}


def test_own_shards_are_in_the_digests(agent, clock):
    """Guards against digests without the reporter's own shards."""
    clock.run(15.0)
    assert agent.ownership.owned() == (0, 1)
    rows = agent.membership.reporter.rows
    assert {row.current.owner for row in rows.values()} == {agent.member.node}
    assert sorted(rows) == [0, 1]


def test_shutdown_ends_when_the_shards_are_given_away(agent, clock):
    """Guards against exiting before records are handed over."""
    clock.run(15.0)
    agent.begin_shutdown()
    assert not agent.is_idle()
    clock.run(10.0)
    assert agent.coordinator.is_closed
    assert agent.is_idle()


def test_a_leaving_agent_accepts_an_id_that_was_under_way(agent, clock):
    """Guards against "may have run" for a submission that arrives late.

    Pattern: a submission waits for 1.6 s in an entry that was just replaced,
    while the owner of its id, which is next, accepts newer ids and leaves.
    """
    agent.coordinator.freshness = None
    clock.run(15.0)
    rng = random.Random(1)
    now = agent.timers.now()
    late_id = ids.new(wall_ms=now.wall_ms - 1_000, rng=rng)
    newer_ids = [ids.new(wall_ms=now.wall_ms, rng=rng) for _ in range(20)]
    for work_id in newer_ids:
        agent.ownership.check_id(work_id, now)
    agent.begin_shutdown()
    clock.run(1.5)
    assert agent.ownership.has_transferred_shards()
    submit = work.Submit(
        work_id=late_id,
        kind=work.WorkKind.REQUEST,
        team="millers",
        tasks=(work.Task(name="a", service="orders", method="quote"),),
        budget_s=5.0,
        config_version=1,
    )
    agent.link_message(ENTRY, submit)
    assert agent.coordinator.store.find(late_id) is not None
    assert not agent.is_idle()


def test_stop_with_a_link_that_is_being_opened(agent):
    """Guards against a shutdown that fails on a half-open connection."""
    address = members.Address("127.0.0.1", 7100)
    agent.links.send(ENTRY, address, tasks.ResultsAck(keys=()))
    agent.stop()
    assert agent.links.is_stopping


def test_state_of_an_agent_is_measured(agent, clock):
    """Guards against gauges that are defined but never recorded."""
    agent.meter = fakes.Meter()
    clock.run(15.0)
    values = agent.meter.values
    assert values[metrics.SHARDS_OWNED.name][-1] == 2
    assert values[metrics.LINKS.name][-1] == 0
    assert values[metrics.MEMBERS.name][-1] == 1


def test_refused_starts_count_as_wasted_messages(agent):
    """Guards against refusals missing from the wasted-messages metric."""
    agent.meter = fakes.Meter()
    message = tasks.StartTasks(
        keeper=agent.member.node,
        starts=(starts.task_start(1),),
        config_version=1,
    )
    agent.link_message(ENTRY, message)
    assert agent.meter.total(metrics.MESSAGES_WASTED) == 2


def test_a_member_that_leaves_is_no_successor_at_once(agent, clock):
    """Guards against a claim that names a departed process as successor.

    It happened when agents were replaced one after another under load.
    """
    other = dataclasses.replace(
        agent.membership.member,
        node=members.NodeId("agent-2", 1),
        address=members.Address("127.0.0.1", 7102),
        state=members.State.SERVING,
    )
    agent.link_message(other.node, membership.Heartbeat(member=other))
    clock.run(1.0)
    assert agent.ownership.cell.can_own(other.node)
    agent.link_message(other.node, membership.Leave(node=other.node))
    assert not agent.ownership.cell.can_own(other.node)
