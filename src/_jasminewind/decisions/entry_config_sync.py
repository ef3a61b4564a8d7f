"""The configuration at an entry: reads, confirmations and changes."""

import random

import msgspec

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
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
MAX_READS = 3
FRESH_FOR_S = 2.0
# Peers are asked only when the own read is late, because asking 23 of
# them costs several KB/s.
ASK_PEERS_AFTER_S = 1.2
ASK_PEERS_PERIOD_S = 0.9
BEACON_PERIOD_S = 1.0
# The list of 24 entries takes 2 KB; it is told when it changes, and once a
# minute for a reporter that is new or missed it.
ENTRIES_PERIOD_S = 60.0
# Each cell hears this many entries. One would do; three cover one that is
# cut off and one that has just died.
BEACONS_PER_CELL = 3
# A lone registered entry must not confirm itself: it could be cut off
# while others register and change the configuration.
MIN_CONFIRMERS = 2

CONFIG_DECODER = msgspec.json.Decoder(configuration.Configuration)


class EntryConfigSync(config_sync.ConfigSync):
    """Reads the row, takes proposals and feeds the cells."""

    def __init__(self, *, member: members.Member, rng: random.Random) -> None:
        super().__init__(member=member, rng=rng)
        self.registry = entry_registry.Registry(
            member=member, tag=REGISTRY_TAG
        )
        self.confirmations = confirmations.Confirmations()
        self.reads: dict[str, float] = {}
        self.next_tag = 1
        self.next_read_s = 0.0
        self.next_ask_s = 0.0
        self.next_beacon_s = 0.0
        self.next_entries_s = 0.0
        self.read_confirmed_s = float("-inf")
        self.acked: dict[str, int] = {}
        self.runs: dict[str, proposals.PendingProposal] = {}
        self.view: tuple[members.Member, ...] = ()
        self.is_view_new = False
        self.reporters: dict[int, tuple[members.Member, ...]] = {}
        self.addresses: dict[members.NodeId, members.Address] = {}
        self.told_entries: tuple[members.Contact, ...] = ()

    # Questions

    def is_fresh(self, now: core.Instant) -> bool:
        """Tell whether the version was confirmed within the last 2 s."""
        if self.config.version == 0:
            return False
        return now.mono_s - self.confirmed_s(now) <= FRESH_FOR_S

    def confirmed_s(self, now: core.Instant) -> float:
        """Return when the version was last known to be the newest."""
        if self.registry.last_read_s is None:
            return float("-inf")
        others = frozenset(c.node.name for c in self.registry.others())
        by_peers = self.confirmations.confirmed_s(
            version=self.config.version,
            names=others,
            needed=self._needed(now) - 1,
        )
        return max(self.read_confirmed_s, by_peers)

    def entries(self) -> tuple[members.Contact, ...]:
        """Return the registered entries, this one included."""
        return self.registry.contacts()

    def address_of(self, node: members.NodeId) -> members.Address:
        """Return the address of an entry or of an agent."""
        for contact in self.registry.contacts():
            if contact.node == node:
                return contact.address
        self._rank_view()
        return self.addresses.get(node, members.NO_ADDRESS)

    def _needed(self, now: core.Instant) -> int:
        """Return how many entries must confirm, this one included.

        When others may have dropped this entry from the registry, their
        majority need not include it, and only all of them will do.
        """
        if self.registry.may_have_expired(now):
            needed = len(self.registry.contacts())
        else:
            needed = self.registry.majority()
        return max(MIN_CONFIRMERS, needed)

    # Events

    def propose(
        self, ticket: int, change: proposals.Proposal, now: core.Instant
    ) -> core.Actions:
        """Begin a change; it ends with a ``ProposalResult``."""
        tag = f"{PROPOSAL_TAG}{self.next_tag}"
        self.next_tag += 1
        run = proposals.PendingProposal(
            ticket=ticket,
            tag=tag,
            proposal=change,
            deadline_s=now.mono_s + proposals.PROPOSAL_TIMEOUT_S,
        )
        self.runs[tag] = run
        return [run.read()]

    def on_members(
        self, view: tuple[members.Member, ...], now: core.Instant
    ) -> core.Actions:
        """Take the members of the fleet, among them each cell's reporters."""
        self.view = view
        self.is_view_new = True
        return []

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a push, a question or an answer."""
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
        """Read, confirm, announce and drive the proposals."""
        actions = self._read(now)
        actions += self.registry.on_tick(now)
        actions += self._ask_peers(now)
        actions += self._beacon(now)
        for run in list(self.runs.values()):
            actions += self._drive(run, now)
        return actions

    def on_table_read(
        self, reply: core.TableReadReply, now: core.Instant
    ) -> core.Actions:
        """Take the rows of a periodic read or of a proposal."""
        if reply.tag in self.runs:
            return self._on_proposal_read(self.runs[reply.tag], reply, now)
        began_s = self.reads.pop(reply.tag, None)
        if began_s is None or reply.error is not None:
            return []
        actions = self.registry.on_read(reply.rows, now)
        found = _config_row(reply)
        if found is None:
            return actions
        config, _ = found
        actions += self.apply(config, now)
        # Nothing newer than the row existed when the read began.
        self.read_confirmed_s = max(self.read_confirmed_s, began_s)
        return actions

    def on_table_written(
        self, reply: core.TableWriteReply, now: core.Instant
    ) -> core.Actions:
        """Take the outcome of a registry write or of a proposal."""
        run = self.runs.get(reply.tag)
        if run is not None:
            return self._on_proposal_written(run, reply, now)
        self.registry.on_written(reply, now)
        return []

    def on_applied(self, now: core.Instant) -> core.Actions:
        """Push to the first reporter of the cells fed by this entry."""
        self.acked[self.member.node.name] = self.config.version
        self._find_reporters()
        actions: core.Actions = []
        for cell, chosen in self.reporters.items():
            if chosen and self._feeders(cell)[0] == self.member.node.name:
                actions.append(self.push(chosen[0].node))
        return actions

    # Reading and confirming

    def _read(self, now: core.Instant) -> core.Actions:
        if now.mono_s < self.next_read_s:
            return []
        self.next_read_s = now.mono_s + READ_PERIOD_S
        for tag in sorted(self.reads)[: 1 - MAX_READS]:
            del self.reads[tag]
        tag = f"{READ_TAG}{self.next_tag:012d}"
        self.next_tag += 1
        self.reads[tag] = now.mono_s
        return [
            core.ReadTable(
                tag=tag,
                keys=(configuration.CONFIG_KEY,),
                prefix=entry_registry.PREFIX,
            )
        ]

    def _ask_peers(self, now: core.Instant) -> core.Actions:
        if self.registry.last_read_s is None or now.mono_s < self.next_ask_s:
            return []
        if now.mono_s - self.read_confirmed_s < ASK_PEERS_AFTER_S:
            return []
        self.next_ask_s = now.mono_s + ASK_PEERS_PERIOD_S
        nonce = self.confirmations.begin(self.config.version, now.mono_s)
        message = config_messages.ConfigFetch(
            have_version=self.config.version, nonce=nonce
        )
        return [
            core.Send(to=c.node, address=c.address, message=message)
            for c in self.registry.others()
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
            # Before its first read an entry may have forgotten a version
            # that it acknowledged before a restart, so it must not
            # confirm a lower one.
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
        known = self.acked.get(sender.name, 0)
        self.acked[sender.name] = max(known, message.version)
        self.confirmations.take(sender, message.version, message.nonce)
        actions = self.on_version_seen(sender, message.version, now)
        if message.version < self.config.version and message.nonce:
            actions.append(self.push(sender))
        for run in list(self.runs.values()):
            if run.stage is proposals.Stage.SPREADING:
                actions += self._end_if_accepted(run)
        return actions

    # Beacons to the cells

    def _beacon(self, now: core.Instant) -> core.Actions:
        if now.mono_s < self.next_beacon_s or self.config.version == 0:
            return []
        self.next_beacon_s = now.mono_s + BEACON_PERIOD_S
        contacts = self.registry.contacts()
        tell = (
            contacts != self.told_entries or now.mono_s >= self.next_entries_s
        )
        if tell:
            self.told_entries = contacts
            self.next_entries_s = now.mono_s + ENTRIES_PERIOD_S
        message = self._beacon_message(now, contacts if tell else ())
        actions: core.Actions = []
        self._rank_view()
        for cell, chosen in self.reporters.items():
            if self.member.node.name not in self._feeders(cell):
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

    def _feeders(self, cell: int) -> list[str]:
        """Return the names of the entries that feed a cell."""
        names = [c.node.name for c in self.registry.contacts()]
        names.sort(key=lambda name: ids.rank(f"feed/{cell}", name))
        return names[:BEACONS_PER_CELL]

    def _rank_view(self) -> None:
        """Find the reporters again if the view is new.

        It takes 40 ms at 12,000 members, and the view may change several
        times between two uses.
        """
        if self.is_view_new:
            self._find_reporters()

    def _find_reporters(self) -> None:
        self.is_view_new = False
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

    def _drive(
        self, run: proposals.PendingProposal, now: core.Instant
    ) -> core.Actions:
        if now.mono_s >= run.deadline_s:
            return self._end(run, run.expire(self.config))
        if now.mono_s < run.next_step_s:
            return []
        if run.stage is proposals.Stage.PAUSE:
            return [run.read()]
        if run.stage is proposals.Stage.SPREADING:
            return self._spread(run, now)
        return []

    def _on_proposal_read(
        self,
        run: proposals.PendingProposal,
        reply: core.TableReadReply,
        now: core.Instant,
    ) -> core.Actions:
        if run.stage is not proposals.Stage.READING:
            return []
        found = None if reply.error else _config_row(reply)
        if found is None:
            run.pause(now)
            return []
        row, row_version = found
        actions = self.apply(row, now)
        status = run.judge(row)
        if status is None:
            return [*actions, run.write(row, row_version)]
        if status is proposals.ProposalStatus.ACCEPTED:
            return actions + self._begin_spread(run, row.version, now)
        winner = row.change_ids[-1] if row.change_ids else ""
        end = run.end(
            status,
            row,
            f"version {run.proposal.expected_version} was replaced; the "
            f"newest is version {row.version} by change {winner!r}",
        )
        return actions + self._end(run, end)

    def _on_proposal_written(
        self,
        run: proposals.PendingProposal,
        reply: core.TableWriteReply,
        now: core.Instant,
    ) -> core.Actions:
        if run.stage is not proposals.Stage.WRITING:
            return []
        if reply.error is None:
            # The read tells every later change too, so that the newest
            # version is the one that is spread.
            run.in_doubt = True
            return [run.read()]
        if reply.error.failure is errors.TableFailure.CONFLICT:
            return [run.read()]
        if reply.error.failure is errors.TableFailure.UNKNOWN:
            run.in_doubt = True
        run.pause(now)
        return []

    def _begin_spread(
        self, run: proposals.PendingProposal, version: int, now: core.Instant
    ) -> core.Actions:
        run.stage = proposals.Stage.SPREADING
        run.version = version
        return self._end_if_accepted(run) or self._spread(run, now)

    def _spread(
        self, run: proposals.PendingProposal, now: core.Instant
    ) -> core.Actions:
        run.next_step_s = now.mono_s + proposals.RETRY_PERIOD_S
        return [
            self.push(c.node)
            for c in self.registry.others()
            if self.acked.get(c.node.name, 0) < run.version
        ]

    def _end_if_accepted(self, run: proposals.PendingProposal) -> core.Actions:
        enough = proposals.has_majority(
            acked=self.acked,
            version=run.version,
            contacts=self.registry.contacts(),
            majority=self.registry.majority(),
        )
        if not enough or self.registry.last_read_s is None:
            return []
        end = run.end(
            proposals.ProposalStatus.ACCEPTED,
            self.config,
            f"in force from version {run.version}",
        )
        return self._end(run, end)

    def _end(
        self, run: proposals.PendingProposal, end: proposals.ProposalResult
    ) -> core.Actions:
        del self.runs[run.tag]
        log = core.LogDecision(
            kind="configuration",
            choice=end.status,
            candidates=(end.change_id,),
            reason=end.reason,
        )
        return [end, log]


def _config_row(
    reply: core.TableReadReply,
) -> tuple[configuration.Configuration, int] | None:
    """Return the configuration in a reply and the version of its row.

    ``None`` means that the reply does not tell; a row that does not exist
    is version 0.
    """
    for row in reply.rows:
        if row.key != configuration.CONFIG_KEY:
            continue
        if row.version == 0:
            return configuration.NO_CONFIGURATION, 0
        try:
            return CONFIG_DECODER.decode(row.value), row.version
        except msgspec.MsgspecError:
            return None
    return None
