"""Endpoints that restart under the identifier that they had."""

import pytest

from testing.decisions.jobs import cluster
from testing.decisions.jobs import endpoint

JOB = 1


def restart_endpoints(simulated):
    """Restart all endpoints under their names; no agent learns of it."""
    for name, earlier in list(simulated.endpoints.items()):
        simulated.end_endpoint(earlier)
        begin_life(simulated, name)


def begin_life(simulated, name, *, names_birth=False):
    """Let a new life of an endpoint begin under the name of the earlier."""
    earlier = simulated.endpoints[name]
    later = endpoint.FakeEndpoint(earlier.record.name, born_s=simulated.now_s)
    later.names_birth = names_birth
    simulated.endpoints[name] = later
    for each in simulated.endpoints.values():
        each.peers = list(simulated.endpoints.values())


def hold_up_start(simulated, late_s):
    """Submit a job whose first start arrives late; return its agent."""
    simulated.start_loss, simulated.start_delay_s = 1.0, late_s
    simulated.submit("entry-0", cluster.job(JOB, count=1, work_s=6.0))
    simulated.run(0.05)
    simulated.start_loss = 0.0
    (holder,) = [
        name
        for name, process in simulated.processes.items()
        if name in simulated.endpoints
        and process.state_machine.allocation.runs
    ]
    return holder


def started_later(simulated, name):
    """Return the runs that the current life of an endpoint has started."""
    return [key for _, key in simulated.endpoints[name].starts]


@pytest.mark.parametrize("silent_s", [0.0, 0.3, 0.7, 1.2])
def test_a_start_that_reaches_a_later_life_runs_once(silent_s):
    """Guards against two runs when a start reaches a restarted endpoint.

    Its deadline is on the clock of the earlier life, which was ahead, so that
    the later life shortens it to the longest lease. Then no stop arrives and
    no renewal is answered for a while.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3, cores=10.0)
    simulated.run(2.5)
    simulated.submit("entry-0", cluster.job(JOB, count=3, work_s=2.0))
    # The orders are on their way to the agents.
    simulated.run(cluster.LINK_DELAY_S / 2)
    restart_endpoints(simulated)
    simulated.stop_loss = simulated.renewal_loss = 1.0
    simulated.run(silent_s)
    simulated.stop_loss = simulated.renewal_loss = 0.0
    simulated.run(6.0)
    assert simulated.violations() == []
    assert simulated.states() == {JOB: ["completed"]}


@pytest.mark.parametrize("names_birth", [False, True])
@pytest.mark.parametrize("renewal_loss", [0.0, 1.0])
def test_a_later_life_refuses_a_start_that_arrives_late(
    names_birth, renewal_loss
):
    """Guards against two runs when a later life carries out a late start.

    The earlier life has answered the stop of the run, which is unknown to the
    later one. That one may leave all renewals unanswered.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    for each in simulated.endpoints.values():
        each.names_birth = names_birth
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.2)
    simulated.run(1.45)
    simulated.end_endpoint(simulated.endpoints[holder])
    simulated.run(0.3)
    begin_life(simulated, holder, names_birth=names_birth)
    simulated.renewal_loss = renewal_loss
    simulated.run(0.45)
    simulated.renewal_loss = 0.0
    simulated.run(8.0)
    assert simulated.violations() == []
    assert started_later(simulated, holder) == []
    assert simulated.states() == {JOB: ["completed"]}
