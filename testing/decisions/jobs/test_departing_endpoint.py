"""Endpoints that say that they leave, fall silent or are replaced.

None of it proves that their runs have ended: those go on until the endpoint
lists their end or its lease expires.
"""

import pytest

from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import leases
from _jasminewind.messages import runs
from testing.decisions.jobs import cluster
from testing.decisions.jobs import test_paused_agent

JOB = 1


@pytest.fixture
def simulated():
    """Return a cluster of one entry and three agents, with a job running."""
    simulated = cluster.SimulatedCluster(entries=1, agents=3, cores=10.0)
    simulated.run(2.5)
    simulated.submit("entry-0", cluster.job(JOB, count=3, work_s=2.0))
    simulated.run(0.2)
    return simulated


def busy_agent(simulated):
    """Return the name of an agent whose endpoint executes a run."""
    return next(
        name for name, each in simulated.endpoints.items() if each.running
    )


@pytest.mark.parametrize("lingers_s", [0.0, 0.01, 0.1, 0.3, 5.0])
def test_a_leaving_endpoint_keeps_its_runs_until_they_end(
    simulated, lingers_s
):
    """Guards against two runs of a task while an endpoint is exiting.

    It says that it leaves while it still executes them.
    """
    simulated.leave(busy_agent(simulated), lingers_s=lingers_s)
    simulated.run(8.0)
    assert simulated.violations() == []
    assert simulated.states() == {JOB: ["completed"]}


def test_the_lease_of_a_leaving_endpoint_is_not_renewed(simulated):
    """Guards against runs that hold back their tasks for long.

    The endpoint says that it leaves, answers no stop and does not exit.
    """
    name = busy_agent(simulated)
    simulated.stop_loss = 1.0
    simulated.leave(name, lingers_s=60.0)
    simulated.run(leases.MAX_LEASE_S + 0.1)
    simulated.endpoints[name].advance(simulated.now_s)
    assert not simulated.endpoints[name].running
    assert simulated.processes[name].state_machine.endpoint is None


def test_a_silent_endpoint_that_answers_keeps_its_runs(simulated):
    """Guards against two runs of a task whose endpoint announces nothing.

    Its announcements are lost, while it answers every call of its agent.
    """
    silent = busy_agent(simulated)
    announce = simulated.announce
    simulated.announce = lambda name: name == silent or announce(name)
    spec = cluster.job(JOB + 1, count=6, work_s=8.0)
    simulated.submit("entry-0", spec)
    simulated.run(12.0)
    assert simulated.violations() == []
    assert simulated.states()[JOB + 1] == ["completed"]
    starts = [key for e in simulated.endpoints.values() for _, key in e.starts]
    assert max(key.number for key in starts) == 1


def test_a_reply_of_another_incarnation_does_not_end_a_run():
    """Guards against two runs of a task when a successor answers early.

    Nothing tells how long its predecessor takes to exit.
    """
    agent = test_paused_agent.Agent()
    agent.executor.on_start_reply(
        test_paused_agent.FIRST, test_paused_agent.DONE, agent.now()
    )
    agent.renewed()
    reply = actions.RenewReply(
        outcome=actions.CallOutcome.OTHER_ENDPOINT, sent_s=agent.now_s
    )
    agent.now_s += 0.01
    found = agent.executor.on_renew_reply(agent.pending, reply, agent.now())
    assert test_paused_agent.FIRST not in reported_ends(found)
    agent.now_s += leases.ENDPOINT_LEASE_S + 0.1
    found = agent.executor.on_tick(agent.now())
    assert test_paused_agent.FIRST in reported_ends(found)


def reported_ends(found):
    """Return the runs whose end is reported to their owner."""
    return [
        end.key
        for action in found
        if isinstance(action, core.Send)
        and isinstance(action.message, runs.RunsEnded)
        for end in action.message.ends
    ]
