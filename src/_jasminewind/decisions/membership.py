"""Cell membership of an agent: joining, heartbeats, failure detection."""

import collections.abc
import dataclasses
import random

from _jasminewind import configuration
from _jasminewind import members
from _jasminewind import shards
from _jasminewind.decisions import cell_reporter
from _jasminewind.decisions import cells
from _jasminewind.decisions import core
from _jasminewind.decisions import load_codec
from _jasminewind.decisions import peers
from _jasminewind.messages import configuration as config_messages
from _jasminewind.messages import membership
from _jasminewind.messages import ownership

HEARTBEAT_PERIOD_S = 2.0
SUSPECT_AFTER_S = 5.0
DEAD_AFTER_S = 10.0
FORGET_AFTER_S = 60.0
MASS_FAILURE_DEAD_AFTER_S = 60.0
MASS_FAILURE_WINDOW_S = 10.0
MASS_FAILURE_SHARE = 1 / 3
JOIN_RETRY_S = 1.0
REPROBE_PERIOD_S = 2.0
# Period of contacting dead and unconfirmed peers: short enough that a
# partition heals within seconds, long enough that dead peers cost nothing.
UNREACHABLE_RETRY_PERIOD_S = 10.0
# Period of comparing view hashes with one random peer, so that both sides of
# a healed partition learn all members of the other.
VIEW_EXCHANGE_PERIOD_S = 10.0
# Reporters also compare with an entry, which sees both sides of a partition.
ENTRY_EXCHANGE_PERIOD_S = 30.0
# After a restart of all processes or a partition, one unknown member is
# usually followed by more, so views are compared faster for this long.
FAST_EXCHANGE_S = 6.0
FAST_EXCHANGE_PERIOD_S = 1.0
RECORD_REQUEST_PERIOD_S = 1.0


class Membership(core.StateMachine):
    """One agent's view of its cell."""

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
        self.departed: dict[members.NodeId, float] = {}
        self.has_joined = False
        self.next_join_s = 0.0
        self.fast_exchange_until_s = 0.0
        self.last_exchange_s = 0.0
        self.last_entry_exchange_s = 0.0
        self.reporter = cell_reporter.Reporter(node=member.node)
        self.cached_view: tuple[members.Member, ...] | None = None
        self.reporter_checked_view: tuple[members.Member, ...] | None = None
        self.cached_is_reporter = False

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

        Suspects are included with ``suspect`` set. The same object is
        returned until the view changes.
        """
        if self.cached_view is None:
            records = [self.member]
            for peer in self.peers.values():
                if peer.in_view():
                    records.append(self._record_in_view(peer))
            records.sort(key=lambda m: m.node)
            self.cached_view = tuple(records)
        return self.cached_view

    def suspects_mass_failure(self) -> bool:
        """Return whether members lost together are kept as suspects."""
        return any(p.death_deferred for p in self.peers.values())

    def is_reporter(self) -> bool:
        """Return whether this agent reports on its cell to the entries."""
        if self.reporter_checked_view is not self.view():
            self.reporter_checked_view = self.view()
            chosen = cells.reporters(self.cell(), self.reporter_checked_view)
            self.cached_is_reporter = any(
                m.node == self.member.node for m in chosen
            )
        return self.cached_is_reporter

    def contacts(self) -> tuple[members.Contact, ...]:
        """Return the registered entries that this agent knows."""
        return tuple(self.entries.values())

    # Events

    def update_self(
        self, member: members.Member, now: core.Instant
    ) -> core.Actions:
        """Store the agent's own new record and send it to shard owners.

        A changed state is sent to every member.
        """
        before = self.member
        self.config_version = member.config_version
        if self._is_same_record(before, member):
            self.member = dataclasses.replace(member, sequence=before.sequence)
            if self.member != before:
                self.cached_view = None
            return []
        self.member = dataclasses.replace(member, sequence=before.sequence + 1)
        self.cached_view = None
        actions: core.Actions = []
        state_changed = before.state != member.state
        for peer in self._peers_in_view():
            if state_changed or peer.record.shards:
                actions += self._send_record(peer)
        return actions

    def merge_row(self, row: shards.ShardRow) -> None:
        """Store a shard row, also of a shard that this agent owns.

        Every member stores the rows, so that any of them can take over as
        reporter without missing one.
        """
        self.reporter.merge_row(row)

    def begin_leave(self, now: core.Instant) -> core.Actions:
        """Announce to every member that this agent accepts no new work."""
        leaving = dataclasses.replace(self.member, state=members.State.LEAVING)
        return self.update_self(leaving, now)

    def end_leave(self, now: core.Instant) -> core.Actions:
        """Announce to members and entries that this agent exits now."""
        message = membership.Leave(node=self.member.node)
        targets = [p.record for p in self._peers_in_view()]
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
        """Treat a successful probe like a heartbeat."""
        peer = self._peer(reply.to)
        if peer is None or reply.found is None:
            return []
        if reply.found == reply.to:
            if peer.in_view():
                self._heard_from(peer, now)
            return []
        # Another process listens at the address, so this peer has exited.
        return self._mark_dead(peer, now, reason="replaced at its address")

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Send due messages and check the liveness of every peer."""
        actions: core.Actions = []
        for peer in list(self.peers.values()):
            actions += self._check_peer(peer, now)
        actions += self._send_heartbeats(now)
        actions += self._join(now)
        actions += self._exchange(now)
        if self.is_reporter():
            actions += self.reporter.on_tick(
                cell=self.cell(),
                records=self.view(),
                entries=self.contacts(),
                now=now,
            )
        self._forget_departed(now)
        return actions

    # Joining

    def _join(self, now: core.Instant) -> core.Actions:
        if self.has_joined or now.mono_s < self.next_join_s:
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
                to=members.UNNAMED,
                address=address,
                message=self._join_message(),
            )
        ]

    def _join_message(self) -> membership.Join:
        # Hash 0 differs from every view hash and so forces a Welcome.
        view_hash = self._names_hash() if self.has_joined else 0
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
        if not self.has_joined:
            # Other agents may be joining at another entry right now.
            self.has_joined = True
            self.fast_exchange_until_s = now.mono_s + FAST_EXCHANGE_S
        actions: core.Actions = []
        for record in message.records:
            actions += self._on_gossip(record, now)
        return actions

    def _learn_entries(
        self, entries: collections.abc.Iterable[members.Contact]
    ) -> None:
        known = {c.node.name: c for c in entries}
        if known:
            self.entries = known

    def _exchange(self, now: core.Instant) -> core.Actions:
        """Compare views with a random member; reporters also ask an entry."""
        actions: core.Actions = []
        if self._is_due(self.last_exchange_s, VIEW_EXCHANGE_PERIOD_S, now):
            self.last_exchange_s = now.mono_s
            alive = [
                p.record
                for p in self.peers.values()
                if p.health is peers.Health.ALIVE
            ]
            if alive:
                record = self.rng.choice(alive)
                actions.append(self._send(record, self._join_message()))
        if not self.is_reporter():
            return actions
        if self._is_due(
            self.last_entry_exchange_s, ENTRY_EXCHANGE_PERIOD_S, now
        ):
            self.last_entry_exchange_s = now.mono_s
            actions += self._exchange_with_entry()
        return actions

    def _is_due(
        self, last_s: float, period_s: float, now: core.Instant
    ) -> bool:
        if now.mono_s < self.fast_exchange_until_s or not self.peers:
            period_s = FAST_EXCHANGE_PERIOD_S
        # Each tick acts with a probability of 0.2, so that the members do not
        # act in lockstep.
        is_overdue = now.mono_s - last_s >= period_s
        return is_overdue and self.rng.random() < 2 * self.TICK_S

    def _exchange_with_entry(self) -> core.Actions:
        """Send Join to a known entry or, in case all were replaced, a seed."""
        entries = list(self.entries.values())
        if entries and self.rng.random() < 0.75:
            return [self._send(self.rng.choice(entries), self._join_message())]
        return self._join_seed()

    # Records

    def _on_record(
        self, record: members.Member, now: core.Instant
    ) -> core.Actions:
        """Process a record that came from its own process."""
        if not self._is_acceptable(record):
            return []
        actions = self._remove_older(record, now)
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

    def _on_gossip(
        self, record: members.Member, now: core.Instant
    ) -> core.Actions:
        """Process a record relayed by another member or an entry."""
        if not self._is_acceptable(record):
            return []
        known = self.peers.get(record.node.name)
        if known and known.node.incarnation >= record.node.incarnation:
            return []
        actions = self._remove_older(record, now)
        clean = dataclasses.replace(record, suspect=False)
        peer = self._add(clean, now, health=peers.Health.UNCONFIRMED)
        return actions + self._send_record(peer)

    def _on_beat(
        self,
        sender: members.NodeId,
        beat: membership.Beat,
        now: core.Instant,
    ) -> core.Actions:
        if sender in self.departed:
            return []
        peer = self._peer(sender)
        if peer is None:
            return self._request_unknown_record(sender)
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
        if (
            behind
            and now.mono_s - peer.last_request_s >= RECORD_REQUEST_PERIOD_S
        ):
            peer.last_request_s = now.mono_s
            return [self._send(peer.record, membership.RecordRequest())]
        return []

    def _request_unknown_record(self, sender: members.NodeId) -> core.Actions:
        """Request the record of a sender that is not a known peer."""
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

    def _is_acceptable(self, record: members.Member) -> bool:
        if record.role is not members.Role.AGENT:
            return False
        if record.node.name == self.member.node.name:
            return False
        if record.address == self.member.address:
            return False
        if not self._in_cell(record) or record.node in self.departed:
            return False
        return not any(
            p.node.incarnation > record.node.incarnation
            for p in self._conflicting_peers(record)
        )

    def _in_cell(self, record: members.Member) -> bool:
        cell = cells.cell_of(record.node.name, cell_count=self.cell_count)
        return cell == self.cell()

    def _remove_older(
        self, record: members.Member, now: core.Instant
    ) -> core.Actions:
        """Remove older incarnations with the name or address of ``record``."""
        actions: core.Actions = []
        for peer in self._conflicting_peers(record):
            if peer.node.incarnation < record.node.incarnation:
                actions += self._mark_dead(
                    peer, now, reason="replaced by a newer process"
                )
                self._remove_peer(peer)
        return actions

    def _conflicting_peers(self, record: members.Member) -> list[peers.Peer]:
        """Return other known processes with the same name or address."""
        found = [self.peers.get(record.node.name)]
        name = self.names_by_address.get(record.address)
        if name != record.node.name:
            found.append(self.peers.get(name or ""))
        return [p for p in found if p and p.node != record.node]

    def _remove_peer(self, peer: peers.Peer) -> None:
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
        heartbeat_offset_s = self.rng.random() * HEARTBEAT_PERIOD_S
        peer = peers.Peer(
            record=record,
            health=health,
            last_heard_s=now.mono_s,
            heartbeat_offset_s=heartbeat_offset_s,
            next_heartbeat_s=now.mono_s + heartbeat_offset_s,
            next_retry_s=now.mono_s + UNREACHABLE_RETRY_PERIOD_S,
            health_since_s=now.mono_s,
        )
        self.peers[record.node.name] = peer
        self.names_by_address[record.address] = record.node.name
        self.fast_exchange_until_s = now.mono_s + FAST_EXCHANGE_S
        self.cached_view = None
        return peer

    # Failure detection

    def _heard_from(self, peer: peers.Peer, now: core.Instant) -> None:
        peer.last_heard_s = now.mono_s
        if peer.health is not peers.Health.ALIVE:
            peer.health = peers.Health.ALIVE
            peer.health_since_s = now.mono_s
            peer.next_heartbeat_s = now.mono_s + peer.heartbeat_offset_s
            peer.sent_load_sequence = -1
            self.cached_view = None
        peer.death_deferred = False

    def _check_peer(self, peer: peers.Peer, now: core.Instant) -> core.Actions:
        silence_s = now.mono_s - peer.last_heard_s
        match peer.health:
            case peers.Health.ALIVE:
                if silence_s >= SUSPECT_AFTER_S:
                    return self._suspect(peer, now)
            case peers.Health.SUSPECT:
                return self._check_suspect(peer, silence_s, now)
            case peers.Health.DEAD | peers.Health.UNCONFIRMED:
                if now.mono_s - peer.health_since_s >= FORGET_AFTER_S:
                    self._remove_peer(peer)
                elif now.mono_s >= peer.next_retry_s:
                    peer.next_retry_s = now.mono_s + UNREACHABLE_RETRY_PERIOD_S
                    return self._send_record(peer)
        return []

    def _suspect(self, peer: peers.Peer, now: core.Instant) -> core.Actions:
        peer.health = peers.Health.SUSPECT
        peer.health_since_s = now.mono_s
        peer.next_retry_s = now.mono_s + REPROBE_PERIOD_S
        self.cached_view = None
        return [
            core.Probe(to=peer.node, address=peer.record.address),
            self._log(peer, "suspect", f"silent for {SUSPECT_AFTER_S:g} s"),
        ]

    def _check_suspect(
        self, peer: peers.Peer, silence_s: float, now: core.Instant
    ) -> core.Actions:
        if silence_s >= DEAD_AFTER_S and not peer.death_deferred:
            peer.death_deferred = self._is_mass_failure(peer)
        limit_s = (
            MASS_FAILURE_DEAD_AFTER_S if peer.death_deferred else DEAD_AFTER_S
        )
        if silence_s >= limit_s:
            return self._mark_dead(
                peer, now, reason=f"silent for {limit_s:g} s"
            )
        if now.mono_s >= peer.next_retry_s:
            peer.next_retry_s = now.mono_s + REPROBE_PERIOD_S
            return [core.Probe(to=peer.node, address=peer.record.address)]
        return []

    def _is_mass_failure(self, peer: peers.Peer) -> bool:
        """Return whether many peers fell silent at the same time as ``peer``.

        That points to a fault of this agent or its network, which must not
        shift all load onto the few members that still answer.
        """
        total = len(self.view())
        silent = [
            p
            for p in self.peers.values()
            if p.health is peers.Health.SUSPECT
            and abs(p.last_heard_s - peer.last_heard_s)
            <= MASS_FAILURE_WINDOW_S
        ]
        return len(silent) > total * MASS_FAILURE_SHARE

    def _mark_dead(
        self, peer: peers.Peer, now: core.Instant, *, reason: str
    ) -> core.Actions:
        if peer.health is peers.Health.DEAD:
            return []
        peer.health = peers.Health.DEAD
        peer.health_since_s = now.mono_s
        peer.next_retry_s = now.mono_s + UNREACHABLE_RETRY_PERIOD_S
        peer.death_deferred = False
        self.cached_view = None
        return [self._log(peer, "dead", reason)]

    def _on_leave(
        self, node: members.NodeId, now: core.Instant
    ) -> core.Actions:
        # A heartbeat that arrives after the Leave is ignored.
        self.departed[node] = now.mono_s
        peer = self._peer(node)
        if peer is None:
            return []
        actions = self._mark_dead(peer, now, reason="left")
        self._remove_peer(peer)
        return actions

    def _forget_departed(self, now: core.Instant) -> None:
        for node, departed_s in list(self.departed.items()):
            if now.mono_s - departed_s >= FORGET_AFTER_S:
                del self.departed[node]

    # Sending

    def _send_heartbeats(self, now: core.Instant) -> core.Actions:
        actions: core.Actions = []
        for peer in self.peers.values():
            if not peer.in_view() or now.mono_s < peer.next_heartbeat_s:
                continue
            peer.next_heartbeat_s += HEARTBEAT_PERIOD_S
            if peer.next_heartbeat_s <= now.mono_s:
                peer.next_heartbeat_s = now.mono_s + HEARTBEAT_PERIOD_S
            actions.append(
                self._send(peer.record, self._heartbeat_message(peer))
            )
        return actions

    def _heartbeat_message(self, peer: peers.Peer) -> membership.Beat:
        load: tuple[float, ...] = ()
        own_load = self.member.load
        # Only coordinators, the owners of shards, use the load.
        if peer.record.shards and peer.sent_load_sequence != own_load.sequence:
            peer.sent_load_sequence = own_load.sequence
            load = load_codec.pack(own_load)
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
        # The sender may be a newer incarnation than the known contact.
        known = self.entries.get(sender.name)
        address = known.address if known else members.NO_ADDRESS
        contact = members.Contact(node=sender, address=address)
        return self.reporter.full_digest(
            cell=self.cell(), records=self.view(), entry=contact
        )

    # Helpers

    def _set_cell_count(self, cell_count: int) -> None:
        if cell_count == self.cell_count:
            return
        self.cell_count = cell_count
        self.cached_view = None
        self.has_joined = False
        for peer in list(self.peers.values()):
            if not self._in_cell(peer.record):
                self._remove_peer(peer)

    def _names_hash(self) -> int:
        return cells.names_hash(m.node for m in self.view())

    def _peers_in_view(self) -> list[peers.Peer]:
        return [p for p in self.peers.values() if p.in_view()]

    def _peer(self, node: members.NodeId) -> peers.Peer | None:
        peer = self.peers.get(node.name)
        return peer if peer and peer.node == node else None

    def _record_in_view(self, peer: peers.Peer) -> members.Member:
        if peer.health is not peers.Health.SUSPECT:
            return peer.record
        return dataclasses.replace(peer.record, suspect=True)

    def _is_same_record(
        self, before: members.Member, after: members.Member
    ) -> bool:
        """Compare records without the fields that a ``Beat`` carries."""
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
