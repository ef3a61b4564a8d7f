"""Giving shards away: graceful leave, moves for balance, hand-over."""

import dataclasses

import msgspec

from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import core
from _jasminewind.decisions import neighbours
from _jasminewind.decisions import rows
from _jasminewind.decisions import owned_shards
from _jasminewind.messages import ownership as messages
from _jasminewind.messages import work

ASK_EVERY_S = 1.0
# After this many requests without effect the row is closed, so that any
# member of the cell may claim the shard.
ASK_TIMES = 5
MOVE_EVERY_S = 10.0
# Encoded answers of one hand-over message, well below the frame limit of
# 1 MiB, so that heartbeats are not held up behind it.
CHUNK_BYTES = 256 * 1024
# An answer alone may be larger than a chunk, but not than a frame.
MAX_ANSWER_BYTES = 1000 * 1024
HAND_OVER_EVERY_S = 1.0
HAND_OVER_TRIES = 20


@dataclasses.dataclass(kw_only=True)
class Departure:
    """A shard that is being given away above ``closed_ms``."""

    epoch: int
    closed_ms: int
    target: members.NodeId | None = None
    asked_s: float | None = None
    asked: int = 0


@dataclasses.dataclass(kw_only=True)
class Parcel:
    """Answers on their way to the new owner of a shard."""

    epoch: int
    sequence: int
    answers: tuple[work.Answer, ...]
    sent_s: float | None = None
    tries: int = 0


class Departures:
    """Shards and records that leave this process."""

    def __init__(
        self,
        *,
        cell: neighbours.Neighbours,
        owned_shards: owned_shards.OwnedShards,
    ) -> None:
        self.cell = cell
        self.owned_shards = owned_shards
        self.open: dict[int, Departure] = {}
        self.parcels: dict[int, list[Parcel]] = {}
        self.sequence = 0
        self.leaving = False
        self.moved_s = 0.0
        self.wanted: dict[int, Move] = {}

    def begin_leave(self, now: core.Instant) -> core.Actions:
        """Start to give away every shard."""
        self.leaving = True
        self.wanted.clear()
        return self.on_tick(now)

    def has_given_shards(self) -> bool:
        """Tell whether this process leaves and owns no shard any more."""
        return self.leaving and not self.owned_shards.current

    def has_left(self) -> bool:
        """Tell whether nothing is left to give away."""
        return self.has_given_shards() and not any(self.parcels.values())

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Go on with every departure and every hand-over."""
        actions: core.Actions = []
        for shard in tuple(self.open):
            if shard not in self.owned_shards.current:
                del self.open[shard]
        for shard, holding in tuple(self.owned_shards.current.items()):
            if holding.write is not None:
                continue
            if self.leaving and shard not in self.open:
                self.depart(shard)
            if shard in self.open:
                actions += self.push(shard, now)
        if not self.leaving:
            actions += self.balance(now)
        for shard in self.parcels:
            actions += self.send_parcel(shard, now)
        return actions

    def depart(self, shard: int, target: members.NodeId | None = None) -> None:
        """Stop accepting ids above the highest one accepted."""
        holding = self.owned_shards.current[shard]
        self.open[shard] = Departure(
            epoch=holding.row.current.epoch,
            closed_ms=holding.close(),
            target=target,
        )

    def push(self, shard: int, now: core.Instant) -> core.Actions:
        """Ask a successor to take over, or close the row."""
        departure = self.open[shard]
        holding = self.owned_shards.current[shard]
        if holding.row.closed:
            self.owned_shards.end(shard)
            return []
        last_s = departure.asked_s
        if last_s is not None and now.mono_s - last_s < ASK_EVERY_S:
            return []
        departure.asked_s = now.mono_s
        live = [s for s in holding.row.successors if self.cell.is_able(s.node)]
        if not live or departure.asked >= ASK_TIMES:
            return self.owned_shards.write(
                holding, holding.row.successors, now, closed=True
            )
        peer = live[departure.asked % len(live)]
        preferred = [s for s in live if s.node == departure.target]
        if preferred and departure.asked < ASK_TIMES - 1:
            peer = preferred[0]
        departure.asked += 1
        request = messages.TakeOverRequest(
            shard=shard,
            epoch=departure.epoch,
            closed_ms=departure.closed_ms,
        )
        return [
            core.Send(to=peer.node, address=peer.address, message=request),
            core.LogDecision(
                kind="departure",
                choice=str(peer.node),
                candidates=tuple(str(s.node) for s in live),
                reason=f"shard {shard} closed at {departure.closed_ms}",
            ),
        ]

    def balance(self, now: core.Instant) -> core.Actions:
        """Move a shard when another member has at least two fewer.

        The row is written first, also when it names the target already. A
        move that begins while the table does not answer would leave the
        shard closed until the table returns.
        """
        for shard, wanted in tuple(self.wanted.items()):
            holding = self.owned_shards.current.get(shard)
            if holding is not None and holding.write is not None:
                continue
            del self.wanted[shard]
            if holding is None or holding.version <= wanted.version:
                continue
            target = wanted.target
            if any(s.node == target for s in holding.row.successors):
                self.depart(shard, target)
                return self.push(shard, now)
        if now.mono_s - self.moved_s < MOVE_EVERY_S:
            return []
        choice = self.move()
        if choice is None:
            return []
        self.moved_s = now.mono_s
        shard, target = choice.shard, choice.target
        holding = self.owned_shards.current[shard]
        self.wanted[shard] = choice
        named = holding.row.successors
        if any(s.node == target for s in named):
            return self.owned_shards.write(holding, named, now)
        named = self.cell.successors(shard, prefer=target)
        return self.owned_shards.write(holding, named, now)

    def move(self) -> "Move | None":
        """Return the shard to move, if this process is the fullest."""
        counts = {
            m.node: len(m.shards)
            for m in self.cell.view
            if m.state is members.State.SERVING and rows.may_coordinate(m)
        }
        own = len(self.owned_shards.current)
        if not counts or self.open or self.wanted:
            return None
        fullest = max((c, node) for node, c in counts.items())
        if fullest > (own, self.cell.member.node):
            return None
        fewest, target = min((c, node) for node, c in counts.items())
        movable = [
            shard
            for shard, holding in self.owned_shards.current.items()
            if holding.write is None and not holding.frozen
        ]
        if own - fewest < 2 or not movable:
            return None
        shard = max(movable)
        return Move(
            shard=shard,
            target=target,
            version=self.owned_shards.current[shard].version,
        )

    def hand_over(
        self, shard: int, answers: tuple[work.Answer, ...], epoch: int
    ) -> None:
        """Queue the finished records of a shard for its new owner."""
        queue = self.parcels.setdefault(shard, [])
        chunk: list[work.Answer] = []
        size = 0
        for answer in answers:
            weight = len(msgspec.json.encode(answer))
            if weight > MAX_ANSWER_BYTES:
                continue
            if chunk and size + weight > CHUNK_BYTES:
                queue.append(self.parcel(epoch, chunk))
                chunk, size = [], 0
            chunk.append(answer)
            size += weight
        if chunk:
            queue.append(self.parcel(epoch, chunk))

    def parcel(self, epoch: int, chunk: list[work.Answer]) -> Parcel:
        """Return the next parcel."""
        self.sequence += 1
        return Parcel(
            epoch=epoch, sequence=self.sequence, answers=tuple(chunk)
        )

    def send_parcel(self, shard: int, now: core.Instant) -> core.Actions:
        """Send the first parcel of a shard until it is acknowledged."""
        queue = self.parcels[shard]
        if not any(rows.may_coordinate(m) for m in self.cell.view):
            # Nobody is left who could become the owner.
            queue.clear()
        if not queue:
            return []
        parcel = queue[0]
        last_s = parcel.sent_s
        if last_s is not None and now.mono_s - last_s < HAND_OVER_EVERY_S:
            return []
        parcel.sent_s = now.mono_s
        parcel.tries += 1
        if parcel.tries > HAND_OVER_TRIES:
            # No new owner can be reached. Later resubmissions are
            # answered "may have run", which is safe.
            queue.clear()
            return []
        row = self.cell.rows.get(shard)
        if row is None or row.current.epoch <= parcel.epoch:
            return []
        message = messages.HandOver(
            shard=shard,
            epoch=parcel.epoch,
            answers=parcel.answers,
            sequence=parcel.sequence,
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
        """Drop the parcel that the new owner has stored; send the next."""
        queue = self.parcels.get(ack.shard, [])
        if not queue or queue[0].sequence != ack.sequence:
            return []
        queue.pop(0)
        return self.send_parcel(ack.shard, now)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """A shard to move, its new owner, and the row version before that."""

    shard: int
    target: members.NodeId
    version: int


def holders_to_release(
    row: shards.ShardRow, wall_ms: int
) -> tuple[members.NodeId, ...]:
    """Return the processes that must be gone before ``row`` is released.

    A claim of an orphaned shard begins a whole span ahead, so that its
    owner has accepted nothing yet and cannot go beyond the span either
    without writing the row, which the release prevents. The owners before
    it are then the ones that matter.
    """
    if row.current.floor_ms > wall_ms + rows.RELEASE_AHEAD_MS:
        return tuple(interval.owner for interval in row.earlier)
    return tuple(peer.node for peer in rows.names(row))


def closed_for_release(
    row: shards.ShardRow, *, wall_ms: int, write_id: str
) -> shards.ShardRow:
    """Return ``row`` closed by an operator.

    The ceiling is ahead of every id that the earlier processes can have
    accepted, because no owner accepts ids more than 30 s ahead.
    """
    ceiling_ms = max(row.current.ceiling_ms, wall_ms + rows.RELEASE_AHEAD_MS)
    current = dataclasses.replace(row.current, ceiling_ms=ceiling_ms)
    return dataclasses.replace(
        row, current=current, write_id=write_id, closed=True
    )
