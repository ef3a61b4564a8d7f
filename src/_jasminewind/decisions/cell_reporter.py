"""Digests of members and shard rows that reporters send to entries."""

from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.messages import membership

DIGEST_PERIOD_S = 1.0
# At the target size an entry has 188 reporters; 80 bytes from each every 3 s
# leave room for its other traffic within 19 KB/s.
DIGEST_BEAT_PERIOD_S = 3.0


class Reporter:
    """Builds the digests of one agent while it is a reporter."""

    def __init__(self, *, node: members.NodeId) -> None:
        self.node = node
        self.cell = -1
        self.rows: dict[int, shards.ShardRow] = {}
        self.sequence = 0
        self.sent_records: dict[str, members.Member] = {}
        self.sent_rows: dict[int, shards.ShardRow] = {}
        self.known_entries: set[members.NodeId] = set()
        self.next_digest_s = 0.0
        self.last_sent_s = float("-inf")

    def merge_row(self, row: shards.ShardRow) -> None:
        """Store ``row`` if it is the newest of its shard."""
        if cells.is_newer_row(row, self.rows.get(row.shard)):
            self.rows[row.shard] = row

    def on_tick(
        self,
        *,
        cell: int,
        records: tuple[members.Member, ...],
        entries: tuple[members.Contact, ...],
        now: core.Instant,
    ) -> core.Actions:
        """Send the changes since the previous digest when one is due."""
        if now.mono_s < self.next_digest_s:
            return []
        self.next_digest_s = now.mono_s + DIGEST_PERIOD_S
        if cell != self.cell:
            self.cell = cell
            self.known_entries.clear()
            self.sent_records.clear()
        message = self._delta(records)
        known = self.known_entries
        self.known_entries = {e.node for e in entries}
        actions: core.Actions = []
        for entry in entries:
            if entry.node not in known:
                actions += self.full_digest(
                    cell=cell, records=records, entry=entry
                )
            elif message is not None:
                actions.append(self._send(entry, message))
        if message is not None:
            self.last_sent_s = now.mono_s
            return actions
        if now.mono_s - self.last_sent_s >= DIGEST_BEAT_PERIOD_S:
            self.last_sent_s = now.mono_s
            beat = membership.DigestBeat(
                cell=cell, seq=self.sequence, hash=self._hash()
            )
            for entry in entries:
                if entry.node in known:
                    actions.append(self._send(entry, beat))
        return actions

    def full_digest(
        self,
        *,
        cell: int,
        records: tuple[members.Member, ...],
        entry: members.Contact,
    ) -> core.Actions:
        """Send one entry everything reported so far."""
        if cell != self.cell:
            return []
        message = membership.CellDigest(
            cell=cell,
            reporter=self.node,
            sequence=self.sequence,
            digest_hash=self._hash(),
            full=True,
            rows=tuple(self.sent_rows.values()),
            records=tuple(self.sent_records.values()),
        )
        return [self._send(entry, message)]

    def _delta(
        self, records: tuple[members.Member, ...]
    ) -> membership.CellDigest | None:
        changed = []
        for record in records:
            sent = self.sent_records.get(record.node.name)
            if sent is None or not _is_reported(sent, record):
                changed.append(record)
        present = {r.node.name for r in records}
        removed = [
            r.node
            for r in self.sent_records.values()
            if r.node.name not in present
        ]
        rows = [
            row
            for shard, row in self.rows.items()
            if self.sent_rows.get(shard) != row
        ]
        if not changed and not removed and not rows:
            return None
        for record in changed:
            self.sent_records[record.node.name] = record
        for node in removed:
            del self.sent_records[node.name]
        for row in rows:
            self.sent_rows[row.shard] = row
        self.sequence += 1
        return membership.CellDigest(
            cell=self.cell,
            reporter=self.node,
            sequence=self.sequence,
            digest_hash=self._hash(),
            full=False,
            rows=tuple(rows),
            records=tuple(changed),
            gone=tuple(removed),
        )

    def _hash(self) -> int:
        return cells.view_hash(
            self.sent_records.values(), self.sent_rows.values()
        )

    def _send(self, entry: members.Contact, message: object) -> core.Send:
        return core.Send(to=entry.node, address=entry.address, message=message)


def _is_reported(sent: members.Member, record: members.Member) -> bool:
    """Return whether ``sent`` covers all that entries use of ``record``."""
    return (
        sent.node == record.node
        and sent.sequence == record.sequence
        and sent.suspect == record.suspect
        and sent.address == record.address
    )
