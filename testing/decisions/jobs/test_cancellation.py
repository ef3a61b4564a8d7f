"""Tests of cancellations between entries."""

import collections
import random
import sys

import pytest

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import cancellation
from _jasminewind.decisions.jobs import owner
from _jasminewind.decisions.jobs import registry
from _jasminewind.messages import runs
from testing.decisions.jobs import cluster as clusters

CANCELLED = actions.CancelOutcome.CANCELLED
UNKNOWN = actions.CancelOutcome.UNKNOWN
PENDING = actions.CancelOutcome.PENDING
SPEC = clusters.job(1, work_s=1.0)


class Entries:
    """Entries whose messages arrive at once, unless one is unreachable.

    ``losses`` counts how many of the next messages are lost.
    """

    def __init__(self, count=3):
        self.now_s = 100.0
        self.replies = {}
        self.sent = 0
        self.losses = 0
        self.unreachable = set()
        self.machines = {}
        for number in range(count):
            jobs = owner.JobOwner.from_policy(
                "expected_end", rng=random.Random(1), now_s=self.now_s
            )
            self.machines[f"entry-{number}"] = cancellation.Cancellation(
                jobs=jobs
            )
        self.register(self.machines)

    def register(self, names):
        """Let each entry know the entries with these names."""
        for own, machine in self.machines.items():
            machine.set_entries(
                registry.EntryAddress(name, members.Address(name, 1))
                for name in names
                if name != own
            )

    def now(self):
        """Return the current instant."""
        return core.Instant(self.now_s, 0)

    def submit(self, name, spec=SPEC):
        """Submit a job; return the answer if there is one at once."""
        found = self.machines[name].jobs.submit(spec, self.now())
        answers = [a for a in found if isinstance(a, actions.AnswerJob)]
        return answers[0].answer.state.value if answers else None

    def cancel(self, name, job=SPEC.job):
        """Cancel a job at an entry; return the ticket."""
        ticket, requested = self.machines[name].cancel(job, self.now())
        self.perform(name, requested)
        return name, ticket

    def perform(self, name, requested):
        """Deliver messages, and record the replies to callers."""
        for action in requested:
            if isinstance(action, actions.CancelReply):
                assert (name, action.ticket) not in self.replies
                self.replies[name, action.ticket] = action.outcome
            elif isinstance(action, core.Send):
                self.deliver(name, action)

    def deliver(self, name, action):
        """Deliver one message, unless it is lost."""
        self.sent += 1
        target = action.address.host or action.to.name
        if self.losses:
            self.losses -= 1
            return
        if {name, target} & self.unreachable or target not in self.machines:
            return
        requested = self.machines[target].on_message(
            members.NodeId(name, 1), action.message, self.now()
        )
        self.perform(target, requested)

    def run(self, for_s):
        """Tick the entries for some time."""
        for _ in range(round(for_s / 0.1)):
            self.now_s += 0.1
            for name, machine in self.machines.items():
                if name not in self.unreachable:
                    self.perform(name, machine.on_tick(self.now()))


@pytest.fixture
def entries():
    """Return three entries that know each other."""
    return Entries()


def test_a_job_is_cancelled_wherever_it_is(entries):
    """Guards against a cancellation that misses the owner."""
    entries.submit("entry-0")
    ticket = entries.cancel("entry-1")
    assert entries.replies[ticket] is CANCELLED
    assert entries.machines["entry-0"].jobs.state(SPEC.job) is None


def test_a_job_that_nobody_has_is_unknown(entries):
    """Guards against a cancellation that claims to have found something."""
    ticket = entries.cancel("entry-1")
    assert entries.replies[ticket] is UNKNOWN


def test_an_entry_without_others_answers_at_once():
    """Guards against callers that wait for nobody."""
    entries = Entries(count=1)
    ticket = entries.cancel("entry-0")
    assert entries.replies[ticket] is UNKNOWN


def test_a_paused_owner_is_told_when_it_is_back(entries):
    """Guards against a job that runs after its cancellation was answered."""
    entries.submit("entry-0")
    entries.unreachable.add("entry-0")
    ticket = entries.cancel("entry-1")
    entries.run(4.0)
    assert entries.replies[ticket] is PENDING
    entries.unreachable.clear()
    entries.run(1.1)
    assert entries.machines["entry-0"].jobs.state(SPEC.job) is None


def test_all_lost_cancellations_are_repeated_soon(entries):
    """Guards against a wave of cancellations that trickles to an owner."""
    jobs = [clusters.job(number, work_s=1.0) for number in range(50)]
    for spec in jobs:
        entries.submit("entry-0", spec)
    entries.unreachable.add("entry-0")
    for spec in jobs:
        entries.cancel("entry-1", spec.job)
    entries.run(3.0)
    entries.unreachable.clear()
    entries.run(1.2)
    assert entries.machines["entry-0"].jobs.is_idle()


@pytest.mark.parametrize("losses", range(1, 9))
def test_lost_messages_change_no_outcome(entries, losses):
    """Guards against 410 for a job that was cancelled and had run.

    The first request or its confirmation is lost, and is repeated.
    """
    entries.submit("entry-0")
    entries.losses = losses
    ticket = entries.cancel("entry-1")
    entries.run(3.0)
    assert entries.replies[ticket] in (CANCELLED, PENDING)
    assert entries.machines["entry-0"].jobs.state(SPEC.job) is None


@pytest.mark.parametrize("owner_name", ["entry-0", "entry-1"])
def test_a_late_copy_of_a_cancelled_job_runs_nowhere(entries, owner_name):
    """Guards against a job that starts seconds after it was cancelled."""
    entries.submit(owner_name)
    entries.cancel("entry-1")
    entries.run(8.0)
    for name in entries.machines:
        assert entries.submit(name) == "cancelled"


def test_an_entry_that_was_removed_delays_no_caller_for_long(entries):
    """Guards against callers that wait for an entry that never answers."""
    entries.unreachable.add("entry-2")
    entries.cancel("entry-1", "ff")
    entries.run(12.0)
    ticket = entries.cancel("entry-1")
    assert entries.replies[ticket] is UNKNOWN
    assert entries.machines["entry-1"].is_idle(entries.now())


def test_an_entry_with_pending_cancellations_is_not_idle(entries):
    """Guards against a caller that is cut off by a graceful shutdown."""
    entries.unreachable.add("entry-2")
    entries.cancel("entry-1")
    assert not entries.machines["entry-1"].is_idle(entries.now())
    entries.unreachable.clear()
    entries.run(1.0)
    assert entries.machines["entry-1"].is_idle(entries.now())


def test_a_silent_entry_is_asked_seldom(entries):
    """Guards against traffic that grows while an entry is away."""
    entries.unreachable.add("entry-2")
    for number in range(100):
        entries.cancel("entry-1", f"{number:016x}")
    sent = entries.sent
    entries.run(10.0)
    assert entries.sent - sent <= 15
    entries.run(40.0)
    peer = entries.machines["entry-1"].peers["entry-2"]
    assert not peer.unconfirmed


def test_a_new_entry_is_told_of_recent_cancellations(entries):
    """Guards against a cancelled job that runs at an entry just added."""
    entries.register(["entry-0", "entry-1"])
    entries.cancel("entry-1")
    entries.run(1.0)
    entries.register(entries.machines)
    entries.run(1.0)
    assert entries.submit("entry-2") == "cancelled"


def test_an_entry_that_knows_no_others_yet_denies_nothing():
    """Guards against 410 for a job that another entry runs."""
    entries = Entries()
    late = entries.machines["entry-1"]
    late.peers.clear()
    late.has_entries = False
    entries.submit("entry-0")
    ticket = entries.cancel("entry-1")
    entries.run(0.3)
    assert ticket not in entries.replies
    entries.register(entries.machines)
    entries.run(0.2)
    assert entries.replies[ticket] is CANCELLED


def test_every_caller_is_answered_once(entries):
    """Guards against two callers of one job that share a reply."""
    entries.unreachable.add("entry-2")
    tickets = [entries.cancel("entry-1") for _ in range(3)]
    entries.run(1.0)
    assert [entries.replies[ticket] for ticket in tickets] == [PENDING] * 3


def count_calls(function):
    """Return how many functions are called, and generators resumed."""
    counts = collections.Counter()
    sys.setprofile(lambda frame, event, argument: counts.update([event]))
    try:
        function()
    finally:
        sys.setprofile(None)
    return counts["call"] + counts["c_call"]


def confirmation_costs(count):
    """Return the calls for each confirmation among ``count`` entries."""
    entries = Entries(count)
    name = "entry-0"
    entries.unreachable = set(entries.machines) - {name}
    _, ticket = entries.cancel(name)
    machine = entries.machines[name]
    costs = []
    for number in range(1, count):
        assert (name, ticket) not in entries.replies
        sender = members.NodeId(f"entry-{number}", 1)
        confirmation = runs.JobCancelled(job=SPEC.job, known=False)
        costs.append(
            count_calls(
                lambda: entries.perform(
                    name,
                    machine.on_message(sender, confirmation, entries.now()),
                )
            )
        )
    assert entries.replies[name, ticket] is UNKNOWN
    assert not machine.awaited.counts
    return costs


def test_a_confirmation_costs_the_same_with_more_entries():
    """Guards against cancellations that cost the square of the entries."""
    few = confirmation_costs(35)
    many = confirmation_costs(1_000)
    assert max(many) <= max(few)
    assert sum(many) / len(many) <= max(few)


@pytest.mark.parametrize("seed", range(5))
def test_the_awaited_entries_are_counted_exactly(seed):
    """Guards against callers that wait for nobody, or not for all."""
    rng = random.Random(seed)
    entries = Entries(4)
    machine = entries.machines["entry-0"]
    jobs = [f"{number:016x}" for number in range(3)]
    for _ in range(300):
        entries.unreachable = {
            name for name in entries.machines if rng.random() < 0.4
        } - {"entry-0"}
        choice = rng.random()
        if choice < 0.3:
            entries.cancel("entry-0", rng.choice(jobs))
        elif choice < 0.4:
            names = [n for n in entries.machines if rng.random() < 0.7]
            entries.register(names)
        else:
            entries.now_s += rng.choice([0.1, 0.5, 4.0, 11.0])
            entries.perform("entry-0", machine.on_tick(entries.now()))
        expected = collections.Counter(
            job
            for peer in machine.peers.values()
            if not peer.counts_as_gone
            for job in peer.unconfirmed
        )
        assert machine.awaited.counts == expected
