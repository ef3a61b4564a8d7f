"""Submissions that an entry has received but not examined yet.

An entry that is short of processor time cannot examine every submission. If
it tried, the messages of agents would wait as well: grants and leases would
expire, and runs would be stopped and started again.
"""

import collections
import dataclasses
import typing

# Time that an entry spends on submissions before it reads its connections
# again.
TURN_S = 0.005
# A queue that has not been empty for this long is standing: more arrives than
# the entry can examine. A shorter queue is a burst, and is worked off.
STANDING_AFTER_S = 0.1
# Submissions that have waited longer in a standing queue are refused. Short
# jobs are due about 0.2 s after they arrive.
MAX_STANDING_WAIT_S = 0.05
# An entry whose queue has been standing for this long asks the balancer to
# send new connections elsewhere, until the pause after the last such moment.
OVERLOADED_AFTER_S = 1.0
OVERLOAD_PAUSE_S = 3.0
# Retry-After of refused submissions; other entries may have time at once.
RETRY_S = 1.0

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Waiting(typing.Generic[T]):
    """A submission, and when it was received."""

    submission: T
    received_s: float


class Intake(typing.Generic[T]):
    """Queue of submissions to be examined.

    The oldest one is next, as long as the queue becomes empty now and then.
    In a standing queue the newest one is next: the oldest would be late, and
    so would every later one.
    """

    def __init__(self) -> None:
        self.waiting: collections.deque[Waiting[T]] = collections.deque()
        self.nonempty_since_s = 0.0
        self.overload_ends_s = 0.0

    def add(self, submission: T, now_s: float) -> None:
        """Queue a submission."""
        if not self.waiting:
            self.nonempty_since_s = now_s
        self.waiting.append(Waiting(submission=submission, received_s=now_s))

    def is_standing(self, now_s: float) -> bool:
        """Tell whether more arrives than can be examined."""
        return (
            bool(self.waiting)
            and now_s - self.nonempty_since_s > STANDING_AFTER_S
        )

    def take(self, now_s: float) -> T | None:
        """Remove and return the next submission, ``None`` if there is none."""
        if not self.waiting:
            return None
        if self.is_standing(now_s):
            return self.waiting.pop().submission
        return self.waiting.popleft().submission

    def take_expired(self, now_s: float) -> list[T]:
        """Remove and return the submissions to be refused."""
        expired = []
        if self.is_standing(now_s):
            if now_s - self.nonempty_since_s > OVERLOADED_AFTER_S:
                self.overload_ends_s = now_s + OVERLOAD_PAUSE_S
            limit_s = now_s - MAX_STANDING_WAIT_S
            while self.waiting and self.waiting[0].received_s < limit_s:
                expired.append(self.waiting.popleft().submission)
        return expired

    def is_overloaded(self, now_s: float) -> bool:
        """Tell whether new callers are better served by other entries."""
        return now_s < self.overload_ends_s
