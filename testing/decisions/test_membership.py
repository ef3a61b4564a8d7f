"""Test cell membership: joining, failure detection and partitions."""

import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from _jasminewind import members
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.decisions import load_codec
from _jasminewind.messages import membership as messages
from _jasminewind.wire import frames
from testing.decisions import fleet as fleets

CONVERGENCE_S = 20.0


def agents(fleet: fleets.Fleet) -> list[fleets.Process]:
    return [p for p in fleet.processes.values() if p.cell]


def view_names(process: fleets.Process) -> set[str]:
    assert process.cell is not None
    return {m.node.name for m in process.cell.view() if not m.suspect}


def assert_converged(fleet: fleets.Fleet) -> None:
    """Check that every view holds exactly the running agents."""
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
    """Guards against agents that join by different seeds and never meet."""
    fleet = fleets.small_fleet(agents=24)
    fleet.run(CONVERGENCE_S)
    assert_converged(fleet)


def test_start_of_everything_with_lost_messages_converges() -> None:
    """Guards against a join that is not retried after a lost message."""
    fleet = fleets.small_fleet(agents=8)
    fleet.loss = 0.2
    fleet.run(3 * CONVERGENCE_S)
    fleet.loss = 0.0
    fleet.run(CONVERGENCE_S)
    assert_converged(fleet)


def test_silent_member_is_suspected_then_dead_then_forgotten() -> None:
    """Guards against work for a dead endpoint, and a leak of its state.

    A silent member is suspected, removed from views and then deleted.
    """
    fleet = fleets.small_fleet(agents=8)
    fleet.run(CONVERGENCE_S)
    fleet.kill("agent-003")
    observer = fleet.processes["agent-000"]
    assert observer.cell is not None
    fleet.run(7.5)
    suspects = {m.node.name for m in observer.cell.view() if m.suspect}
    assert suspects == {"agent-003"}
    fleet.run(5.0)
    assert "agent-003" not in {m.node.name for m in observer.cell.view()}
    assert "agent-003" in observer.cell.peers
    fleet.run(65.0)
    assert "agent-003" not in observer.cell.peers


def test_successful_probe_keeps_a_member() -> None:
    """Guards against removing a peer because one link to it is broken."""
    fleet = fleets.small_fleet(agents=3)
    fleet.run(CONVERGENCE_S)
    observer = fleet.processes["agent-000"]
    assert observer.cell is not None
    peer = observer.cell.peers["agent-001"]
    late = core.Instant(peer.last_heard_s + 6.0, 0)
    actions = observer.cell.on_tick(late)
    probes = [a for a in actions if isinstance(a, core.Probe)]
    assert peer.node in {p.to for p in probes}
    reply = core.ProbeReply(to=peer.node, found=peer.node)
    observer.cell.on_probe(reply, late)
    assert "agent-001" in view_names(observer)


def test_restart_replaces_the_earlier_incarnation_at_once() -> None:
    """Guards against two incarnations of one agent in a view.

    A late heartbeat of the earlier one must not replace the later one either.
    """
    fleet = fleets.small_fleet(agents=6)
    fleet.run(CONVERGENCE_S)
    seeds = tuple(fleets.entry_record(n).address for n in range(3))
    record = fleets.agent_record(2, incarnation=7)
    fleet.add_agent(record, seeds)
    fleet.run(3.0)
    assert_converged(fleet)
    observer = fleet.processes["agent-000"]
    assert observer.cell is not None
    stale = messages.Heartbeat(member=fleets.agent_record(2))
    observer.cell.on_message(stale.member.node, stale, fleet.now())
    assert record.node in {m.node for m in observer.cell.view()}


def test_new_name_at_an_old_address_replaces_it() -> None:
    """Guards against a dead agent in views after its address was reused."""
    fleet = fleets.small_fleet(agents=4)
    fleet.run(CONVERGENCE_S)
    fleet.kill("agent-001")
    seeds = tuple(fleets.entry_record(n).address for n in range(3))
    record = fleets.agent_record(50, incarnation=9, port=10_001)
    fleet.add_agent(record, seeds)
    fleet.run(4.0)
    assert_converged(fleet)


def test_late_heartbeat_does_not_revive_a_member_that_left() -> None:
    """Guards against a heartbeat after the Leave that re-adds a member."""
    fleet = fleets.small_fleet(agents=4)
    fleet.run(CONVERGENCE_S)
    leaver = fleet.processes["agent-001"]
    observer = fleet.processes["agent-000"]
    assert leaver.cell and observer.cell
    fleet.execute(leaver, leaver.cell.begin_leave(fleet.now()))
    fleet.run(0.5)
    states = {m.node.name: m.state for m in observer.cell.view()}
    assert states["agent-001"] is members.State.LEAVING
    fleet.execute(leaver, leaver.cell.end_leave(fleet.now()))
    fleet.kill("agent-001")
    fleet.run(0.5)
    late = messages.Heartbeat(member=leaver.cell.member)
    observer.cell.on_message(leaver.node, late, fleet.now())
    assert "agent-001" not in view_names(observer)


def test_mass_failure_keeps_members_as_suspects() -> None:
    """Guards against removing many members because of a local fault.

    That would shift all load onto the rest, so members that fall silent
    together stay suspects for longer.
    """
    fleet = fleets.small_fleet(agents=9)
    fleet.run(CONVERGENCE_S)
    isolated = {f"agent-{n:03d}" for n in range(4)}
    fleet.blocked = lambda a, b: (a in isolated) != (b in isolated)
    fleet.run(30.0)
    observer = fleet.processes["agent-008"]
    assert observer.cell is not None
    assert observer.cell.suspects_mass_failure()
    assert len(observer.cell.view()) == 9
    assert len(view_names(observer)) == 5
    fleet.run(40.0)
    assert len(observer.cell.view()) == 5


def test_loss_of_a_quarter_is_no_mass_failure() -> None:
    """Guards against taking the loss of one rack for a mass failure."""
    fleet = fleets.small_fleet(agents=12)
    fleet.run(CONVERGENCE_S)
    for number in range(3):
        fleet.kill(f"agent-{number:03d}")
    fleet.run(13.0)
    assert_converged(fleet)


def test_partition_heals_after_both_sides_forgot_each_other() -> None:
    """Guards against a cell that stays split after a long partition."""
    fleet = fleets.small_fleet(agents=9)
    fleet.run(CONVERGENCE_S)
    isolated = {f"agent-{n:03d}" for n in range(4)}
    fleet.blocked = lambda a, b: (a in isolated) != (b in isolated)
    fleet.run(200.0)
    assert len(view_names(fleet.processes["agent-008"])) == 5
    fleet.blocked = lambda a, b: False
    fleet.run(60.0)
    assert_converged(fleet)


def test_change_of_state_reaches_coordinators_at_once() -> None:
    """Guards against starts on an endpoint that has begun to drain.

    A changed record is sent to shard owners without waiting for a beat.
    """
    fleet = fleets.small_fleet(agents=4)
    fleet.run(CONVERGENCE_S)
    owner = fleet.processes["agent-001"]
    assert owner.cell is not None
    record = dataclasses.replace(owner.cell.member, shards=(0,))
    fleet.execute(owner, owner.cell.update_self(record, fleet.now()))
    fleet.run(3.0)
    agent = fleet.processes["agent-002"]
    assert agent.cell is not None
    assert agent.cell.member.endpoint is not None
    endpoint = dataclasses.replace(agent.cell.member.endpoint, connections=1)
    changed = dataclasses.replace(agent.cell.member, endpoint=endpoint)
    actions = agent.cell.update_self(changed, fleet.now())
    targets = {a.to.name for a in actions if isinstance(a, core.Send)}
    assert targets == {"agent-001"}


def test_load_of_members_reaches_shard_owners_by_beat() -> None:
    """Guards against shard owners that keep the load of the first record."""
    fleet = fleets.small_fleet(agents=3)
    fleet.run(CONVERGENCE_S)
    owner = fleet.processes["agent-001"]
    agent = fleet.processes["agent-002"]
    assert owner.cell and agent.cell
    record = dataclasses.replace(owner.cell.member, shards=(0,))
    fleet.execute(owner, owner.cell.update_self(record, fleet.now()))
    fleet.run(3.0)
    load = members.Load(sequence=9, running=5, queued=1)
    busy = dataclasses.replace(agent.cell.member, load=load)
    fleet.execute(agent, agent.cell.update_self(busy, fleet.now()))
    fleet.run(3.0)
    seen = {m.node.name: m.load for m in owner.cell.view()}
    assert seen["agent-002"] == load
    assert load_codec.unpack(load_codec.pack(load)) == load


def test_heartbeats_are_spread_over_the_period() -> None:
    """Guards against bursts of heartbeats, which delay work."""
    fleet = fleets.small_fleet(agents=40)
    fleet.run(CONVERGENCE_S)
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
    """Guards against heartbeats that exceed 19 KB/s at 128 members."""
    beat = messages.Beat(seq=1_000, config=100_000)
    per_second = 2 * 127 / 2 * (4 + len(frames.encode(beat)))
    assert per_second < 10_000


def test_cell_count_of_the_configuration_splits_the_fleet() -> None:
    """Guards against agents with members of another cell in their view."""
    fleet = fleets.small_fleet(agents=20, cell_count=3)
    fleet.run(2 * CONVERGENCE_S)
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
    """Random crashes, restarts, partitions and loss, then convergence."""

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
        isolated = {f"agent-{n:03d}" for n in side}
        self.fleet.blocked = lambda a, b: (a in isolated) != (b in isolated)

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
