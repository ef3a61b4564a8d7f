"""Members of a cell: joining, heartbeats, suspicion and death."""

import collections.abc
import dataclasses
import random

from _jasminewind import configuration
from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import load_codec
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.decisions import peers
from _jasminewind.decisions import cell_reporter
from _jasminewind.messages import configuration as config_messages
from _jasminewind.messages import membership
from _jasminewind.messages import ownership

HEARTBEAT_PERIOD_S = 2.0
SUSPECT_AFTER_S = 5.0
DEAD_AFTER_S = 10.0
FORGET_AFTER_S = 60.0
HELD_SUSPECT_S = 60.0
SHRINK_WINDOW_S = 10.0
SHRINK_SHARE = 1 / 3
JOIN_RETRY_S = 1.0
REPROBE_PERIOD_S = 2.0
# Dead and unheard peers are tried rarely: often enough that a partition
# heals within seconds, rare enough to cost nothing for real deaths.
TRY_PERIOD_S = 10.0
# Members compare the hash of their views with one random peer, so that two
# sides of a healed partition learn each other completely.
EXCHANGE_PERIOD_S = 10.0
# Reporters also compare with an entry, which sees both sides of a split.
ENTRY_EXCHANGE_PERIOD_S = 30.0
# News of unknown members often comes with more, after a restart of
# everything or a partition; for a while, views are compared often.
NEWS_LASTS_S = 6.0
NEWS_EXCHANGE_PERIOD_S = 1.0
RECORD_REQUEST_PERIOD_S = 1.0


class Membership(core.StateMachine):
    """View that one agent has of its cell."""

    def __init__(
        self,
        *,
        member: members.Member,
        seeds: tuple[members.Address, ...],
        rng: random.Random,
    ) -> None:
        self.member = member
        self.seeds = seeds
        self.rng = rng
        self.cell_count = 1
        self.config_version = member.config_version
        self.peers: dict[str, peers.Peer] = {}
        self.names_by_address: dict[members.Address, str] = {}
        self.entries: dict[str, members.Contact] = {}
        self.gone: dict[members.NodeId, float] = {}
        self.welcomed = False
        self.next_join_s = 0.0
        self.news_until_s = 0.0
        self.exchanged_s = 0.0
        self.entry_exchanged_s = 0.0
        self.reporter = cell_reporter.Reporter(node=member.node)
        self.cached_view: tuple[members.Member, ...] | None = None
        self.judged_view: tuple[members.Member, ...] | None = None
        self.reports = False

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the messages about members and shard owners."""
        return (
            membership.Join,
            membership.Welcome,
            membership.Heartbeat,
            membership.Beat,
            membership.RecordRequest,
            membership.Leave,
            membership.DigestRequest,
            ownership.OwnerAnnounce,
            config_messages.ConfigBeacon,
        )

    # Views

    def cell(self) -> int:
        """Return the cell of this agent."""
        return cells.cell_of(self.member.node.name, cell_count=self.cell_count)

    def view(self) -> tuple[members.Member, ...]:
        """Return this agent and the members of its cell, by name.

        Suspects are included and marked. The same object is returned as
        long as nothing has changed.
        """
        if self.cached_view is None:
            records = [self.member]
            for peer in self.peers.values():
                if peer.in_view():
                    records.append(self._marked(peer))
            records.sort(key=lambda m: m.node)
            self.cached_view = tuple(records)
        return self.cached_view

    def is_shrunk(self) -> bool:
        """Tell whether a sudden loss of members is held as suspicion."""
        return any(p.held for p in self.peers.values())

    def is_reporter(self) -> bool:
        """Tell whether this agent reports on its cell to the entries."""
        if self.judged_view is not self.view():
            self.judged_view = self.view()
            chosen = cells.reporters(self.cell(), self.judged_view)
            self.reports = any(m.node == self.member.node for m in chosen)
        return self.reports

    def contacts(self) -> tuple[members.Contact, ...]:
        """Return the registered entries that this agent knows."""
        return tuple(self.entries.values())

    # Events

    def update_self(
        self, member: members.Member, now: core.Instant
    ) -> core.Actions:
        """Take the agent's own new record and tell who must know."""
        before = self.member
        self.config_version = member.config_version
        if self._is_same_state(before, member):
            self.member = dataclasses.replace(member, sequence=before.sequence)
            if self.member != before:
                self.cached_view = None
            return []
        self.member = dataclasses.replace(member, sequence=before.sequence + 1)
        self.cached_view = None
        actions: core.Actions = []
        urgent = before.state != member.state
        for peer in self._heard():
            if urgent or peer.record.shards:
                actions += self._send_record(peer)
        return actions

    def merge_row(self, row: shards.ShardRow) -> None:
        """Remember a shard row, also one that this agent itself owns.

        Every member keeps the rows, so that any one of them can become a
        reporter without a gap.
        """
        self.reporter.merge_row(row)

    def begin_leave(self, now: core.Instant) -> core.Actions:
        """Tell every member at once that this agent takes no new work."""
        leaving = dataclasses.replace(self.member, state=members.State.LEAVING)
        return self.update_self(leaving, now)

    def end_leave(self, now: core.Instant) -> core.Actions:
        """Tell members and entries that this agent exits now."""
        message = membership.Leave(node=self.member.node)
        targets = [p.record for p in self._heard()]
        actions: core.Actions = [
            core.Send(to=m.node, address=m.address, message=message)
            for m in targets
        ]
        for entry in self.entries.values():
            actions.append(
                core.Send(
                    to=entry.node, address=entry.address, message=message
                )
            )
        return actions

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle one message from a member, a joining agent or an entry."""
        match message:
            case membership.Join():
                return self._on_join(sender, message, now)
            case membership.Welcome():
                return self._on_welcome(message, now)
            case membership.Heartbeat():
                return self._on_record(message.member, now)
            case membership.Beat():
                return self._on_beat(sender, message, now)
            case membership.RecordRequest():
                return self._on_record_request(sender)
            case membership.Leave():
                return self._on_leave(message.node, now)
            case membership.DigestRequest():
                return self._on_digest_request(sender, message)
            case ownership.OwnerAnnounce():
                self.merge_row(message.row)
                return []
            case config_messages.ConfigBeacon():
                self._learn_entries(message.entries)
                return []
        return []

    def on_config(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Move to another cell when the number of cells has changed."""
        self.config_version = max(self.config_version, config.version)
        self._set_cell_count(config.cell_count)
        return []

    def on_probe(
        self, reply: core.ProbeReply, now: core.Instant
    ) -> core.Actions:
        """Take a successful probe as a sign of life."""
        peer = self._peer(reply.to)
        if peer is None or reply.found is None:
            return []
        if reply.found == reply.to:
            if peer.in_view():
                self._heard_from(peer, now)
            return []
        # Another process at the address replaces the earlier one.
        return self._bury(peer, now, reason="replaced at its address")

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Send what is due and judge the silence of every peer."""
        actions: core.Actions = []
        for peer in list(self.peers.values()):
            actions += self._judge(peer, now)
        actions += self._beat(now)
        actions += self._join(now)
        actions += self._exchange(now)
        if self.is_reporter():
            actions += self.reporter.on_tick(
                cell=self.cell(),
                records=self.view(),
                entries=self.contacts(),
                now=now,
            )
        self._forget_gone(now)
        return actions

    # Joining

    def _join(self, now: core.Instant) -> core.Actions:
        if self.welcomed or now.mono_s < self.next_join_s:
            return []
        self.next_join_s = now.mono_s + JOIN_RETRY_S * (1 + self.rng.random())
        return self._join_seed()

    def _join_seed(self) -> core.Actions:
        addresses = [a for a in self.seeds if a != self.member.address]
        if not addresses:
            return []
        address = self.rng.choice(addresses)
        return [
            core.Send(
                to=members.UNNAMED, address=address, message=self._join_msg()
            )
        ]

    def _join_msg(self) -> membership.Join:
        # Hash 0 differs from every view, so that an answer is certain.
        view_hash = self._names_hash() if self.welcomed else 0
        return membership.Join(member=self.member, view_hash=view_hash)

    def _on_join(
        self,
        sender: members.NodeId,
        message: membership.Join,
        now: core.Instant,
    ) -> core.Actions:
        record = message.member
        actions = self._on_record(record, now)
        same = message.view_hash == self._names_hash()
        if same and record.node.name in self.peers:
            return actions
        records = self.view() if self._in_cell(record) else ()
        welcome = membership.Welcome(
            cell=cells.cell_of(record.node.name, cell_count=self.cell_count),
            cell_count=self.cell_count,
            records=records,
            entries=self.contacts(),
        )
        actions.append(
            core.Send(to=sender, address=record.address, message=welcome)
        )
        return actions

    def _on_welcome(
        self, message: membership.Welcome, now: core.Instant
    ) -> core.Actions:
        self._learn_entries(message.entries)
        if self.config_version == 0:
            self._set_cell_count(message.cell_count)
        if not self.welcomed:
            # Others may have joined at another entry in the same moment.
            self.welcomed = True
            self.news_until_s = now.mono_s + NEWS_LASTS_S
        actions: core.Actions = []
        for record in message.records:
            actions += self._on_hearsay(record, now)
        return actions

    def _learn_entries(
        self, entries: collections.abc.Iterable[members.Contact]
    ) -> None:
        known = {c.node.name: c for c in entries}
        if known:
            self.entries = known

    def _exchange(self, now: core.Instant) -> core.Actions:
        """Compare views with a random member, and with an entry."""
        actions: core.Actions = []
        if self._is_due(self.exchanged_s, EXCHANGE_PERIOD_S, now):
            self.exchanged_s = now.mono_s
            alive = [
                p.record
                for p in self.peers.values()
                if p.health is peers.Health.ALIVE
            ]
            if alive:
                record = self.rng.choice(alive)
                actions.append(self._send(record, self._join_msg()))
        if not self.is_reporter():
            return actions
        if self._is_due(self.entry_exchanged_s, ENTRY_EXCHANGE_PERIOD_S, now):
            self.entry_exchanged_s = now.mono_s
            actions += self._ask_entry()
        return actions

    def _is_due(
        self, last_s: float, period_s: float, now: core.Instant
    ) -> bool:
        if now.mono_s < self.news_until_s or not self.peers:
            period_s = NEWS_EXCHANGE_PERIOD_S
        # One tick in a few, so that the members do not act in step.
        late = now.mono_s - last_s >= period_s
        return late and self.rng.random() < 2 * self.TICK_S

    def _ask_entry(self) -> core.Actions:
        """Join again at a known entry, or at a seed in case all are new."""
        entries = list(self.entries.values())
        if entries and self.rng.random() < 0.75:
            return [self._send(self.rng.choice(entries), self._join_msg())]
        return self._join_seed()

    # Records

    def _on_record(
        self, record: members.Member, now: core.Instant
    ) -> core.Actions:
        """Take a record that its own process has sent."""
        if not self._acceptable(record):
            return []
        actions = self._replace_older(record, now)
        peer = self.peers.get(record.node.name)
        if peer is None:
            peer = self._add(record, now, health=peers.Health.ALIVE)
            return actions + self._send_record(peer)
        was_heard = peer.health is peers.Health.ALIVE
        if record.sequence >= peer.record.sequence:
            load = record.load
            if load.sequence < peer.record.load.sequence:
                load = peer.record.load
            fresh = dataclasses.replace(record, suspect=False, load=load)
            if fresh != peer.record:
                peer.record = fresh
                self.cached_view = None
        self._heard_from(peer, now)
        return actions if was_heard else actions + self._send_record(peer)

    def _on_hearsay(
        self, record: members.Member, now: core.Instant
    ) -> core.Actions:
        """Take a record that another member or an entry has told."""
        if not self._acceptable(record):
            return []
        known = self.peers.get(record.node.name)
        if known and known.node.incarnation >= record.node.incarnation:
            return []
        actions = self._replace_older(record, now)
        clean = dataclasses.replace(record, suspect=False)
        peer = self._add(clean, now, health=peers.Health.UNHEARD)
        return actions + self._send_record(peer)

    def _on_beat(
        self,
        sender: members.NodeId,
        beat: membership.Beat,
        now: core.Instant,
    ) -> core.Actions:
        if sender in self.gone:
            return []
        peer = self._peer(sender)
        if peer is None:
            return self._ask_unknown(sender)
        self._heard_from(peer, now)
        load = load_codec.unpack(beat.load) if beat.load else None
        if load and load.sequence > peer.record.load.sequence:
            peer.record = dataclasses.replace(peer.record, load=load)
            self.cached_view = None
        if beat.config > peer.record.config_version:
            peer.record = dataclasses.replace(
                peer.record, config_version=beat.config
            )
            self.cached_view = None
        behind = peer.record.sequence < beat.seq
        if behind and now.mono_s - peer.asked_s >= RECORD_REQUEST_PERIOD_S:
            peer.asked_s = now.mono_s
            return [self._send(peer.record, membership.RecordRequest())]
        return []

    def _ask_unknown(self, sender: members.NodeId) -> core.Actions:
        """Ask a process that was forgotten here for its record."""
        known = self.peers.get(sender.name)
        if known and known.node > sender:
            return []
        return [
            core.Send(
                to=sender,
                address=members.NO_ADDRESS,
                message=membership.RecordRequest(),
            )
        ]

    def _acceptable(self, record: members.Member) -> bool:
        if record.role is not members.Role.AGENT:
            return False
        if record.node.name == self.member.node.name:
            return False
        if record.address == self.member.address:
            return False
        if not self._in_cell(record) or record.node in self.gone:
            return False
        return not any(
            p.node.incarnation > record.node.incarnation
            for p in self._rivals(record)
        )

    def _in_cell(self, record: members.Member) -> bool:
        cell = cells.cell_of(record.node.name, cell_count=self.cell_count)
        return cell == self.cell()

    def _replace_older(
        self, record: members.Member, now: core.Instant
    ) -> core.Actions:
        """Bury earlier incarnations at the name or address of ``record``."""
        actions: core.Actions = []
        for peer in self._rivals(record):
            if peer.node.incarnation < record.node.incarnation:
                actions += self._bury(peer, now, reason="was replaced")
                self._drop(peer)
        return actions

    def _rivals(self, record: members.Member) -> list[peers.Peer]:
        """Return other processes known at the name or the address."""
        found = [self.peers.get(record.node.name)]
        name = self.names_by_address.get(record.address)
        if name != record.node.name:
            found.append(self.peers.get(name or ""))
        return [p for p in found if p and p.node != record.node]

    def _drop(self, peer: peers.Peer) -> None:
        if self.peers.pop(peer.node.name, None) is None:
            return
        address = peer.record.address
        if self.names_by_address.get(address) == peer.node.name:
            del self.names_by_address[address]

    def _add(
        self,
        record: members.Member,
        now: core.Instant,
        *,
        health: peers.Health,
    ) -> peers.Peer:
        slot_s = self.rng.random() * HEARTBEAT_PERIOD_S
        peer = peers.Peer(
            record=record,
            health=health,
            heard_s=now.mono_s,
            slot_s=slot_s,
            next_beat_s=now.mono_s + slot_s,
            next_try_s=now.mono_s + TRY_PERIOD_S,
            since_s=now.mono_s,
        )
        self.peers[record.node.name] = peer
        self.names_by_address[record.address] = record.node.name
        self.news_until_s = now.mono_s + NEWS_LASTS_S
        self.cached_view = None
        return peer

    # Life and death

    def _heard_from(self, peer: peers.Peer, now: core.Instant) -> None:
        peer.heard_s = now.mono_s
        if peer.health is not peers.Health.ALIVE:
            peer.health = peers.Health.ALIVE
            peer.since_s = now.mono_s
            peer.next_beat_s = now.mono_s + peer.slot_s
            peer.load_sent = -1
            self.cached_view = None
        peer.held = False

    def _judge(self, peer: peers.Peer, now: core.Instant) -> core.Actions:
        silence_s = now.mono_s - peer.heard_s
        match peer.health:
            case peers.Health.ALIVE:
                if silence_s >= SUSPECT_AFTER_S:
                    return self._suspect(peer, now)
            case peers.Health.SUSPECT:
                return self._judge_suspect(peer, silence_s, now)
            case peers.Health.DEAD | peers.Health.UNHEARD:
                if now.mono_s - peer.since_s >= FORGET_AFTER_S:
                    self._drop(peer)
                elif now.mono_s >= peer.next_try_s:
                    peer.next_try_s = now.mono_s + TRY_PERIOD_S
                    return self._send_record(peer)
        return []

    def _suspect(self, peer: peers.Peer, now: core.Instant) -> core.Actions:
        peer.health = peers.Health.SUSPECT
        peer.since_s = now.mono_s
        peer.next_try_s = now.mono_s + REPROBE_PERIOD_S
        self.cached_view = None
        return [
            core.Probe(to=peer.node, address=peer.record.address),
            self._log(peer, "suspect", f"silent for {SUSPECT_AFTER_S:g} s"),
        ]

    def _judge_suspect(
        self, peer: peers.Peer, silence_s: float, now: core.Instant
    ) -> core.Actions:
        if silence_s >= DEAD_AFTER_S and not peer.held:
            peer.held = self._is_sudden_shrink(peer)
        limit_s = HELD_SUSPECT_S if peer.held else DEAD_AFTER_S
        if silence_s >= limit_s:
            return self._bury(peer, now, reason=f"silent for {limit_s:g} s")
        if now.mono_s >= peer.next_try_s:
            peer.next_try_s = now.mono_s + REPROBE_PERIOD_S
            return [core.Probe(to=peer.node, address=peer.record.address)]
        return []

    def _is_sudden_shrink(self, peer: peers.Peer) -> bool:
        """Tell whether many others fell silent when ``peer`` did."""
        total = len(self.view())
        silent = [
            p
            for p in self.peers.values()
            if p.health is peers.Health.SUSPECT
            and abs(p.heard_s - peer.heard_s) <= SHRINK_WINDOW_S
        ]
        return len(silent) > total * SHRINK_SHARE

    def _bury(
        self, peer: peers.Peer, now: core.Instant, *, reason: str
    ) -> core.Actions:
        if peer.health is peers.Health.DEAD:
            return []
        peer.health = peers.Health.DEAD
        peer.since_s = now.mono_s
        peer.next_try_s = now.mono_s + TRY_PERIOD_S
        peer.held = False
        self.cached_view = None
        return [self._log(peer, "dead", reason)]

    def _on_leave(
        self, node: members.NodeId, now: core.Instant
    ) -> core.Actions:
        # A heartbeat that arrives after the Leave must not revive it.
        self.gone[node] = now.mono_s
        peer = self._peer(node)
        if peer is None:
            return []
        actions = self._bury(peer, now, reason="left")
        self._drop(peer)
        return actions

    def _forget_gone(self, now: core.Instant) -> None:
        for node, since_s in list(self.gone.items()):
            if now.mono_s - since_s >= FORGET_AFTER_S:
                del self.gone[node]

    # Sending

    def _beat(self, now: core.Instant) -> core.Actions:
        actions: core.Actions = []
        for peer in self.peers.values():
            if not peer.in_view() or now.mono_s < peer.next_beat_s:
                continue
            peer.next_beat_s += HEARTBEAT_PERIOD_S
            if peer.next_beat_s <= now.mono_s:
                peer.next_beat_s = now.mono_s + HEARTBEAT_PERIOD_S
            actions.append(self._send(peer.record, self._beat_msg(peer)))
        return actions

    def _beat_msg(self, peer: peers.Peer) -> membership.Beat:
        load: tuple[float, ...] = ()
        mine = self.member.load
        # Only coordinators use the load of keepers.
        if peer.record.shards and peer.load_sent != mine.sequence:
            peer.load_sent = mine.sequence
            load = load_codec.pack(mine)
        return membership.Beat(
            seq=self.member.sequence,
            config=self.config_version,
            load=load,
        )

    def _send_record(self, peer: peers.Peer) -> core.Actions:
        return [
            self._send(peer.record, membership.Heartbeat(member=self.member))
        ]

    def _on_record_request(self, sender: members.NodeId) -> core.Actions:
        peer = self._peer(sender)
        address = peer.record.address if peer else members.NO_ADDRESS
        message = membership.Heartbeat(member=self.member)
        return [core.Send(to=sender, address=address, message=message)]

    def _on_digest_request(
        self, sender: members.NodeId, message: membership.DigestRequest
    ) -> core.Actions:
        if message.cell != self.cell():
            return []
        # The entry may have restarted since its contact was learned.
        known = self.entries.get(sender.name)
        address = known.address if known else members.NO_ADDRESS
        contact = members.Contact(node=sender, address=address)
        return self.reporter.full(
            cell=self.cell(), records=self.view(), entry=contact
        )

    # Helpers

    def _set_cell_count(self, cell_count: int) -> None:
        if cell_count == self.cell_count:
            return
        self.cell_count = cell_count
        self.cached_view = None
        self.welcomed = False
        for peer in list(self.peers.values()):
            if not self._in_cell(peer.record):
                self._drop(peer)

    def _names_hash(self) -> int:
        return cells.names_hash(m.node for m in self.view())

    def _heard(self) -> list[peers.Peer]:
        return [p for p in self.peers.values() if p.in_view()]

    def _peer(self, node: members.NodeId) -> peers.Peer | None:
        peer = self.peers.get(node.name)
        return peer if peer and peer.node == node else None

    def _marked(self, peer: peers.Peer) -> members.Member:
        if peer.health is not peers.Health.SUSPECT:
            return peer.record
        return dataclasses.replace(peer.record, suspect=True)

    def _is_same_state(
        self, before: members.Member, after: members.Member
    ) -> bool:
        return before == dataclasses.replace(
            after,
            load=before.load,
            config_version=before.config_version,
            sequence=before.sequence,
        )

    def _send(
        self, to: members.Member | members.Contact, message: object
    ) -> core.Send:
        return core.Send(to=to.node, address=to.address, message=message)

    def _log(
        self, peer: peers.Peer, choice: str, reason: str
    ) -> core.LogDecision:
        return core.LogDecision(
            kind="membership",
            choice=choice,
            candidates=(str(peer.node),),
            reason=f"{peer.node} {reason}",
        )
