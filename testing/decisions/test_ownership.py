"""Tests of shard ownership: takeover, promises, release and leave."""

import dataclasses

import pytest

from _jasminewind import members
from _jasminewind.decisions import rows
from _jasminewind.messages import ownership as messages
from testing.decisions import fakes


@pytest.fixture
def cell():
    """Return four nodes with one shard that has an owner."""
    found = fakes.Cell(count=4)
    found.advance(15.0)
    return found


def successor_of(cell):
    """Return the node of the first successor in the table."""
    row = rows.decode(cell.table.rows["shard/000000"][1])
    return cell.find(row.successors[0].node)


def check_kind(cell, node, offset_ms):
    """Return the check result of an id created at an offset from now."""
    time_ms = fakes.START_MS + int(cell.now_s * 1000) + offset_ms
    work_id = fakes.work_id(time_ms)
    return node.ownership.check_id(work_id, cell.at(node)).kind.value


@pytest.mark.parametrize("count", [1, 2, 3])
def test_small_cells_serve(count):
    """Guards against small cells without an owner for lack of successors."""
    cell = fakes.Cell(count=count)
    cell.advance(15.0)
    (owner,) = cell.owners()
    assert check_kind(cell, owner, 0) == "accept"


def test_promises_extend_through_a_table_outage(cell):
    """Guards against an owner that rejects ids in a table outage of 800 s.

    Promises let it accept ids for the whole orphan span.
    """
    cell.table.mode = fakes.TableMode.OUTAGE
    cell.advance(800.0, step_s=1.0)
    (owner,) = cell.owners()
    assert check_kind(cell, owner, 0) == "accept"


def test_successor_takes_over_above_the_old_interval(cell):
    """Guards against a floor below ids that the dead owner accepted."""
    (owner,) = cell.owners()
    cell.crash(owner)
    cell.advance(12.0)
    (new_owner,) = cell.owners()
    assert check_kind(cell, new_owner, 0) == "accept"
    assert not cell.overlaps()


def test_paused_owner_serves_only_its_interval(cell):
    """Guards against an owner that extends after it was replaced."""
    (owner,) = cell.owners()
    cell.pause(owner)
    cell.advance(20.0)
    cell.resume(owner)
    cell.advance(5.0)
    assert cell.owners() != [owner]
    assert check_kind(cell, owner, 0) == "not_owner"
    assert check_kind(cell, owner, -24_000) == "accept"


@pytest.mark.parametrize(
    "mode", [fakes.TableMode.ANSWER_LOST, fakes.TableMode.WRITE_LATE]
)
def test_no_promise_while_a_takeover_is_unresolved(cell, mode):
    """Guards against a promise above the floor of a delayed write."""
    (owner,) = cell.owners()
    new_owner = successor_of(cell)
    cell.pause(owner)
    cell.table.mode = mode
    cell.auto = False
    for _ in range(20):
        cell.advance(0.5)
        if new_owner.ownership.claims.is_writing(0):
            break
        cell.deliver_all()
    is_owner = new_owner.ownership.owned() == (0,)
    assert is_owner or new_owner.ownership.claims.is_writing(0)
    epoch = owner.ownership.rows()[0].current.epoch
    request = messages.PromiseRequest(
        shard=0, epoch=epoch, ceiling_ms=cell.at(new_owner).wall_ms
    )
    actions = new_owner.ownership.on_message(
        owner.node, request, cell.at(new_owner)
    )
    assert [a.message.granted for a in actions] == [False]


def test_unknown_write_is_not_repeated_without_pause(cell):
    """Guards against resending a claim to a failing table without end."""
    (owner,) = cell.owners()
    cell.crash(owner)
    cell.table.mode = fakes.TableMode.WRITE_LOST
    cell.advance(10.0)
    cell.table.mode = fakes.TableMode.OK
    cell.advance(5.0)
    assert len(cell.owners()) == 1


def test_repeated_restarts_do_not_move_the_floor_further(cell):
    """Guards against each restart raising the floor by an orphan span."""
    floors = []
    for incarnation in (2, 3):
        for node in [n for n in cell.nodes if n.alive]:
            cell.crash(node)
            cell.add(node.index, incarnation=incarnation)
        cell.advance(60.0)
        (owner,) = cell.owners()
        floors.append(owner.held(0)[0][0])
    assert floors[0] == floors[1]
    cell.advance(1000.0, step_s=1.0)
    (owner,) = cell.owners()
    assert check_kind(cell, owner, 0) == "accept"


def test_release_opens_an_orphan_within_a_minute(cell):
    """Guards against a released shard that rejects ids for an orphan span."""
    for node in list(cell.nodes):
        cell.crash(node)
        cell.add(node.index, incarnation=2)
    cell.advance(12.0)
    releaser = cell.nodes[-1]
    cell.run(releaser, releaser.ownership.release(0, cell.at(releaser)))
    cell.advance(90.0)
    (owner,) = cell.owners()
    assert check_kind(cell, owner, 0) == "accept"


def test_release_after_another_process_has_claimed_the_orphan(cell):
    """Guards against an orphan that can't be released after a claim.

    The claimed shard rejects ids for an orphan span if no operator can
    release it.
    """
    for node in list(cell.nodes):
        cell.crash(node)
        cell.add(node.index, incarnation=2)
    cell.advance(60.0)
    (owner,) = cell.owners()
    assert check_kind(cell, owner, 0) != "accept"
    releaser = next(n for n in cell.nodes if n.alive and n is not owner)
    cell.run(releaser, releaser.ownership.release(0, cell.at(releaser)))
    cell.advance(90.0)
    (owner,) = cell.owners()
    assert check_kind(cell, owner, 0) == "accept"
    cell.advance(1000.0, step_s=1.0)
    assert not cell.overlaps()


def test_release_of_a_live_shard_is_refused(cell):
    """Guards against a release that ends the interval of a live owner."""
    releaser = cell.nodes[0]
    writes = cell.table.write_count
    cell.run(releaser, releaser.ownership.release(0, cell.at(releaser)))
    cell.deliver_all()
    assert cell.table.write_count == writes


def test_leave_loses_no_id_between_the_intervals(cell):
    """Guards against a gap between the intervals after a graceful leave."""
    (owner,) = cell.owners()
    assert check_kind(cell, owner, 0) == "accept"
    closed_ms = fakes.START_MS + int(cell.now_s * 1000)
    cell.run(owner, owner.ownership.begin_leave(cell.at(owner)))
    cell.advance(5.0)
    (new_owner,) = cell.owners()
    assert new_owner is not owner
    assert new_owner.held(0)[0][0] == closed_ms
    assert owner.ownership.has_left()


def test_shards_move_to_members_without_any():
    """Guards against one agent that keeps all shards."""
    cell = fakes.Cell(count=1, shard_count=4)
    cell.advance(10.0)
    assert cell.nodes[0].ownership.owned() == (0, 1, 2, 3)
    cell.add(1)
    cell.add(2)
    cell.advance(90.0)
    counts = sorted(len(n.ownership.owned()) for n in cell.nodes)
    assert counts == [1, 1, 2]


def test_ids_far_ahead_extend_at_most_30_s(cell):
    """Guards against a ceiling beyond the clock check of the entries."""
    (owner,) = cell.owners()
    for offset_ms in (25_000, 55_000):
        time_ms = cell.at(owner).wall_ms + offset_ms
        actions = owner.ownership.extend_for(
            fakes.work_id(time_ms), cell.at(owner)
        )
        cell.run(owner, actions)
        cell.deliver_all()
    assert check_kind(cell, owner, 25_000) == "accept"
    assert check_kind(cell, owner, 31_000) == "ahead"


def test_successors_are_in_other_failure_domains():
    """Guards against owner and successors in one failure domain."""
    nodes = [
        fakes.Node(name=f"a{i}", incarnation=1, index=i) for i in range(6)
    ]
    chosen = rows.choose_successors(
        0, owner=nodes[0].member, view=[n.member for n in nodes]
    )
    by_id = {n.node: n.member.failure_domain for n in nodes}
    domains = {by_id[s.node] for s in chosen}
    assert domains == {"domain-1", "domain-2"}


def test_leaving_members_become_no_successors():
    """Guards against a successor that is about to exit."""
    nodes = [
        fakes.Node(name=f"a{i}", incarnation=1, index=i) for i in range(2)
    ]
    leaving = dataclasses.replace(nodes[1].member, state=members.State.LEAVING)
    chosen = rows.choose_successors(0, owner=nodes[0].member, view=[leaving])
    assert chosen == ()


def announcements(cell, seconds):
    """Return the receivers of announcements during ``seconds``."""
    receivers = []
    post = cell.post

    def record_receiver(to, sender, message):
        if isinstance(message, messages.OwnerAnnounce):
            receivers.append(to)
        post(to, sender, message)

    cell.post = record_receiver
    cell.advance(seconds)
    cell.post = post
    return receivers


def test_unchanged_rows_are_seldom_announced_to_everyone(cell):
    """Guards against announcing to the whole cell every second."""
    (owner,) = cell.owners()
    row = rows.decode(cell.table.rows["shard/000000"][1])
    sent_to = announcements(cell, 30.0)
    successors = {s.node for s in row.successors}
    others = [to for to in sent_to if to not in successors]
    # Two repeats, and one change when the row is refreshed.
    assert 1 <= len(others) <= 3
    assert successors
    for node in successors:
        assert sent_to.count(node) >= 29, "the owner was silent to a successor"


def test_new_member_and_entry_are_told_the_owner(cell):
    """Guards against new processes that can't redirect to the owner."""
    (owner,) = cell.owners()
    entry = members.NodeId("entry-1", 1)
    owner.ownership.entries = {entry: members.Address("127.0.0.1", 7100)}
    joined = cell.add(4)
    sent_to = announcements(cell, 1.5)
    assert entry in sent_to
    assert joined.node in sent_to


def test_lost_announcement_is_repeated(cell):
    """Guards against a member that missed an announcement for good."""
    (owner,) = cell.owners()
    (uninformed,) = [
        n
        for n in cell.nodes
        if n is not owner
        and n.node
        not in {
            s.node
            for s in rows.decode(cell.table.rows["shard/000000"][1]).successors
        }
    ]
    uninformed.ownership.cell.rows.clear()
    cell.advance(16.0)
    found = uninformed.ownership.cell.rows[0].current.owner
    assert found == owner.node


def test_lost_successor_in_an_outage_is_replaced_with_pauses(cell):
    """Guards against a write and a log line per tick during an outage."""
    (owner,) = cell.owners()
    new_owner = owner.ownership.rows()[0].successors[0].node
    cell.table.mode = fakes.TableMode.OUTAGE
    cell.crash(cell.find(new_owner))
    before = len(cell.logged)
    cell.advance(20.0, step_s=0.1)
    named = [a for a in cell.logged[before:] if "name succ" in a.reason]
    assert 1 <= len(named) <= 10
    cell.table.mode = fakes.TableMode.OK
    cell.advance(5.0)
    successors = owner.ownership.rows()[0].successors
    assert new_owner not in [each.node for each in successors]


def test_no_shard_moves_while_the_table_is_down():
    """Guards against a shard that a move closes until an outage ends."""
    cell = fakes.Cell(count=3, shard_count=8)
    cell.advance(5.0)
    counts = [len(node.ownership.owned()) for node in cell.nodes]
    assert max(counts) - min(counts) >= 2
    cell.table.mode = fakes.TableMode.OUTAGE
    cell.advance(40.0)
    held = [n.held(shard) for n in cell.nodes for shard in range(8)]
    wall_ms = cell.at(cell.nodes[0]).wall_ms
    serving = [h for each in held for h in each if h[1] >= wall_ms]
    assert len(serving) == 8
    cell.table.mode = fakes.TableMode.OK
    cell.advance(60.0)
    counts = [len(node.ownership.owned()) for node in cell.nodes]
    assert max(counts) - min(counts) <= 1


def test_new_owner_replaces_a_successor_that_left_without_a_pause():
    """Guards against a new owner that accepts no id for 2 s.

    This happens in a rolling replacement of agents when the successor named
    by a claim leaves before it has granted a promise.
    """
    cell = fakes.Cell(count=4, auto=False)
    while not cell.owners():
        if cell.undelivered:
            cell.deliver(0)
        else:
            cell.advance(0.1, step_s=0.1)
    (owner,) = cell.owners()
    new_owner = owner.ownership.rows()[0].successors[0].node
    stopped = cell.find(new_owner)
    cell.crash(stopped)
    # It has announced its leave, so it is removed from the view at once.
    stopped.silent_since_s = cell.now_s - fakes.DEAD_AFTER_S
    for _ in range(5):
        cell.advance(0.1, step_s=0.1)
        cell.deliver_all()
    named = [s.node for s in owner.ownership.rows()[0].successors]
    assert new_owner not in named
