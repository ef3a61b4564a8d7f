"""Claims shards whose owner failed, left or never existed."""

import enum

from _jasminewind import errors
from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import cell_state
from _jasminewind.decisions import core
from _jasminewind.decisions import intervals
from _jasminewind.decisions import promises
from _jasminewind.decisions import rows
from _jasminewind.messages import ownership as messages

OWNER_SILENCE_S = 3.0
# The second successor claims this much later, so that both rarely race.
SUCCESSOR_STAGGER_S = 1.0
# After a wrong claim of an orphaned shard its ids are rejected for the whole
# orphan span, so owner and successors must be absent for longer than a
# replacement process takes to join.
ORPHAN_WAIT_S = 20.0
RANK_STAGGER_S = 2.0
VIEW_SETTLE_S = 3.0
WRITE_RETRY_S = 1.0
READ_INTERVAL_S = 60.0
UNOWNED_READ_INTERVAL_S = 2.0


class Reason(enum.StrEnum):
    """Reason that allows a claim of a shard."""

    FIRST = "the shard never had an owner"
    CLOSED = "its owner closed it"
    SILENT = "its owner is silent and a probe failed"
    ASKED = "its owner is leaving and asked for it"
    ORPHAN = "its owner and successors are gone"


class Claims:
    """Writes that make this process the owner of a shard.

    ``writes`` are the unresolved ones, by shard; this process grants no
    promise for a shard in it.
    """

    def __init__(
        self,
        *,
        cell: cell_state.CellState,
        promised_floors: promises.PromisedFloors,
    ) -> None:
        self.cell = cell
        self.promised_floors = promised_floors
        self.writes: dict[int, intervals.PendingWrite] = {}
        self.take_over_requests: dict[int, messages.TakeOverRequest] = {}
        self.unowned_since_s: dict[int, float] = {}
        self.last_read_s: float | None = None
        self.leaving = False

    def is_writing(self, shard: int) -> bool:
        """Return whether a write for ``shard`` is unresolved."""
        return shard in self.writes

    def on_take_over_request(
        self, request: messages.TakeOverRequest, sender: members.NodeId
    ) -> core.Actions:
        """Handle the request of an owner to take over its shard."""
        del sender
        if self.leaving:
            return []
        self.take_over_requests[request.shard] = request
        return [read_row(request.shard)]

    def on_tick(
        self, foreign_shards: tuple[int, ...], now: core.Instant
    ) -> core.Actions:
        """Check pending writes, probe silent owners and read due rows.

        ``foreign_shards`` are the cell's shards that this process lacks.
        """
        actions: core.Actions = []
        for shard in tuple(self.writes):
            actions += self.check_pending_write(shard, now)
        if not self.has_settled_view(now):
            return actions
        is_urgent = False
        for shard in foreign_shards:
            row = self.cell.rows.get(shard)
            if row is None or row.closed:
                is_urgent = True
            else:
                actions += self.probe_silent(row, now)
                is_urgent = (
                    is_urgent or self.claim_reason(row, now) is not None
                )
        period_s = UNOWNED_READ_INTERVAL_S if is_urgent else READ_INTERVAL_S
        if foreign_shards and self.is_read_due(period_s, now):
            self.last_read_s = (
                now.mono_s - self.cell.rng.random() * period_s / 4
            )
            actions.append(
                core.ReadTable(tag="ownership:rows", prefix="shard/")
            )
        return actions

    def has_settled_view(self, now: core.Instant) -> bool:
        """Return whether the view had time to fill after the start."""
        since = self.cell.view_since_s
        return since is not None and now.mono_s - since >= VIEW_SETTLE_S

    def is_read_due(self, period_s: float, now: core.Instant) -> bool:
        """Return whether the last read was ``period_s`` ago or more."""
        return (
            self.last_read_s is None
            or now.mono_s - self.last_read_s >= period_s
        )

    def probe_silent(
        self, row: shards.ShardRow, now: core.Instant
    ) -> core.Actions:
        """Probe the owner of a row, and absent successors, when silent."""
        owner, *successors = rows.owner_and_successors(row)
        if self.cell.silence_s(owner.node, now) < OWNER_SILENCE_S:
            return []
        actions = self.cell.probe(owner, now)
        if self.are_absent(row, now):
            for successor in successors:
                actions += self.cell.probe(successor, now)
        return actions

    def are_absent(self, row: shards.ShardRow, now: core.Instant) -> bool:
        """Return whether owner and successors left the view long ago."""
        return all(
            peer.node != self.cell.member.node
            and self.cell.absence_s(peer.node, now) >= ORPHAN_WAIT_S
            for peer in rows.owner_and_successors(row)
        )

    def claim_reason(
        self, row: shards.ShardRow, now: core.Instant
    ) -> Reason | None:
        """Return why this process may claim the shard, or ``None``."""
        request = self.take_over_requests.get(row.shard)
        nodes = [s.node for s in row.successors]
        own = self.cell.member.node
        if row.closed:
            return Reason.CLOSED
        if own in nodes:
            if request is not None and request.epoch == row.current.epoch:
                return Reason.ASKED
            wait_s = OWNER_SILENCE_S + SUCCESSOR_STAGGER_S * nodes.index(own)
            silent = self.cell.silence_s(row.current.owner, now) >= wait_s
            if silent and self.cell.has_failed_probe(row.current.owner, now):
                return Reason.SILENT
            return None
        all_probes_failed = all(
            self.cell.has_failed_probe(p.node, now)
            for p in rows.owner_and_successors(row)
        )
        if self.are_absent(row, now) and all_probes_failed:
            return Reason.ORPHAN
        return None

    def claim_if_allowed(
        self,
        shard: int,
        row: shards.ShardRow | None,
        version: int,
        now: core.Instant,
    ) -> core.Actions:
        """Claim the shard if its row, which was just read, allows it."""
        if self.leaving or not rows.may_coordinate(self.cell.member):
            return []
        reason = Reason.FIRST if row is None else self.claim_reason(row, now)
        if reason is None:
            self.unowned_since_s.pop(shard, None)
            return []
        if reason not in (Reason.SILENT, Reason.ASKED):
            since = self.unowned_since_s.setdefault(shard, now.mono_s)
            delay_s = RANK_STAGGER_S * self.cell.claim_rank(shard)
            if not self.has_settled_view(now) or now.mono_s - since < delay_s:
                return []
        claimed = self.claimed_row(shard, row, reason, now)
        return self.write_claim(claimed, version, reason, now)

    def claimed_row(
        self,
        shard: int,
        row: shards.ShardRow | None,
        reason: Reason,
        now: core.Instant,
    ) -> shards.ShardRow:
        """Return the row that makes this process the owner."""
        write_id = self.cell.new_write_id()
        if row is None:
            return rows.first_row(
                shard,
                owner=self.cell.member,
                wall_ms=now.wall_ms,
                successors=self.cell.choose_successors(shard),
                write_id=write_id,
            )
        floor_ms = self.floor_ms(row, reason)
        ceiling_ms = floor_ms
        if floor_ms > now.wall_ms + rows.AHEAD_LIMIT_MS:
            # No id can be accepted yet. Keeping the earlier ceiling gives a
            # further claim the same floor, not one a span higher.
            ceiling_ms = min(floor_ms, row.current.ceiling_ms)
        avoid = () if reason is Reason.ASKED else (row.current.owner,)
        return rows.next_row(
            row,
            owner=self.cell.member,
            floor_ms=floor_ms,
            ceiling_ms=ceiling_ms,
            successors=self.cell.choose_successors(shard, avoid=avoid),
            write_id=write_id,
        )

    def floor_ms(self, row: shards.ShardRow, reason: Reason) -> int:
        """Return the lowest floor at or above every id accepted before."""
        if reason is Reason.ASKED:
            return max(
                self.take_over_requests[row.shard].closed_ms,
                row.current.floor_ms,
            )
        if reason is Reason.SILENT:
            return max(
                row.current.floor_ms,
                row.current.ceiling_ms,
                self.promised_floors.floor_ms(row.shard),
            )
        return rows.highest_possible_ceiling(row)

    def write_claim(
        self,
        row: shards.ShardRow,
        version: int,
        reason: Reason,
        now: core.Instant,
    ) -> core.Actions:
        """Write the row; grant no promise until the outcome is known."""
        write = intervals.PendingWrite(
            row=row, expected_version=version, sent_s=now.mono_s
        )
        self.writes[row.shard] = write
        return [
            write_row(write),
            core.LogDecision(
                kind="claim",
                choice=str(self.cell.member.node),
                candidates=tuple(str(s.node) for s in row.successors),
                reason=(
                    f"shard {row.shard} epoch {row.current.epoch} "
                    f"floor {row.current.floor_ms}: {reason.value}"
                ),
            ),
        ]

    def check_pending_write(
        self, shard: int, now: core.Instant
    ) -> core.Actions:
        """Read the row when the outcome of its write is overdue."""
        write = self.writes[shard]
        if now.mono_s - write.sent_s < WRITE_RETRY_S:
            return []
        write.sent_s = now.mono_s
        return [read_row(shard)]

    def on_row_read(
        self, row: shards.ShardRow | None, version: int, shard: int
    ) -> tuple[core.Actions, bool]:
        """Resolve a pending write by the row that was read.

        Return actions and whether this process is now the owner.
        """
        write = self.writes[shard]
        if version <= write.expected_version:
            write.attempts += 1
            return [write_row(write)], False
        del self.writes[shard]
        is_own = row is not None and row.write_id == write.row.write_id
        return [], is_own

    def on_written(
        self, reply: core.TableWriteReply, shard: int
    ) -> tuple[core.Actions, shards.ShardRow | None]:
        """Handle the reply to a write; return its row if it took effect."""
        write = self.writes[shard]
        if reply.error is None:
            del self.writes[shard]
            return [], write.row
        was_not_sent = (
            reply.error.failure is errors.TableFailure.NOT_SENT
            and write.attempts == 1
        )
        if was_not_sent:
            del self.writes[shard]
            return [], None
        if reply.error.failure is errors.TableFailure.CONFLICT:
            return [read_row(shard)], None
        # on_tick reads the row after a pause: reading and resending at once
        # would keep a failing table under load.
        return [], None


def read_row(shard: int) -> core.ReadTable:
    """Return the action that reads one row."""
    return core.ReadTable(
        tag=f"ownership:row:{shard}", keys=(shards.row_key(shard),)
    )


def write_row(write: intervals.PendingWrite) -> core.WriteTable:
    """Return the action that sends or resends a write."""
    row = write.row
    return core.WriteTable(
        tag=f"ownership:write:{row.shard}:{row.write_id}",
        key=shards.row_key(row.shard),
        expected_version=write.expected_version,
        value=rows.encode(row),
    )
