"""Tests of forwarding submissions and of the answers to callers."""

import dataclasses
import random

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions import directory
from _jasminewind.decisions import relay
from _jasminewind.messages import membership as messages
from _jasminewind.messages import ownership
from _jasminewind.messages import work
from testing.decisions import fleet as fleets

WALL_MS = fleets.WALL_START_MS
OWNER = fleets.agent_record(0)
OTHER = fleets.agent_record(1)
TASK = work.Task(name="quote", service="hutch-orders", method="quote")


def instant(seconds: float) -> core.Instant:
    return core.Instant(seconds, WALL_MS + int(seconds * 1000))


class Freshness:
    """Fake freshness, which the test sets."""

    def __init__(self) -> None:
        self.is_confirmed = True

    def is_fresh(self, now: core.Instant) -> bool:
        """Return what the test has set."""
        del now
        return self.is_confirmed


class Entry:
    """A relay with a directory of one shard and two agents."""

    def __init__(self, *, max_pending: int = 10, **team: float) -> None:
        record = fleets.entry_record(0)
        rng = random.Random(4)
        self.directory = directory.Directory(member=record, rng=rng)
        self.freshness = Freshness()
        self.relay = relay.Relay(
            member=record,
            directory=self.directory,
            rng=rng,
            freshness=self.freshness,
            max_pending=max_pending,
        )
        millers = configuration.Team(name="millers", **team)  # type: ignore
        config = fleets.config(1, shard_count=1, teams=(millers,))
        self.directory.on_config(config, instant(0))
        self.relay.on_config(config, instant(0))
        self.sequence = 0
        self.report(0.0, OWNER, OTHER)
        self.announce(fleets.shard_row(0, OWNER))

    def report(self, seconds: float, *records: members.Member) -> None:
        self.sequence += 1
        digest = messages.CellDigest(
            cell=0,
            reporter=OTHER.node,
            sequence=self.sequence,
            digest_hash=0,
            full=True,
            records=records,
        )
        self.directory.on_message(OTHER.node, digest, instant(seconds))

    def announce(self, row: fleets.shards.ShardRow) -> None:
        message = ownership.OwnerAnnounce(row=row)
        self.directory.on_message(OWNER.node, message, instant(0))

    def submit(
        self, ticket: int, seconds: float = 0.0, **fields: object
    ) -> tuple[str, core.Actions]:
        entry_made = bool(fields.pop("entry_made", False))
        seed = fields.pop("seed", ticket)
        work_id = ids.new(
            wall_ms=instant(seconds).wall_ms, rng=random.Random(str(seed))
        )
        submit = work.Submit(
            work_id=str(fields.pop("work_id", work_id)),
            kind=work.WorkKind.REQUEST,
            team="millers",
            tasks=(TASK,),
            budget_s=30.0,
            config_version=1,
        )
        actions = self.relay.submit(
            ticket, submit, instant(seconds), entry_made=entry_made
        )
        return submit.work_id, actions


def sends(actions: core.Actions) -> list[core.Send]:
    return [a for a in actions if isinstance(a, core.Send)]


def answers(actions: core.Actions) -> list[tuple[int, work.Answer]]:
    return [
        (a.ticket, a.message)
        for a in actions
        if isinstance(a, core.ReplyToCaller)
        and isinstance(a.message, work.Answer)
    ]


def complete(work_id: str) -> work.Answer:
    output = work.TaskOutput(
        name="quote", payload="1", endpoint="minion-000", run_s=0.1
    )
    return work.Answer(
        work_id=work_id, state=work.WorkState.COMPLETE, outputs=(output,)
    )


def failure(actions: core.Actions) -> errors.WorkError:
    ((_, answer),) = answers(actions)
    assert answer.state is work.WorkState.FAILED
    assert answer.error is not None
    return answer.error


def test_answer_is_delivered_once_and_only_for_known_ids() -> None:
    """Guards against duplicate answers and answers from non-owners."""
    entry = Entry()
    work_id, actions = entry.submit(1)
    assert [s.to for s in sends(actions)] == [OWNER.node]
    answer = complete(work_id)
    assert entry.relay.on_message(OTHER.node, answer, instant(1)) == []
    first = entry.relay.on_message(OWNER.node, answer, instant(1))
    assert answers(first) == [(1, answer)]
    assert entry.relay.on_message(OWNER.node, answer, instant(1)) == []
    assert entry.relay.in_flight() == 0


def test_partial_answer_becomes_a_failure() -> None:
    """Guards against delivering an answer with missing outputs."""
    entry = Entry()
    work_id, _ = entry.submit(1)
    partial = work.Answer(work_id=work_id, state=work.WorkState.COMPLETE)
    actions = entry.relay.on_message(OWNER.node, partial, instant(1))
    assert failure(actions).outcome is errors.Outcome.MAY_HAVE_RUN


def test_lost_link_sends_again_to_the_same_incarnation() -> None:
    """Guards against a submission lost with its link."""
    entry = Entry()
    work_id, _ = entry.submit(1)
    entry.relay.on_link_lost(OWNER.node, instant(1))
    again = sends(entry.relay.on_tick(instant(2)))
    assert [s.to for s in again] == [OWNER.node]
    assert isinstance(again[0].message, work.Submit)
    assert again[0].message.work_id == work_id
    assert again[0].message.budget_s == 28.0


def test_replacement_of_a_dead_owner_is_not_sent_its_ids() -> None:
    """Guards against a second start by a new incarnation."""
    entry = Entry()
    _, _ = entry.submit(1)
    restarted = fleets.agent_record(0, incarnation=2)
    entry.report(5.0, restarted, OTHER)
    actions: core.Actions = []
    for tenth in range(50, 250):
        if tenth % 20 == 0:
            entry.report(tenth / 10, restarted, OTHER)
        actions += entry.relay.on_tick(instant(tenth / 10))
    assert sends(actions) == []
    error = failure(actions)
    assert error.code is errors.Code.UNAVAILABLE
    assert error.outcome is errors.Outcome.MAY_HAVE_RUN


def test_unsent_id_of_a_caller_waits_for_the_new_owner() -> None:
    """Guards against a refusal during a takeover."""
    entry = Entry()
    entry.report(0.0, OTHER)
    _, actions = entry.submit(1)
    assert actions == []
    entry.announce(fleets.shard_row(0, OTHER, epoch=2, floor_ms=WALL_MS - 1))
    later = sends(entry.relay.on_tick(instant(1)))
    assert [s.to for s in later] == [OTHER.node]


def test_unsent_id_of_a_caller_is_never_reported_as_not_run() -> None:
    """Guards against NOT_RUN for a resubmission that ran elsewhere."""
    entry = Entry()
    entry.report(0.0, OTHER)
    entry.submit(1)
    assert answers(entry.relay.on_tick(instant(14.0))) == []
    error = failure(entry.relay.on_tick(instant(16.0)))
    assert error.outcome is errors.Outcome.MAY_HAVE_RUN


def test_unsent_id_of_the_entry_is_refused_as_not_run_at_once() -> None:
    """Guards against waiting for a takeover when nothing was sent."""
    entry = Entry()
    entry.report(0.0, OTHER)
    _, actions = entry.submit(1, entry_made=True)
    assert failure(actions).outcome is errors.Outcome.NOT_RUN


def test_answer_under_a_replaced_id_names_the_first() -> None:
    """Guards against an answer that the caller can't match to its id."""
    entry = Entry()
    first, actions = entry.submit(1, entry_made=True)
    (sent,) = sends(actions)
    unsent = entry.relay.on_send_failed(OWNER.node, sent.message, instant(1.0))
    (again,) = sends(unsent)
    second = again.message.work_id  # type: ignore[attr-defined]
    assert second != first
    (cancel,) = sends(entry.relay.cancel(first, instant(1.1)))
    assert cancel.message == work.Cancel(work_id=second)
    done = entry.relay.on_message(OWNER.node, complete(second), instant(1.2))
    ((_, answer),) = answers(done)
    assert (answer.work_id, answer.replaces) == (second, first)
    assert not entry.relay.replacement_ids


def test_failed_write_replaces_an_id_of_the_entry() -> None:
    """Guards against failing work that was never written to a link."""
    entry = Entry()
    work_id, actions = entry.submit(1, entry_made=True)
    (sent,) = sends(actions)
    again = entry.relay.on_send_failed(OWNER.node, sent.message, instant(1))
    (second,) = sends(again)
    assert isinstance(second.message, work.Submit)
    assert second.message.work_id != work_id
    answer = complete(second.message.work_id)
    done = entry.relay.on_message(OWNER.node, answer, instant(2))
    expected = dataclasses.replace(answer, replaces=work_id)
    assert answers(done) == [(1, expected)]


def test_redirects_are_bounded() -> None:
    """Guards against an endless redirect loop between two owners."""
    entry = Entry()
    work_id, actions = entry.submit(1)
    target = OWNER
    count = 0
    while sends(actions):
        count += 1
        assert count < 20
        other = OTHER if target is OWNER else OWNER
        redirect = work.Redirect(
            work_id=work_id, owner=other.node, address=other.address
        )
        actions = entry.relay.on_message(target.node, redirect, instant(1))
        target = other
    assert count == 1 + relay.MAX_REDIRECTS


def test_early_redirect_does_not_shorten_a_later_search() -> None:
    """Guards against failing a long job when its first link is lost.

    The search timeout was counted from an old redirect.
    """
    entry = Entry()
    work_id, _ = entry.submit(1)
    redirect = work.Redirect(
        work_id=work_id, owner=OTHER.node, address=OTHER.address
    )
    entry.relay.on_message(OWNER.node, redirect, instant(0))
    entry.announce(fleets.shard_row(0, OTHER, epoch=2, floor_ms=WALL_MS - 1))
    entry.relay.on_link_lost(OTHER.node, instant(20))
    again = sends(entry.relay.on_tick(instant(21)))
    assert [s.to for s in again] == [OTHER.node]


def test_quota_is_split_over_entries_and_refused_as_not_run() -> None:
    """Guards against granting the full team quota at each entry."""
    entry = Entry(max_in_flight=4)
    entry.relay.set_entry_count(2)
    entry.submit(1)
    work_id, _ = entry.submit(2)
    _, refused = entry.submit(3, entry_made=True)
    error = failure(refused)
    assert error.code is errors.Code.RESOURCE_EXHAUSTED
    assert error.outcome is errors.Outcome.NOT_RUN
    entry.relay.on_message(OWNER.node, complete(work_id), instant(1))
    _, admitted = entry.submit(4)
    assert sends(admitted)


def test_starts_per_second_are_limited_by_a_bucket() -> None:
    """Guards against bursts above the start rate of a team."""
    entry = Entry(starts_per_s=2.0)
    taken = [
        bool(sends(entry.submit(n, entry_made=True)[1])) for n in range(4)
    ]
    assert taken == [True, True, False, False]
    assert sends(entry.submit(9, seconds=1.0)[1])


def test_pending_submissions_are_bounded() -> None:
    """Guards against an entry that runs out of memory."""
    entry = Entry(max_pending=1)
    entry.submit(1)
    _, refused = entry.submit(2)
    assert failure(refused).code is errors.Code.RESOURCE_EXHAUSTED
    assert failure(refused).outcome is errors.Outcome.MAY_HAVE_RUN
    _, refused = entry.submit(3, entry_made=True)
    assert failure(refused).outcome is errors.Outcome.NOT_RUN


def test_same_id_twice_is_one_submission_with_two_callers() -> None:
    """Guards against charging quota or answering twice on resubmission."""
    entry = Entry()
    work_id, _ = entry.submit(1)
    _, joined = entry.submit(2, work_id=work_id)
    assert joined == []
    entry.relay.forget(1)
    answer = complete(work_id)
    done = entry.relay.on_message(OWNER.node, answer, instant(1))
    assert answers(done) == [(2, answer)]


def test_entry_that_is_not_fresh_refuses_as_not_run() -> None:
    """Guards against new work under an outdated configuration."""
    entry = Entry()
    entry.freshness.is_confirmed = False
    _, held = entry.submit(1, entry_made=True)
    assert held == []
    assert entry.relay.on_tick(instant(1.4)) == []
    _, refused = entry.submit(2, seconds=1.6, entry_made=True)
    for actions in (entry.relay.on_tick(instant(1.6)), refused):
        error = failure(actions)
        assert error.code is errors.Code.UNAVAILABLE
        assert error.outcome is errors.Outcome.NOT_RUN
    assert entry.relay.in_flight() == 0


def test_stale_entry_forwards_once_its_configuration_is_confirmed() -> None:
    """Guards against refusals by an entry that was paused for a moment.

    Pattern: under load an entry gets no processor time for 2 s, so that its
    confirmation is out of date when it reads the calls that wait for it.
    """
    entry = Entry(max_in_flight=2)
    entry.freshness.is_confirmed = False
    work_id, held = entry.submit(1)
    _, joined = entry.submit(2, work_id=work_id)
    entry.submit(3, entry_made=True)
    assert (held, joined) == ([], [])
    entry.freshness.is_confirmed = True
    forwarded = sends(entry.relay.on_tick(instant(0.2)))
    assert [s.message.join_only for s in forwarded] == [False, False]
    _, refused = entry.submit(4, entry_made=True)
    assert failure(refused).code is errors.Code.RESOURCE_EXHAUSTED
    done = entry.relay.on_message(OWNER.node, complete(work_id), instant(1))
    assert [ticket for ticket, _ in answers(done)] == [1, 2]
    assert sends(entry.submit(5, entry_made=True)[1])


def test_stale_entry_asks_the_owner_before_it_refuses_held_work() -> None:
    """Guards against NOT_RUN for a held id that ran through another entry."""
    entry = Entry()
    entry.freshness.is_confirmed = False
    work_id, _ = entry.submit(1)
    (lookup,) = sends(entry.relay.on_tick(instant(1.5)))
    assert lookup.message.join_only
    done = entry.relay.on_message(OWNER.node, complete(work_id), instant(2))
    assert answers(done) == [(1, complete(work_id))]


def test_held_work_that_is_cancelled_is_not_charged() -> None:
    """Guards against quota that is released without having been charged."""
    entry = Entry(max_in_flight=2)
    entry.submit(1, entry_made=True)
    entry.freshness.is_confirmed = False
    work_id, _ = entry.submit(2, entry_made=True)
    cancelled = entry.relay.cancel(work_id, instant(0.1))
    assert failure(cancelled).outcome is errors.Outcome.NOT_RUN
    entry.freshness.is_confirmed = True
    assert entry.relay.on_tick(instant(0.2)) == []
    assert sends(entry.submit(3, entry_made=True)[1])
    assert not sends(entry.submit(4, entry_made=True)[1])


def test_refusal_without_an_owner_tells_that_this_copy_did_not_run() -> None:
    """Guards against a caller that must resubmit what was never forwarded.

    The entry is stale, and the owner of the id does not answer.
    """
    entry = Entry()
    entry.freshness.is_confirmed = False
    entry.submit(1)
    (lookup,) = sends(entry.relay.on_tick(instant(1.5)))
    assert isinstance(lookup.message, work.Submit)
    assert lookup.message.join_only
    error = failure(entry.relay.on_tick(instant(31.0)))
    assert error.outcome is errors.Outcome.MAY_HAVE_RUN
    assert error.not_run_if_first


def test_entry_that_cannot_ask_tells_that_this_copy_did_not_run() -> None:
    """Guards against a caller that must resubmit what was never forwarded."""
    entry = Entry(max_pending=1)
    entry.submit(1)
    error = failure(entry.submit(2)[1])
    assert error.outcome is errors.Outcome.MAY_HAVE_RUN
    assert error.not_run_if_first


def test_a_record_with_missing_outputs_is_not_called_not_run_if_first() -> (
    None
):
    """Guards against "not run" for an id that has a record."""
    entry = Entry()
    entry.freshness.is_confirmed = False
    work_id, _ = entry.submit(1)
    entry.relay.on_tick(instant(1.5))
    partial = work.Answer(work_id=work_id, state=work.WorkState.COMPLETE)
    error = failure(entry.relay.on_message(OWNER.node, partial, instant(2)))
    assert error.outcome is errors.Outcome.MAY_HAVE_RUN
    assert not error.not_run_if_first


def test_work_that_was_forwarded_is_not_called_not_run_if_first() -> None:
    """Guards against "not run" for work whose owner does not answer."""
    entry = Entry()
    entry.submit(1)
    error = failure(entry.relay.on_tick(instant(31.0)))
    assert error.outcome is errors.Outcome.MAY_HAVE_RUN
    assert not error.not_run_if_first


def test_id_far_ahead_is_refused_as_not_run() -> None:
    """Guards against an id that no owner can accept."""
    entry = Entry()
    far = ids.new(wall_ms=WALL_MS + 61_000, rng=random.Random(1))
    _, refused = entry.submit(1, work_id=far)
    assert failure(refused).code is errors.Code.INVALID_ARGUMENT


def test_cancellation_follows_a_submission_that_is_sent_again() -> None:
    """Guards against a resend that drops the cancellation."""
    entry = Entry()
    work_id, _ = entry.submit(1)
    (cancel,) = sends(entry.relay.cancel(work_id, instant(1)))
    assert cancel.message == work.Cancel(work_id=work_id)
    entry.relay.on_link_lost(OWNER.node, instant(1))
    again = [s.message for s in sends(entry.relay.on_tick(instant(2)))]
    assert isinstance(again[0], work.Submit)
    assert again[1] == work.Cancel(work_id=work_id)


def test_query_without_reply_ends_as_unknown() -> None:
    """Guards against a status call that hangs without a reply."""
    entry = Entry()
    work_id, _ = entry.submit(1)
    assert sends(entry.relay.query(7, work_id, instant(0)))
    (end,) = entry.relay.on_tick(instant(6))
    assert isinstance(end, core.ReplyToCaller)
    assert isinstance(end.message, work.WorkStatus)
    assert (end.ticket, end.message.state) == (7, work.WorkState.UNKNOWN)
    assert end.message.may_have_run


def announce_new_owner(entry: Entry) -> None:
    """Announce ``OTHER`` as owner above every id, ``OWNER`` as earlier."""
    earlier = fleets.shard_row(0, OWNER, ceiling_ms=WALL_MS + 1).current
    row = fleets.shard_row(
        0, OTHER, epoch=2, floor_ms=WALL_MS + 1, earlier=(earlier,)
    )
    entry.announce(row)


def test_new_owner_is_asked_for_a_record_when_the_owner_has_left() -> None:
    """Guards against never asking the new owner for the record."""
    entry = Entry()
    work_id, _ = entry.submit(1)
    announce_new_owner(entry)
    entry.report(1.0, OTHER)
    entry.relay.on_link_lost(OWNER.node, instant(1))
    (again,) = sends(entry.relay.on_tick(instant(2)))
    assert isinstance(again.message, work.Submit)
    assert (again.to, again.message.join_only) == (OTHER.node, True)
    answer = complete(work_id)
    done = entry.relay.on_message(OTHER.node, answer, instant(3))
    assert answers(done) == [(1, answer)]


def test_owner_that_is_still_there_is_asked_itself() -> None:
    """Guards against "may have run" from a new owner without the record.

    The earlier owner has the record, so it is asked as long as it is live.
    """
    entry = Entry()
    announce_new_owner(entry)
    _, actions = entry.submit(1)
    (sent,) = sends(actions)
    assert isinstance(sent.message, work.Submit)
    assert (sent.to, sent.message.join_only) == (OWNER.node, False)


def submit_above_quota(entry: Entry) -> tuple[str, core.Actions]:
    """Submit above the team quota; return the id and the actions."""
    entry.submit(1)
    return entry.submit(2)


def test_refused_id_of_a_caller_is_only_asked_for() -> None:
    """Guards against a start above the quota when the id is checked."""
    entry = Entry(max_in_flight=1)
    work_id, actions = submit_above_quota(entry)
    (sent,) = sends(actions)
    assert isinstance(sent.message, work.Submit)
    assert sent.message.join_only
    error = errors.WorkError(
        code=errors.Code.UNAVAILABLE,
        outcome=errors.Outcome.NOT_RUN,
        reason="not known",
    )
    unknown = work.Answer(
        work_id=work_id, state=work.WorkState.FAILED, error=error
    )
    refused = entry.relay.on_message(OWNER.node, unknown, instant(1))
    assert failure(refused).code is errors.Code.RESOURCE_EXHAUSTED
    assert failure(refused).outcome is errors.Outcome.NOT_RUN


def test_refusal_of_an_id_that_ran_gives_its_answer() -> None:
    """Guards against NOT_RUN for an id that ran through another entry."""
    entry = Entry(max_in_flight=1)
    work_id, _ = submit_above_quota(entry)
    answer = complete(work_id)
    done = entry.relay.on_message(OWNER.node, answer, instant(1))
    assert answers(done) == [(2, answer)]


def test_refused_id_does_not_give_quota_back() -> None:
    """Guards against releasing quota that was never charged."""
    entry = Entry(max_in_flight=1)
    work_id, _ = submit_above_quota(entry)
    entry.relay.on_message(OWNER.node, complete(work_id), instant(1))
    _, refused = entry.submit(3, entry_made=True)
    assert failure(refused).code is errors.Code.RESOURCE_EXHAUSTED


def test_refusal_is_not_proved_while_the_owner_is_silent() -> None:
    """Guards against NOT_RUN for an id whose owner didn't reply."""
    entry = Entry(max_in_flight=1)
    submit_above_quota(entry)
    ended = [
        a
        for a in answers(entry.relay.on_tick(instant(31)))
        if a[0] == 2 and a[1].error is not None
    ]
    ((_, answer),) = ended
    assert answer.error is not None
    assert answer.error.outcome is errors.Outcome.MAY_HAVE_RUN


def leave_and_move_again(entry: Entry) -> tuple[str, core.Actions]:
    """Let the owner leave to ``OTHER`` and the shard move to a third."""
    third = fleets.agent_record(2)
    first = fleets.shard_row(0, OWNER, ceiling_ms=WALL_MS + 1).current
    second = fleets.shard_row(
        0, OTHER, epoch=2, floor_ms=WALL_MS + 1, ceiling_ms=WALL_MS + 2
    ).current
    work_id, _ = entry.submit(1)
    entry.announce(
        fleets.shard_row(
            0,
            third,
            epoch=3,
            floor_ms=WALL_MS + 2,
            earlier=(second, first),
        )
    )
    entry.report(1.0, OTHER, third)
    entry.relay.on_link_lost(OWNER.node, instant(1))
    actions = entry.relay.on_tick(instant(2))
    assert [s.to for s in sends(actions)] == [third.node]
    nothing = work.Redirect(work_id=work_id, owner=None, address=None)
    return work_id, entry.relay.on_message(third.node, nothing, instant(2))


def test_every_later_owner_is_asked_for_a_record() -> None:
    """Guards against losing a record when a shard moves after a leave."""
    entry = Entry()
    work_id, actions = leave_and_move_again(entry)
    (sent,) = sends(actions)
    assert isinstance(sent.message, work.Submit)
    assert (sent.to, sent.message.join_only) == (OTHER.node, True)
    answer = complete(work_id)
    done = entry.relay.on_message(OTHER.node, answer, instant(3))
    assert answers(done) == [(1, answer)]


def test_id_that_no_later_owner_knows_may_have_run() -> None:
    """Guards against waiting when no live process has the record."""
    entry = Entry()
    work_id, _ = leave_and_move_again(entry)
    nothing = work.Redirect(work_id=work_id, owner=None, address=None)
    ended = entry.relay.on_message(OTHER.node, nothing, instant(3))
    assert failure(ended).outcome is errors.Outcome.MAY_HAVE_RUN
    assert entry.relay.in_flight() == 0
