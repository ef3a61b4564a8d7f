"""Endpoints that restart under the identifier that they had."""

import dataclasses

import pytest

from _jasminewind.decisions.jobs import executor
from _jasminewind.decisions.jobs import leases
from _jasminewind.messages import runs
from testing.decisions.jobs import cluster
from testing.decisions.jobs import endpoint

JOB = 1


def restart_endpoints(simulated):
    """Restart all endpoints under their names; no agent learns of it."""
    for name, earlier in list(simulated.endpoints.items()):
        simulated.end_endpoint(earlier)
        begin_life(simulated, name)


def begin_life(
    simulated,
    name,
    *,
    names_birth=False,
    is_silent=False,
    kind=endpoint.FakeEndpoint,
):
    """Let a new life of an endpoint begin under the name of the earlier.

    A silent one does not announce itself yet.
    """
    earlier = simulated.endpoints[name]
    later = kind(earlier.record.name, born_s=simulated.now_s)
    later.names_birth = names_birth
    later.is_leaving = is_silent
    simulated.endpoints[name] = later
    for each in simulated.endpoints.values():
        each.peers = list(simulated.endpoints.values())


def hold_up_start(simulated, late_s, *, caller_timeout_s=0.0):
    """Submit a job whose first start arrives late; return its agent."""
    simulated.start_loss, simulated.start_delay_s = 1.0, late_s
    job = cluster.job(JOB, count=1, work_s=6.0)
    simulated.submit(
        "entry-0",
        dataclasses.replace(job, caller_timeout_s=caller_timeout_s),
    )
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


def test_a_lapsed_lease_settles_a_start_for_later_lives_too():
    """Guards against two runs when the lease alone settled the start.

    The earlier life leaves the stop and all renewals unanswered until the run
    is given up.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.2)
    simulated.stop_loss = simulated.renewal_loss = 1.0
    simulated.run(1.0)
    assert not simulated.processes[holder].state_machine.allocation.runs
    simulated.stop_loss = simulated.renewal_loss = 0.0
    simulated.run(0.5)
    simulated.end_endpoint(simulated.endpoints[holder])
    simulated.run(0.3)
    begin_life(simulated, holder)
    simulated.run(8.0)
    assert simulated.violations() == []
    assert started_later(simulated, holder) == []


def test_a_job_whose_start_may_arrive_late_is_not_denied():
    """Guards against "never runs" for a job that a later life may start.

    The agent has reported its run as not started, and no endpoint is left.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=1)
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.2, caller_timeout_s=20.0)
    simulated.start_loss = 1.0
    simulated.run(0.5)
    process = simulated.processes[holder].state_machine
    ends = [each.end for each in process.recent_ends.by_key.values()]
    assert runs.RunOutcome.NOT_STARTED in [end.outcome for end in ends]
    simulated.end_endpoint(simulated.endpoints[holder])
    simulated.run(60.0)
    assert simulated.states() == {JOB: ["abandoned"]}


def crash_and_begin(simulated, holder, *, after_s):
    """Let an endpoint crash and begin a life; then the start arrives late."""
    simulated.run(after_s)
    simulated.end_endpoint(simulated.endpoints[holder])
    simulated.run(0.3)
    begin_life(simulated, holder, names_birth=True, is_silent=True)
    simulated.run(8.0)


def test_a_later_life_refuses_a_start_of_a_dead_entry():
    """Guards against two runs when a caller returns to another entry."""
    simulated = cluster.SimulatedCluster(entries=2, agents=3)
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.9)
    simulated.kill("entry-0")
    simulated.run(leases.RESUBMIT_DELAY_S)
    simulated.submit("entry-1", cluster.job(JOB, count=1, work_s=6.0))
    crash_and_begin(simulated, holder, after_s=0.5)
    assert simulated.violations() == []
    assert started_later(simulated, holder) == []


def test_a_later_life_refuses_a_start_from_before_an_evacuation():
    """Guards against a start in an evacuated domain, beside another run."""
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.2)
    process = simulated.processes[holder].state_machine
    evacuated = runs.DomainState(
        domain=process.endpoint.failure_domain, version=1, is_evacuated=True
    )
    process.learn_domain_state(evacuated, simulated.instant())
    crash_and_begin(simulated, holder, after_s=1.0)
    assert simulated.violations() == []
    assert started_later(simulated, holder) == []


@pytest.mark.parametrize("stop_loss", [0.0, 1.0])
def test_a_run_that_is_moved_early_ends_before_a_later_life(stop_loss):
    """Guards against two runs when a draining endpoint restarts.

    Its agent has stopped the run, since it would not end in time.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=2)
    simulated.run(2.9)
    simulated.submit("entry-0", cluster.job(JOB, count=2, work_s=6.0))
    simulated.run(0.1)
    holder, *_ = [n for n, e in simulated.endpoints.items() if e.running]
    simulated.stop_loss = stop_loss
    simulated.drain(holder, announced_s=0.5, stays_s=0.4)
    simulated.run(0.4)
    begin_life(simulated, holder, names_birth=True)
    simulated.run(0.5)
    simulated.stop_loss = 0.0
    simulated.run(12.0)
    assert simulated.violations() == []
    assert simulated.states() == {JOB: ["completed"]}


# Lives that begin while the agent uses no endpoint


def test_a_life_after_a_notice_refuses_a_start_that_arrives_late():
    """Guards against two runs when an endpoint comes back after it has left.

    Its agent has dropped it, and uses no endpoint until the next announcement.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.2)
    simulated.run(0.5)
    simulated.leave(holder, lingers_s=0.3)
    simulated.run(0.8)
    assert simulated.processes[holder].state_machine.endpoint is None
    begin_life(simulated, holder, names_birth=True, is_silent=True)
    simulated.run(8.0)
    assert simulated.violations() == []
    assert started_later(simulated, holder) == []
    assert simulated.states() == {JOB: ["completed"]}


def test_a_third_life_refuses_a_start_that_arrives_late():
    """Guards against two runs when an endpoint restarts twice.

    The agent has dropped the first life when the second one replied, and has
    not attached to that when it crashes.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    for each in simulated.endpoints.values():
        each.names_birth = True
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.2)
    for up_s in (0.4, 0.8):
        simulated.run(up_s)
        simulated.end_endpoint(simulated.endpoints[holder])
        simulated.run(0.3)
        begin_life(simulated, holder, names_birth=True, is_silent=True)
    simulated.run(8.0)
    assert simulated.violations() == []
    assert started_later(simulated, holder) == []


# Agents that start again


def test_a_later_life_refuses_a_start_of_an_earlier_agent_process():
    """Guards against two runs when agent and endpoint both start again.

    The new process restores the endpoint, which has crashed, and does not
    know the fencing token of the start that its predecessor has sent.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    for each in simulated.endpoints.values():
        each.names_birth = True
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.2)
    earlier = simulated.endpoints[holder]
    simulated.kill(holder)
    simulated.end_endpoint(earlier)
    simulated.run(0.3)
    simulated.start_agent(holder, incarnation=2)
    process = simulated.processes[holder]
    simulated.perform(
        process,
        process.state_machine.restore_endpoint(
            earlier.record, simulated.instant()
        ),
    )
    simulated.run(0.3)
    begin_life(simulated, holder, names_birth=True)
    simulated.run(8.0)
    assert simulated.violations() == []
    assert started_later(simulated, holder) == []


# The time before the first call


@pytest.mark.parametrize("names_birth", [False, True])
def test_a_start_that_is_carried_out_before_the_first_call_is_stopped(
    names_birth,
):
    """Guards against a second run that goes on until its lease lapses.

    A later life gets the start before the agent has called it.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    for each in simulated.endpoints.values():
        each.names_birth = names_birth
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=2.22)
    simulated.run(1.45)
    simulated.end_endpoint(simulated.endpoints[holder])
    simulated.run(0.719)
    begin_life(simulated, holder, names_birth=names_birth)
    simulated.run(0.005)
    later = simulated.endpoints[holder]
    assert later.running
    simulated.run(2 * executor.RunExecutor.TICK_S)
    assert not later.running


class Called(endpoint.FakeEndpoint):
    """An endpoint that records when the first call reaches it."""

    first_call_s = None

    def rejection(self, fencing_token, now_s):
        """Record the time of a call, and handle it."""
        if self.first_call_s is None:
            self.first_call_s = now_s
        return super().rejection(fencing_token, now_s)


@pytest.mark.parametrize("is_dropped", [False, True])
@pytest.mark.parametrize("down_s", [0.8 + 0.02 * n for n in range(8)])
def test_a_later_life_is_called_within_a_tick(down_s, is_dropped):
    """Guards against a long time in which a life takes earlier starts.

    The earlier life crashes or leaves while a start may arrive late, and does
    not answer any more.
    """
    simulated = cluster.SimulatedCluster(entries=1, agents=3)
    simulated.run(2.9)
    holder = hold_up_start(simulated, late_s=11.0)
    simulated.run(0.5)
    if is_dropped:
        simulated.leave(holder, lingers_s=0.0)
    else:
        simulated.end_endpoint(simulated.endpoints[holder])
    simulated.run(down_s)
    begin_life(simulated, holder, is_silent=True, kind=Called)
    later = simulated.endpoints[holder]
    began_s = simulated.now_s
    simulated.run(0.3)
    assert later.first_call_s is not None
    assert later.first_call_s - began_s <= executor.RunExecutor.TICK_S + 0.001
