"""The configuration at an agent: pushes down a tree, and repair."""

import collections.abc
import random

from _jasminewind import ids
from _jasminewind import members
from _jasminewind.decisions import cells
from _jasminewind.decisions import config_sync
from _jasminewind.decisions import core
from _jasminewind.messages import configuration as config_messages
from _jasminewind.messages import membership

FRESH_FOR_S = 3.0
ASK_ENTRY_AFTER_S = 2.2
ASK_ENTRY_PERIOD_S = 1.0
# Every agent pushes a new version to this many others of its cell: four
# copies of a 17 KB configuration each 18 s cost less than 5 KB/s.
FAN_OUT = 4
# A heartbeat that names a newer version is followed by a fetch only after
# this time, because the push is usually on its way.
REPAIR_AFTER_S = 0.5
RELAY_PERIOD_S = 0.5


class AgentConfigSync(config_sync.ConfigSync):
    """Applies what entries and members push, and passes it on."""

    def __init__(self, *, member: members.Member, rng: random.Random) -> None:
        super().__init__(member=member, rng=rng)
        self.entries: dict[members.NodeId, members.Address] = {}
        self.view: tuple[members.Member, ...] = ()
        self.addresses: dict[members.NodeId, members.Address] = {}
        self.ranked: tuple[members.Member, ...] = ()
        self.confirmed_s = float("-inf")
        self.awaited: tuple[int, float] = (0, float("-inf"))
        self.repair: tuple[members.NodeId, int, float] | None = None
        self.next_ask_s = 0.0
        self.next_relay_s = 0.0

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the messages that tell versions and entries."""
        return (
            *super().handles(),
            membership.Welcome,
            membership.Beat,
        )

    # Questions

    def is_fresh(self, now: core.Instant) -> bool:
        """Tell whether an entry confirmed the version within 3 s."""
        if self.config.version == 0:
            return False
        return now.mono_s - self.confirmed_s <= FRESH_FOR_S

    def address_of(self, node: members.NodeId) -> members.Address:
        """Return the address of a member of the cell or of an entry."""
        found = self.addresses.get(node) or self.entries.get(node)
        return found or members.NO_ADDRESS

    # Events

    def on_members(
        self, view: tuple[members.Member, ...], now: core.Instant
    ) -> core.Actions:
        """Take the members of the cell, to whom versions are passed on."""
        self.view = view
        self.addresses = {m.node: m.address for m in view}
        for member in view:
            if member.node == self.member.node:
                self.member = member
        self._rank()
        return []

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a push, a beacon, a question or a heartbeat."""
        match message:
            case config_messages.ConfigPush():
                return self.apply(message.config, now)
            case config_messages.ConfigFetch():
                if message.have_version < self.config.version:
                    return [self.push(sender)]
            case config_messages.ConfigBeacon():
                return self._on_beacon(sender, message, now)
            case membership.Welcome():
                self._learn_entries(message.entries)
            case membership.Beat():
                self._on_beat(sender, message.config, now)
        return []

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Fetch what a push should have brought; ask when in doubt."""
        actions: core.Actions = []
        if self.repair is not None:
            sender, version, due_s = self.repair
            if now.mono_s >= due_s:
                self.repair = None
                actions += self.on_version_seen(sender, version, now)
        return actions + self._ask_entry(now)

    def on_applied(self, now: core.Instant) -> core.Actions:
        """Pass the new version on to the children in the cell's tree."""
        self.repair = None
        self._rank()
        version, confirmed_s = self.awaited
        self._confirm(version, confirmed_s)
        return [self.push(m.node) for m in self._children()]

    # Versions

    def _on_beacon(
        self,
        sender: members.NodeId,
        beacon: config_messages.ConfigBeacon,
        now: core.Instant,
    ) -> core.Actions:
        news = self._learn_entries(beacon.entries)
        if beacon.fresh:
            self._confirm(beacon.version, now.mono_s - beacon.age_s)
        actions = self.on_version_seen(sender, beacon.version, now)
        if sender not in self.addresses:
            actions += self._relay(beacon, news, now)
        return actions

    def _confirm(self, version: int, confirmed_s: float) -> None:
        """Take that ``version`` was the newest at ``confirmed_s``.

        This counts for every version that is not lower.
        """
        if version <= self.config.version:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
        else:
            self.awaited = max(self.awaited, (version, confirmed_s))

    def _relay(
        self,
        beacon: config_messages.ConfigBeacon,
        news: bool,
        now: core.Instant,
    ) -> core.Actions:
        """Pass an entry's beacon on to the coordinators of the cell.

        A changed list of entries goes to every member once.
        """
        if not self._is_reporter():
            return []
        if now.mono_s < self.next_relay_s and not news:
            return []
        self.next_relay_s = now.mono_s + RELAY_PERIOD_S
        message = config_messages.ConfigBeacon(
            sender=self.member.node,
            version=beacon.version,
            fresh=beacon.fresh,
            age_s=beacon.age_s,
            entries=beacon.entries if news else (),
        )
        return [
            self.send(m.node, message)
            for m in self._others()
            if m.shards or news
        ]

    def _on_beat(
        self, sender: members.NodeId, version: int, now: core.Instant
    ) -> None:
        if version <= self.config.version or self.repair is not None:
            return
        due_s = now.mono_s + REPAIR_AFTER_S * (0.5 + self.rng.random())
        self.repair = (sender, version, due_s)

    def _ask_entry(self, now: core.Instant) -> core.Actions:
        """Ask an entry when nobody has confirmed the version lately."""
        needs = bool(
            self.member.shards
            or self.config.version == 0
            or self._is_reporter()
        )
        if not needs or not self.entries or now.mono_s < self.next_ask_s:
            return []
        if now.mono_s - self.confirmed_s < ASK_ENTRY_AFTER_S:
            return []
        pause_s = ASK_ENTRY_PERIOD_S * (0.5 + self.rng.random())
        self.next_ask_s = now.mono_s + pause_s
        node = self.rng.choice(sorted(self.entries))
        message = config_messages.ConfigFetch(have_version=self.config.version)
        return [self.send(node, message)]

    def _learn_entries(self, contacts: tuple[members.Contact, ...]) -> bool:
        """Take a list of entries; tell whether it is a new one."""
        known = {c.node: c.address for c in contacts}
        if not known or known == self.entries:
            return False
        self.entries = known
        return True

    # The cell

    def _cell(self) -> int:
        return cells.cell_of(
            self.member.node.name, cell_count=self.config.cell_count
        )

    def _rank(self) -> None:
        """Order the members as reporters are chosen."""
        cell = self._cell()
        ranked = sorted(
            (m for m in self.view if not m.suspect),
            key=lambda m: ids.rank(f"cell/{cell}", m.node.name),
        )
        self.ranked = tuple(ranked)

    def _is_reporter(self) -> bool:
        chosen = self.ranked[: cells.REPORTERS_PER_CELL]
        return any(m.node == self.member.node for m in chosen)

    def _others(self) -> list[members.Member]:
        return [m for m in self.view if m.node != self.member.node]

    def _children(self) -> list[members.Member]:
        """Return the members that this one pushes to.

        The members form a heap in the order by which reporters are
        chosen, so that the first reporter is the root.
        """
        nodes = [m.node for m in self.ranked]
        if self.member.node not in nodes:
            return []
        first = FAN_OUT * nodes.index(self.member.node) + 1
        return list(self.ranked[first : first + FAN_OUT])
