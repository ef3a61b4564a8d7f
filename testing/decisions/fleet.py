"""Simulated agents and entries with a fake network and a fake table."""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random

import msgspec

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import members
from _jasminewind import resources
from _jasminewind import shards
from _jasminewind.decisions import agent_config_sync
from _jasminewind.decisions import core
from _jasminewind.decisions import directory
from _jasminewind.decisions import entry_config_sync
from _jasminewind.decisions import membership
from _jasminewind.decisions import relay

WALL_START_MS = 1_764_000_000_000
TICK_S = 0.1
LATENCY_S = 0.002
LATEST_WRITE_S = 5.0


def config(version: int, **fields: object) -> configuration.Configuration:
    """Return a configuration with one team and generated change ids."""
    values: dict[str, object] = {
        "version": version,
        "change_ids": tuple(f"change-{n}" for n in range(1, version + 1)),
        "teams": (configuration.Team(name="millers"),),
    }
    values.update(fields)
    return configuration.Configuration(**values)  # type: ignore[arg-type]


def agent_record(
    number: int, *, incarnation: int = 1, port: int | None = None
) -> members.Member:
    """Return the record of an agent beside a minion with 8 slots."""
    capacity = resources.Resources(slots=8.0)
    return members.Member(
        node=members.NodeId(f"agent-{number:03d}", incarnation),
        address=members.Address("10.0.0.1", port or 10_000 + number),
        role=members.Role.AGENT,
        region="wa-south",
        failure_domain=f"domain-{number % 3}",
        rack=f"rack-{number % 4}",
        state=members.State.SERVING,
        endpoint=members.Endpoint(
            name=f"minion-{number:03d}",
            kind=members.EndpointKind.MINION,
            service="hutch-orders",
            capacity=capacity,
            connections=64,
        ),
        load=members.Load(sequence=1, free=capacity, free_long=capacity),
    )


def entry_record(number: int, *, incarnation: int = 1) -> members.Member:
    """Return the record of an entry."""
    return members.Member(
        node=members.NodeId(f"entry-{number:02d}", incarnation),
        address=members.Address("10.0.0.2", 20_000 + number),
        role=members.Role.ENTRY,
        region="wa-south",
        failure_domain=f"domain-{number % 3}",
        rack=f"rack-{number % 4}",
        state=members.State.SERVING,
    )


def shard_row(
    shard: int,
    owner: members.Member,
    *,
    epoch: int = 1,
    floor_ms: int = 0,
    ceiling_ms: int = WALL_START_MS + 10_000_000,
    earlier: tuple[shards.Interval, ...] = (),
    closed: bool = False,
) -> shards.ShardRow:
    """Return the row of a shard owned by ``owner``."""
    return shards.ShardRow(
        shard=shard,
        current=shards.Interval(
            epoch=epoch,
            owner=owner.node,
            address=owner.address,
            floor_ms=floor_ms,
            ceiling_ms=ceiling_ms,
        ),
        successors=(),
        earlier=earlier,
        write_id=f"write-{shard}-{epoch}",
        closed=closed,
    )


class FakeTable:
    """In-memory table of the platform, with faults that a test enables."""

    def __init__(self) -> None:
        self.rows: dict[str, core.TableRow] = {}
        self.versions = itertools.count(1)
        self.is_down = False
        self.loses_write_replies = False
        self.writes_late = False
        self.history: list[configuration.Configuration] = []

    def read(self, action: core.ReadTable) -> core.TableReadReply:
        """Return the rows that ``action`` requests."""
        if self.is_down:
            return core.TableReadReply(tag=action.tag, error=_down())
        found = [
            self.rows.get(key, core.TableRow(key=key, version=0, value=""))
            for key in action.keys
        ]
        if action.prefix:
            found += [
                row
                for key, row in sorted(self.rows.items())
                if key.startswith(action.prefix)
            ]
        return core.TableReadReply(tag=action.tag, rows=tuple(found))

    def write(self, action: core.WriteTable) -> core.TableWriteReply:
        """Compare and set one row."""
        if self.is_down:
            return _failed(action, errors.TableFailure.NOT_SENT)
        row = self.rows.get(action.key)
        present = row.version if row else 0
        if present != action.expected_version:
            return _failed(action, errors.TableFailure.CONFLICT)
        version = next(self.versions)
        if action.value is None:
            self.rows.pop(action.key, None)
        else:
            self.rows[action.key] = core.TableRow(
                key=action.key, version=version, value=action.value
            )
            if action.key == configuration.CONFIG_KEY:
                self.history.append(
                    msgspec.json.decode(
                        action.value, type=configuration.Configuration
                    )
                )
        if self.loses_write_replies:
            return _failed(action, errors.TableFailure.UNKNOWN)
        return core.TableWriteReply(
            tag=action.tag, key=action.key, version=version
        )


def _down() -> errors.TableError:
    return errors.TableError(
        failure=errors.TableFailure.NOT_SENT, reason="table is down"
    )


def _failed(
    action: core.WriteTable, failure: errors.TableFailure
) -> core.TableWriteReply:
    return core.TableWriteReply(
        tag=action.tag,
        key=action.key,
        error=errors.TableError(failure=failure, reason="injected"),
    )


@dataclasses.dataclass(kw_only=True)
class Process:
    """One process of the fleet and its decisions."""

    record: members.Member
    decisions: list[core.StateMachine]
    cell: membership.Membership | None = None
    entry_directory: directory.Directory | None = None
    entry_relay: relay.Relay | None = None
    sync: agent_config_sync.AgentConfigSync | entry_config_sync.EntryConfigSync
    last_view: tuple[members.Member, ...] = ()
    table_unreachable: bool = False
    paused: bool = False
    clock_skew_ms: int = 0
    results: list[core.Action] = dataclasses.field(default_factory=list)

    @property
    def node(self) -> members.NodeId:
        """Return the incarnation of this process."""
        return self.record.node


class Fleet:
    """Runs processes on one simulated clock with a seeded network.

    ``blocked`` tells whether a message from one name to another is lost.
    """

    def __init__(self, *, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.table = FakeTable()
        self.processes: dict[str, Process] = {}
        self.queue: list[tuple[float, int, collections.abc.Callable]] = []
        self.order = itertools.count()
        self.loss = 0.0
        self.max_extra_delay_s = 0.0
        self.blocked: collections.abc.Callable[[str, str], bool] = (
            lambda source, target: False
        )
        self.on_sent: collections.abc.Callable[
            [members.NodeId, members.NodeId, object], None
        ] = lambda source, target, message: None
        self.sent: collections.Counter[str] = collections.Counter()

    # Set-up

    def now(self, process: Process | None = None) -> core.Instant:
        """Return the time by the clock of ``process``."""
        skew_ms = process.clock_skew_ms if process else 0
        wall_ms = WALL_START_MS + int(self.now_s * 1000) + skew_ms
        return core.Instant(self.now_s, wall_ms)

    def add_agent(
        self,
        record: members.Member,
        seeds: tuple[members.Address, ...],
    ) -> Process:
        """Start an agent, replacing one of the same name."""
        rng = random.Random(self.rng.random())
        view = membership.Membership(member=record, seeds=seeds, rng=rng)
        sync = agent_config_sync.AgentConfigSync(member=record, rng=rng)
        process = Process(
            record=record,
            decisions=[view, sync],
            cell=view,
            sync=sync,
        )
        self.processes[record.node.name] = process
        return process

    def add_entry(self, record: members.Member) -> Process:
        """Start an entry, replacing one of the same name."""
        rng = random.Random(self.rng.random())
        known = directory.Directory(member=record, rng=rng)
        sync = entry_config_sync.EntryConfigSync(member=record, rng=rng)
        forwarder = relay.Relay(member=record, directory=known, rng=rng)
        process = Process(
            record=record,
            decisions=[known, forwarder, sync],
            entry_directory=known,
            entry_relay=forwarder,
            sync=sync,
        )
        self.processes[record.node.name] = process
        return process

    def kill(self, name: str) -> None:
        """Kill a process without a graceful shutdown."""
        del self.processes[name]

    def seed_config(self, value: configuration.Configuration) -> None:
        """Store the first configuration in the table."""
        reply = self.table.write(
            core.WriteTable(
                tag="test",
                key=configuration.CONFIG_KEY,
                expected_version=0,
                value=msgspec.json.encode(value).decode(),
            )
        )
        assert reply.error is None

    # Simulation

    def run(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            self.step()

    def step(self) -> None:
        """Deliver due messages and run one tick of every process."""
        target_s = self.now_s + TICK_S
        while self.queue and self.queue[0][0] <= target_s:
            due_s, _, call = heapq.heappop(self.queue)
            self.now_s = max(self.now_s, due_s)
            call()
        self.now_s = target_s
        for process in list(self.processes.values()):
            if not process.paused:
                self._tick(process)

    def execute(self, process: Process, actions: core.Actions) -> None:
        """Execute the actions that decisions of ``process`` returned."""
        for action in actions:
            match action:
                case core.Send():
                    self._send(process, action)
                case core.Probe():
                    self._probe(process, action)
                case core.ReadTable():
                    self._read(process, action)
                case core.WriteTable():
                    self._write(process, action)
                case core.ApplyConfig():
                    self._apply(process, action)
                case core.LogDecision():
                    pass
                case _:
                    process.results.append(action)

    def _tick(self, process: Process) -> None:
        now = self.now(process)
        for decision in process.decisions:
            self.execute(process, decision.on_tick(now))
        if process.cell is not None:
            view = process.cell.view()
        else:
            assert process.entry_directory is not None
            view = process.entry_directory.members()
        if view is not process.last_view:
            process.last_view = view
            for decision in process.decisions:
                self.execute(process, decision.on_members(view, now))
        if isinstance(process.sync, entry_config_sync.EntryConfigSync):
            contacts = process.sync.entries()
            assert process.entry_directory and process.entry_relay
            process.entry_directory.set_entries(contacts)
            process.entry_relay.set_entry_count(len(contacts))

    def _apply(self, process: Process, action: core.ApplyConfig) -> None:
        now = self.now(process)
        for decision in process.decisions:
            self.execute(process, decision.on_config(action.config, now))

    def _later(self, call: collections.abc.Callable) -> None:
        delay_s = LATENCY_S + self.rng.random() * self.max_extra_delay_s
        due_s = self.now_s + delay_s
        heapq.heappush(self.queue, (due_s, next(self.order), call))

    def find(
        self, node: members.NodeId, address: members.Address
    ) -> Process | None:
        """Return the process that a message to ``node`` reaches."""
        if node == members.UNNAMED:
            return next(
                (
                    p
                    for p in self.processes.values()
                    if p.record.address == address
                ),
                None,
            )
        found = self.processes.get(node.name)
        return found if found and found.node == node else None

    def _send(self, source: Process, action: core.Send) -> None:
        target = self.find(action.to, action.address)
        name = target.node.name if target else action.to.name
        self.sent[type(action.message).__name__] += 1
        self.on_sent(source.node, action.to, action.message)
        lost = self.blocked(source.node.name, name)
        if target is None or lost:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        sender = source.node
        node = target.node
        self._later(lambda: self._deliver(sender, node, action.message))

    def _deliver(
        self, sender: members.NodeId, node: members.NodeId, message: object
    ) -> None:
        target = self.processes.get(node.name)
        if target is None or target.node != node:
            return
        if target.paused:
            self._later(lambda: self._deliver(sender, node, message))
            return
        now = self.now(target)
        for decision in target.decisions:
            if type(message) in tuple(decision.handles()):
                actions = decision.on_message(sender, message, now)
                self.execute(target, actions)

    def _probe(self, source: Process, action: core.Probe) -> None:
        found = next(
            (
                p
                for p in self.processes.values()
                if p.record.address == action.address and not p.paused
            ),
            None,
        )
        if found and (
            self.blocked(source.node.name, found.node.name)
            or self.blocked(found.node.name, source.node.name)
        ):
            found = None
        reply = core.ProbeReply(
            to=action.to, found=found.node if found else None
        )
        self._reply(source, lambda d, now: d.on_probe(reply, now))

    def _read(self, source: Process, action: core.ReadTable) -> None:
        if source.table_unreachable:
            reply = core.TableReadReply(tag=action.tag, error=_down())
        else:
            reply = self.table.read(action)
        self._reply(source, lambda d, now: d.on_table_read(reply, now))

    def _write(self, source: Process, action: core.WriteTable) -> None:
        if source.table_unreachable:
            reply = _failed(action, errors.TableFailure.NOT_SENT)
        elif self.table.writes_late:
            reply = _failed(action, errors.TableFailure.UNKNOWN)
            due_s = self.now_s + self.rng.random() * LATEST_WRITE_S
            call = lambda: self.table.write(action)  # noqa: E731
            heapq.heappush(self.queue, (due_s, next(self.order), call))
        else:
            reply = self.table.write(action)
        self._reply(source, lambda d, now: d.on_table_written(reply, now))

    def _reply(self, source: Process, call: collections.abc.Callable) -> None:
        node = source.node

        def deliver() -> None:
            process = self.processes.get(node.name)
            if process is None or process.node != node:
                return
            for decision in process.decisions:
                self.execute(process, call(decision, self.now(process)))

        self._later(deliver)


def small_fleet(
    *, agents: int, entries: int = 3, seed: int = 1, cell_count: int = 1
) -> Fleet:
    """Return a fleet whose agents have the entries as seeds."""
    fleet = Fleet(seed=seed)
    fleet.seed_config(config(1, cell_count=cell_count))
    records = [entry_record(n) for n in range(entries)]
    for record in records:
        fleet.add_entry(record)
    seeds = tuple(r.address for r in records)
    for number in range(agents):
        fleet.add_agent(agent_record(number), seeds)
    return fleet
