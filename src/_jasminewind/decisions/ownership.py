"""Shard ownership: decides which process may accept which work ids.

The rules are in section 5 of ``docs/design.md``. :class:`Ownership` joins the
owner's side (:mod:`owned_shards`), the successor's side (:mod:`promises` and
:mod:`claims`) and the transfer of shards to other members (:mod:`transfers`).
"""

import collections.abc
import dataclasses
import random

from _jasminewind import configuration
from _jasminewind import ids
from _jasminewind import json_input
from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import cell_state
from _jasminewind.decisions import claims
from _jasminewind.decisions import core
from _jasminewind.decisions import id_checks
from _jasminewind.decisions import intervals
from _jasminewind.decisions import owned_shards
from _jasminewind.decisions import promises
from _jasminewind.decisions import rows
from _jasminewind.decisions import transfers
from _jasminewind.messages import ownership as messages
from _jasminewind.messages import work

# A row is announced when it changes, and again after this time because an
# announcement can be lost. Each one costs about 0.7 KB per member of the cell,
# and a node may use 19 KB/s for everything.
ANNOUNCE_INTERVAL_S = 15.0
# Announcements to successors double as heartbeats: a successor considers the
# owner silent after 3 s, and the owner does not always request promises.
REPEAT_INTERVAL_S = 1.0


class Ownership(core.StateMachine):
    """Shard ownership as seen by one process.

    ``entries`` receive announcements besides the members of the view; the
    node fills it. ``dropped_until_ms`` is the highest id time, by shard, whose
    records may have been dropped. ``pending_releases`` maps write ids to
    shards.
    """

    def __init__(self, *, member: members.Member, rng: random.Random) -> None:
        self.cell = cell_state.CellState(member=member, rng=rng)
        self.promised_floors = promises.PromisedFloors()
        self.claims = claims.Claims(
            cell=self.cell, promised_floors=self.promised_floors
        )
        self.owned_shards = owned_shards.OwnedShards(cell=self.cell)
        self.transfers = transfers.Transfers(
            cell=self.cell, owned_shards=self.owned_shards
        )
        self.entries: dict[members.NodeId, members.Address] = {}
        self.dropped_until_ms: dict[int, int] = {}
        self.pending_releases: dict[str, int] = {}
        self.announced: dict[int, Announcement] = {}

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the message types of the ownership protocol."""
        return (
            messages.PromiseRequest,
            messages.PromiseReply,
            messages.OwnerAnnounce,
            messages.TakeOverRequest,
            messages.HandOverAck,
        )

    # Queries of the coordinator.

    def check_id(self, work_id: str, now: core.Instant) -> id_checks.IdCheck:
        """Check ``work_id`` and record its time if this process accepts it."""
        del now
        count = self.cell.config.shard_count
        shard = ids.shard_of(work_id, shard_count=count)
        time_ms = ids.time_ms(work_id)
        if time_ms <= self.dropped_until_ms.get(shard, 0):
            if self.owned_shards.intervals_of(shard):
                return id_checks.IdCheck(
                    kind=id_checks.IdCheckKind.EARLIER, shard=shard
                )
        for held in self.owned_shards.intervals_of(shard):
            if held.covers(time_ms):
                held.highest_accepted_ms = max(
                    held.highest_accepted_ms, time_ms
                )
                return id_checks.IdCheck(
                    kind=id_checks.IdCheckKind.ACCEPT, shard=shard
                )
        current = self.owned_shards.current.get(shard)
        if current is None:
            return self.check_unowned(shard, time_ms)
        if time_ms <= current.floor_ms:
            return self.check_below_floor(current.row, time_ms)
        if current.frozen:
            return id_checks.IdCheck(
                kind=id_checks.IdCheckKind.NOT_OWNER, shard=shard
            )
        return id_checks.IdCheck(
            kind=id_checks.IdCheckKind.AHEAD,
            shard=shard,
            ahead_ms=time_ms - current.ceiling_ms,
        )

    def check_unowned(self, shard: int, time_ms: int) -> id_checks.IdCheck:
        """Check an id of a shard that this process does not own."""
        row = self.cell.rows.get(shard)
        if row is None:
            return id_checks.IdCheck(
                kind=id_checks.IdCheckKind.UNKNOWN, shard=shard
            )
        if time_ms <= row.current.floor_ms:
            return self.check_below_floor(row, time_ms)
        if row.current.owner == self.cell.member.node or row.closed:
            return id_checks.IdCheck(
                kind=id_checks.IdCheckKind.UNKNOWN, shard=shard
            )
        return id_checks.IdCheck(
            kind=id_checks.IdCheckKind.NOT_OWNER,
            shard=shard,
            interval=row.current,
        )

    def check_below_floor(
        self, row: shards.ShardRow, time_ms: int
    ) -> id_checks.IdCheck:
        """Check an id at or below the floor of ``row``."""
        covering = (i for i in row.earlier if i.covers(time_ms))
        return id_checks.IdCheck(
            kind=id_checks.IdCheckKind.EARLIER,
            shard=row.shard,
            interval=next(covering, None),
        )

    def extend_for(self, work_id: str, now: core.Instant) -> core.Actions:
        """Request promises to extend the interval to ``work_id``."""
        count = self.cell.config.shard_count
        shard = ids.shard_of(work_id, shard_count=count)
        if shard not in self.owned_shards.current:
            return []
        actions = self.owned_shards.request_promises(
            shard, ids.time_ms(work_id), now
        )
        return actions + self.announce_changes(now)

    def rows(self) -> tuple[shards.ShardRow, ...]:
        """Return the newest known row of each shard."""
        known = dict(self.cell.rows)
        for shard, held in self.owned_shards.current.items():
            known[shard] = held.row_to_announce()
        return tuple(known[shard] for shard in sorted(known))

    def announced_rows(self) -> tuple[shards.ShardRow, ...]:
        """Return the rows of owned shards as last announced."""
        return tuple(
            announced.row
            for shard, announced in self.announced.items()
            if shard in self.owned_shards.current
        )

    def owned(self) -> tuple[int, ...]:
        """Return the shards that this process owns and may extend."""
        return tuple(
            sorted(
                shard
                for shard, held in self.owned_shards.current.items()
                if not held.frozen
            )
        )

    def raise_floor(self, shard: int, floor_ms: int) -> None:
        """Report ids at or below ``floor_ms`` as ``EARLIER``.

        Their records may have been dropped.
        """
        self.dropped_until_ms[shard] = max(
            floor_ms, self.dropped_until_ms.get(shard, 0)
        )

    # Leaving.

    def begin_leave(self, now: core.Instant) -> core.Actions:
        """Start to transfer every shard to other members."""
        self.claims.leaving = True
        return self.transfers.begin_leave(now)

    def has_transferred_shards(self) -> bool:
        """Return whether every shard was transferred."""
        return (
            self.transfers.has_transferred_shards() and not self.claims.writes
        )

    def holds_intervals(self) -> bool:
        """Return whether only this process can accept some ids."""
        return bool(self.owned_shards.current or self.owned_shards.ended)

    def has_left(self) -> bool:
        """Return whether every shard and every record was transferred."""
        return self.transfers.has_left() and not self.claims.writes

    def hand_over(
        self, answers: tuple[work.Answer, ...], now: core.Instant
    ) -> core.Actions:
        """Send finished records to the new owners of their shards."""
        by_shard: dict[int, list[work.Answer]] = {}
        count = self.cell.config.shard_count
        for answer in answers:
            shard = ids.shard_of(answer.work_id, shard_count=count)
            by_shard.setdefault(shard, []).append(answer)
        for shard, group in by_shard.items():
            own_intervals = self.owned_shards.intervals_of(shard)
            epoch = max(
                (h.row.current.epoch for h in own_intervals), default=0
            )
            self.transfers.queue_hand_over(shard, tuple(group), epoch)
        return self.transfers.on_tick(now)

    def release(self, shard: int, now: core.Instant) -> core.Actions:
        """Read the row of a shard, to close it if its processes are gone.

        The operator has confirmed that they are. If one of them is a live
        member, the release is refused and the decision log says so.
        """
        del now
        return [
            core.ReadTable(
                tag=f"ownership:release:{shard}",
                keys=(shards.row_key(shard),),
            )
        ]

    def release_row(
        self, row: shards.ShardRow, version: int, now: core.Instant
    ) -> core.Actions:
        """Close a row that was just read, or log why not."""
        own = self.cell.member.node
        live = [
            str(node)
            for node in transfers.processes_to_confirm_gone(row, now.wall_ms)
            if node == own or self.cell.is_live(node)
        ]
        if live or row.closed:
            reason = (
                f"shard {row.shard} is not released: "
                f"{', '.join(live)} still live; stop them first"
            )
            if row.closed:
                reason = (
                    f"shard {row.shard} is closed already; it needs no release"
                )
            return [
                core.LogDecision(
                    kind="release", choice="refused", reason=reason
                )
            ]
        closed = transfers.close_for_release(
            row, wall_ms=now.wall_ms, write_id=self.cell.new_write_id()
        )
        tag = f"ownership:write:{row.shard}:{closed.write_id}"
        self.pending_releases[closed.write_id] = row.shard
        return [
            core.WriteTable(
                tag=tag,
                key=shards.row_key(row.shard),
                expected_version=version,
                value=rows.encode(closed),
            ),
        ]

    # Events.

    def on_config(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Store the configuration, which gives the shard and cell counts."""
        del now
        if config.version >= self.cell.config.version:
            self.cell.config = config
        return []

    def on_members(
        self, view: tuple[members.Member, ...], now: core.Instant
    ) -> core.Actions:
        """Store the view of the live members."""
        self.cell.set_view(view, now)
        return []

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Extend, claim, transfer and announce what is due."""
        self.cell.note_presence(now)
        others = tuple(
            shard
            for shard in self.cell.cell_shards()
            if shard not in self.owned_shards.current
        )
        actions = self.owned_shards.on_tick(now)
        actions += self.claims.on_tick(others, now)
        actions += self.transfers.on_tick(now)
        return actions + self.announce_changes(now)

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a message of the ownership protocol."""
        self.cell.note_heard(sender, now)
        match message:
            case messages.PromiseRequest():
                return self.on_promise_request(sender, message, now)
            case messages.PromiseReply():
                self.owned_shards.on_promise(message, sender, now)
                return self.announce_changes(now)
            case messages.OwnerAnnounce():
                self.store_row(message.row)
            case messages.TakeOverRequest():
                return self.claims.on_take_over_request(message, sender)
            case messages.HandOverAck():
                return self.transfers.on_ack(message, now)
        return []

    def on_promise_request(
        self,
        sender: members.NodeId,
        request: messages.PromiseRequest,
        now: core.Instant,
    ) -> core.Actions:
        """Grant or refuse a promise; reply also to a replaced owner."""
        known = self.cell.rows.get(request.shard)
        owner = None
        if known is not None and known.current.epoch == request.epoch:
            owner = known.current.owner
        reply = self.promised_floors.answer(
            request,
            sender=sender,
            owner=owner,
            is_writing=self.claims.is_writing(request.shard),
            now=now,
        )
        address = self.address_of(sender, known)
        if address is None:
            return []
        return [core.Send(to=sender, address=address, message=reply)]

    def address_of(
        self, node: members.NodeId, row: shards.ShardRow | None
    ) -> members.Address | None:
        """Return the address of a member, or of a process in ``row``."""
        for member in self.cell.view:
            if member.node == node:
                return member.address
        if row is None:
            return None
        earlier = (i for i in row.earlier if i.owner == node)
        interval = next(earlier, None)
        if interval is not None:
            return interval.address
        peers = (p for p in rows.owner_and_successors(row) if p.node == node)
        peer = next(peers, None)
        return None if peer is None else peer.address

    def on_probe(
        self, reply: core.ProbeReply, now: core.Instant
    ) -> core.Actions:
        """Read the rows that a failed probe allows this process to claim."""
        self.cell.on_probe(reply, now)
        if not self.cell.has_failed_probe(reply.to, now):
            return []
        return [
            claims.read_row(shard)
            for shard in self.cell.cell_shards()
            if shard in self.cell.rows
            and shard not in self.owned_shards.current
            and self.claims.claim_reason(self.cell.rows[shard], now)
            is not None
        ]

    def on_table_read(
        self, reply: core.TableReadReply, now: core.Instant
    ) -> core.Actions:
        """Use the rows read to resolve writes, and claim or release shards."""
        if reply.error is not None:
            return []
        found: dict[int, tuple[shards.ShardRow | None, int]] = {}
        for table_row in reply.rows:
            shard = int(table_row.key.rpartition("/")[2])
            found[shard] = (decode_row(table_row), table_row.version)
        if reply.tag == "ownership:rows":
            for shard in self.cell.cell_shards():
                found.setdefault(shard, (None, 0))
        actions: core.Actions = []
        for shard, (row, version) in found.items():
            is_release = reply.tag.startswith("ownership:release:")
            if is_release and row is not None:
                actions += self.release_row(row, version, now)
            elif not is_release:
                actions += self.on_row(shard, row, version, now)
        return actions + self.announce_changes(now)

    def on_row(
        self,
        shard: int,
        row: shards.ShardRow | None,
        version: int,
        now: core.Instant,
    ) -> core.Actions:
        """Handle one row that was read."""
        if row is None and version > 0:
            return []
        if row is not None:
            self.store_row(row)
        if shard in self.owned_shards.current:
            return self.owned_shards.on_row_read(shard, row, version, now)
        if self.claims.is_writing(shard):
            actions, is_own = self.claims.on_row_read(row, version, shard)
            if is_own and row is not None:
                return actions + self.become_owner(row, version, now)
            return actions
        if shard not in self.cell.cell_shards():
            return []
        return self.claims.claim_if_allowed(shard, row, version, now)

    def on_table_written(
        self, reply: core.TableWriteReply, now: core.Instant
    ) -> core.Actions:
        """Handle the reply to a write of a row."""
        shard = int(reply.key.rpartition("/")[2])
        write_id = reply.tag.split(":", 3)[3]
        if write_id in self.pending_releases:
            return self.on_released(reply, self.pending_releases.pop(write_id))
        claim = self.claims.writes.get(shard)
        actions: core.Actions = []
        if claim is not None and claim.row.write_id == write_id:
            actions, row = self.claims.on_written(reply, shard)
            if row is not None:
                actions += self.become_owner(row, reply.version, now)
        held = self.owned_shards.current.get(shard)
        pending = None if held is None else held.pending_write
        if pending is not None and pending.row.write_id == write_id:
            actions = self.owned_shards.on_written(reply, shard, now)
        return actions + self.announce_changes(now)

    def on_released(
        self, reply: core.TableWriteReply, shard: int
    ) -> core.Actions:
        """Log the outcome of a release."""
        reason = f"shard {shard} is released"
        choice = "released"
        if reply.error is not None:
            choice = "not released"
            reason = (
                f"shard {shard}: release failed "
                f"({reply.error.failure.value}); release it again"
            )
        return [core.LogDecision(kind="release", choice=choice, reason=reason)]

    # Rows.

    def store_row(self, row: shards.ShardRow) -> None:
        """Store a row that was read or announced.

        A newer epoch ends the interval of this process and drops a take-over
        request.
        """
        self.promised_floors.note_epoch(row.shard, row.current.epoch)
        self.cell.update_row(row)
        held = self.owned_shards.current.get(row.shard)
        if held is not None:
            if row.current.epoch > held.row.current.epoch:
                self.owned_shards.end(row.shard)
        request = self.claims.take_over_requests.get(row.shard)
        if request is not None and request.epoch < row.current.epoch:
            del self.claims.take_over_requests[row.shard]

    def become_owner(
        self, row: shards.ShardRow, version: int, now: core.Instant
    ) -> core.Actions:
        """Start the interval of a row that this process wrote."""
        self.store_row(row)
        self.claims.unowned_since_s.pop(row.shard, None)
        return self.owned_shards.become_owner(row, version, now)

    def announce_changes(self, now: core.Instant) -> core.Actions:
        """Announce rows that changed or whose announcement is due again."""
        actions: core.Actions = []
        for shard, held in self.owned_shards.current.items():
            last = self.announced.get(shard)
            if last is None or last.is_due(held.row, now):
                shown = held.row_to_announce()
                self.cell.update_row(shown)
                last = Announcement(
                    row=shown, sent_at=now, repeated_s=now.mono_s
                )
                self.announced[shard] = last
                actions += self.announce(last, self.announce_targets())
            elif now.mono_s - last.repeated_s >= REPEAT_INTERVAL_S:
                last.repeated_s = now.mono_s
                actions += self.announce_again(last, held)
        return actions

    def announce_targets(self) -> dict[members.NodeId, members.Address]:
        """Return the entries and members that must know the owners."""
        found = dict(self.entries)
        found.update((m.node, m.address) for m in self.cell.view)
        found.pop(self.cell.member.node, None)
        return found

    def announce_again(
        self, last: "Announcement", held: intervals.HeldInterval
    ) -> core.Actions:
        """Announce to the successors and to targets not notified yet."""
        found = {
            node: address
            for node, address in self.announce_targets().items()
            if node not in last.notified
        }
        for successor in held.successors():
            found[successor.node] = successor.address
        return self.announce(last, found)

    def announce(
        self,
        last: "Announcement",
        targets: dict[members.NodeId, members.Address],
    ) -> core.Actions:
        """Send an announcement to ``targets``."""
        message = messages.OwnerAnnounce(row=last.row)
        last.notified.update(targets)
        return [
            core.Send(to=node, address=address, message=message)
            for node, address in targets.items()
        ]


@dataclasses.dataclass(kw_only=True)
class Announcement:
    """The last announcement of a shard, and who was notified."""

    row: shards.ShardRow
    sent_at: core.Instant
    repeated_s: float
    notified: set[members.NodeId] = dataclasses.field(default_factory=set)

    def is_due(self, row: shards.ShardRow, now: core.Instant) -> bool:
        """Return whether ``row`` must be announced to all targets now.

        A higher ceiling alone needs no announcement: an id above the announced
        ceiling belongs to the owner of the row until the row is closed.
        """
        if now.mono_s - self.sent_at.mono_s >= ANNOUNCE_INTERVAL_S:
            return True
        if row.write_id != self.row.write_id:
            return True
        return row.closed != self.row.closed


def decode_row(table_row: core.TableRow) -> shards.ShardRow | None:
    """Return the row, or ``None`` if it is missing or unreadable."""
    if table_row.version == 0:
        return None
    try:
        return rows.decode(table_row.value)
    except json_input.MALFORMED:
        return None
