"""Tests of the faults of endpoints, without processes."""

import io
import json
import random

import pytest
from twisted.internet import task

from testing.soak import __main__ as command
from testing.soak import faults
from testing.soak import fleet as fleets

EARLIER_GROUPS = (faults.Group.SINGLE, faults.Group.COMBINED)


class Fleet(fleets.Fleet):
    """One agent on a simulated clock; records what its endpoint sends."""

    def __init__(self, folder):
        super().__init__(folder, agents=1)
        self.reactor = task.Clock()
        self.reactor.advance(100.0)
        self.sent = []
        self.machines["agent-0"] = fleets.Machine(self.reactor, "agent-0")
        self.start_endpoint(self.machines["agent-0"])

    def send(self, name, notice):
        """Record a notice, with the time."""
        del name
        fields = json.loads(notice.body)
        self.sent.append((self.reactor.seconds(), notice, fields))

    def notices(self, method):
        """Return the notices of a kind."""
        return [each for each in self.sent if each[1].method == method]


@pytest.fixture
def fleet(tmp_path):
    """Return the fleet, of which the endpoint announces itself."""
    fleet = Fleet(tmp_path)
    fleet.send_heartbeats()
    return fleet


def advance(fleet, seconds):
    """Advance the clock in small steps."""
    for _ in range(int(seconds * 100)):
        fleet.reactor.advance(0.01)


def injector(fleet, seed):
    """Return the faults that a seed draws."""
    return faults.Faults(fleet, random.Random(seed))


def test_a_new_group_leaves_the_earlier_ones_as_they_are(fleet):
    """Guards against seeds that no longer draw the faults that failed."""
    earlier = faults.Faults(fleet, random.Random(1), groups=EARLIER_GROUPS)
    every = injector(fleet, 1)
    names = [injection.__name__ for injection in every.injections]
    count = len(earlier.injections)
    assert [each.__name__ for each in earlier.injections] == names[:count]
    assert count == 24


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("kind", ["drain_endpoint", "remove_endpoint"])
def test_a_leaving_endpoint_is_up_after_its_notice(fleet, seed, kind):
    """Guards against a soak in which a notice proves that runs have ended."""
    machine = fleet.machines["agent-0"]
    leaving = machine.fake
    getattr(injector(fleet, seed), kind)()
    while not fleet.notices("Leave"):
        fleet.reactor.advance(0.01)
    assert not leaving.is_down
    states = [fields["state"] for _, _, fields in fleet.notices("Heartbeat")]
    assert ("draining" in states) == (kind == "drain_endpoint")
    for _, _, fields in fleet.notices("Heartbeat"):
        is_draining = fields["state"] == "draining"
        assert ("drain-remaining-ms" in fields) == is_draining
    advance(fleet, faults.MAX_LINGER_S + max(faults.ABSENCES_S) + 0.02)
    assert leaving.is_down
    assert machine.fake.record.name != leaving.record.name
    fleet.is_stopped = True


def test_a_silent_endpoint_answers_and_announces_itself_later(fleet):
    """Guards against silence that ends the endpoint, or that never ends."""
    instance = fleet.machines["agent-0"].fake
    injector(fleet, 1).silence_endpoint()
    count = len(fleet.sent)
    advance(fleet, faults.SILENCE_S[0] - 0.1)
    assert len(fleet.sent) == count
    assert not fleet.machines["agent-0"].is_cut_off
    advance(fleet, faults.SILENCE_S[1] - faults.SILENCE_S[0] + 1.0)
    assert len(fleet.sent) > count
    assert fleet.machines["agent-0"].fake is instance


@pytest.mark.parametrize("seed", range(5))
def test_a_late_call_follows_the_restart_under_an_identifier(fleet, seed):
    """Guards against late calls that name the later instance."""
    earlier = fleet.machines["agent-0"].fake.record
    fleet.reactor.advance(0.3)
    fleet.sent.clear()
    injector(fleet, seed).restart_endpoint()
    later = fleet.machines["agent-0"].fake.record
    advance(fleet, 1.1)
    births = [fields["born"] for _, _, fields in fleet.sent]
    assert later.name == earlier.name
    assert births[0] == later.born_ms
    assert births.count(earlier.born_ms) == 1


class Start(io.BytesIO):
    """A request to start a run, as far as the endpoint reads it."""

    path = b"/-/run-start"
    content = property(lambda self: self)

    def __init__(self, identifier, **fields):
        super().__init__(json.dumps(fields).encode())
        self.identifier = identifier

    def getHeader(self, name):  # noqa: N802
        """Return the identifier of the instance that is meant."""
        del name
        return self.identifier


def hold_up_start(fleet, fencing_token):
    """Send a start that is held up while its endpoint restarts."""
    machine = fleet.machines["agent-0"]
    injector(fleet, 1).restart_while_starts_are_held_up()
    start = Start(
        machine.fake.record.name,
        task="0000000000000001.0.0.0",
        run=1,
        specification='{"cores": 1.0, "work_s": 0.1}',
        **{"fencing-token": fencing_token, "deadline-ms": 900_000},
    )
    machine.render_POST(start)
    earlier = machine.fake
    # A call of the agent reaches each life.
    advance(fleet, 3.0)
    machine.fake.fencing_token = 7
    advance(fleet, faults.START_DELAYS_S[1])
    assert machine.fake.record.name == earlier.record.name
    assert not earlier.starts
    return machine.fake


def test_a_start_that_is_held_up_reaches_the_later_life(fleet):
    """Guards against a soak in which a restart forgets starts on their way."""
    assert hold_up_start(fleet, fencing_token=7).starts
    fleet.is_stopped = True


def test_a_later_life_fences_a_start_that_is_held_up(fleet):
    """Guards against a soak that finds a second run after a later call."""
    assert not hold_up_start(fleet, fencing_token=6).starts
    fleet.is_stopped = True


def test_starts_in_an_evacuated_domain_are_found(fleet):
    """Guards against a soak that overlooks starts after the bound.

    Starts before it, in other domains and after the end do not count, and a
    rewritten row does not begin another evacuation.
    """
    endpoint = fleet.machines["agent-0"].fake
    fleet.evacuate(fleets.DOMAINS[0])
    fleet.evacuate(fleets.DOMAINS[1])
    began_s = fleet.reactor.seconds()
    advance(fleet, 4.0)
    fleet.evacuate(fleets.DOMAINS[0])
    advance(fleet, 4.0)
    fleet.end_evacuation(fleets.DOMAINS[0])
    assert [key for _, key in fleet.store.rows] == ["evacuate/b"]
    for number, at_s in enumerate((1.0, 4.9, 5.5, 7.9, 8.5)):
        endpoint.starts.append((began_s + at_s, number))
    texts = fleet.late_starts()
    assert [text.split()[1] for text in texts] == ["2", "3"]
    fleet.is_stopped = True


def test_the_table_names_faults_that_were_not_injected(fleet, capsys):
    """Guards against a kind of fault that is never drawn unnoticed."""
    found = injector(fleet, 1)
    found.injected.append(faults.Injection(0.0, "kill", "kill agent-0"))
    command.print_fault_counts(found.counts())
    lines = capsys.readouterr().out.splitlines()[1:]
    counts = dict(line.split() for line in lines)
    assert set(counts) == {each.__name__ for each in found.injections}
    assert sorted(counts.values(), reverse=True)[:2] == ["1", "0"]
