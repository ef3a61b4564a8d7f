"""Weighted fair queueing of tasks between teams."""

import collections
import collections.abc
import heapq
import itertools
import typing

# Deficit that a team of weight 1 gains per round, in task seconds: about one
# task of its class (short or long), so that rounds stay short.
SHORT_QUANTUM_S = 0.5
LONG_QUANTUM_S = 10.0
# Largest charge of one task in quanta, which bounds the rounds that a team
# misses after a wrong estimate.
MAX_COST_QUANTA = 8.0
MIN_COST_S = 0.001


class QueueItem(typing.Protocol):
    """Attributes that the queues require of their items."""

    waiting: bool
    cost_s: float
    deadline_s: float


Item = typing.TypeVar("Item", bound=QueueItem)


class TeamQueue(typing.Generic[Item]):
    """Tasks of one team, earliest deadline first.

    Deletion is lazy: an item that is no longer ``waiting`` is dropped when
    it reaches the head, so that a cancellation needs no search.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Item]] = []
        self.count = 0
        self.cost_s = 0.0
        self.deficit_s = 0.0
        # Task seconds of waiting items by the second of their deadline.
        self.cost_by_due_second: dict[int, float] = {}

    def adjust(self, deadline_s: float, cost_s: float) -> None:
        """Add an item to the totals; a negative cost removes it."""
        self.count += 1 if cost_s > 0 else -1
        self.cost_s += cost_s
        second = int(deadline_s)
        cost_left_s = self.cost_by_due_second.get(second, 0.0) + cost_s
        if cost_left_s > MIN_COST_S / 2:
            self.cost_by_due_second[second] = cost_left_s
        else:
            self.cost_by_due_second.pop(second, None)

    def work_ahead_s(self, deadline_s: float) -> float:
        """Return the task seconds that are due by ``deadline_s``."""
        second = int(deadline_s)
        return sum(
            cost_s
            for due, cost_s in self.cost_by_due_second.items()
            if due <= second
        )

    def peek(self) -> Item | None:
        """Return the next waiting item; drop stale ones before it."""
        while self.heap:
            item = self.heap[0][2]
            if item.waiting:
                return item
            heapq.heappop(self.heap)
        return None


class FairQueue(typing.Generic[Item]):
    """Weighted deficit round robin between teams."""

    def __init__(
        self,
        *,
        weight: collections.abc.Callable[[str], float],
        quantum_s: float = SHORT_QUANTUM_S,
    ) -> None:
        self.weight = weight
        self.quantum_s = quantum_s
        self.teams: dict[str, TeamQueue[Item]] = {}
        self.active_teams: collections.deque[str] = collections.deque()
        self.sequence = itertools.count()
        self.count = 0
        self.cost_s = 0.0

    def __len__(self) -> int:
        return self.count

    def push(self, team: str, item: Item) -> None:
        """Queue an item, whose cost and deadline must then stay the same."""
        item.waiting = True
        item.cost_s = max(item.cost_s, MIN_COST_S)
        queue = self.teams.get(team)
        if queue is None:
            queue = TeamQueue()
            self.teams[team] = queue
            self.active_teams.append(team)
        queue_entry = (item.deadline_s, next(self.sequence), item)
        heapq.heappush(queue.heap, queue_entry)
        queue.adjust(item.deadline_s, item.cost_s)
        self.count += 1
        self.cost_s += item.cost_s

    def discard(self, team: str, item: Item) -> None:
        """Remove an item from the totals; its heap entry is dropped later."""
        item.waiting = False
        self.count -= 1
        self.cost_s -= item.cost_s
        self.teams[team].adjust(item.deadline_s, -item.cost_s)

    def peek(self) -> tuple[str, Item] | None:
        """Return the next item and its team without removing it."""
        if self.count <= 0:
            self.clear()
            return None
        while self.active_teams:
            team = self.active_teams[0]
            queue = self.teams[team]
            item = queue.peek()
            if item is None:
                self.active_teams.popleft()
                del self.teams[team]
                continue
            if queue.deficit_s > 0.0 or len(self.active_teams) == 1:
                return team, item
            # The quantum is granted at the end of a turn, so that a team pays
            # for an expensive item with the turns that it then misses.
            queue.deficit_s += self.quantum_s * self.weight(team)
            self.active_teams.rotate(-1)
        return None

    def pop(self, team: str, item: Item) -> None:
        """Remove the item that :meth:`peek` returned and charge its team."""
        queue = self.teams[team]
        heapq.heappop(queue.heap)
        charge_s = min(item.cost_s, MAX_COST_QUANTA * self.quantum_s)
        queue.deficit_s -= charge_s
        if len(self.active_teams) == 1:
            # A sole active team owes nothing to teams that arrive later.
            queue.deficit_s = max(queue.deficit_s, -self.quantum_s)
        self.discard(team, item)

    def clear(self) -> None:
        """Reset the state of an empty queue."""
        self.teams.clear()
        self.active_teams.clear()
        self.count = 0
        self.cost_s = 0.0

    def work_ahead_s(self, team: str, deadline_s: float) -> float:
        """Return the task seconds served before a new item of ``team``.

        Of its own team only items due by ``deadline_s`` count. Each other
        team gets its weighted share meanwhile, at most its whole backlog.
        """
        own = self.teams.get(team)
        own_s = own.work_ahead_s(deadline_s) if own is not None else 0.0
        weight = self.weight(team)
        others_s = 0.0
        for name, queue in self.teams.items():
            if name != team and queue.count > 0:
                share_s = (own_s + self.quantum_s) * self.weight(name) / weight
                others_s += min(queue.cost_s, share_s)
        return own_s + others_s
