"""Tests of the agents that an entry knows."""

import pytest

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions.jobs import agent_directory
from _jasminewind.messages import runs


@pytest.mark.parametrize(
    "fields",
    [{"slowness": 0.0}, {"slowness": -1.0}, {"owners": 0}, {"owners": -1}],
)
def test_an_odd_load_does_not_affect_other_agents(fields):
    """Guards against an entry that places nothing for the load of one agent.

    A mean that is rounded to 0 is the load of an endpoint whose callers
    estimate far too much.
    """
    directory = agent_directory.AgentDirectory()
    record = runs.EndpointRecord(
        name="i-1",
        born_ms=1,
        service="orders",
        failure_domain="a",
        capacity=resources.Resources(cores=2.0),
    )
    for name, odd in (("agent-1", fields), ("agent-2", {})):
        agent = directory.add(members.NodeId(name, 1))
        load = runs.AgentLoad(sequence=1, accepting=True, **odd)
        beat = runs.AgentBeat(sequence=1, load=load, endpoint=record)
        directory.on_heartbeat(agent, beat, 1.0)
    capacity = directory.capacity("orders")
    assert capacity.cores >= 4.0
    assert capacity.share >= 4.0
