"""Test the sync of the configuration: proposals, quorum, freshness."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from _jasminewind.decisions import core
from _jasminewind.decisions import entry_config_sync
from _jasminewind.decisions import proposals
from _jasminewind.messages import configuration as messages
from testing.decisions import fleet as fleets

JOIN_S = 12.0
IN_FORCE_S = 3.0
ACCEPTED = proposals.ProposalStatus.ACCEPTED
CONFLICT = proposals.ProposalStatus.CONFLICT


def joined_fleet(*, agents: int = 5) -> fleets.Fleet:
    fleet = fleets.small_fleet(agents=agents)
    fleet.run(JOIN_S)
    return fleet


def propose(
    fleet: fleets.Fleet,
    entry: int,
    change_id: str,
    *,
    expected: int | None = None,
) -> None:
    process = fleet.processes[f"entry-{entry:02d}"]
    assert isinstance(process.sync, entry_config_sync.EntryConfigSync)
    current = process.sync.current()
    new = dataclasses.replace(current, author=change_id)
    change = proposals.Proposal(
        change_id=change_id,
        expected_version=current.version if expected is None else expected,
        new_config=new,
    )
    actions = process.sync.propose(1, change, fleet.now(process))
    fleet.execute(process, actions)


def results_of(fleet: fleets.Fleet) -> dict[str, proposals.ProposalResult]:
    found = {}
    for process in fleet.processes.values():
        for action in process.results:
            assert isinstance(action, proposals.ProposalResult)
            found[action.change_id] = action
    return found


def versions(fleet: fleets.Fleet) -> set[int]:
    return {p.sync.current().version for p in fleet.processes.values()}


def test_change_is_in_force_everywhere_within_three_seconds() -> None:
    """Guards against a push that misses a process or takes over 3 s."""
    fleet = joined_fleet(agents=30)
    propose(fleet, 0, "more-quota")
    fleet.run(IN_FORCE_S)
    assert results_of(fleet)["more-quota"].status is ACCEPTED
    assert versions(fleet) == {2}


def test_racing_operators_have_one_winner() -> None:
    """Guards against a change that silently overwrites a concurrent one."""
    fleet = joined_fleet()
    propose(fleet, 0, "first")
    propose(fleet, 1, "second")
    fleet.run(IN_FORCE_S)
    results = results_of(fleet)
    assert {r.status for r in results.values()} == {ACCEPTED, CONFLICT}
    loser = next(r for r in results.values() if r.status is CONFLICT)
    winner = next(r for r in results.values() if r.status is ACCEPTED)
    assert loser.config.change_ids[-1] == winner.change_id
    assert winner.change_id in loser.reason


def test_lost_write_answer_is_settled_by_the_row() -> None:
    """Guards against a lost reply that hides or repeats a written change."""
    fleet = joined_fleet()
    fleet.table.loses_write_replies = True
    propose(fleet, 0, "unsure")
    fleet.run(IN_FORCE_S)
    assert results_of(fleet)["unsure"].status is ACCEPTED
    propose(fleet, 1, "unsure", expected=1)
    fleet.run(IN_FORCE_S)
    assert len(fleet.table.history) == 2


def test_nothing_is_accepted_without_a_majority() -> None:
    """Guards against accepting a change that only one entry has applied."""
    fleet = joined_fleet()
    fleet.blocked = lambda a, b: "entry-00" in (a, b)
    for number in (1, 2):
        fleet.processes[f"entry-{number:02d}"].table_unreachable = True
    propose(fleet, 0, "alone")
    fleet.run(IN_FORCE_S + 1)
    assert results_of(fleet) == {}
    for number in (1, 2):
        sync = fleet.processes[f"entry-{number:02d}"].sync
        assert sync.is_fresh(fleet.now())
        assert sync.current().version == 1
    fleet.run(proposals.PROPOSAL_TIMEOUT_S)
    result = results_of(fleet)["alone"]
    assert result.status is proposals.ProposalStatus.UNKNOWN


def test_table_outage_refuses_changes_and_keeps_entries_fresh() -> None:
    """Guards against entries that refuse all work during a table outage.

    They confirm the version by a majority instead; changes are refused.
    """
    fleet = joined_fleet()
    fleet.table.is_down = True
    propose(fleet, 0, "not-now")
    for _ in range(100):
        fleet.run(1.0)
        for process in fleet.processes.values():
            if process.entry_directory is not None:
                assert process.sync.is_fresh(fleet.now())
    result = results_of(fleet)["not-now"]
    assert result.status is proposals.ProposalStatus.NOT_WRITTEN


def test_entry_cut_off_from_table_and_peers_is_not_fresh() -> None:
    """Guards against a partitioned entry that uses a replaced version."""
    fleet = joined_fleet()
    lost = fleet.processes["entry-02"]
    lost.table_unreachable = True
    fleet.blocked = lambda a, b: "entry-02" in (a, b)
    propose(fleet, 0, "without-you")
    fleet.run(IN_FORCE_S)
    assert results_of(fleet)["without-you"].status is ACCEPTED
    assert not lost.sync.is_fresh(fleet.now())
    lost.table_unreachable = False
    fleet.run(2.0)
    assert lost.sync.is_fresh(fleet.now())
    assert lost.sync.current().version == 2


def test_lone_entry_does_not_confirm_itself() -> None:
    """Guards against a partitioned entry that is its own majority."""
    fleet = fleets.small_fleet(agents=1, entries=1)
    fleet.run(JOIN_S)
    process = fleet.processes["entry-00"]
    assert process.sync.is_fresh(fleet.now())
    process.table_unreachable = True
    fleet.run(IN_FORCE_S)
    assert not process.sync.is_fresh(fleet.now())


def test_restarted_entry_confirms_nothing_before_its_first_read() -> None:
    """Guards against a restarted entry that confirms a replaced version.

    It acknowledged version 2, restarts and receives version 1 by a late
    push. With another entry that missed version 2 it would form a majority
    for version 1. Found by ``spec.configuration``.
    """
    fleet = joined_fleet()
    stale = fleet.processes["entry-02"]
    stale.table_unreachable = True
    fleet.blocked = lambda a, b: "entry-02" in (a, b)
    propose(fleet, 0, "missed")
    fleet.run(IN_FORCE_S)
    assert results_of(fleet)["missed"].status is ACCEPTED
    restarted = fleet.add_entry(fleets.entry_record(1, incarnation=2))
    restarted.table_unreachable = True
    fleet.blocked = lambda a, b: "entry-00" in (a, b)
    late = messages.ConfigPush(config=fleets.config(1))
    actions = restarted.sync.on_message(stale.node, late, fleet.now())
    fleet.execute(restarted, actions)
    assert restarted.sync.current().version == 1
    question = messages.ConfigFetch(have_version=1, nonce=5)
    actions = restarted.sync.on_message(stale.node, question, fleet.now())
    sent = [a.message for a in actions if isinstance(a, core.Send)]
    assert not any(isinstance(m, messages.ConfigAck) for m in sent)


def test_lower_version_is_never_applied() -> None:
    """Guards against a late push that reverts an accepted change."""
    fleet = joined_fleet(agents=1)
    propose(fleet, 0, "newer")
    fleet.run(IN_FORCE_S)
    late = messages.ConfigPush(config=fleets.config(1))
    for process in fleet.processes.values():
        sender = fleet.processes["entry-01"].node
        actions = process.sync.on_message(sender, late, fleet.now())
        assert not any(isinstance(a, core.ApplyConfig) for a in actions)
        assert process.sync.current().version == 2


def test_version_in_a_work_message_is_fetched_from_its_sender() -> None:
    """Guards against starting tasks under an outdated configuration.

    A message that names a newer version triggers a fetch from its sender.
    """
    fleet = joined_fleet(agents=2)
    sync = fleet.processes["agent-000"].sync
    sender = fleet.processes["agent-001"].node
    (action,) = sync.on_version_seen(sender, 9, fleet.now())
    assert isinstance(action, core.Send)
    assert action.message == messages.ConfigFetch(have_version=1)
    assert sync.on_version_seen(sender, 1, fleet.now()) == []


def test_agent_without_an_entry_stops_being_fresh() -> None:
    """Guards against a partitioned coordinator that still accepts work."""
    fleet = joined_fleet()
    agent = fleet.processes["agent-000"]
    assert agent.cell is not None
    record = dataclasses.replace(agent.cell.member, shards=(0,))
    fleet.execute(agent, agent.cell.update_self(record, fleet.now()))
    for _ in range(40):
        fleet.run(0.5)
        assert agent.sync.is_fresh(fleet.now())
    fleet.blocked = lambda a, b: "agent-000" in (a, b)
    fleet.run(IN_FORCE_S + 0.5)
    assert not agent.sync.is_fresh(fleet.now())


def test_entry_row_expires_and_is_deleted() -> None:
    """Guards against a majority that counts entries long dead."""
    fleet = joined_fleet(agents=1)
    fleet.kill("entry-02")
    fleet.run(75.0)
    sync = fleet.processes["entry-00"].sync
    assert isinstance(sync, entry_config_sync.EntryConfigSync)
    assert len(sync.entries()) == 2
    fleet.run(65.0)
    assert "entry/entry-02" not in fleet.table.rows


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Concurrent proposals under table faults, partitions and restarts.

    Oracle: a change reported as accepted stays in the row, and 3 s later is
    in force at every fresh process.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = fleets.small_fleet(agents=3, seed=5)
        self.fleet.run(8.0)
        self.changes = 0
        self.incarnation = 1
        self.accepted: dict[str, tuple[float, int]] = {}
        self.highest: dict[fleets.members.NodeId, int] = {}

    @stateful.rule(entry=st.integers(0, 2), other=st.integers(0, 2))
    def operators_race(self, entry: int, other: int) -> None:
        for number in {entry, other}:
            self.changes += 1
            propose(self.fleet, number, f"change-of-test-{self.changes}")

    @stateful.rule(entry=st.integers(0, 2), is_cut=st.booleans())
    def cut_from_table(self, entry: int, is_cut: bool) -> None:
        self.fleet.processes[f"entry-{entry:02d}"].table_unreachable = is_cut

    @stateful.rule(side=st.sets(st.integers(0, 2)))
    def cut_entries(self, side: set[int]) -> None:
        lost = {f"entry-{n:02d}" for n in side}
        self.fleet.blocked = lambda a, b: (a in lost) != (b in lost)

    @stateful.rule(
        is_down=st.booleans(), loses=st.booleans(), late=st.booleans()
    )
    def disturb_table(self, is_down: bool, loses: bool, late: bool) -> None:
        self.fleet.table.is_down = is_down
        self.fleet.table.writes_late = late
        self.fleet.table.loses_write_replies = loses

    @stateful.rule(loss=st.sampled_from([0.0, 0.2, 0.5]))
    def disturb_links(self, loss: float) -> None:
        self.fleet.loss = loss
        self.fleet.max_extra_delay_s = 2 * loss

    @stateful.rule(entry=st.integers(0, 2))
    def restart_entry(self, entry: int) -> None:
        self.incarnation += 1
        cut = self.fleet.processes[f"entry-{entry:02d}"].table_unreachable
        process = self.fleet.add_entry(
            fleets.entry_record(entry, incarnation=self.incarnation)
        )
        process.table_unreachable = cut

    @stateful.rule(ticks=st.sampled_from([2, 10, 35, 150]))
    def wait(self, ticks: int) -> None:
        for _ in range(ticks):
            self.fleet.step()
            self.observe()

    def observe(self) -> None:
        for change_id, result in results_of(self.fleet).items():
            if result.status is ACCEPTED and change_id not in self.accepted:
                version = next(
                    c.version
                    for c in self.fleet.table.history
                    if c.change_ids[-1] == change_id
                )
                self.accepted[change_id] = (self.fleet.now_s, version)
            if result.status in (
                CONFLICT,
                proposals.ProposalStatus.NOT_WRITTEN,
            ):
                assert change_id not in self.fleet.table.history[-1].change_ids
        newest = self.fleet.table.history[-1]
        for change_id, (_, _) in self.accepted.items():
            assert change_id in newest.change_ids
        due = [
            version
            for since_s, version in self.accepted.values()
            if self.fleet.now_s - since_s > IN_FORCE_S
        ]
        for process in self.fleet.processes.values():
            version = process.sync.current().version
            assert version >= self.highest.get(process.node, 0)
            self.highest[process.node] = version
            if due and process.sync.is_fresh(self.fleet.now()):
                assert version >= max(due)

    def teardown(self) -> None:
        self.fleet.blocked = lambda a, b: False
        self.fleet.loss = 0.0
        self.fleet.max_extra_delay_s = 0.0
        self.fleet.table.is_down = False
        self.fleet.table.loses_write_replies = False
        self.fleet.table.writes_late = False
        for process in self.fleet.processes.values():
            process.table_unreachable = False
        for _ in range(200):
            self.fleet.step()
            self.observe()
        newest = self.fleet.table.history[-1].version
        assert versions(self.fleet) == {newest}


TestConfigurationFuzz = ConfigurationMachine.TestCase
TestConfigurationFuzz.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=12,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
