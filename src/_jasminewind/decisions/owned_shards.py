"""Extends the intervals that this process owns and refreshes their rows."""

import dataclasses

from _jasminewind import errors
from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import cell_state
from _jasminewind.decisions import claims
from _jasminewind.decisions import core
from _jasminewind.decisions import intervals
from _jasminewind.decisions import rows
from _jasminewind.messages import ownership as messages

EXTEND_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 60.0
# Without successors there are no promises and the ceiling in the row is the
# limit, so the row is written more often and further ahead.
NO_SUCCESSOR_REFRESH_S = 5.0
NO_SUCCESSOR_AHEAD_MS = 20 * 1000
SUCCESSOR_TIMEOUT_S = 2.5
REPLACE_INTERVAL_S = 2.0
# A row this far behind the ceiling in use, as after a claim, is written at
# once: during a table outage the ceiling can rise only to the end of the
# orphan span above the row.
MAX_CEILING_LAG_MS = 75 * 1000


class OwnedShards:
    """The intervals that this process holds, current and ended, by shard."""

    def __init__(self, *, cell: cell_state.CellState) -> None:
        self.cell = cell
        self.current: dict[int, intervals.HeldInterval] = {}
        self.ended: dict[int, list[intervals.HeldInterval]] = {}
        self.last_extend_s: dict[int, float] = {}
        self.next_write_s: dict[int, float] = {}
        self.last_grant_s: dict[tuple[int, members.NodeId], float] = {}

    def intervals_of(self, shard: int) -> tuple[intervals.HeldInterval, ...]:
        """Return every interval of ``shard`` that this process holds."""
        current = self.current.get(shard)
        ended = tuple(self.ended.get(shard, ()))
        return ended if current is None else (current, *ended)

    def become_owner(
        self, row: shards.ShardRow, version: int, now: core.Instant
    ) -> core.Actions:
        """Start the interval of ``row``, which the table contains."""
        epoch = row.current.epoch
        if any(
            h.row.current.epoch >= epoch for h in self.intervals_of(row.shard)
        ):
            return []
        self.end(row.shard)
        held = intervals.HeldInterval(row=row, version=version)
        held.confirmed_s = now.mono_s
        self.current[row.shard] = held
        return self.extend(row.shard, now)

    def end(self, shard: int) -> None:
        """Freeze the current interval; ids inside it are still accepted."""
        held = self.current.pop(shard, None)
        if held is not None:
            held.freeze()
            held.pending_write = None
            self.ended.setdefault(shard, []).append(held)

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Extend every current interval and write the rows that are due."""
        actions: core.Actions = []
        for shard, held in tuple(self.current.items()):
            last_s = self.last_extend_s.get(shard)
            if last_s is None or now.mono_s - last_s >= EXTEND_INTERVAL_S:
                actions += self.extend(shard, now)
            if held.pending_write is not None:
                actions += self.check_pending_write(held, now)
            elif not held.frozen and self.may_write(shard, now):
                actions += self.maintain(held, now)
        return actions

    def may_write(self, shard: int, now: core.Instant) -> bool:
        """Return whether the pause after an unsent write is over."""
        next_s = self.next_write_s.get(shard)
        return next_s is None or now.mono_s >= next_s

    def extend(self, shard: int, now: core.Instant) -> core.Actions:
        """Request promises up to ``NORMAL_AHEAD_MS`` ahead of the clock."""
        self.last_extend_s[shard] = now.mono_s
        return self.request_promises(
            shard, now.wall_ms + intervals.NORMAL_AHEAD_MS, now
        )

    def request_promises(
        self, shard: int, ceiling_ms: int, now: core.Instant
    ) -> core.Actions:
        """Request promises up to ``ceiling_ms`` from the successors."""
        held = self.current[shard]
        if held.frozen:
            return []
        held.raise_target(ceiling_ms, now)
        held.raise_ceiling(now)
        if held.target_ms <= held.floor_ms:
            return []
        request = messages.PromiseRequest(
            shard=shard,
            epoch=held.row.current.epoch,
            ceiling_ms=held.target_ms,
        )
        for successor in held.successors():
            key = (shard, successor.node)
            self.last_grant_s.setdefault(key, now.mono_s)
        return [
            core.Send(to=s.node, address=s.address, message=request)
            for s in held.successors()
        ]

    def on_promise(
        self,
        reply: messages.PromiseReply,
        sender: members.NodeId,
        now: core.Instant,
    ) -> bool:
        """Record a promise; return whether the ceiling rose."""
        held = self.current.get(reply.shard)
        if held is None:
            return False
        epoch = held.row.current.epoch
        if not reply.granted:
            if reply.epoch > epoch:
                self.end(reply.shard)
            return False
        if reply.epoch != epoch:
            return False
        self.last_grant_s[reply.shard, sender] = now.mono_s
        previous = held.promised.get(sender, 0)
        held.promised[sender] = max(previous, reply.ceiling_ms)
        return held.raise_ceiling(now)

    def maintain(
        self, held: intervals.HeldInterval, now: core.Instant
    ) -> core.Actions:
        """Write the row when it is old, lags or needs other successors."""
        age_s = now.mono_s - held.confirmed_s
        row = held.row
        lost = self.lost_successors(held, now)
        # An owner that can accept no new id replaces successors at once.
        is_behind = held.ceiling_ms < now.wall_ms
        if age_s >= REPLACE_INTERVAL_S or is_behind:
            successors = self.successors_to_name(held, lost)
            if {s.node for s in successors} != {
                s.node for s in row.successors
            }:
                return self.write(held, successors, now)
        refresh_s = (
            REFRESH_INTERVAL_S if row.successors else NO_SUCCESSOR_REFRESH_S
        )
        lag_ms = held.ceiling_ms - row.current.ceiling_ms
        if lag_ms >= MAX_CEILING_LAG_MS and age_s >= REPLACE_INTERVAL_S:
            return self.write(held, row.successors, now)
        if age_s >= refresh_s or (not row.successors and age_s >= 1.0):
            return self.write(held, row.successors, now)
        return []

    def lost_successors(
        self, held: intervals.HeldInterval, now: core.Instant
    ) -> tuple[members.NodeId, ...]:
        """Return the successors that left or stopped granting promises."""
        shard = held.row.shard
        return tuple(
            s.node
            for s in held.row.successors
            if not self.cell.can_own(s.node)
            or now.mono_s - self.last_grant_s.get((shard, s.node), now.mono_s)
            >= SUCCESSOR_TIMEOUT_S
        )

    def successors_to_name(
        self, held: intervals.HeldInterval, lost: tuple[members.NodeId, ...]
    ) -> tuple[shards.Successor, ...]:
        """Return the successors for the next row."""
        keep = tuple(s.node for s in held.row.successors)
        full = len(keep) >= rows.MAX_SUCCESSORS and not lost
        if full:
            return held.row.successors
        return self.cell.choose_successors(
            held.row.shard, keep=keep, avoid=lost
        )

    def write(
        self,
        held: intervals.HeldInterval,
        successors: tuple[shards.Successor, ...],
        now: core.Instant,
        *,
        closed: bool = False,
    ) -> core.Actions:
        """Write the row with ``successors`` and the current ceiling."""
        ceiling_ms = held.ceiling_to_write(now)
        no_successor_ms = now.wall_ms + NO_SUCCESSOR_AHEAD_MS
        if closed:
            ceiling_ms = held.ceiling_ms
        elif not successors and ceiling_ms >= held.floor_ms:
            ceiling_ms = max(ceiling_ms, no_successor_ms)
        current = dataclasses.replace(held.row.current, ceiling_ms=ceiling_ms)
        row = dataclasses.replace(
            held.row,
            current=current,
            successors=successors,
            write_id=self.cell.new_write_id(),
            closed=closed,
        )
        for successor in successors:
            key = (row.shard, successor.node)
            if successor not in held.row.successors:
                self.last_grant_s[key] = now.mono_s
        held.pending_write = intervals.PendingWrite(
            row=row, expected_version=held.version, sent_s=now.mono_s
        )
        actions: core.Actions = [claims.write_row(held.pending_write)]
        if successors != held.row.successors or closed:
            actions.append(self.log_row(row))
        return actions

    def log_row(self, row: shards.ShardRow) -> core.LogDecision:
        """Return the decision log line of a write of the row."""
        verb = "close" if row.closed else "name successors"
        return core.LogDecision(
            kind="ownership",
            choice=", ".join(str(s.node) for s in row.successors),
            reason=f"shard {row.shard} epoch {row.current.epoch}: {verb}",
        )

    def check_pending_write(
        self, held: intervals.HeldInterval, now: core.Instant
    ) -> core.Actions:
        """Read the row when the outcome of its write is overdue."""
        write = held.pending_write
        if write is None or now.mono_s - write.sent_s < claims.WRITE_RETRY_S:
            return []
        write.sent_s = now.mono_s
        return [claims.read_row(held.row.shard)]

    def on_row_read(
        self,
        shard: int,
        row: shards.ShardRow | None,
        version: int,
        now: core.Instant,
    ) -> core.Actions:
        """Resolve a pending write by the row that was read.

        A row that another process wrote ends the interval.
        """
        held = self.current.get(shard)
        if held is None or row is None or version < held.version:
            return []
        write = held.pending_write
        if write is not None and version <= write.expected_version:
            write.attempts += 1
            return [claims.write_row(write)]
        if write is not None and row.write_id == write.row.write_id:
            held.confirm(row, version, now.mono_s)
            return self.extend(shard, now)
        if row.write_id != held.row.write_id:
            self.end(shard)
        return []

    def on_written(
        self, reply: core.TableWriteReply, shard: int, now: core.Instant
    ) -> core.Actions:
        """Handle the reply to a write of a current interval."""
        held = self.current[shard]
        write = held.pending_write
        if write is None:
            return []
        if reply.error is None:
            held.confirm(write.row, reply.version, now.mono_s)
            return self.extend(shard, now)
        was_not_sent = (
            reply.error.failure is errors.TableFailure.NOT_SENT
            and write.attempts == 1
        )
        if was_not_sent:
            held.pending_write = None
            self.next_write_s[shard] = now.mono_s + REPLACE_INTERVAL_S
            held.confirmed_s = max(
                held.confirmed_s, now.mono_s - REPLACE_INTERVAL_S
            )
            return []
        if reply.error.failure is errors.TableFailure.CONFLICT:
            return [claims.read_row(shard)]
        return []
