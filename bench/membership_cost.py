"""Measures control traffic of membership and configuration per node.

Simulates one full cell and all entries under a test clock, counts the
frame bytes of every message in both directions, and scales the entries'
traffic with the cell to all cells of the target fleet. Run with
``python -m bench.membership_cost``.
"""

import collections
import dataclasses

from _jasminewind import configuration
from _jasminewind import members
from _jasminewind.decisions import entry_config_sync
from _jasminewind.decisions import proposals
from _jasminewind.wire import frames
from testing.decisions import fleet as fleets

CELL_SIZE = 128
ENTRIES = 24
CELLS = 94
TEAMS = 180
COORDINATORS = 8
MAX_BYTES_PER_S = 19_000
CHANGES_PER_DAY = 4_700
CHANGE_PERIOD_S = 86_400 / CHANGES_PER_DAY
FRAME_HEADER_BYTES = 4
JOIN_S = 25.0
SETTLE_S = 5.0
WINDOW_S = CHANGE_PERIOD_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """Bytes per second in both directions, by role of the node."""

    member: float
    coordinator: float
    reporter: float
    entry: float
    by_message: dict[str, float]
    entry_by_message: dict[str, float]


class ByteMeter:
    """Counts bytes by node and by message type.

    Entries' traffic with the cell and among themselves is kept apart.
    """

    def __init__(self) -> None:
        self.by_node: collections.Counter[str] = collections.Counter()
        self.entry_to_cell: collections.Counter[str] = collections.Counter()
        self.between_entries: collections.Counter[str] = collections.Counter()
        self.by_message: collections.Counter[str] = collections.Counter()
        self.cache: dict[int, tuple[object, int]] = {}

    def on_sent(
        self,
        source: members.NodeId,
        target: members.NodeId,
        message: object,
    ) -> None:
        """Count one message at its sender and at its receiver."""
        size = self.size_of(message)
        self.by_message[type(message).__name__] += size
        self.by_node[source.name] += size
        self.by_node[target.name] += size
        is_entry = [source.name.startswith("entry"), "entry" in target.name]
        if all(is_entry):
            self.between_entries[type(message).__name__] += 2 * size
        elif any(is_entry):
            self.entry_to_cell[type(message).__name__] += size

    def size_of(self, message: object) -> int:
        """Return the size of the frame that carries ``message``."""
        cached = self.cache.get(id(message))
        if cached is not None:
            return cached[1]
        size = FRAME_HEADER_BYTES + len(frames.encode(message))
        self.cache[id(message)] = (message, size)
        return size


def full_config(version: int) -> configuration.Configuration:
    """Return a configuration with the target number of teams."""
    return fleets.config(
        version,
        change_ids=tuple(f"change-{n:012d}" for n in range(64)),
        teams=tuple(
            configuration.Team(name=f"team-{n:03d}") for n in range(TEAMS)
        ),
    )


def measure(*, table_down: bool = False) -> Cost:
    """Return the traffic of a cell whose load changes every second.

    Configuration changes come at the target rate unless the table is down.
    """
    fleet = fleets.small_fleet(agents=CELL_SIZE, entries=ENTRIES)
    fleet.run(JOIN_S)
    agents = [p for p in fleet.processes.values() if p.cell]
    for shard, process in enumerate(agents[:COORDINATORS]):
        record = dataclasses.replace(process.record, shards=(shard,))
        update_record(fleet, process, record)
    fleet.run(SETTLE_S)
    meter = ByteMeter()
    fleet.on_sent = meter.on_sent
    fleet.table.is_down = table_down
    entry = next(p for p in fleet.processes.values() if p.entry_directory)
    assert isinstance(entry.sync, entry_config_sync.EntryConfigSync)
    seconds = round(WINDOW_S)
    next_change_s = 0.0
    for second in range(seconds):
        if second >= next_change_s and not table_down:
            next_change_s += CHANGE_PERIOD_S
            version = entry.sync.current().version
            change = proposals.Proposal(
                change_id=f"measured-{second}",
                expected_version=version,
                new_config=full_config(version + 1),
            )
            now = fleet.now(entry)
            fleet.execute(entry, entry.sync.propose(1, change, now))
        for process in agents:
            load = dataclasses.replace(
                process.record.load, sequence=second + 2, running=second % 9
            )
            record = dataclasses.replace(process.cell.member, load=load)
            update_record(fleet, process, record)
        fleet.run(1.0)
    return summarize(meter, fleet, seconds)


def update_record(
    fleet: fleets.Fleet, process: fleets.Process, record: members.Member
) -> None:
    """Update an agent's own member record and send the update."""
    assert process.cell is not None
    actions = process.cell.update_self(record, fleet.now(process))
    fleet.execute(process, actions)


def summarize(meter: ByteMeter, fleet: fleets.Fleet, seconds: int) -> Cost:
    """Return the highest rate of each agent role and the entries' mean."""
    bytes_per_s = {n: b / seconds for n, b in meter.by_node.items()}
    agents = [p for p in fleet.processes.values() if p.cell]
    reporters = {p.node.name for p in agents if p.cell.is_reporter()}
    owners = {p.node.name for p in agents if p.cell.member.shards}
    plain_members = {p.node.name for p in agents} - reporters - owners
    at_entry = {
        name: (meter.entry_to_cell[name] * CELLS + meter.between_entries[name])
        / ENTRIES
        / seconds
        for name in meter.by_message
    }
    return Cost(
        member=max(bytes_per_s[n] for n in plain_members),
        coordinator=max(bytes_per_s[n] for n in owners),
        reporter=max(bytes_per_s[n] for n in reporters),
        entry=sum(at_entry.values()),
        by_message={
            name: round(size / seconds / CELL_SIZE)
            for name, size in meter.by_message.most_common()
        },
        entry_by_message={
            name: round(rate) for name, rate in at_entry.items() if rate >= 1
        },
    )


def main() -> None:
    """Print the traffic of each role with the table up and down."""
    for down in (False, True):
        cost = measure(table_down=down)
        print(f"table {'down' if down else 'up'}, bytes per second:")
        for kind in ("member", "coordinator", "reporter", "entry"):
            rate = getattr(cost, kind)
            verdict = "ok" if rate < MAX_BYTES_PER_S else "ABOVE LIMIT"
            print(f"  {kind:12} {rate:9.0f} {verdict}")
        print(f"  sent per cell member, by message: {cost.by_message}")
        print(f"  at an entry, by message: {cost.entry_by_message}")


if __name__ == "__main__":
    main()
