"""Choice of the entries that one agent serves.

If every agent served every entry, the heartbeats of a fleet would grow with
the product of agents and entries.
"""

import collections.abc
import dataclasses

import xxhash

from _jasminewind.decisions.jobs import registry

# Entries that an agent serves. Each entry then sees this many times the
# agents per entry of the fleet: 27 agents with 160 agents and 35 entries.
SUBSET_SIZE = 6
# An entry that acknowledges no heartbeat for this long counts as down, and
# another one takes its place. A process restarts within about a second.
RESPONSE_TIMEOUT_S = 2.0
# Interval between heartbeats to an entry that is down.
DOWN_RETRY_PERIOD_S = 0.4
# An entry that has acknowledged nothing for longer may be restarting.
RESPONSIVE_WITHIN_S = 0.7
# Deviation of the timers that call this.
TIMER_SLACK_S = 0.05


@dataclasses.dataclass
class Candidate:
    """An entry that this agent sends heartbeats to.

    ``responded_s`` is when it last acknowledged one, or when it was first
    sent one.
    """

    responded_s: float
    sent_s: float
    has_responded: bool = False

    def is_responsive(self, now_s: float) -> bool:
        """Tell whether the entry acknowledges heartbeats as they come."""
        return self.has_responded and (
            now_s - self.responded_s <= RESPONSIVE_WITHIN_S
        )

    def is_down(self, now_s: float) -> bool:
        """Tell whether the entry has not responded for too long."""
        return now_s - self.responded_s > RESPONSE_TIMEOUT_S


class Subset:
    """The entries that an agent serves, in its own order of preference.

    The order is by rendezvous hashing, so that a fleet spreads evenly over
    its entries, and a new or lost entry changes the subsets of few agents.
    """

    def __init__(self, agent: str, *, size: int = SUBSET_SIZE) -> None:
        self.agent = agent
        self.size = size
        self.preferred: tuple[registry.EntryAddress, ...] = ()
        self.candidates: dict[str, Candidate] = {}
        self.served: tuple[registry.EntryAddress, ...] = ()
        self.served_names: frozenset[str] = frozenset()

    def set_entries(
        self, entries: tuple[registry.EntryAddress, ...], now_s: float
    ) -> None:
        """Set the registered entries."""
        self.preferred = tuple(sorted(entries, key=self.preference))
        names = {entry.name for entry in entries}
        for name in self.candidates.keys() - names:
            del self.candidates[name]
        self.refresh(now_s)

    def preference(self, entry: registry.EntryAddress) -> tuple[int, str]:
        """Return the sort key of an entry."""
        text = f"{self.agent}/{entry.name}"
        return xxhash.xxh64_intdigest(text.encode()), entry.name

    def on_response(self, name: str, now_s: float) -> None:
        """Record that an entry has acknowledged a heartbeat."""
        candidate = self.candidates.get(name)
        if candidate is not None:
            candidate.responded_s = now_s
            candidate.has_responded = True

    def refresh(self, now_s: float) -> None:
        """Select the most preferred entries, with substitutes for down ones.

        An entry that is down stays selected, so that it is found again.
        """
        selected = []
        up = 0
        for entry in self.preferred:
            if up == self.size:
                break
            candidate = self.candidates.get(entry.name)
            if candidate is None:
                candidate = Candidate(responded_s=now_s, sent_s=-1.0)
                self.candidates[entry.name] = candidate
            selected.append(entry)
            up += not candidate.is_down(now_s)
        self.served = tuple(selected)
        self.served_names = frozenset(entry.name for entry in selected)
        for name in self.candidates.keys() - self.served_names:
            del self.candidates[name]

    def serves(self, name: str) -> bool:
        """Tell whether an entry is among the selected ones."""
        return name in self.served_names

    def take_due(
        self,
        now_s: float,
        *,
        busy: collections.abc.Set[str] = frozenset(),
        idle_period_s: float = 0.0,
    ) -> tuple[registry.EntryAddress, ...]:
        """Return the entries whose heartbeat is due, as sent now.

        Responsive entries that are not ``busy`` get one each
        ``idle_period_s``; one that restarts is found as soon as possible.
        """
        self.refresh(now_s)
        due = []
        for entry in self.served:
            candidate = self.candidates[entry.name]
            period_s = 0.0
            if candidate.is_down(now_s):
                period_s = DOWN_RETRY_PERIOD_S
            elif entry.name not in busy and candidate.is_responsive(now_s):
                period_s = idle_period_s
            # Timers fire up to a tick early or late.
            if now_s - candidate.sent_s < period_s - TIMER_SLACK_S:
                continue
            candidate.sent_s = now_s
            due.append(entry)
        return tuple(due)
