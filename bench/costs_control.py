"""Control-plane costs: membership, directory, ownership, configuration."""

import collections
import dataclasses
import random

from _jasminewind import announcements
from _jasminewind import members
from _jasminewind.decisions import agent_config_sync
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.decisions import directory
from _jasminewind.decisions import entry_config_sync
from _jasminewind.decisions import executor
from _jasminewind.decisions import membership
from _jasminewind.messages import configuration as config_messages
from _jasminewind.messages import membership as messages
from _jasminewind.wire import frames
from bench import costs
from bench import membership_cost
from testing.decisions import fakes
from testing.decisions import fleet as fleets

CELL_SIZE = 128
FLEET_SIZES = (10, 100, 1_000, 12_000)
CELL_SIZES = (10, 32, 64, 128)
TEAMS = (10, 60, 120, 180)
SHARDS = (8, 32, 64, 128)
SIMULATED_S = 10
ANNOUNCEMENTS = (100, 300, 1_000, 3_000)


def measure() -> list[costs.Cost]:
    """Return the cost of each control-plane operation over its sizes."""
    return [
        costs.sweep(
            "membership, one second in a cell",
            membership_us,
            CELL_SIZES,
            size_unit="members",
            unit="us",
            note="ticks, beats sent and received, frames; no sockets",
        ),
        costs.sweep(
            "membership, memory of a view",
            lambda n: costs.memory_kb(lambda: joined_member(n)),
            CELL_SIZES,
            size_unit="members",
            unit="kB",
            repeats=1,
        ),
        costs.sweep(
            "directory, memory",
            lambda n: costs.memory_kb(lambda: filled_directory(n)),
            FLEET_SIZES,
            size_unit="members",
            unit="kB",
            note="two reports of each cell of 128",
            repeats=1,
        ),
        costs.sweep(
            "directory, all full digests",
            directory_us,
            FLEET_SIZES,
            size_unit="members",
            unit="us",
            note="decoding and folding two reports of each cell",
        ),
        costs.sweep(
            "directory, one changed record",
            changed_record_us,
            FLEET_SIZES,
            size_unit="members",
            unit="us",
            note="delta and view of all members",
        ),
        costs.sweep(
            "configuration, reporters of a new view",
            reporters_us,
            FLEET_SIZES,
            size_unit="members",
            unit="us",
            note="at an entry, once a second while the view changes",
        ),
        costs.sweep(
            "directory, one digest beat",
            digest_beat_us,
            FLEET_SIZES,
            size_unit="members",
            unit="us",
        ),
        costs.sweep(
            "configuration, one change at an agent",
            config_change_us,
            TEAMS,
            size_unit="teams",
            unit="us",
            note="decode, apply, encode four pushes",
        ),
        costs.sweep(
            "ownership, one second of a cell",
            ownership_us,
            SHARDS,
            size_unit="shards",
            unit="us",
            note="12 members, fake table included; sum over the members",
            repeats=1,
        ),
        costs.sweep(
            "directory, memory of shard rows",
            lambda n: costs.memory_kb(
                lambda: [shard_row(i) for i in range(n)]
            ),
            (32, 128, 512, 2_048),
            size_unit="shards",
            unit="kB",
            repeats=1,
        ),
        costs.sweep(
            "keeper, announcements",
            announcements_us,
            ANNOUNCEMENTS,
            size_unit="announcements",
            unit="us",
            note="decode and decision, without HTTP",
        ),
    ]


def instant_at(seconds: float) -> core.Instant:
    """Return the instant ``seconds`` after the start."""
    return core.Instant(seconds, fleets.WALL_START_MS + int(seconds * 1000))


def joined_member(size: int) -> membership.Membership:
    """Return a member with heartbeats from ``size - 1`` others."""
    own = fleets.agent_record(0)
    joined = membership.Membership(member=own, seeds=(), rng=random.Random(1))
    for number in range(1, size):
        beat = messages.Heartbeat(member=fleets.agent_record(number))
        copy = frames.decode(frames.encode(beat)).unwrap()
        joined.on_message(beat.member.node, copy, instant_at(0))
    joined.view()
    return joined


def membership_us(size: int) -> float:
    """Return a member's processor time per simulated second."""
    joined = joined_member(size)
    nodes = [fleets.agent_record(n).node for n in range(1, size)]
    payload = frames.encode(messages.Beat(seq=0, config=1))

    def run() -> None:
        for tick in range(1, SIMULATED_S * 10 + 1):
            now = instant_at(tick / 10)
            actions = joined.on_tick(now)
            if tick % 20 == 0:
                for node in nodes:
                    message = frames.decode(payload).unwrap()
                    actions += joined.on_message(node, message, now)
            for action in actions:
                if isinstance(action, core.Send):
                    frames.encode(action.message)

    return costs.processor_us(run) / SIMULATED_S


def digests(size: int) -> list[bytes]:
    """Return full digests of each cell, one frame per reporter.

    The fleet has ``size`` members.
    """
    count = -(-size // CELL_SIZE)
    by_cell = collections.defaultdict(list)
    for number in range(size):
        record = fleets.agent_record(number)
        cell = cells.cell_of(record.node.name, cell_count=count)
        by_cell[cell].append(record)
    found = []
    for cell, records in by_cell.items():
        for reporter in cells.reporters(cell, records):
            digest = messages.CellDigest(
                cell=cell,
                reporter=reporter.node,
                sequence=1,
                digest_hash=cells.view_hash(records, ()),
                full=True,
                records=tuple(records),
            )
            found.append(frames.encode(digest))
    return found


def apply_digests(
    entry_directory: directory.Directory, payloads: list[bytes]
) -> None:
    """Decode digests and apply them to a directory."""
    for payload in payloads:
        digest = frames.decode(payload).unwrap()
        assert isinstance(digest, messages.CellDigest)
        entry_directory.on_message(digest.reporter, digest, instant_at(0))
    entry_directory.members()


def empty_directory(size: int) -> directory.Directory:
    """Return an empty directory configured for ``size`` members."""
    entry_directory = directory.Directory(
        member=fleets.entry_record(0), rng=random.Random(1)
    )
    count = -(-size // CELL_SIZE)
    entry_directory.on_config(
        fleets.config(1, cell_count=count), instant_at(0)
    )
    return entry_directory


def filled_directory(size: int) -> directory.Directory:
    """Return a directory that holds ``size`` members."""
    entry_directory = empty_directory(size)
    apply_digests(entry_directory, digests(size))
    return entry_directory


def directory_us(size: int) -> float:
    """Return the processor time to apply full digests of all cells."""
    payloads = digests(size)
    entry_directory = empty_directory(size)
    return costs.processor_us(lambda: apply_digests(entry_directory, payloads))


def changed_record_us(size: int) -> float:
    """Return an entry's processor time per changed member record."""
    entry_directory = filled_directory(size)
    report = next(iter(entry_directory.reports.values()))
    record = next(iter(report.records.values()))
    changed = dataclasses.replace(record, sequence=record.sequence + 1)
    report.records[record.node.name] = changed
    digest = messages.CellDigest(
        cell=report.cell,
        reporter=report.reporter,
        sequence=report.sequence + 1,
        digest_hash=cells.view_hash(report.records.values(), ()),
        full=False,
        records=(changed,),
    )

    def run() -> None:
        entry_directory.on_message(report.reporter, digest, instant_at(1))
        entry_directory.members()

    return costs.processor_us(run)


def reporters_us(size: int) -> float:
    """Return an entry's processor time to rank all cells' members."""
    node = fleets.agent_record(0).node
    sync = entry_config_sync.EntryConfigSync(
        member=fleets.entry_record(0), rng=random.Random(1)
    )
    count = -(-size // CELL_SIZE)
    sync.apply(fleets.config(1, cell_count=count), instant_at(0))
    view = filled_directory(size).members()

    def run() -> None:
        sync.on_members(view, instant_at(1))
        sync.address_of(node)

    return costs.processor_us(run)


def digest_beat_us(size: int) -> float:
    """Return the processor time per digest beat without changes."""
    entry_directory = filled_directory(size)
    report = next(iter(entry_directory.reports.values()))
    beat = messages.DigestBeat(
        cell=report.cell,
        seq=report.sequence,
        hash=cells.view_hash(report.records.values(), ()),
    )

    def run() -> None:
        for _ in range(20):
            entry_directory.on_message(report.reporter, beat, instant_at(1))

    return costs.processor_us(run) / 20


def config_change_us(teams: int) -> float:
    """Return an agent's processor time per configuration change."""
    full = membership_cost.full_config(2)
    config = dataclasses.replace(full, teams=full.teams[:teams])
    payload = frames.encode(config_messages.ConfigPush(config=config))

    def run() -> None:
        for _ in range(20):
            config_sync = agent_config_sync.AgentConfigSync(
                member=fleets.agent_record(0), rng=random.Random(1)
            )
            message = frames.decode(payload).unwrap()
            config_sync.on_message(
                fleets.entry_record(0).node, message, instant_at(1)
            )
            for _ in range(agent_config_sync.FAN_OUT):
                frames.encode(message)

    return costs.processor_us(run) / 20


def ownership_us(shard_count: int) -> float:
    """Return a cell's processor time per second for shard ownership."""
    cell = fakes.Cell(count=12, shard_count=shard_count)
    cell.advance(10.0)
    return costs.processor_us(lambda: cell.advance(5.0)) / 5.0


def shard_row(shard: int) -> object:
    """Return a digest with one shard row, decoded as at an entry."""
    row = fleets.shard_row(shard, fleets.agent_record(shard))
    digest = messages.CellDigest(
        cell=0,
        reporter=row.current.owner,
        sequence=1,
        digest_hash=0,
        full=True,
        rows=(row,),
    )
    return frames.decode(frames.encode(digest)).unwrap()


def announcements_us(count: int) -> float:
    """Return an executor's processor time for repeated announcements."""
    body = (
        b'{"name":"minion-1","kind":"minion","port":7000,'
        b'"service":"orders","capacity":{"slots":8},"connections":64}'
    )
    task_executor = executor.TaskExecutor(node=members.NodeId("keeper", 1))

    def run() -> None:
        for _ in range(count):
            found = announcements.decode(body).unwrap()
            task_executor.on_announcement(found.endpoint(), instant_at(1))

    return costs.processor_us(run)
