"""When refused callers are told to return, and which of them did.

Callers refused at the same moment with the same Retry-After would all return
in the same second. Instead, each one is told a second in which the capacity
for its job is expected to be free, and its work is reserved there.
"""

import collections
import dataclasses
import enum
import math

from _jasminewind.decisions.jobs import rates

# The Retry-After header has whole seconds, of which these are used.
FIRST_DELAY_S = 1
LAST_DELAY_S = 10
# Refused callers that one service of an entry remembers, about 0.2 kB each.
# A fleet of 64 agents at three times its capacity refuses about 80 jobs/s at
# one entry, so that 1,000 are remembered. Later callers get no reservation.
MAX_REMEMBERED = 4_096
# Seconds with reservations: a large job takes the room of several.
MAX_SECONDS = 2 * LAST_DELAY_S
# A caller that returns this much before its time or after it came as told.
# Callers measure the time from the answer, and a caller that was early is told
# the rest of its time rounded up to whole seconds.
EARLY_S = 0.05
LATE_S = 1.5
# Share of the capacity that returns may take from first attempts, beyond what
# first attempts leave free.
BUDGET_SHARE = 0.2
# Part of that share which returns without a reservation may use, so that
# callers who return at once do not take what others were promised.
UNRESERVED_SHARE = 0.5


class Return(enum.StrEnum):
    """How a caller comes: for the first time, as it was told, or not."""

    FIRST = "first"
    AS_TOLD = "as_told"
    OTHERWISE = "otherwise"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outlook:
    """The expected use of the capacity in the next seconds.

    ``arriving_cores`` are the core-seconds per second of first attempts.
    """

    capacity_cores: float
    queued_core_s: float
    arriving_cores: float

    def free_core_s(self, from_s: float) -> float:
        """Return what is free in the second that begins in ``from_s``.

        The queued work is done first.
        """
        if not self.capacity_cores:
            return 0.0
        drained_s = self.queued_core_s / self.capacity_cores
        open_s = min(max(from_s + 1.0 - drained_s, 0.0), 1.0)
        free = open_s * self.capacity_cores - self.arriving_cores
        return max(free, 0.0)

    def room_core_s(self, from_s: float) -> float:
        """Return what returns may use in the second that begins then."""
        budget = BUDGET_SHARE * self.capacity_cores
        return min(self.free_core_s(from_s) + budget, self.capacity_cores)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Promise:
    """When a refused caller was told to return."""

    due_s: float
    second: int
    core_s: float
    is_reserved: bool


class ReturnTimes:
    """Spreads the returns of refused callers over whole seconds.

    ``kept`` and ``missed`` count reservations. A caller that returns early
    and is refused again keeps its reservation, so that it gains nothing.
    """

    def __init__(self) -> None:
        self.promises: dict[str, Promise] = {}
        self.by_second: dict[int, dict[str, None]] = {}
        # Core-seconds of callers with and without a reservation, by second.
        self.reserved: dict[int, float] = collections.defaultdict(float)
        self.unreserved: dict[int, float] = collections.defaultdict(float)
        self.kept = 0
        self.missed = 0

    def arrive(self, job_id: str, now_s: float) -> Return:
        """Record that a caller submits a job, and tell how it comes."""
        self.advance(now_s)
        promise = self.promises.get(job_id)
        if promise is None:
            return Return.FIRST
        if now_s < promise.due_s - EARLY_S:
            return Return.OTHERWISE
        self.forget(job_id)
        is_punctual = now_s <= promise.due_s + LATE_S
        if not promise.is_reserved:
            return Return.OTHERWISE
        self.kept += is_punctual
        self.missed += not is_punctual
        return Return.AS_TOLD if is_punctual else Return.OTHERWISE

    def release(self, job_id: str) -> None:
        """Release the reservation of a job that is accepted early."""
        promise = self.promises.get(job_id)
        if promise is None:
            return
        self.forget(job_id)
        if promise.is_reserved:
            self.missed += 1
            self.reserved[promise.second] = max(
                self.reserved[promise.second] - promise.core_s, 0.0
            )

    def book(
        self,
        job_id: str,
        core_s: float,
        *,
        earliest_s: float,
        outlook: Outlook,
        now_s: float,
    ) -> float:
        """Return the whole seconds after which a caller is to return.

        That is the first second after ``earliest_s`` with enough room. If
        there is none, it is the one with the fewest callers, which have no
        reservation.
        """
        self.advance(now_s)
        self.arrive(job_id, now_s)
        promise = self.promises.get(job_id)
        if promise is not None:
            left_s = math.ceil(promise.due_s - now_s - EARLY_S)
            return float(min(max(left_s, FIRST_DELAY_S), LAST_DELAY_S))
        first = math.ceil(min(max(earliest_s, FIRST_DELAY_S), LAST_DELAY_S))
        delays = range(first, LAST_DELAY_S + 1)
        if len(self.promises) < MAX_REMEMBERED:
            for delay in delays:
                if self.reserve(int(now_s + delay), core_s, outlook, now_s):
                    self.remember(job_id, delay, core_s, now_s, True)
                    return float(delay)
        delay = min(
            reversed(delays),
            key=lambda each: self.unreserved.get(int(now_s + each), 0.0),
        )
        self.unreserved[int(now_s + delay)] += core_s
        if len(self.promises) < MAX_REMEMBERED:
            self.remember(job_id, delay, core_s, now_s, False)
        return float(delay)

    def reserve(
        self, second: int, core_s: float, outlook: Outlook, now_s: float
    ) -> bool:
        """Reserve work in a second; tell whether it has enough room.

        A job that exceeds the room of a whole second takes that of several
        which are empty.
        """
        room = outlook.room_core_s(second - now_s)
        if core_s <= room:
            if self.reserved.get(second, 0.0) + core_s > room:
                return False
            self.reserved[second] += core_s
            return True
        parts: dict[int, float] = {}
        last = int(now_s) + MAX_SECONDS
        while core_s > 0.0 and second <= last:
            room = outlook.room_core_s(second - now_s)
            if not room or self.reserved.get(second, 0.0):
                return False
            parts[second] = min(core_s, room)
            core_s -= room
            second += 1
        if core_s > 0.0:
            return False
        self.reserved.update(parts)
        return True

    def remember(
        self,
        job_id: str,
        delay: int,
        core_s: float,
        now_s: float,
        is_reserved: bool,
    ) -> None:
        """Remember when a caller was told to return."""
        due_s = now_s + delay
        second = int(due_s)
        self.promises[job_id] = Promise(
            due_s=due_s, second=second, core_s=core_s, is_reserved=is_reserved
        )
        self.by_second.setdefault(second, {})[job_id] = None

    def forget(self, job_id: str) -> None:
        """Forget a caller."""
        promise = self.promises.pop(job_id)
        del self.by_second[promise.second][job_id]

    def advance(self, now_s: float) -> None:
        """Drop seconds that have passed, and callers that did not return."""
        # Callers of a second may be due at its end, and as late as that.
        current = int(now_s - LATE_S) - 1
        for passed in [each for each in self.by_second if each < current]:
            for job_id in self.by_second.pop(passed):
                self.missed += self.promises.pop(job_id).is_reserved
        for sums in (self.reserved, self.unreserved):
            for passed in [each for each in sums if each < current]:
                del sums[passed]


class RetryBudget:
    """Limits the work that returns take from first attempts."""

    def __init__(self) -> None:
        self.as_told = rates.RecentSum()
        self.otherwise = rates.RecentSum()
        self.first = rates.RecentSum()

    def accept(self, kind: Return, core_s: float, now_s: float) -> None:
        """Record accepted work."""
        sums = {
            Return.FIRST: self.first,
            Return.AS_TOLD: self.as_told,
            Return.OTHERWISE: self.otherwise,
        }
        sums[kind].add(core_s, now_s)

    def limit_cores(
        self, share: float, capacity_cores: float, now_s: float
    ) -> float:
        """Return the rate of work that returns may take.

        That is what first attempts leave free, and a share of the capacity.
        """
        free = capacity_cores - self.first.per_s(now_s)
        return max(free, 0.0) + share * capacity_cores

    def has_room(
        self, kind: Return, capacity_cores: float, now_s: float
    ) -> bool:
        """Tell whether a job may be accepted; a first attempt always may."""
        if kind is Return.FIRST:
            return True
        returned = self.otherwise.per_s(now_s) + self.as_told.per_s(now_s)
        share = BUDGET_SHARE
        if kind is Return.OTHERWISE:
            share *= UNRESERVED_SHARE
        return returned < self.limit_cores(share, capacity_cores, now_s)
