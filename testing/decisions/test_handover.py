"""Tests of handing over finished records when an owner leaves."""

import random

import pytest

from _jasminewind import errors
from _jasminewind import members
from _jasminewind.decisions import coordinator
from _jasminewind.messages import ownership as messages
from _jasminewind.messages import work
from _jasminewind.wire import frames
from testing.decisions import fakes

ENTRY = members.NodeId("entry-1", 1)
# JSON escapes each quotation mark, so the frame is twice as long.
PAYLOAD = '"' * 200_000


class Cell(fakes.Cell):
    """A cell whose nodes have coordinators; records sent messages."""

    def __init__(self):
        self.sent = []
        self.coordinators = {}
        self.loses_hand_overs = False
        super().__init__(count=4)

    def add(self, index, **fields):
        """Start a node with a coordinator."""
        node = super().add(index, **fields)
        found = coordinator.Coordinator(
            member=node.member,
            ownership=node.ownership,
            rng=random.Random(index),
        )
        found.on_config(self.config, self.at(node))
        self.coordinators[node.node] = found
        return node

    def post(self, to, sender, message):
        """Route hand-overs to the coordinator; record every message."""
        self.sent.append(message)
        if not isinstance(message, messages.HandOver):
            super().post(to, sender, message)
        elif not self.loses_hand_overs:
            node = self.find(to)
            found = self.coordinators[to]
            now = self.at(node)
            self.run(node, found.on_message(sender, message, now))

    def submit(self, node, work_id, *, join_only=False):
        """Submit to ``node`` and return the only reply."""
        submit = work.Submit(
            work_id=work_id,
            kind=work.WorkKind.REQUEST,
            team="millers",
            tasks=(work.Task(name="a", service="s", method="m"),),
            budget_s=5.0,
            config_version=1,
            join_only=join_only,
        )
        found = self.coordinators[node.node]
        actions = found.on_message(ENTRY, submit, self.at(node))
        (sent,) = [a.message for a in actions if hasattr(a, "message")]
        return sent


@pytest.fixture
def cell():
    """Return a cell whose only shard has an owner."""
    found = Cell()
    found.advance(15.0)
    return found


def finish_work(cell, owner, count):
    """Finish work with large outputs at ``owner``; return the answers."""
    answers = []
    now = cell.at(owner)
    store = cell.coordinators[owner.node].store
    for seed in range(count):
        work_id = fakes.work_id(now.wall_ms, seed=seed)
        assert owner.ownership.check_id(work_id, now).kind.value == "accept"
        submit = work.Submit(
            work_id=work_id,
            kind=work.WorkKind.REQUEST,
            team="millers",
            tasks=(),
            budget_s=5.0,
            config_version=1,
        )
        store.accept(submit, shard=0, sender=ENTRY).unwrap()
        output = work.TaskOutput(
            name="a", payload=PAYLOAD, endpoint="minion-0", run_s=0.1
        )
        answer = work.Answer(
            work_id=work_id, state=work.WorkState.COMPLETE, outputs=(output,)
        )
        store.finish(answer, now)
        answers.append(answer)
    return answers


def leave(cell, owner):
    """Let ``owner`` transfer its shards and hand over its records."""
    cell.run(owner, owner.ownership.begin_leave(cell.at(owner)))
    while not owner.ownership.has_transferred_shards():
        cell.advance(0.5)
    answers = cell.coordinators[owner.node].close()
    now = cell.at(owner)
    cell.run(owner, owner.ownership.hand_over(answers, now))


def test_new_owner_answers_from_the_records(cell):
    """Guards against losing finished answers in a graceful leave."""
    (owner,) = cell.owners()
    answers = finish_work(cell, owner, 5)
    leave(cell, owner)
    cell.advance(1.0)
    assert owner.ownership.has_left()
    (new_owner,) = cell.owners()
    for answer in answers:
        assert cell.submit(new_owner, answer.work_id) == answer
        assert cell.submit(new_owner, answer.work_id, join_only=True) == answer


def test_hand_over_stays_below_the_frame_limit(cell):
    """Guards against a batch above the frame limit of a link."""
    (owner,) = cell.owners()
    finish_work(cell, owner, 5)
    leave(cell, owner)
    cell.advance(1.0)
    sizes = [
        len(frames.encode(message))
        for message in cell.sent
        if isinstance(message, messages.HandOver)
    ]
    assert len(sizes) == 5
    assert max(sizes) < frames.MAX_FRAME_BYTES


def test_lost_hand_over_is_sent_again_before_the_exit(cell):
    """Guards against an exit before the new owner has the records."""
    (owner,) = cell.owners()
    (answer,) = finish_work(cell, owner, 1)
    cell.loses_hand_overs = True
    leave(cell, owner)
    cell.advance(3.0)
    assert not owner.ownership.has_left()
    cell.loses_hand_overs = False
    cell.advance(2.0)
    assert owner.ownership.has_left()
    (new_owner,) = cell.owners()
    assert cell.submit(new_owner, answer.work_id) == answer


def test_hand_over_to_nobody_does_not_delay_the_exit(cell):
    """Guards against a hang when the whole cell shuts down."""
    (owner,) = cell.owners()
    finish_work(cell, owner, 1)
    for node in cell.nodes:
        cell.run(node, node.ownership.begin_leave(cell.at(node)))
    cell.advance(15.0)
    assert owner.ownership.has_transferred_shards()
    answers = cell.coordinators[owner.node].close()
    cell.run(owner, owner.ownership.hand_over(answers, cell.at(owner)))
    assert owner.ownership.has_left()


def test_new_id_at_the_closed_owner_is_not_started(cell):
    """Guards against a leaving owner that starts new work.

    The work would be lost with the process, or run twice.
    """
    (owner,) = cell.owners()
    (answer,) = finish_work(cell, owner, 1)
    leave(cell, owner)
    cell.advance(1.0)
    (new_owner,) = cell.owners()
    work_id = fakes.work_id(
        new_owner.ownership.owned_shards.current[0].floor_ms, seed=99
    )
    # The closed owner's interval still covers the id.
    assert owner.held(0)[0][1] >= new_owner.held(0)[0][0]
    reply = cell.submit(owner, work_id)
    assert reply.error.outcome is errors.Outcome.MAY_HAVE_RUN
    redirect = cell.submit(new_owner, work_id)
    assert redirect.owner == owner.node
    cell.crash(owner)
    reply = cell.submit(new_owner, work_id, join_only=True)
    # The entry asks the other later owners, and then says "may have run".
    assert isinstance(reply, work.Redirect)
    assert reply.owner is None
    assert cell.submit(new_owner, answer.work_id, join_only=True) == answer


def test_id_of_a_dropped_record_may_have_run(cell):
    """Guards against accepting an id again whose record was dropped."""
    (owner,) = cell.owners()
    (answer,) = finish_work(cell, owner, 1)
    found = cell.coordinators[owner.node]
    cell.advance(605.0, step_s=1.0)
    (owner,) = cell.owners()
    found.on_tick(cell.at(owner))
    assert len(found.store) == 0
    reply = cell.submit(owner, answer.work_id)
    assert reply.error.outcome is errors.Outcome.MAY_HAVE_RUN
