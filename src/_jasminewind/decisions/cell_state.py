"""A process's view of its cell: members, ownership rows, failed peers."""

import random

from _jasminewind import configuration
from _jasminewind import ids
from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.decisions import rows

# An older probe result is no longer evidence of a failure.
PROBE_VALID_S = 5.0
PROBE_INTERVAL_S = 1.0


class CellState:
    """Members of the cell, known rows, and when each peer was last heard."""

    def __init__(self, *, member: members.Member, rng: random.Random) -> None:
        self.member = member
        self.rng = rng
        self.config = configuration.NO_CONFIGURATION
        self.view: tuple[members.Member, ...] = ()
        self.view_since_s: float | None = None
        self.rows: dict[int, shards.ShardRow] = {}
        self.last_heard_s: dict[members.NodeId, float] = {}
        self.last_present_s: dict[members.NodeId, float] = {}
        self.probe_failed_s: dict[members.NodeId, float] = {}
        self.last_probe_s: dict[members.NodeId, float] = {}
        self.writes = 0

    def cell_shards(self) -> tuple[int, ...]:
        """Return the shards that belong to the cell of this process."""
        if self.config.version == 0:
            return ()
        count = self.config.cell_count
        cell = cells.cell_of(self.member.node.name, cell_count=count)
        return tuple(
            shard
            for shard in range(self.config.shard_count)
            if cells.cell_of_shard(shard, cell_count=count) == cell
        )

    def set_view(
        self, view: tuple[members.Member, ...], now: core.Instant
    ) -> None:
        """Replace the view; it may or may not contain this process."""
        own = [m for m in view if m.node == self.member.node]
        if own:
            self.member = own[0]
        self.note_presence(now)
        self.view = tuple(m for m in view if m.node != self.member.node)
        self.note_presence(now)
        if self.view_since_s is None:
            self.view_since_s = now.mono_s

    def note_presence(self, now: core.Instant) -> None:
        """Record that the members of the view are present now."""
        for member in self.view:
            self.last_present_s[member.node] = now.mono_s

    def is_live(self, node: members.NodeId) -> bool:
        """Return whether exactly this incarnation is in the view."""
        return any(m.node == node for m in self.view)

    def can_own(self, node: members.NodeId) -> bool:
        """Return whether this incarnation is live and may own shards."""
        return any(
            m.node == node and rows.may_coordinate(m) for m in self.view
        )

    def note_heard(self, node: members.NodeId, now: core.Instant) -> None:
        """Record that ``node`` was heard and drop its failed probe."""
        self.last_heard_s[node] = now.mono_s
        self.probe_failed_s.pop(node, None)

    def silence_s(self, node: members.NodeId, now: core.Instant) -> float:
        """Return the time since ``node`` was heard.

        For a node that was never heard, it counts from the first call.
        """
        return now.mono_s - self.last_heard_s.setdefault(node, now.mono_s)

    def absence_s(self, node: members.NodeId, now: core.Instant) -> float:
        """Return the time since ``node`` was present.

        For a node that was never present, it counts from the first call.
        """
        return now.mono_s - self.last_present_s.setdefault(node, now.mono_s)

    def has_failed_probe(
        self, node: members.NodeId, now: core.Instant
    ) -> bool:
        """Return whether a recent probe on a new connection failed."""
        failed_s = self.probe_failed_s.get(node)
        return failed_s is not None and now.mono_s - failed_s <= PROBE_VALID_S

    def probe(self, peer: shards.Successor, now: core.Instant) -> core.Actions:
        """Probe ``peer`` at most once per ``PROBE_INTERVAL_S``."""
        last = self.last_probe_s.get(peer.node)
        if last is not None and now.mono_s - last < PROBE_INTERVAL_S:
            return []
        self.last_probe_s[peer.node] = now.mono_s
        return [core.Probe(to=peer.node, address=peer.address)]

    def on_probe(self, reply: core.ProbeReply, now: core.Instant) -> None:
        """Record whether the expected incarnation answered the probe."""
        if reply.found == reply.to:
            self.note_heard(reply.to, now)
        else:
            self.probe_failed_s[reply.to] = now.mono_s

    def update_row(self, row: shards.ShardRow) -> bool:
        """Store ``row`` if not older; return whether its epoch is newer."""
        known = self.rows.get(row.shard)
        if known is None:
            self.rows[row.shard] = row
            return True
        new = (row.current.epoch, row.closed, row.current.ceiling_ms)
        old = (known.current.epoch, known.closed, known.current.ceiling_ms)
        if new >= old:
            self.rows[row.shard] = row
        return new[0] > old[0]

    def claim_rank(self, shard: int) -> int:
        """Return the rendezvous rank of this process for claiming a shard."""
        key = shards.row_key(shard)
        own = ids.rank(key, self.member.node.name)
        return sum(
            ids.rank(key, member.node.name) < own
            for member in self.view
            if rows.may_coordinate(member)
        )

    def new_write_id(self) -> str:
        """Return a unique id for a write to the table."""
        self.writes += 1
        return (
            f"{self.member.node}:{self.writes}:{self.rng.getrandbits(32):08x}"
        )

    def choose_successors(
        self,
        shard: int,
        *,
        keep: tuple[members.NodeId, ...] = (),
        avoid: tuple[members.NodeId, ...] = (),
        prefer: members.NodeId | None = None,
    ) -> tuple[shards.Successor, ...]:
        """Choose successors for a shard that this process owns."""
        return rows.choose_successors(
            shard,
            owner=self.member,
            view=self.view,
            keep=keep,
            avoid=avoid,
            prefer=prefer,
        )
