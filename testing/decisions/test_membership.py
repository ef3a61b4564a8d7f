"""Members of a cell: joining, silence, death, partitions, digests."""

import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from _jasminewind import members
from _jasminewind.decisions import load_codec
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.messages import membership as messages
from _jasminewind.wire import frames
from testing.decisions import fleet as fleets

CONVERGED_S = 20.0


def agents(fleet: fleets.Fleet) -> list[fleets.Process]:
    return [p for p in fleet.processes.values() if p.cell]


def view_names(process: fleets.Process) -> set[str]:
    assert process.cell is not None
    return {m.node.name for m in process.cell.view() if not m.suspect}


def assert_converged(fleet: fleets.Fleet) -> None:
    """All agents hold the view that consists of exactly the living."""
    expected = {p.node for p in agents(fleet)}
    for process in agents(fleet):
        assert process.cell is not None
        view = process.cell.view()
        assert {m.node for m in view if not m.suspect} == expected
    for process in fleet.processes.values():
        if process.entry_directory is not None:
            known = {m.node for m in process.entry_directory.members()}
            assert known == expected


def test_start_of_everything_at_once_converges() -> None:
    """Guards against agents that stay apart after joining other seeds."""
    fleet = fleets.small_fleet(agents=24)
    fleet.run(CONVERGED_S)
    assert_converged(fleet)


def test_start_of_everything_with_lost_messages_converges() -> None:
    """Guards against a join that is tried only once."""
    fleet = fleets.small_fleet(agents=8)
    fleet.loss = 0.2
    fleet.run(3 * CONVERGED_S)
    fleet.loss = 0.0
    fleet.run(CONVERGED_S)
    assert_converged(fleet)


def test_silent_member_is_suspected_then_dead_then_forgotten() -> None:
    """Guards against work for a dead endpoint and against leaked peers."""
    fleet = fleets.small_fleet(agents=8)
    fleet.run(CONVERGED_S)
    fleet.kill("agent-003")
    watcher = fleet.processes["agent-000"]
    assert watcher.cell is not None
    fleet.run(7.5)
    suspects = {m.node.name for m in watcher.cell.view() if m.suspect}
    assert suspects == {"agent-003"}
    fleet.run(5.0)
    assert "agent-003" not in {m.node.name for m in watcher.cell.view()}
    assert "agent-003" in watcher.cell.peers
    fleet.run(65.0)
    assert "agent-003" not in watcher.cell.peers


def test_successful_probe_keeps_a_member() -> None:
    """Guards against death by one silent link while new ones work."""
    fleet = fleets.small_fleet(agents=3)
    fleet.run(CONVERGED_S)
    watcher = fleet.processes["agent-000"]
    assert watcher.cell is not None
    peer = watcher.cell.peers["agent-001"]
    late = core.Instant(peer.heard_s + 6.0, 0)
    actions = watcher.cell.on_tick(late)
    probes = [a for a in actions if isinstance(a, core.Probe)]
    assert peer.node in {p.to for p in probes}
    reply = core.ProbeReply(to=peer.node, found=peer.node)
    watcher.cell.on_probe(reply, late)
    assert "agent-001" in view_names(watcher)


def test_restart_replaces_the_earlier_incarnation_at_once() -> None:
    """Guards against two incarnations of one name, or the older one."""
    fleet = fleets.small_fleet(agents=6)
    fleet.run(CONVERGED_S)
    seeds = tuple(fleets.entry_record(n).address for n in range(3))
    record = fleets.agent_record(2, incarnation=7)
    fleet.add_agent(record, seeds)
    fleet.run(3.0)
    assert_converged(fleet)
    watcher = fleet.processes["agent-000"]
    assert watcher.cell is not None
    stale = messages.Heartbeat(member=fleets.agent_record(2))
    watcher.cell.on_message(stale.member.node, stale, fleet.now())
    assert record.node in {m.node for m in watcher.cell.view()}


def test_new_name_at_an_old_address_replaces_it() -> None:
    """Guards against a dead name that shares the address of a live one."""
    fleet = fleets.small_fleet(agents=4)
    fleet.run(CONVERGED_S)
    fleet.kill("agent-001")
    seeds = tuple(fleets.entry_record(n).address for n in range(3))
    record = fleets.agent_record(50, incarnation=9, port=10_001)
    fleet.add_agent(record, seeds)
    fleet.run(4.0)
    assert_converged(fleet)


def test_late_heartbeat_does_not_revive_a_member_that_left() -> None:
    """Guards against new work for an endpoint after its Leave."""
    fleet = fleets.small_fleet(agents=4)
    fleet.run(CONVERGED_S)
    leaver = fleet.processes["agent-001"]
    watcher = fleet.processes["agent-000"]
    assert leaver.cell and watcher.cell
    fleet.execute(leaver, leaver.cell.begin_leave(fleet.now()))
    fleet.run(0.5)
    states = {m.node.name: m.state for m in watcher.cell.view()}
    assert states["agent-001"] is members.State.LEAVING
    fleet.execute(leaver, leaver.cell.end_leave(fleet.now()))
    fleet.kill("agent-001")
    fleet.run(0.5)
    late = messages.Heartbeat(member=leaver.cell.member)
    watcher.cell.on_message(leaver.node, late, fleet.now())
    assert "agent-001" not in view_names(watcher)


def test_sudden_shrink_is_held_as_suspicion() -> None:
    """Guards against a local fault that shifts all load onto the rest."""
    fleet = fleets.small_fleet(agents=9)
    fleet.run(CONVERGED_S)
    lost = {f"agent-{n:03d}" for n in range(4)}
    fleet.blocked = lambda a, b: (a in lost) != (b in lost)
    fleet.run(30.0)
    watcher = fleet.processes["agent-008"]
    assert watcher.cell is not None
    assert watcher.cell.is_shrunk()
    assert len(watcher.cell.view()) == 9
    assert len(view_names(watcher)) == 5
    fleet.run(40.0)
    assert len(watcher.cell.view()) == 5


def test_death_of_a_quarter_is_not_held() -> None:
    """Guards against a shrink rule that keeps every dead rack in view."""
    fleet = fleets.small_fleet(agents=12)
    fleet.run(CONVERGED_S)
    for number in range(3):
        fleet.kill(f"agent-{number:03d}")
    fleet.run(13.0)
    assert_converged(fleet)


def test_partition_heals_after_both_sides_forgot_each_other() -> None:
    """Guards against cells that stay split for ever."""
    fleet = fleets.small_fleet(agents=9)
    fleet.run(CONVERGED_S)
    lost = {f"agent-{n:03d}" for n in range(4)}
    fleet.blocked = lambda a, b: (a in lost) != (b in lost)
    fleet.run(200.0)
    assert len(view_names(fleet.processes["agent-008"])) == 5
    fleet.blocked = lambda a, b: False
    fleet.run(60.0)
    assert_converged(fleet)


def test_change_of_state_reaches_coordinators_at_once() -> None:
    """Guards against starts for a draining endpoint until the next beat."""
    fleet = fleets.small_fleet(agents=4)
    fleet.run(CONVERGED_S)
    owner = fleet.processes["agent-001"]
    assert owner.cell is not None
    record = dataclasses.replace(owner.cell.member, shards=(0,))
    fleet.execute(owner, owner.cell.update_self(record, fleet.now()))
    fleet.run(3.0)
    keeper = fleet.processes["agent-002"]
    assert keeper.cell is not None
    assert keeper.cell.member.endpoint is not None
    endpoint = dataclasses.replace(keeper.cell.member.endpoint, connections=1)
    changed = dataclasses.replace(keeper.cell.member, endpoint=endpoint)
    actions = keeper.cell.update_self(changed, fleet.now())
    targets = {a.to.name for a in actions if isinstance(a, core.Send)}
    assert targets == {"agent-001"}


def test_load_of_keepers_reaches_coordinators_by_beat() -> None:
    """Guards against coordinators that see the load of the first record."""
    fleet = fleets.small_fleet(agents=3)
    fleet.run(CONVERGED_S)
    owner = fleet.processes["agent-001"]
    keeper = fleet.processes["agent-002"]
    assert owner.cell and keeper.cell
    record = dataclasses.replace(owner.cell.member, shards=(0,))
    fleet.execute(owner, owner.cell.update_self(record, fleet.now()))
    fleet.run(3.0)
    load = members.Load(sequence=9, running=5, queued=1)
    busy = dataclasses.replace(keeper.cell.member, load=load)
    fleet.execute(keeper, keeper.cell.update_self(busy, fleet.now()))
    fleet.run(3.0)
    seen = {m.node.name: m.load for m in owner.cell.view()}
    assert seen["agent-002"] == load
    assert load_codec.unpack(load_codec.pack(load)) == load


def test_heartbeats_are_spread_over_the_period() -> None:
    """Guards against bursts of heartbeats that delay work."""
    fleet = fleets.small_fleet(agents=40)
    fleet.run(CONVERGED_S)
    process = fleet.processes["agent-000"]
    counts: collections.Counter[float] = collections.Counter()

    def count(source: object, target: object, message: object) -> None:
        if source == process.node and isinstance(message, messages.Beat):
            counts[round(fleet.now_s, 1)] += 1

    fleet.on_sent = count
    fleet.run(2.0)
    assert counts.total() == 39
    assert max(counts.values()) <= 10


def test_heartbeat_frame_is_small() -> None:
    """Guards against a heartbeat that breaks 19 KB/s at 128 members."""
    beat = messages.Beat(seq=1_000, config=100_000)
    per_second = 2 * 127 / 2 * (4 + len(frames.encode(beat)))
    assert per_second < 10_000


def test_cell_count_of_the_configuration_splits_the_fleet() -> None:
    """Guards against views that mix the members of several cells."""
    fleet = fleets.small_fleet(agents=20, cell_count=3)
    fleet.run(2 * CONVERGED_S)
    for process in agents(fleet):
        assert process.cell is not None
        expected = {
            p.node.name
            for p in agents(fleet)
            if cells.cell_of(p.node.name, cell_count=3) == process.cell.cell()
        }
        assert view_names(process) == expected
    entry = fleet.processes["entry-00"]
    assert entry.entry_directory is not None
    assert len(entry.entry_directory.members()) == 20


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Crashes, restarts, cuts and loss; then everything must converge."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = fleets.small_fleet(agents=6)
        self.incarnation = 1
        self.fleet.run(8.0)

    def seeds(self) -> tuple[members.Address, ...]:
        return tuple(fleets.entry_record(n).address for n in range(3))

    @stateful.rule(number=st.integers(0, 7))
    def restart_agent(self, number: int) -> None:
        self.incarnation += 1
        record = fleets.agent_record(number, incarnation=self.incarnation)
        self.fleet.add_agent(record, self.seeds())

    @stateful.rule(number=st.integers(0, 5))
    def kill_agent(self, number: int) -> None:
        name = f"agent-{number:03d}"
        if name in self.fleet.processes and len(agents(self.fleet)) > 2:
            self.fleet.kill(name)

    @stateful.rule(number=st.integers(0, 2))
    def restart_entry(self, number: int) -> None:
        self.incarnation += 1
        self.fleet.add_entry(
            fleets.entry_record(number, incarnation=self.incarnation)
        )

    @stateful.rule(side=st.sets(st.integers(0, 7), max_size=4))
    def cut(self, side: set[int]) -> None:
        lost = {f"agent-{n:03d}" for n in side}
        self.fleet.blocked = lambda a, b: (a in lost) != (b in lost)

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.3]))
    def lose_messages(self, loss: float) -> None:
        self.fleet.loss = loss
        self.fleet.max_extra_delay_s = loss

    @stateful.rule(seconds=st.sampled_from([0.5, 3.0, 12.0, 80.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @stateful.invariant()
    def one_incarnation_of_each_name(self) -> None:
        for process in agents(self.fleet):
            assert process.cell is not None
            names = [m.node.name for m in process.cell.view()]
            assert len(names) == len(set(names))

    def teardown(self) -> None:
        self.fleet.blocked = lambda a, b: False
        self.fleet.loss = 0.0
        self.fleet.run(80.0)
        assert_converged(self.fleet)


TestMembershipFuzz = MembershipMachine.TestCase
TestMembershipFuzz.settings = hypothesis.settings(
    max_examples=12,
    stateful_step_count=10,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
