"""Agent processes that replace each other under one name, as entries see them.

What an earlier process sent may arrive long after it has ended.
"""

import pytest

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.messages import runs
from testing.decisions.jobs import cluster

JOB = 1
EARLIER = members.NodeId("agent-0", 1)


@pytest.fixture
def simulated():
    """Return a cluster whose only agent is the second process of its name."""
    simulated = cluster.SimulatedCluster(entries=1, agents=0)
    simulated.add_agent("agent-0")
    simulated.kill("agent-0")
    simulated.start_agent("agent-0", incarnation=2)
    simulated.add_agent("agent-1")
    simulated.run(2.5)
    simulated.submit("entry-0", cluster.job(JOB, count=4, work_s=2.0))
    simulated.run(0.2)
    assert simulated.endpoints["agent-0"].running
    return simulated


def late_heartbeat(simulated):
    """Deliver a heartbeat of the earlier process to the entry."""
    entry = simulated.processes["entry-0"]
    record = simulated.endpoints["agent-0"].record
    heartbeat = runs.AgentBeat(
        sequence=900,
        load=runs.AgentLoad(
            sequence=900,
            accepting=True,
            free=resources.Resources(cores=10.0, memory_mb=1_000.0),
        ),
        endpoint=record,
    )
    requested = entry.state_machine.on_message(
        EARLIER, heartbeat, simulated.instant()
    )
    simulated.perform(entry, requested)


def test_a_late_heartbeat_of_the_earlier_process_ends_no_run(simulated):
    """Guards against two runs of a task after a link delivers late.

    An entry gives up what the process before ran once a new one accepts
    work, which the earlier one is not.
    """
    late_heartbeat(simulated)
    simulated.run(8.0)
    assert simulated.violations() == []
    assert simulated.states() == {JOB: ["completed"]}


def test_a_late_heartbeat_of_the_earlier_process_adds_no_agent(simulated):
    """Guards against orders to a process that has ended."""
    late_heartbeat(simulated)
    directory = simulated.processes["entry-0"].state_machine.directory
    assert EARLIER not in directory.by_node


def test_a_new_process_is_used_after_its_wall_clock_was_set_back(simulated):
    """Guards against an agent that entries ignore for good.

    Its incarnation is lower than that of the process that it replaces.
    """
    simulated.kill("agent-0")
    simulated.run(0.1)
    simulated.start_agent("agent-0", incarnation=1)
    simulated.run(6.0)
    directory = simulated.processes["entry-0"].state_machine.directory
    assert directory.by_node[EARLIER].is_usable(simulated.now_s)
    assert simulated.violations() == []
