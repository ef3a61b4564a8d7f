"""Endpoints that leave stops unanswered while they answer renewals."""

import pytest

from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import leases
from _jasminewind.messages import runs
from testing.decisions.jobs import test_paused_agent

FIRST = test_paused_agent.FIRST
ENTRY = test_paused_agent.ENTRY
STEP_S = 0.05


def lease_end_s(agent, *, for_s):
    """Return when the lease ends, as extended in the next ``for_s`` seconds.

    The entry acknowledges each heartbeat with the stop, and the endpoint
    answers renewals only.
    """
    deadline_ms = 0
    until_s = agent.now_s + for_s
    while agent.now_s < until_s:
        agent.now_s += STEP_S
        found = agent.executor.on_tick(agent.now())
        found += agent.executor.on_message(
            ENTRY,
            runs.BeatEcho(
                sequence=agent.executor.grants.sequence, stops=(FIRST,)
            ),
            agent.now(),
        )
        found += agent.renewed(
            running=(actions.RunningRun(key=FIRST, percent=1),)
        )
        renewals = test_paused_agent.calls(found, actions.CallRenew)
        for call in renewals:
            agent.pending = call
            deadline_ms = max(deadline_ms, call.deadline_ms)
    return deadline_ms / 1000


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.4, 0.6])
@pytest.mark.parametrize("is_lost", [False, True])
def test_a_run_whose_stop_is_late_ends_before_its_caller_returns(
    delay_s, is_lost
):
    """Guards against two runs of a task after a stop was late or lost.

    The caller leaves at once, and its entry sends a stop. It arrives after
    ``delay_s``, or is repeated then with an acknowledgement.
    """
    agent = test_paused_agent.Agent()
    agent.executor.on_start_reply(FIRST, test_paused_agent.DONE, agent.now())
    left_s = agent.now_s
    agent.now_s += delay_s
    message = runs.StopRuns(keys=(FIRST,))
    if is_lost:
        message = runs.BeatEcho(sequence=agent.grant, stops=(FIRST,))
    found = agent.executor.on_message(ENTRY, message, agent.now())
    assert test_paused_agent.calls(found, actions.CallStop)
    end_s = lease_end_s(agent, for_s=1.5)
    drift_s = leases.ENDPOINT_LEASE_S * leases.CLOCK_DRIFT
    assert end_s + drift_s < left_s + leases.RESUBMIT_DELAY_S
