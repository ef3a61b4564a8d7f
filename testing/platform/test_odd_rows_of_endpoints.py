"""An agent whose endpoint lists rows that cannot be read."""

import json

import pytest
from twisted.web import server

from _jasminewind import metrics
from _jasminewind.platform import machine
from testing import reactor
from testing.platform import fake_platform
from testing.platform import test_entry_and_agent

ODD_ROW = ["x", 10**400]
JOB_PATH = test_entry_and_agent.JOB_PATH


class OddMachine(fake_platform.FakeMachine):
    """Endpoint that lists odd rows before and after the others.

    It answers at once while it lists an end that is not acknowledged.
    """

    def __init__(self, clock, name, *, born_s):
        super().__init__(clock, name, born_s=born_s)
        self.odd_running = []
        self.odd_ended = []
        self.renewals = 0

    def renew(self, request, body, now_s):
        """Add the odd rows to the response."""
        self.renewals += 1
        body = {**body, "wait-ms": 0}
        found = super().renew(request, body, now_s)
        state = json.loads(found)
        if "clock-ms" not in state or "reason" in state:
            return found
        odd = self.odd_running
        state["running"] = [*odd, *state["running"], *odd]
        odd = self.odd_ended
        is_silent = not odd and not state["ended"]
        state["ended"] = [*odd, *state["ended"], *odd]
        text = json.dumps(state).encode()
        if not is_silent:
            return text

        def respond():
            if not request._disconnected:
                request.write(text)
                request.finish()

        self.reactor.callLater(0.02, respond)
        return server.NOT_DONE_YET


class CountingMeter(metrics.NoMeter):
    """Counts what is added to each instrument."""

    def __init__(self):
        self.counts = {}

    def add(self, instrument, amount=1, **attributes):
        """Count."""
        key = (instrument.name, *attributes.values())
        self.counts[key] = self.counts.get(key, 0) + amount


@pytest.fixture
def system():
    """Return a started system whose endpoint can list odd rows."""

    async def start():
        started = test_entry_and_agent.LocalSystem()
        started.machine = OddMachine(
            reactor.reactor, "i-1", born_s=reactor.reactor.seconds()
        )
        await started.start()
        return started

    started = reactor.run(start)
    yield started
    reactor.run(started.stop)


@pytest.mark.parametrize("kind", ["running", "ended"])
def test_an_odd_row_does_not_cost_the_endpoint(system, kind):
    """Guards against one bad row that makes an agent give up its endpoint.

    The row is there while a job runs and ends.
    """

    async def submit():
        await system.wait_until_ready()
        setattr(system.machine, f"odd_{kind}", [ODD_ROW])
        reply = await system.call(
            b"POST", "callers", JOB_PATH, fake_platform.JOB
        )
        await reactor.sleep(0.3)
        await reactor.until(system.daemons[1].node.executor.is_accepting)
        return reply

    status, body = reactor.run(submit)
    assert (status, json.loads(body)) == (200, {"state": "completed"})
    assert not system.machine.fake.violations


@pytest.mark.parametrize("kind", ["running", "ended"])
def test_an_odd_row_is_counted_once(system, kind):
    """Guards against a log line for each of ten responses a second."""
    meter = CountingMeter()

    async def wait():
        await system.wait_until_ready()
        system.daemons[1].odd_input.meter = meter
        setattr(system.machine, f"odd_{kind}", [ODD_ROW])
        before = system.machine.renewals
        await reactor.until(lambda: system.machine.renewals > before + 3)

    reactor.run(wait)
    assert meter.counts == {("jasminewind.input.unusable", kind): 1}


def test_an_end_that_cannot_be_read_makes_no_agent_spin(system):
    """Guards against calls without a pause while an end is not acknowledged.

    The endpoint answers at once as long as it lists such an end.
    """

    async def hold():
        await system.wait_until_ready()
        system.machine.odd_ended = [ODD_ROW]
        await reactor.sleep(0.2)
        before = system.machine.renewals
        began_s = reactor.reactor.seconds()
        await reactor.sleep(0.5)
        passed_s = reactor.reactor.seconds() - began_s
        return system.machine.renewals - before, passed_s

    renewals, passed_s = reactor.run(hold)
    assert renewals <= passed_s / machine.HELD_END_DELAY_S + 1


def test_an_agent_takes_no_work_beside_a_run_that_it_cannot_read(system):
    """Guards against two runs of a task after a restart of an agent.

    The run may be one of its predecessor.
    """

    async def start():
        system.machine.odd_running = [ODD_ROW]
        await system.send_heartbeat()
        executor = system.daemons[1].node.executor
        await reactor.until(lambda: executor.is_reachable)
        await reactor.sleep(0.3)
        was_accepting = executor.is_accepting()
        system.machine.odd_running = []
        await reactor.until(executor.is_accepting)
        return was_accepting

    assert not reactor.run(start)
