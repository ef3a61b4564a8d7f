"""Test an entry's view of the shard map and of the members."""

import dataclasses
import random

from _jasminewind import ids
from _jasminewind import shards
from _jasminewind.decisions import cell_reporter
from _jasminewind.decisions import core
from _jasminewind.decisions import directory
from _jasminewind.messages import membership as messages
from testing.decisions import fleet as fleets

WALL_MS = fleets.WALL_START_MS
AGENT = fleets.agent_record(0)
OTHER = fleets.agent_record(1)


def instant(seconds: float) -> core.Instant:
    return core.Instant(seconds, WALL_MS + int(seconds * 1000))


def new_directory(shard_count: int = 1) -> directory.Directory:
    known = directory.Directory(
        member=fleets.entry_record(0), rng=random.Random(1)
    )
    config = fleets.config(1, shard_count=shard_count)
    known.on_config(config, instant(0))
    return known


def new_reporter() -> cell_reporter.Reporter:
    reporter = cell_reporter.Reporter(node=AGENT.node)
    reporter.merge_row(fleets.shard_row(0, AGENT))
    return reporter


ENTRY = fleets.members.Contact(
    node=fleets.entry_record(0).node, address=fleets.entry_record(0).address
)


def messages_of(actions: core.Actions) -> list[object]:
    return [a.message for a in actions if isinstance(a, core.Send)]


def test_missed_digest_is_noticed_and_repaired() -> None:
    """Guards against a view that stays outdated after a lost digest.

    The next beat reveals the gap, and the full digest is requested.
    """
    known = new_directory()
    reporter = new_reporter()

    def tick(seconds: float, *records: fleets.members.Member) -> list[object]:
        actions = reporter.on_tick(
            cell=0, records=records, entries=(ENTRY,), now=instant(seconds)
        )
        return messages_of(actions)

    for message in tick(0, AGENT):
        known.on_message(AGENT.node, message, instant(0))
    assert [m.node for m in known.members()] == [AGENT.node]
    lost = tick(1, AGENT, OTHER)
    assert isinstance(lost[0], messages.CellDigest)
    beats = tick(4, AGENT, OTHER)
    assert isinstance(beats[0], messages.DigestBeat)
    actions = known.on_message(AGENT.node, beats[0], instant(4))
    request = messages_of(actions)[0]
    assert isinstance(request, messages.DigestRequest)
    full = reporter.full_digest(cell=0, records=(AGENT, OTHER), entry=ENTRY)
    known.on_message(AGENT.node, messages_of(full)[0], instant(4))
    assert len(known.members()) == 2


def test_silent_reporter_is_aged_out() -> None:
    """Guards against new work for a cell whose reporters are silent."""
    known = new_directory()
    reporter = new_reporter()
    actions = reporter.on_tick(
        cell=0, records=(AGENT,), entries=(ENTRY,), now=instant(0)
    )
    for message in messages_of(actions):
        known.on_message(AGENT.node, message, instant(0))
    assert known.least_loaded_shard(instant(0)) == 0
    known.on_tick(instant(11))
    assert known.members() == ()
    assert known.least_loaded_shard(instant(11)) is None


def test_owner_by_interval_also_of_earlier_epochs() -> None:
    """Guards against asking an owner whose interval lacks the id."""
    known = new_directory()
    earlier = shards.Interval(
        epoch=1,
        owner=AGENT.node,
        address=AGENT.address,
        floor_ms=WALL_MS,
        ceiling_ms=WALL_MS + 1000,
    )
    row = fleets.shard_row(
        0,
        OTHER,
        epoch=2,
        floor_ms=WALL_MS + 2000,
        ceiling_ms=WALL_MS + 3000,
        earlier=(earlier,),
    )
    announce = directory.ownership.OwnerAnnounce(row=row)
    known.on_message(OTHER.node, announce, instant(0))
    stale = directory.ownership.OwnerAnnounce(row=fleets.shard_row(0, AGENT))
    known.on_message(AGENT.node, stale, instant(0))

    def owner_at(offset_ms: int) -> fleets.members.NodeId | None:
        work_id = ids.new(wall_ms=WALL_MS + offset_ms, rng=random.Random(3))
        interval = known.owner_of(work_id)
        return interval.owner if interval else None

    assert owner_at(-5) is None
    assert owner_at(500) == AGENT.node
    assert owner_at(1500) is None
    assert owner_at(2500) == OTHER.node
    assert owner_at(60_000) == OTHER.node


def test_entry_without_configuration_welcomes_nobody() -> None:
    """Guards against a wrong cell in a Welcome before the count is known."""
    known = directory.Directory(
        member=fleets.entry_record(0), rng=random.Random(1)
    )
    join = messages.Join(member=AGENT)
    assert known.on_message(AGENT.node, join, instant(0)) == []


def test_updated_view_equals_a_rebuilt_one() -> None:
    """Guards against incremental updates that differ from a rebuild.

    A changed record can hide or reveal another one at the same address.
    """
    rng = random.Random(7)
    known = new_directory()
    reporters = [AGENT, OTHER]
    sequences = [0, 0]
    for step in range(600):
        number = rng.randrange(8)
        which = rng.randrange(2)
        # Equal ports make a later incarnation replace another name.
        port = 10_000 + number if rng.random() < 0.9 else 10_003
        record = dataclasses.replace(
            fleets.agent_record(
                number, incarnation=rng.randrange(1, 4), port=port
            ),
            sequence=rng.randrange(5),
            suspect=rng.random() < 0.3,
        )
        sequences[which] += 1
        digest = messages.CellDigest(
            cell=0,
            reporter=reporters[which].node,
            sequence=sequences[which],
            digest_hash=0,
            full=False,
            records=(record,),
            gone=(record.node,) if rng.random() < 0.1 else (),
        )
        known.on_message(reporters[which].node, digest, instant(step / 100))
        if rng.random() < 0.1:
            known.on_message(
                record.node, messages.Leave(node=record.node), instant(step)
            )
        updated = known.members()
        known.cached_members = None
        assert updated == known.members()
