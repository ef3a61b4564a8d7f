"""Stateful fuzzing of several ``Ownership`` objects in one cell."""

from hypothesis import stateful
from hypothesis import strategies

from testing.decisions import fakes

NODES = 4
SHARDS = 2


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Nodes with lost messages, clock drift, pauses and table faults."""

    @stateful.initialize(
        skews=strategies.lists(
            strategies.integers(-14_000, 14_000),
            min_size=NODES,
            max_size=NODES,
        ),
        seed=strategies.integers(0, 99),
        warm=strategies.booleans(),
    )
    def start(self, skews, seed, warm):
        """Start the cell; when ``warm``, wait until shards have owners."""
        self.cell = fakes.Cell(
            count=NODES, shard_count=SHARDS, skews=skews, seed=seed
        )
        self.accepted = {}
        self.incarnation = 1
        if warm:
            self.cell.advance(20.0)
        self.cell.auto = False

    def pick(self, index):
        """Return a node by index among the running ones."""
        living = [n for n in self.cell.nodes if n.alive]
        return living[index % len(living)]

    @stateful.rule(steps=strategies.integers(1, 8))
    def pass_time(self, steps):
        """Advance the clock without delivering messages."""
        self.cell.advance(0.5 * steps)

    @stateful.rule(steps=strategies.integers(1, 20))
    def run_well(self, steps):
        """Advance the clock and deliver every message."""
        self.cell.auto = True
        self.cell.advance(0.5 * steps)
        self.cell.auto = False

    @stateful.rule(index=strategies.integers(0, 50))
    def deliver_one(self, index):
        """Deliver one message out of order."""
        if self.cell.undelivered:
            self.cell.deliver(index % len(self.cell.undelivered))

    @stateful.rule(index=strategies.integers(0, 50))
    def lose_one(self, index):
        """Lose one message or reply."""
        if self.cell.undelivered:
            del self.cell.undelivered[index % len(self.cell.undelivered)]

    @stateful.rule()
    def deliver_everything(self):
        """Deliver all pending messages."""
        self.cell.deliver_all()

    @stateful.rule(mode=strategies.sampled_from(fakes.TableMode))
    def set_table(self, mode):
        """Set the fault of the table."""
        self.cell.table.mode = mode

    @stateful.rule(index=strategies.integers(0, 9))
    def late_write(self, index):
        """Apply a delayed write to the table."""
        late = self.cell.table.late
        if late:
            self.cell.table.apply(late.pop(index % len(late)))

    @stateful.rule(fail=strategies.booleans())
    def set_probes(self, fail):
        """Make probes of live processes fail."""
        self.cell.probes_fail = fail

    @stateful.rule(index=strategies.integers(0, NODES - 1))
    def pause_or_resume(self, index):
        """Pause or resume a node."""
        node = self.pick(index)
        if node.paused:
            self.cell.resume(node)
        else:
            self.cell.pause(node)

    @stateful.rule(index=strategies.integers(0, NODES - 1))
    def replace(self, index):
        """End a process and start a new incarnation in its place."""
        node = self.pick(index)
        self.cell.crash(node)
        self.incarnation += 1
        self.cell.add(
            node.index, incarnation=self.incarnation, skew_ms=node.skew_ms
        )

    @stateful.rule(
        index=strategies.integers(0, NODES - 1),
        drift=strategies.integers(-14_000, 14_000),
    )
    def drift(self, index, drift):
        """Set the wall clock of a node forward or back."""
        self.pick(index).skew_ms = drift

    @stateful.rule(index=strategies.integers(0, NODES - 1))
    def leave(self, index):
        """Let a node leave gracefully."""
        node = self.pick(index)
        if not node.paused:
            now = self.cell.at(node)
            self.cell.run(node, node.ownership.begin_leave(now))

    @stateful.rule(
        offset=strategies.integers(-40_000, 40_000),
        shard=strategies.integers(0, SHARDS - 1),
    )
    def submit(self, offset, shard):
        """Submit one id to every node; at most one may accept it."""
        time_ms = fakes.START_MS + int(self.cell.now_s * 1000) + offset
        work_id = fakes.work_id(time_ms, shard=shard, shard_count=SHARDS)
        self.offer(work_id)

    @stateful.rule(index=strategies.integers(0, 99))
    def resubmit(self, index):
        """Submit an accepted id again, to every node."""
        if self.accepted:
            known = sorted(self.accepted)
            self.offer(known[index % len(known)])

    def offer(self, work_id):
        """Offer an id to every node; extend where it is ahead."""
        for node in self.cell.nodes:
            if not node.alive or node.paused:
                continue
            now = self.cell.at(node)
            check = node.ownership.check_id(work_id, now)
            if check.kind.value == "accept":
                first = self.accepted.setdefault(work_id, node.node)
                assert first == node.node, (work_id, first, node.node)
            elif check.kind.value == "ahead":
                self.cell.run(node, node.ownership.extend_for(work_id, now))

    @stateful.invariant()
    def intervals_are_disjoint(self):
        """No id lies in intervals of two incarnations."""
        if hasattr(self, "cell"):
            for shard in range(SHARDS):
                assert not self.cell.overlaps(shard)

    def teardown(self):
        """Without faults every shard gets exactly one owner again."""
        if not hasattr(self, "cell"):
            return
        cell = self.cell
        cell.table.mode = fakes.TableMode.OK
        cell.probes_fail = False
        cell.auto = True
        for node in cell.nodes:
            if node.alive and node.paused:
                cell.resume(node)
        stays = [
            n
            for n in cell.nodes
            if n.alive and not n.ownership.transfers.leaving
        ]
        if stays:
            cell.advance(30.0)
            for node in cell.nodes:
                if node.alive and node.ownership.transfers.leaving:
                    cell.crash(node)
            cell.advance(90.0)
            for shard in range(SHARDS):
                assert not cell.overlaps(shard)
                assert len(cell.owners(shard)) == 1, shard


def test_fuzz_intervals_never_overlap(fuzz_settings):
    """Guards against two processes that accept the same id.

    The machine mixes message loss, clock drift, pauses, restarts and table
    faults, and checks after each step that no intervals overlap.
    """
    stateful.run_state_machine_as_test(
        OwnershipMachine, settings=fuzz_settings
    )
