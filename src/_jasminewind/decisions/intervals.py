"""An interval that this process holds, and how far it may extend it."""

import dataclasses

from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import core
from _jasminewind.decisions import rows

NORMAL_AHEAD_MS = 5 * 1000


@dataclasses.dataclass(kw_only=True)
class PendingWrite:
    """A write to a row whose outcome is not known yet.

    It is sent again unchanged until the row has a version other than
    ``expected_version``: a write that is merely late can take effect as
    long as the version has not changed.
    """

    row: shards.ShardRow
    expected_version: int
    sent_s: float
    attempts: int = 1


class HeldInterval:
    """One interval of one shard, held by this process.

    ``row`` and ``version`` are the row as last confirmed by the table.
    ``ceiling_ms`` is the highest id time in use and never falls below the
    highest accepted id. A frozen interval is never extended again.
    """

    def __init__(self, *, row: shards.ShardRow, version: int) -> None:
        self.row = row
        self.version = version
        self.floor_ms = row.current.floor_ms
        self.ceiling_ms = self.floor_ms
        self.target_ms = self.floor_ms
        self.highest_accepted_ms = self.floor_ms
        self.frozen = False
        self.pending_write: PendingWrite | None = None
        self.confirmed_s = 0.0
        self.asked_s: dict[members.NodeId, float] = {}
        self.promised: dict[members.NodeId, int] = {}

    def covers(self, id_time_ms: int) -> bool:
        """Tell whether this interval accepts an id of that time."""
        return self.floor_ms < id_time_ms <= self.ceiling_ms

    def possible_rows(self) -> tuple[shards.ShardRow, ...]:
        """Return the rows of this epoch that the table may hold now."""
        if self.pending_write is None:
            return (self.row,)
        return (self.row, self.pending_write.row)

    def successors(self) -> tuple[shards.Successor, ...]:
        """Return every process that may be a successor at present."""
        found = {
            successor.node: successor
            for row in self.possible_rows()
            for successor in row.successors
        }
        return tuple(found.values())

    def safe_ceiling_ms(self) -> int:
        """Return the highest ceiling that is safe now."""
        floors = [self.takeover_floor_ms(row) for row in self.possible_rows()]
        orphan_limit_ms = self.row.current.ceiling_ms + rows.ORPHAN_SPAN_MS
        return min(*floors, orphan_limit_ms) if floors else 0

    def takeover_floor_ms(self, row: shards.ShardRow) -> int:
        """Return the lowest floor at which ``row`` can be taken over.

        Every takeover starts at or above the ceiling in the row. Beyond
        it, each successor must have promised.
        """
        if not row.successors:
            return row.current.ceiling_ms
        lowest = min(self.promised.get(s.node, 0) for s in row.successors)
        return max(row.current.ceiling_ms, lowest)

    def raise_target(self, id_time_ms: int, now: core.Instant) -> bool:
        """Set the ceiling to ask for; return whether it was raised."""
        highest = now.wall_ms + rows.AHEAD_LIMIT_MS
        orphan_limit_ms = self.row.current.ceiling_ms + rows.ORPHAN_SPAN_MS
        target = min(id_time_ms, highest, orphan_limit_ms)
        raised = target > self.target_ms
        self.target_ms = max(self.target_ms, target)
        return raised

    def raise_ceiling(self, now: core.Instant) -> bool:
        """Raise the ceiling as far as is safe; return whether it rose."""
        if self.frozen:
            return False
        highest = now.wall_ms + rows.AHEAD_LIMIT_MS
        ceiling = min(self.target_ms, self.safe_ceiling_ms(), highest)
        if ceiling <= self.ceiling_ms:
            return False
        self.ceiling_ms = ceiling
        return True

    def freeze(self) -> None:
        """Never extend again; ids of the interval are still served."""
        self.frozen = True

    def close(self) -> int:
        """Stop at the highest id time that was accepted; return it."""
        if not self.frozen:
            self.ceiling_ms = max(self.floor_ms, self.highest_accepted_ms)
            self.frozen = True
        return self.ceiling_ms

    def ceiling_to_write(self, now: core.Instant) -> int:
        """Return the ceiling for the next row.

        While the floor is still far ahead of the clock, as after a claim
        of an orphaned shard, the earlier ceiling is kept. Otherwise each
        restart within the span would move the floor a span further.
        """
        nearest = now.wall_ms + rows.AHEAD_LIMIT_MS
        if not self.frozen and self.floor_ms > nearest:
            return self.row.current.ceiling_ms
        return max(self.ceiling_ms, self.row.current.ceiling_ms)

    def confirm(
        self, row: shards.ShardRow, version: int, mono_s: float
    ) -> None:
        """Note that the table holds ``row``."""
        self.row = row
        self.version = version
        self.pending_write = None
        self.confirmed_s = mono_s

    def row_to_announce(self) -> shards.ShardRow:
        """Return the row with the ceiling in use, for announcements."""
        current = dataclasses.replace(
            self.row.current, ceiling_ms=self.ceiling_ms
        )
        return dataclasses.replace(self.row, current=current)
