"""Configuration at an entry: table reads, quorum checks, proposals."""

import random

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import json_input
from _jasminewind import members
from _jasminewind.decisions import cells
from _jasminewind.decisions import config_sync
from _jasminewind.decisions import confirmations
from _jasminewind.decisions import core
from _jasminewind.decisions import entry_registry
from _jasminewind.decisions import proposals
from _jasminewind.messages import configuration as config_messages

TAG = "config:"
READ_TAG = TAG + "read:"
REGISTRY_TAG = TAG + "registry"
PROPOSAL_TAG = TAG + "proposal:"
READ_PERIOD_S = 1.0
MAX_PENDING_READS = 3
FRESH_FOR_S = 2.0
# Other entries are asked only when this entry's own read is late, because
# asking 23 of them costs several KB/s.
ASK_PEERS_AFTER_S = 1.2
ASK_PEERS_PERIOD_S = 0.9
BEACON_PERIOD_S = 1.0
# The list of 24 entries takes 2 KB, so it is sent only when it changes and
# once a minute, for reporters that are new or missed it.
ENTRIES_PERIOD_S = 60.0
# Entries that send beacons to each cell. One suffices; three tolerate one
# entry that is partitioned and one that has just died.
ANNOUNCERS_PER_CELL = 3
# A single registered entry must not confirm itself: it could be partitioned
# while others register and change the configuration.
MIN_CONFIRMERS = 2


class EntryConfigSync(config_sync.ConfigSync):
    """Reads the row, writes proposals and announces versions to cells."""

    def __init__(self, *, member: members.Member, rng: random.Random) -> None:
        super().__init__(member=member, rng=rng)
        self.registry = entry_registry.Registry(
            member=member, tag=REGISTRY_TAG
        )
        self.confirmations = confirmations.Confirmations()
        self.pending_reads: dict[str, float] = {}
        self.next_tag = 1
        self.next_read_s = 0.0
        self.next_ask_s = 0.0
        self.next_beacon_s = 0.0
        self.next_entries_s = 0.0
        self.read_confirmed_s = float("-inf")
        self.acked_versions: dict[str, int] = {}
        self.pending_proposals: dict[str, proposals.PendingProposal] = {}
        self.view: tuple[members.Member, ...] = ()
        self.is_view_changed = False
        self.reporters: dict[int, tuple[members.Member, ...]] = {}
        self.addresses: dict[members.NodeId, members.Address] = {}
        self.announced_entries: tuple[members.Contact, ...] = ()

    # Queries

    def is_fresh(self, now: core.Instant) -> bool:
        """Return whether the version was confirmed within the last 2 s."""
        if self.config.version == 0:
            return False
        # Asked for each submission; the other entries rarely matter.
        if now.mono_s - self.read_confirmed_s <= FRESH_FOR_S:
            return self.registry.last_read_s is not None
        return now.mono_s - self.confirmed_s(now) <= FRESH_FOR_S

    def confirmed_s(self, now: core.Instant) -> float:
        """Return the latest time at which the version was the newest."""
        if self.registry.last_read_s is None:
            return float("-inf")
        others = frozenset(c.node.name for c in self.registry.other_contacts())
        by_peers = self.confirmations.confirmed_s(
            version=self.config.version,
            names=others,
            needed=self._quorum_size(now) - 1,
        )
        return max(self.read_confirmed_s, by_peers)

    def entries(self) -> tuple[members.Contact, ...]:
        """Return the registered entries, this one included."""
        return self.registry.contacts()

    def address_of(self, node: members.NodeId) -> members.Address:
        """Return the address of an entry or of a cell's reporter."""
        for contact in self.registry.contacts():
            if contact.node == node:
                return contact.address
        self._refresh_reporters()
        return self.addresses.get(node, members.NO_ADDRESS)

    def _quorum_size(self, now: core.Instant) -> int:
        """Return how many entries must confirm, this one included.

        When this entry's row may have expired, a majority of the others can
        form without it, so all entries must confirm.
        """
        if self.registry.may_have_expired(now):
            needed = len(self.registry.contacts())
        else:
            needed = self.registry.majority_size()
        return max(MIN_CONFIRMERS, needed)

    # Events

    def propose(
        self, ticket: int, change: proposals.Proposal, now: core.Instant
    ) -> core.Actions:
        """Start a proposal; it ends with a ``ProposalResult``."""
        tag = f"{PROPOSAL_TAG}{self.next_tag}"
        self.next_tag += 1
        pending = proposals.PendingProposal(
            ticket=ticket,
            tag=tag,
            proposal=change,
            deadline_s=now.mono_s + proposals.PROPOSAL_TIMEOUT_S,
        )
        self.pending_proposals[tag] = pending
        return [pending.read()]

    def on_members(
        self, view: tuple[members.Member, ...], now: core.Instant
    ) -> core.Actions:
        """Store the members of all cells, from which reporters are chosen."""
        self.view = view
        self.is_view_changed = True
        return []

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a push, a fetch, an acknowledgement or a beacon."""
        match message:
            case config_messages.ConfigPush():
                actions = self.apply(message.config, now)
                ack = config_messages.ConfigAck(version=self.config.version)
                return [*actions, self.send(sender, ack)]
            case config_messages.ConfigAck():
                return self._on_ack(sender, message, now)
            case config_messages.ConfigFetch():
                return self._on_fetch(sender, message, now)
            case config_messages.ConfigBeacon():
                return self.on_version_seen(sender, message.version, now)
        return []

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Read, confirm and announce the version; advance the proposals."""
        actions = self._read(now)
        actions += self.registry.on_tick(now)
        actions += self._ask_peers(now)
        actions += self._send_beacons(now)
        for pending in list(self.pending_proposals.values()):
            actions += self._advance(pending, now)
        return actions

    def on_table_read(
        self, reply: core.TableReadReply, now: core.Instant
    ) -> core.Actions:
        """Process the rows of a periodic read or of a proposal's read."""
        if reply.tag in self.pending_proposals:
            return self._on_proposal_read(
                self.pending_proposals[reply.tag], reply, now
            )
        began_s = self.pending_reads.pop(reply.tag, None)
        if began_s is None or reply.error is not None:
            return []
        actions = self.registry.on_read(reply.rows, now)
        found = _decode_config_row(reply)
        if found is None:
            return actions
        config, _ = found
        actions += self.apply(config, now)
        # No newer version existed when the read started.
        self.read_confirmed_s = max(self.read_confirmed_s, began_s)
        return actions

    def on_table_written(
        self, reply: core.TableWriteReply, now: core.Instant
    ) -> core.Actions:
        """Process the outcome of a registry write or a proposal's write."""
        pending = self.pending_proposals.get(reply.tag)
        if pending is not None:
            return self._on_proposal_written(pending, reply, now)
        self.registry.on_written(reply, now)
        return []

    def on_applied(self, now: core.Instant) -> core.Actions:
        """Push to the first reporter of each cell.

        Only the first announcer of a cell does so.
        """
        self.acked_versions[self.member.node.name] = self.config.version
        self._find_reporters()
        actions: core.Actions = []
        for cell, chosen in self.reporters.items():
            if chosen and self._announcers(cell)[0] == self.member.node.name:
                actions.append(self.push(chosen[0].node))
        return actions

    # Reading and confirming

    def _read(self, now: core.Instant) -> core.Actions:
        if now.mono_s < self.next_read_s:
            return []
        self.next_read_s = now.mono_s + READ_PERIOD_S
        for tag in sorted(self.pending_reads)[: 1 - MAX_PENDING_READS]:
            del self.pending_reads[tag]
        tag = f"{READ_TAG}{self.next_tag:012d}"
        self.next_tag += 1
        self.pending_reads[tag] = now.mono_s
        return [
            core.ReadTable(
                tag=tag,
                keys=(configuration.CONFIG_KEY,),
                prefix=entry_registry.KEY_PREFIX,
            )
        ]

    def _ask_peers(self, now: core.Instant) -> core.Actions:
        if self.registry.last_read_s is None or now.mono_s < self.next_ask_s:
            return []
        if now.mono_s - self.read_confirmed_s < ASK_PEERS_AFTER_S:
            return []
        self.next_ask_s = now.mono_s + ASK_PEERS_PERIOD_S
        nonce = self.confirmations.start_round(self.config.version, now.mono_s)
        message = config_messages.ConfigFetch(
            have_version=self.config.version, nonce=nonce
        )
        return [
            core.Send(to=c.node, address=c.address, message=message)
            for c in self.registry.other_contacts()
        ]

    def _on_fetch(
        self,
        sender: members.NodeId,
        message: config_messages.ConfigFetch,
        now: core.Instant,
    ) -> core.Actions:
        if message.have_version < self.config.version:
            actions: core.Actions = [self.push(sender)]
        else:
            actions = self.on_version_seen(sender, message.have_version, now)
        if message.nonce:
            # Before a restart this entry may have acknowledged a higher
            # version, so it must confirm none before its first read.
            if self.registry.last_read_s is None:
                return actions
            ack = config_messages.ConfigAck(
                version=self.config.version, nonce=message.nonce
            )
            return [*actions, self.send(sender, ack)]
        return [*actions, self.send(sender, self._beacon_message(now))]

    def _on_ack(
        self,
        sender: members.NodeId,
        message: config_messages.ConfigAck,
        now: core.Instant,
    ) -> core.Actions:
        known = self.acked_versions.get(sender.name, 0)
        self.acked_versions[sender.name] = max(known, message.version)
        self.confirmations.add(sender, message.version, message.nonce)
        actions = self.on_version_seen(sender, message.version, now)
        if message.version < self.config.version and message.nonce:
            actions.append(self.push(sender))
        for pending in list(self.pending_proposals.values()):
            if pending.stage is proposals.Stage.PROPAGATING:
                actions += self._finish_if_accepted(pending)
        return actions

    # Beacons to the cells

    def _send_beacons(self, now: core.Instant) -> core.Actions:
        if now.mono_s < self.next_beacon_s or self.config.version == 0:
            return []
        self.next_beacon_s = now.mono_s + BEACON_PERIOD_S
        contacts = self.registry.contacts()
        announces_entries = (
            contacts != self.announced_entries
            or now.mono_s >= self.next_entries_s
        )
        if announces_entries:
            self.announced_entries = contacts
            self.next_entries_s = now.mono_s + ENTRIES_PERIOD_S
        message = self._beacon_message(
            now, contacts if announces_entries else ()
        )
        actions: core.Actions = []
        self._refresh_reporters()
        for cell, chosen in self.reporters.items():
            if self.member.node.name not in self._announcers(cell):
                continue
            for reporter in chosen:
                actions.append(self.send(reporter.node, message))
        return actions

    def _beacon_message(
        self,
        now: core.Instant,
        contacts: tuple[members.Contact, ...] = (),
    ) -> config_messages.ConfigBeacon:
        fresh = self.is_fresh(now)
        age_s = now.mono_s - self.confirmed_s(now) if fresh else 0.0
        return config_messages.ConfigBeacon(
            sender=self.member.node,
            version=self.config.version,
            fresh=fresh,
            age_s=round(age_s, 3),
            entries=contacts,
        )

    def _announcers(self, cell: int) -> list[str]:
        """Return the names of the entries that send beacons to a cell."""
        names = [c.node.name for c in self.registry.contacts()]
        names.sort(key=lambda name: ids.rank(f"feed/{cell}", name))
        return names[:ANNOUNCERS_PER_CELL]

    def _refresh_reporters(self) -> None:
        """Choose the reporters again if the view has changed.

        Done on use, because it takes 40 ms at 12,000 members and the view
        may change several times between two uses.
        """
        if self.is_view_changed:
            self._find_reporters()

    def _find_reporters(self) -> None:
        self.is_view_changed = False
        by_cell: dict[int, list[members.Member]] = {}
        for member in self.view:
            cell = cells.cell_of(
                member.node.name, cell_count=self.config.cell_count
            )
            by_cell.setdefault(cell, []).append(member)
        self.reporters = {
            cell: cells.reporters(cell, view) for cell, view in by_cell.items()
        }
        self.addresses = {
            m.node: m.address for r in self.reporters.values() for m in r
        }

    # Proposals

    def _advance(
        self, pending: proposals.PendingProposal, now: core.Instant
    ) -> core.Actions:
        if now.mono_s >= pending.deadline_s:
            return self._finish(pending, pending.expire(self.config))
        if now.mono_s < pending.next_attempt_s:
            return []
        if pending.stage is proposals.Stage.PAUSE:
            return [pending.read()]
        if pending.stage is proposals.Stage.PROPAGATING:
            return self._propagate(pending, now)
        return []

    def _on_proposal_read(
        self,
        pending: proposals.PendingProposal,
        reply: core.TableReadReply,
        now: core.Instant,
    ) -> core.Actions:
        if pending.stage is not proposals.Stage.READING:
            return []
        found = None if reply.error else _decode_config_row(reply)
        if found is None:
            pending.pause(now)
            return []
        row, row_version = found
        actions = self.apply(row, now)
        status = pending.status_from(row)
        if status is None:
            return [*actions, pending.write(row, row_version)]
        if status is proposals.ProposalStatus.ACCEPTED:
            return actions + self._begin_propagation(pending, row.version, now)
        winner = row.change_ids[-1] if row.change_ids else ""
        result = pending.result(
            status,
            row,
            f"version {pending.proposal.expected_version} was replaced; the "
            f"newest is version {row.version} by change {winner!r}",
        )
        return actions + self._finish(pending, result)

    def _on_proposal_written(
        self,
        pending: proposals.PendingProposal,
        reply: core.TableWriteReply,
        now: core.Instant,
    ) -> core.Actions:
        if pending.stage is not proposals.Stage.WRITING:
            return []
        if reply.error is None:
            # The read also returns any later change, so that the newest
            # version is propagated.
            pending.may_be_written = True
            return [pending.read()]
        if reply.error.failure is errors.TableFailure.CONFLICT:
            return [pending.read()]
        if reply.error.failure is errors.TableFailure.UNKNOWN:
            pending.may_be_written = True
        pending.pause(now)
        return []

    def _begin_propagation(
        self,
        pending: proposals.PendingProposal,
        version: int,
        now: core.Instant,
    ) -> core.Actions:
        pending.stage = proposals.Stage.PROPAGATING
        pending.version = version
        return self._finish_if_accepted(pending) or self._propagate(
            pending, now
        )

    def _propagate(
        self, pending: proposals.PendingProposal, now: core.Instant
    ) -> core.Actions:
        pending.next_attempt_s = now.mono_s + proposals.RETRY_PERIOD_S
        return [
            self.push(c.node)
            for c in self.registry.other_contacts()
            if self.acked_versions.get(c.node.name, 0) < pending.version
        ]

    def _finish_if_accepted(
        self, pending: proposals.PendingProposal
    ) -> core.Actions:
        enough = proposals.has_majority(
            acked_versions=self.acked_versions,
            version=pending.version,
            contacts=self.registry.contacts(),
            majority=self.registry.majority_size(),
        )
        if not enough or self.registry.last_read_s is None:
            return []
        result = pending.result(
            proposals.ProposalStatus.ACCEPTED,
            self.config,
            f"in force from version {pending.version}",
        )
        return self._finish(pending, result)

    def _finish(
        self,
        pending: proposals.PendingProposal,
        result: proposals.ProposalResult,
    ) -> core.Actions:
        del self.pending_proposals[pending.tag]
        log = core.LogDecision(
            kind="configuration",
            choice=result.status,
            candidates=(result.change_id,),
            reason=result.reason,
        )
        return [result, log]


def _decode_config_row(
    reply: core.TableReadReply,
) -> tuple[configuration.Configuration, int] | None:
    """Return the configuration in a reply and the version of its row.

    ``None`` means that the reply has no readable row; a row that does not
    exist has version 0.
    """
    for row in reply.rows:
        if row.key != configuration.CONFIG_KEY:
            continue
        if row.version == 0:
            return configuration.NO_CONFIGURATION, 0
        config = json_input.decode(row.value, configuration.Configuration)
        return (config.unwrap(), row.version) if config.is_ok() else None
    return None
