"""Keys of tasks that a keeper must recognise after it forgot the rest.

A key is remembered as its 64-bit hash in one set per minute. A collision
makes the keeper refuse a task that it never saw, which is safe.
"""

import collections
import dataclasses

from _jasminewind import ids
from _jasminewind.messages import tasks

# A start can be delayed by a silent connection, but not past the time for
# which its owner keeps records (10 min).
KEEP_S = 600.0
BUCKET_S = 60.0
# About 80 bytes a key: 10 MB of an agent's 64 MB.
MAX_KEYS = 128_000


def id_time_ms(work_id: str) -> int | None:
    """Return the creation time in an id, ``None`` if it holds none."""
    try:
        return ids.time_ms(work_id)
    except ValueError:
        return None


@dataclasses.dataclass
class Bucket:
    """Keys that were added in one period; ``max_id_ms`` is an id time."""

    started_s: float
    keys: set[int] = dataclasses.field(default_factory=set)
    max_id_ms: int = 0


class KeyMemory:
    """Remembers keys for ``keep_s`` seconds, at most ``max_keys`` of them.

    When the bound is reached, the oldest bucket is dropped and ``floor_ms``
    rises to the highest id time in it. The keeper takes no unknown start at
    or below the floor, so a dropped key cannot start either.
    """

    def __init__(
        self, *, keep_s: float = KEEP_S, max_keys: int = MAX_KEYS
    ) -> None:
        self.keep_s = keep_s
        self.max_keys = max_keys
        self.buckets: collections.deque[Bucket] = collections.deque()
        self.floor_ms = 0
        self.count = 0

    def add(self, key: tasks.TaskKey, now_s: float) -> None:
        """Remember ``key`` from now on."""
        bucket = self.current_bucket(now_s)
        known = hash(key)
        if known not in bucket.keys:
            bucket.keys.add(known)
            self.count += 1
        bucket.max_id_ms = max(bucket.max_id_ms, id_time_ms(key.work_id) or 0)
        if self.count > self.max_keys:
            self.drop_oldest()

    def holds(self, key: tasks.TaskKey) -> bool:
        """Tell whether ``key`` was added and is still remembered."""
        known = hash(key)
        return any(known in bucket.keys for bucket in self.buckets)

    def below_floor(self, key: tasks.TaskKey) -> bool:
        """Tell whether ``key`` may have been dropped before its time."""
        if not self.floor_ms:
            return False
        created_ms = id_time_ms(key.work_id)
        return created_ms is None or created_ms <= self.floor_ms

    def expire(self, now_s: float) -> None:
        """Forget the keys whose time has passed."""
        limit_s = now_s - self.keep_s - BUCKET_S
        while self.buckets and self.buckets[0].started_s < limit_s:
            self.count -= len(self.buckets.popleft().keys)

    def current_bucket(self, now_s: float) -> Bucket:
        """Return the bucket for keys that are added at ``now_s``.

        A bucket is also closed at an eighth of the bound, so that reaching
        the bound drops an eighth of the keys and not all of a busy minute.
        """
        if self.buckets:
            last = self.buckets[-1]
            has_room = len(last.keys) < max(1, self.max_keys // 8)
            if has_room and now_s - last.started_s < BUCKET_S:
                return last
        bucket = Bucket(started_s=now_s)
        self.buckets.append(bucket)
        return bucket

    def drop_oldest(self) -> None:
        """Drop the oldest bucket and raise the floor past its ids."""
        bucket = self.buckets.popleft()
        self.count -= len(bucket.keys)
        self.floor_ms = max(self.floor_ms, bucket.max_id_ms, 1)
