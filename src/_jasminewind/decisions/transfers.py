"""Transfers shards and records to other members: leave, rebalancing."""

import dataclasses

import msgspec

from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import cell_state
from _jasminewind.decisions import core
from _jasminewind.decisions import owned_shards
from _jasminewind.decisions import rows
from _jasminewind.messages import ownership as messages
from _jasminewind.messages import work

REQUEST_INTERVAL_S = 1.0
# After this many take-over requests without effect the row is closed, so
# that any member of the cell may claim the shard.
MAX_REQUESTS = 5
MOVE_INTERVAL_S = 10.0
# Encoded answers of one hand-over message. Well below the frame limit of
# 1 MiB, so that heartbeats on the same link are not delayed.
MAX_BATCH_BYTES = 256 * 1024
# A single answer may exceed a batch, but not a frame.
MAX_ANSWER_BYTES = 1000 * 1024
HAND_OVER_RETRY_S = 1.0
MAX_HAND_OVER_ATTEMPTS = 20


@dataclasses.dataclass(kw_only=True)
class Transfer:
    """A shard whose ids above ``closed_ms`` are left to a new owner.

    ``target`` is the member to ask first, if any.
    """

    epoch: int
    closed_ms: int
    target: members.NodeId | None = None
    requested_s: float | None = None
    request_count: int = 0


@dataclasses.dataclass(kw_only=True)
class HandOverBatch:
    """Answers to send to the new owner of a shard in one message."""

    epoch: int
    sequence: int
    answers: tuple[work.Answer, ...]
    sent_s: float | None = None
    attempts: int = 0


class Transfers:
    """Shards and records that this process transfers to others."""

    def __init__(
        self,
        *,
        cell: cell_state.CellState,
        owned_shards: owned_shards.OwnedShards,
    ) -> None:
        self.cell = cell
        self.owned_shards = owned_shards
        self.in_progress: dict[int, Transfer] = {}
        self.batches: dict[int, list[HandOverBatch]] = {}
        self.sequence = 0
        self.leaving = False
        self.last_move_s = 0.0
        self.planned_moves: dict[int, PlannedMove] = {}

    def begin_leave(self, now: core.Instant) -> core.Actions:
        """Start to transfer every shard."""
        self.leaving = True
        self.planned_moves.clear()
        return self.on_tick(now)

    def has_transferred_shards(self) -> bool:
        """Return whether this process is leaving and owns no shard."""
        return self.leaving and not self.owned_shards.current

    def has_left(self) -> bool:
        """Return whether all shards and records were transferred."""
        return self.has_transferred_shards() and not any(self.batches.values())

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Advance every transfer and every hand-over."""
        actions: core.Actions = []
        for shard in tuple(self.in_progress):
            if shard not in self.owned_shards.current:
                del self.in_progress[shard]
        for shard, held in tuple(self.owned_shards.current.items()):
            if held.pending_write is not None:
                continue
            if self.leaving and shard not in self.in_progress:
                self.begin_transfer(shard)
            if shard in self.in_progress:
                actions += self.request_take_over(shard, now)
        if not self.leaving:
            actions += self.rebalance(now)
        for shard in self.batches:
            actions += self.send_batch(shard, now)
        return actions

    def begin_transfer(
        self, shard: int, target: members.NodeId | None = None
    ) -> None:
        """Close the interval at the highest accepted id."""
        held = self.owned_shards.current[shard]
        self.in_progress[shard] = Transfer(
            epoch=held.row.current.epoch,
            closed_ms=held.close(),
            target=target,
        )

    def request_take_over(self, shard: int, now: core.Instant) -> core.Actions:
        """Ask a successor to take over; close the row when none does."""
        transfer = self.in_progress[shard]
        held = self.owned_shards.current[shard]
        if held.row.closed:
            self.owned_shards.end(shard)
            return []
        last_s = transfer.requested_s
        if last_s is not None and now.mono_s - last_s < REQUEST_INTERVAL_S:
            return []
        transfer.requested_s = now.mono_s
        live = [s for s in held.row.successors if self.cell.can_own(s.node)]
        if not live or transfer.request_count >= MAX_REQUESTS:
            return self.owned_shards.write(
                held, held.row.successors, now, closed=True
            )
        peer = live[transfer.request_count % len(live)]
        preferred = [s for s in live if s.node == transfer.target]
        if preferred and transfer.request_count < MAX_REQUESTS - 1:
            peer = preferred[0]
        transfer.request_count += 1
        request = messages.TakeOverRequest(
            shard=shard,
            epoch=transfer.epoch,
            closed_ms=transfer.closed_ms,
        )
        return [
            core.Send(to=peer.node, address=peer.address, message=request),
            core.LogDecision(
                kind="departure",
                choice=str(peer.node),
                candidates=tuple(str(s.node) for s in live),
                reason=f"shard {shard} closed at {transfer.closed_ms}",
            ),
        ]

    def rebalance(self, now: core.Instant) -> core.Actions:
        """Move a shard when another member has at least two fewer.

        The row is written first, even when it names the target already: a
        move that begins during a table outage would leave the shard closed
        until the table recovers.
        """
        for shard, planned in tuple(self.planned_moves.items()):
            held = self.owned_shards.current.get(shard)
            if held is not None and held.pending_write is not None:
                continue
            del self.planned_moves[shard]
            if held is None or held.version <= planned.version:
                continue
            target = planned.target
            if any(s.node == target for s in held.row.successors):
                self.begin_transfer(shard, target)
                return self.request_take_over(shard, now)
        if now.mono_s - self.last_move_s < MOVE_INTERVAL_S:
            return []
        choice = self.choose_move()
        if choice is None:
            return []
        self.last_move_s = now.mono_s
        shard, target = choice.shard, choice.target
        held = self.owned_shards.current[shard]
        self.planned_moves[shard] = choice
        named = held.row.successors
        if any(s.node == target for s in named):
            return self.owned_shards.write(held, named, now)
        named = self.cell.choose_successors(shard, prefer=target)
        return self.owned_shards.write(held, named, now)

    def choose_move(self) -> "PlannedMove | None":
        """Return a move if this process owns the most shards."""
        counts = {
            m.node: len(m.shards)
            for m in self.cell.view
            if m.state is members.State.SERVING and rows.may_coordinate(m)
        }
        own = len(self.owned_shards.current)
        if not counts or self.in_progress or self.planned_moves:
            return None
        fullest = max((c, node) for node, c in counts.items())
        if fullest > (own, self.cell.member.node):
            return None
        fewest, target = min((c, node) for node, c in counts.items())
        movable = [
            shard
            for shard, held in self.owned_shards.current.items()
            if held.pending_write is None and not held.frozen
        ]
        if own - fewest < 2 or not movable:
            return None
        shard = max(movable)
        return PlannedMove(
            shard=shard,
            target=target,
            version=self.owned_shards.current[shard].version,
        )

    def queue_hand_over(
        self, shard: int, answers: tuple[work.Answer, ...], epoch: int
    ) -> None:
        """Queue the finished records of a shard for its new owner."""
        queue = self.batches.setdefault(shard, [])
        batch: list[work.Answer] = []
        batch_bytes = 0
        for answer in answers:
            answer_bytes = len(msgspec.json.encode(answer))
            if answer_bytes > MAX_ANSWER_BYTES:
                continue
            if batch and batch_bytes + answer_bytes > MAX_BATCH_BYTES:
                queue.append(self.new_batch(epoch, batch))
                batch, batch_bytes = [], 0
            batch.append(answer)
            batch_bytes += answer_bytes
        if batch:
            queue.append(self.new_batch(epoch, batch))

    def new_batch(
        self, epoch: int, answers: list[work.Answer]
    ) -> HandOverBatch:
        """Return a batch with the next sequence number."""
        self.sequence += 1
        return HandOverBatch(
            epoch=epoch, sequence=self.sequence, answers=tuple(answers)
        )

    def send_batch(self, shard: int, now: core.Instant) -> core.Actions:
        """Send the first batch of a shard, or resend it when due."""
        queue = self.batches[shard]
        if not any(rows.may_coordinate(m) for m in self.cell.view):
            # No member could become the owner.
            queue.clear()
        if not queue:
            return []
        batch = queue[0]
        last_s = batch.sent_s
        if last_s is not None and now.mono_s - last_s < HAND_OVER_RETRY_S:
            return []
        batch.sent_s = now.mono_s
        batch.attempts += 1
        if batch.attempts > MAX_HAND_OVER_ATTEMPTS:
            # No new owner can be reached. Resubmissions are then answered
            # "may have run", which is safe.
            queue.clear()
            return []
        row = self.cell.rows.get(shard)
        if row is None or row.current.epoch <= batch.epoch:
            return []
        message = messages.HandOver(
            shard=shard,
            epoch=batch.epoch,
            answers=batch.answers,
            sequence=batch.sequence,
        )
        return [
            core.Send(
                to=row.current.owner,
                address=row.current.address,
                message=message,
            )
        ]

    def on_ack(
        self, ack: messages.HandOverAck, now: core.Instant
    ) -> core.Actions:
        """Drop the acknowledged batch and send the next."""
        queue = self.batches.get(ack.shard, [])
        if not queue or queue[0].sequence != ack.sequence:
            return []
        queue.pop(0)
        return self.send_batch(ack.shard, now)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedMove:
    """A shard to move, its new owner, and the row version at planning."""

    shard: int
    target: members.NodeId
    version: int


def processes_to_confirm_gone(
    row: shards.ShardRow, wall_ms: int
) -> tuple[members.NodeId, ...]:
    """Return the processes that must be gone before ``row`` is released.

    The owner of a claimed orphaned shard starts one orphan span ahead. It has
    accepted no id yet and can't extend beyond the span without writing the
    row, which the release prevents, so only the earlier owners matter.
    """
    if row.current.floor_ms > wall_ms + rows.RELEASE_AHEAD_MS:
        return tuple(interval.owner for interval in row.earlier)
    return tuple(peer.node for peer in rows.owner_and_successors(row))


def close_for_release(
    row: shards.ShardRow, *, wall_ms: int, write_id: str
) -> shards.ShardRow:
    """Return ``row`` as closed by an operator.

    The ceiling is above every id that the earlier processes can have
    accepted, because no owner accepts ids more than 30 s ahead.
    """
    ceiling_ms = max(row.current.ceiling_ms, wall_ms + rows.RELEASE_AHEAD_MS)
    current = dataclasses.replace(row.current, ceiling_ms=ceiling_ms)
    return dataclasses.replace(
        row, current=current, write_id=write_id, closed=True
    )
