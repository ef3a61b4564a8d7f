"""Fakes at the interfaces of the ownership: table, link, clock, cell."""

import collections
import enum
import random

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind.decisions import core
from _jasminewind.decisions import ownership

START_MS = 1_796_000_000_000
DEAD_AFTER_S = 10.0


class Meter(metrics.Meter):
    """Keeps every measurement, by the name of the instrument."""

    def __init__(self):
        self.values = collections.defaultdict(list)

    def add(self, instrument, amount=1, **attributes):
        """Keep an amount."""
        del attributes
        self.values[instrument.name].append(amount)

    def record(self, instrument, value, **attributes):
        """Keep a value."""
        del attributes
        self.values[instrument.name].append(value)

    def total(self, instrument):
        """Return the sum of a counter."""
        return sum(self.values[instrument.name])


class TableMode(enum.Enum):
    """What the fake table does with calls."""

    OK = "answers"
    OUTAGE = "refuses connections"
    ANSWER_LOST = "writes, but the answer is lost"
    WRITE_LATE = "answer is lost, the write takes effect later"
    WRITE_LOST = "answer is lost, the write never takes effect"


class FakeTable:
    """Rows with compare-and-set, lost answers and late writes."""

    def __init__(self):
        self.rows = {}
        self.mode = TableMode.OK
        self.late = []
        self.write_count = 0

    def read(self, action):
        """Answer a ``ReadTable``."""
        if self.mode is TableMode.OUTAGE:
            error = errors.TableError(
                failure=errors.TableFailure.NOT_SENT, reason="outage"
            )
            return core.TableReadReply(tag=action.tag, error=error)
        keys = set(action.keys)
        if action.prefix:
            keys |= {k for k in self.rows if k.startswith(action.prefix)}
        found = tuple(self.row(key) for key in sorted(keys))
        return core.TableReadReply(tag=action.tag, rows=found)

    def row(self, key):
        """Return a row, with version 0 when it does not exist."""
        version, value = self.rows.get(key, (0, ""))
        return core.TableRow(key=key, version=version, value=value)

    def apply(self, action):
        """Compare and set; return the new version or ``None``."""
        version = self.row(action.key).version
        if version != action.expected_version:
            return None
        self.rows[action.key] = (version + 1, action.value)
        self.write_count += 1
        return version + 1

    def write(self, action):
        """Answer a ``WriteTable`` according to the mode."""
        failure = errors.TableFailure.UNKNOWN
        if self.mode is TableMode.OUTAGE:
            failure = errors.TableFailure.NOT_SENT
        elif self.mode is TableMode.ANSWER_LOST:
            self.apply(action)
        elif self.mode is TableMode.WRITE_LATE:
            self.late.append(action)
        elif self.mode is TableMode.OK:
            version = self.apply(action)
            if version is not None:
                return core.TableWriteReply(
                    tag=action.tag, key=action.key, version=version
                )
            failure = errors.TableFailure.CONFLICT
        error = errors.TableError(failure=failure, reason="fake")
        return core.TableWriteReply(
            tag=action.tag, key=action.key, error=error
        )


class Node:
    """A process with a real ``Ownership`` and its own clock."""

    def __init__(self, *, name, incarnation, index, skew_ms=0, seed=0):
        self.member = members.Member(
            node=members.NodeId(name, incarnation),
            address=members.Address("127.0.0.1", 7000 + index),
            role=members.Role.AGENT,
            region="wa-south",
            failure_domain=f"domain-{index % 3}",
            rack=f"rack-{index // 3}",
            state=members.State.SERVING,
        )
        self.index = index
        self.skew_ms = skew_ms
        self.paused = False
        self.alive = True
        self.silent_since_s = None
        self.ownership = ownership.Ownership(
            member=self.member, rng=random.Random(seed + index)
        )

    @property
    def node(self):
        """Return the identity of the process."""
        return self.member.node

    def held(self, shard):
        """Return ``(floor, ceiling)`` of every interval it accepts."""
        return [
            (h.floor_ms, h.ceiling_ms)
            for h in self.ownership.owned_shards.intervals_of(shard)
        ]

    def record(self):
        """Return the member record with the shards it owns."""
        values = dict(vars(self.member))
        values["shards"] = self.ownership.owned()
        if self.ownership.transfers.leaving:
            values["state"] = members.State.LEAVING
        return members.Member(**values)


class Cell:
    """Nodes joined by a link that a test can make lossy.

    With ``auto`` every message and table reply is delivered at once;
    otherwise they wait in ``undelivered`` until a test delivers them.
    """

    def __init__(self, *, count, shard_count=1, skews=(), auto=True, seed=0):
        self.table = FakeTable()
        self.now_s = 100.0
        self.auto = auto
        self.undelivered = []
        self.probes_fail = False
        self.seed = seed
        self.logged = []
        self.config = configuration.Configuration(
            version=1, shard_count=shard_count
        )
        self.nodes = []
        self.crashed = []
        skews = tuple(skews) + (0,) * count
        for index in range(count):
            self.add(index, skew_ms=skews[index])

    def add(self, index, *, incarnation=1, skew_ms=0):
        """Start a node in place ``index``."""
        node = Node(
            name=f"agent-{index}",
            incarnation=incarnation,
            index=index,
            skew_ms=skew_ms,
            seed=self.seed,
        )
        self.nodes.append(node)
        self.run(node, node.ownership.on_config(self.config, self.at(node)))
        return node

    def at(self, node):
        """Return the instant by the clock of ``node``."""
        wall_ms = START_MS + int(self.now_s * 1000) + node.skew_ms
        return core.Instant(self.now_s, wall_ms)

    def find(self, node_id):
        """Return the live node with this identity, or ``None``."""
        found = (n for n in self.nodes if n.node == node_id and n.alive)
        return next(found, None)

    def run(self, node, actions):
        """Carry actions out, as the node around the decision does."""
        for action in actions:
            match action:
                case core.Send():
                    self.post(action.to, node.node, action.message)
                case core.ReadTable():
                    reply = self.table.read(action)
                    self.post(node.node, None, reply)
                case core.WriteTable():
                    reply = self.table.write(action)
                    self.post(node.node, None, reply)
                case core.Probe():
                    self.post(node.node, None, self.probe(action))
                case core.LogDecision():
                    self.logged.append(action)

    def probe(self, action):
        """Return what a probe on a new connection finds."""
        target = self.find(action.to)
        is_up = target is not None and not target.paused
        found = action.to if is_up and not self.probes_fail else None
        return core.ProbeReply(to=action.to, found=found)

    def post(self, to, sender, message):
        """Put a message into the mail."""
        self.undelivered.append((to, sender, message))

    def deliver(self, index):
        """Deliver one waiting message; a paused receiver keeps it."""
        to, sender, message = self.undelivered[index]
        node = self.find(to)
        if node is not None and node.paused:
            return
        del self.undelivered[index]
        if node is None:
            return
        now = self.at(node)
        owner = node.ownership
        match message:
            case core.TableReadReply():
                actions = owner.on_table_read(message, now)
            case core.TableWriteReply():
                actions = owner.on_table_written(message, now)
            case core.ProbeReply():
                actions = owner.on_probe(message, now)
            case _ if isinstance(message, tuple(owner.handles())):
                actions = owner.on_message(sender, message, now)
            case _:
                actions = []
        self.run(node, actions)

    def deliver_all(self):
        """Deliver until only mail of paused nodes waits."""
        index = 0
        while index < len(self.undelivered):
            before = len(self.undelivered)
            kept = self.undelivered[index]
            self.deliver(index)
            unchanged = len(self.undelivered) >= before and (
                self.undelivered[index] is kept
            )
            index += int(unchanged)

    def view(self):
        """Return the members that a membership would call live."""
        return tuple(
            n.record()
            for n in self.nodes
            if n.silent_since_s is None
            or self.now_s - n.silent_since_s < DEAD_AFTER_S
        )

    def advance(self, seconds, *, step_s=0.5):
        """Let time pass; every running node ticks."""
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            self.now_s += step_s
            view = self.view()
            for node in tuple(self.nodes):
                if node.alive and not node.paused:
                    now = self.at(node)
                    self.run(node, node.ownership.on_members(view, now))
                    self.run(node, node.ownership.on_tick(now))
            if self.auto:
                self.deliver_all()

    def crash(self, node):
        """End a process; what it held is kept for the oracle."""
        node.alive = False
        node.silent_since_s = self.now_s
        self.crashed.append(node)

    def pause(self, node):
        """Stop the execution of a process."""
        node.paused = True
        node.silent_since_s = self.now_s

    def resume(self, node):
        """Continue a paused process, with stale mail and timers."""
        node.paused = False
        node.silent_since_s = None

    def owners(self, shard=0):
        """Return the running nodes that own ``shard``."""
        return [
            n for n in self.nodes if n.alive and shard in n.ownership.owned()
        ]

    def overlaps(self, shard=0):
        """Return pairs of intervals that two incarnations both accept."""
        spans = [
            (low, high, n.node)
            for n in self.nodes
            for low, high in n.held(shard)
            if low < high
        ]
        return [
            (a, b)
            for i, a in enumerate(spans)
            for b in spans[i + 1 :]
            if a[2] != b[2] and a[0] < b[1] and b[0] < a[1]
        ]


def work_id(time_ms, *, shard=0, shard_count=1, seed=0):
    """Return an id of ``shard`` created at ``time_ms``."""
    rng = random.Random(seed)
    while True:
        found = ids.new(wall_ms=time_ms, rng=rng)
        if ids.shard_of(found, shard_count=shard_count) == shard:
            return found
