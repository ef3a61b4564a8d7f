"""Endpoints that restart under the identifier that they had."""

import pytest

from testing.decisions.jobs import cluster
from testing.decisions.jobs import endpoint

JOB = 1


def restart_endpoints(simulated):
    """Restart all endpoints under their names; no agent learns of it."""
    for name, earlier in list(simulated.endpoints.items()):
        simulated.end_endpoint(earlier)
        simulated.endpoints[name] = endpoint.FakeEndpoint(
            earlier.record.name, born_s=simulated.now_s
        )
    for each in simulated.endpoints.values():
        each.peers = list(simulated.endpoints.values())


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
