"""Tests of the choice of an agent's endpoint among announcements."""

import dataclasses

import pytest

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import endpoint_selection
from _jasminewind.decisions.jobs import executor
from _jasminewind.messages import runs

RECORD = runs.EndpointRecord(
    name="i-1",
    born_ms=1_000,
    service="orders",
    failure_domain="a",
    capacity=resources.Resources(cores=8.0, memory_mb=1_000.0),
)
ADDRESS = members.Address("127.0.0.1", 8_080)
OTHER_ADDRESS = members.Address("127.0.0.1", 8_081)


def announce(
    record, *, sequence=1, address=ADDRESS, is_draining=False, clock_ms=500
):
    """Return an announcement of an endpoint."""
    return endpoint_selection.Announcement(
        record=record,
        address=address,
        sequence=sequence,
        clock_ms=clock_ms,
        is_draining=is_draining,
    )


def successor(**fields):
    """Return the record of another endpoint, with these fields."""
    return dataclasses.replace(
        RECORD, **{"name": "i-2", "born_ms": 2_000, **fields}
    )


class Agent:
    """An executor and its selection, with answers of fake endpoints.

    ``endpoints`` holds the record that answers at each address, and
    ``configured`` the services of the configuration, ``None`` if it cannot
    be read.
    """

    def __init__(self):
        self.now_s = 100.0
        self.executor = executor.RunExecutor(agent="agent-1")
        self.executor.on_registered(is_first=True)
        self.selection = endpoint_selection.EndpointSelection(
            run_executor=self.executor
        )
        self.endpoints = {ADDRESS: RECORD}
        self.configured = frozenset({"orders", "bookings"})
        self.reads = 0
        self.clock_ms = 0
        # What has passed on the clock since the announcement in use.
        self.clock_offset_ms = 0
        self.logged = []

    def now(self):
        """Return the current instant."""
        return core.Instant(self.now_s, int(self.now_s * 1000))

    def announce(self, record, **options):
        """Deliver an announcement."""
        announcement = announce(record, **options)
        self.perform(self.selection.on_announcement(announcement, self.now()))

    def leave(self, name=RECORD.name):
        """Deliver the notice of an endpoint that it leaves."""
        self.selection.on_endpoint_left(name)
        self.perform(self.executor.on_endpoint_left(name, self.now()))

    def tick(self, after_s=0.05):
        """Advance the clock, and tick both state machines."""
        self.now_s += after_s
        self.perform(self.executor.on_tick(self.now()))
        self.perform(self.selection.on_tick(self.now()))

    def perform(self, requested):
        """Execute actions; calls are answered at once."""
        for action in requested:
            match action:
                case endpoint_selection.UseEndpoint(announcement=used):
                    self.use(used)
                case endpoint_selection.Identify(announcement=asked):
                    reply = self.answer(asked)
                    self.perform(
                        self.selection.on_identity(asked, reply, self.now())
                    )
                case endpoint_selection.ReadServices():
                    self.reads += 1
                    self.perform(
                        self.selection.on_services(self.configured, self.now())
                    )
                case core.LogDecision(kind="ignore_announcement"):
                    self.logged.append(action.reason)

    def use(self, used):
        """Let an announcement take effect, and answer the first renewal."""
        before = self.executor.endpoint
        self.clock_ms = used.clock_ms
        requested = self.executor.on_announcement(
            used.record,
            clock_ms=used.clock_ms,
            is_draining=used.is_draining,
            now=self.now(),
        )
        if before != self.executor.endpoint:
            renewals = [
                a for a in requested if isinstance(a, actions.CallRenew)
            ]
            self.renewal = renewals[0]
            self.reply_to_renewal(actions.CallOutcome.DONE)

    def reply_to_renewal(self, outcome):
        """Deliver the endpoint's reply to the pending renewal."""
        reply = actions.RenewReply(
            outcome=outcome,
            sent_s=self.now_s,
            clock_ms=self.clock_ms + self.clock_offset_ms,
        )
        requested = self.executor.on_renew_reply(
            self.renewal, reply, self.now()
        )
        for action in requested:
            if isinstance(action, actions.CallRenew):
                self.renewal = action

    def answer(self, announcement):
        """Return the reply at an announced address."""
        found = self.endpoints.get(announcement.address)
        outcome = actions.CallOutcome.DONE
        if found is None:
            outcome = actions.CallOutcome.UNHEALTHY
        elif found.name != announcement.record.name:
            outcome = actions.CallOutcome.OTHER_ENDPOINT
        return actions.RenewReply(
            outcome=outcome,
            sent_s=self.now_s,
            born_ms=0 if found is None else found.born_ms,
        )

    @property
    def used(self):
        """Return the record of the endpoint in use."""
        return self.executor.endpoint


@pytest.fixture
def agent():
    """Return an agent without an endpoint."""
    return Agent()


@pytest.fixture
def attached(agent):
    """Return an agent whose endpoint answers."""
    agent.announce(RECORD)
    assert agent.used == RECORD
    return agent


def test_the_first_endpoint_that_answers_is_used(agent):
    """Guards against an agent that waits for a second announcement."""
    agent.announce(RECORD)
    assert agent.used == RECORD
    assert agent.reads == 1


@pytest.mark.parametrize(
    "record",
    [
        successor(service="label-printers"),
        successor(),
        successor(name="i-1"),
        successor(name="i-1", service="label-printers"),
        dataclasses.replace(RECORD, service="label-printers"),
    ],
    ids=str,
)
@pytest.mark.parametrize("address", [ADDRESS, OTHER_ADDRESS], ids=str)
def test_a_living_endpoint_keeps_its_place(attached, record, address):
    """Guards against runs that are given up while their endpoint lives."""
    attached.announce(record, sequence=1_000, address=address)
    for _ in range(4):
        attached.tick()
        attached.reply_to_renewal(actions.CallOutcome.DONE)
    assert attached.used == RECORD
    attached.announce(RECORD, sequence=2, is_draining=True)
    assert attached.executor.is_draining


def test_a_candidate_that_does_not_answer_is_not_used(agent):
    """Guards against an agent that is stuck with an endpoint of nobody."""
    agent.announce(successor(), address=OTHER_ADDRESS)
    agent.tick()
    assert agent.used is None
    agent.announce(RECORD)
    assert agent.used == RECORD


def test_an_address_of_another_endpoint_confirms_nothing(agent):
    """Guards against an announcement that borrows a living address."""
    agent.announce(successor(), address=ADDRESS)
    agent.tick()
    assert agent.used is None


def test_a_name_with_another_time_of_birth_confirms_nothing(agent):
    """Guards against an announcement that borrows a living name."""
    agent.announce(successor(name="i-1"), address=ADDRESS)
    agent.tick()
    assert agent.used is None


def test_an_endpoint_of_no_configured_service_is_not_used(agent):
    """Guards against an agent that a foreign endpoint takes over."""
    foreign = successor(service="label-printers")
    agent.endpoints[OTHER_ADDRESS] = foreign
    for number in range(1, 40):
        agent.announce(foreign, sequence=number, address=OTHER_ADDRESS)
        agent.tick()
    assert agent.used is None
    # The table is not read for each announcement.
    assert agent.reads <= 3
    agent.announce(RECORD)
    assert agent.used == RECORD


def test_a_service_that_is_configured_later_is_used(agent):
    """Guards against endpoints of a new service that stay idle."""
    agent.configured = frozenset()
    agent.announce(RECORD)
    assert agent.used is None
    agent.configured = frozenset({"orders"})
    for _ in range(30):
        agent.tick()
    assert agent.used == RECORD


def test_an_endpoint_is_used_while_the_configuration_is_unreadable(agent):
    """Guards against endpoints left idle in an outage of the store."""
    agent.configured = None
    agent.announce(RECORD)
    assert agent.used == RECORD


def test_a_successor_waits_until_the_lease_has_expired(attached):
    """Guards against two runs of a task around the end of an endpoint."""
    attached.endpoints = {OTHER_ADDRESS: successor()}
    attached.reply_to_renewal(actions.CallOutcome.UNHEALTHY)
    attached.announce(successor(), address=OTHER_ADDRESS)
    attached.tick()
    assert attached.used == RECORD
    for _ in range(12):
        attached.tick()
    assert attached.used == successor()


def test_a_successor_at_the_same_address_is_used_at_once(attached):
    """Guards against an endpoint that idles after a replacement."""
    attached.endpoints = {ADDRESS: successor()}
    attached.announce(successor())
    attached.reply_to_renewal(actions.CallOutcome.OTHER_ENDPOINT)
    attached.tick()
    assert attached.used == successor()


def test_a_restart_under_the_same_name_is_used(attached):
    """Guards against a new life of an endpoint that gets no work."""
    reborn = successor(name="i-1")
    attached.endpoints = {ADDRESS: reborn}
    attached.announce(reborn, sequence=1)
    attached.reply_to_renewal(actions.CallOutcome.OTHER_ENDPOINT)
    attached.tick()
    assert attached.used == reborn
    # A late announcement of the earlier life changes nothing.
    attached.announce(RECORD, sequence=50)
    attached.tick()
    assert attached.used == reborn


def test_reordered_announcements_are_ignored(attached):
    """Guards against a state of the endpoint that reverts."""
    attached.announce(RECORD, sequence=5, is_draining=True)
    attached.announce(RECORD, sequence=4)
    assert attached.executor.is_draining


def test_candidates_are_bounded_and_forgotten(attached):
    """Guards against announcements that fill the memory."""
    for number in range(100):
        attached.announce(successor(name=f"x-{number}"))
    assert (
        len(attached.selection.candidates) <= endpoint_selection.MAX_CANDIDATES
    )
    attached.selection.on_tick(core.Instant(attached.now_s + 10.0, 0))
    assert not attached.selection.candidates


def test_an_ignored_candidate_is_logged_once(attached):
    """Guards against a change of endpoint that no log explains."""
    for number in range(1, 4):
        attached.announce(successor(), sequence=number)
    (reason,) = attached.logged
    assert "i-2 of service 'orders'" in reason


def test_a_delayed_announcement_does_not_bring_an_endpoint_back(agent):
    """Guards against starts on an endpoint that is exiting.

    It sent the announcement before its notice, and still answers.
    """
    agent.announce(RECORD)
    agent.now_s += 1.0
    agent.leave()
    agent.announce(RECORD, sequence=2, clock_ms=1_400)
    assert agent.used is None


def test_a_delayed_notice_of_an_earlier_life_has_no_lasting_effect(agent):
    """Guards against an endpoint that is never used again.

    A notice names no incarnation, and an endpoint may start again under its
    name before the notice of its earlier life arrives.
    """
    agent.announce(RECORD)
    agent.now_s += 1.0
    agent.leave()
    agent.now_s += 1.0
    agent.announce(RECORD, sequence=2, clock_ms=2_500)
    agent.tick()
    assert agent.used == RECORD
    assert agent.executor.is_accepting()


def test_the_first_announcement_of_a_restored_endpoint_takes_effect(agent):
    """Guards against a restart that misses the announcement numbered 0."""
    agent.perform(agent.executor.restore_endpoint(RECORD, agent.now()))
    agent.selection.trust_service(RECORD.service)
    agent.announce(RECORD, sequence=0, is_draining=True)
    assert agent.executor.is_draining
