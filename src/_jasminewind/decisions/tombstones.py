"""Time-bounded sets of task keys that prevent a second start.

A key is stored as its 64-bit hash in one bucket per minute. A hash collision
makes the executor refuse a task that it has never seen, which is safe.
"""

import collections
import dataclasses

from _jasminewind import ids
from _jasminewind.messages import tasks

# A stalled connection can delay a start, but not beyond the time for which
# its coordinator keeps records (10 min).
RETENTION_S = 600.0
BUCKET_S = 60.0
# About 80 bytes per key: 10 MB of the 64 MB of an agent.
MAX_KEYS = 128_000


def id_time_ms(work_id: str) -> int | None:
    """Return the creation time in a work id, ``None`` if it has none."""
    try:
        return ids.time_ms(work_id)
    except ValueError:
        return None


@dataclasses.dataclass
class Bucket:
    """Key hashes of one period; ``max_id_ms`` is the newest id time."""

    started_s: float
    keys: set[int] = dataclasses.field(default_factory=set)
    max_id_ms: int = 0


class RecentKeys:
    """Set of the keys of the last ``retention_s`` seconds.

    Above ``max_keys`` the oldest bucket is evicted and ``low_watermark_ms``
    rises to the newest id time in it. The executor refuses unknown starts at
    or below the watermark, so an evicted key cannot start again.
    """

    def __init__(
        self, *, retention_s: float = RETENTION_S, max_keys: int = MAX_KEYS
    ) -> None:
        self.retention_s = retention_s
        self.max_keys = max_keys
        self.buckets: collections.deque[Bucket] = collections.deque()
        self.low_watermark_ms = 0
        self.key_count = 0

    def add(self, key: tasks.TaskKey, now_s: float) -> None:
        """Add ``key``."""
        bucket = self.current_bucket(now_s)
        key_hash = hash(key)
        if key_hash not in bucket.keys:
            bucket.keys.add(key_hash)
            self.key_count += 1
        bucket.max_id_ms = max(bucket.max_id_ms, id_time_ms(key.work_id) or 0)
        if self.key_count > self.max_keys:
            self.evict_oldest()

    def contains(self, key: tasks.TaskKey) -> bool:
        """Tell whether ``key`` was added and has not expired."""
        key_hash = hash(key)
        return any(key_hash in bucket.keys for bucket in self.buckets)

    def is_below_watermark(self, key: tasks.TaskKey) -> bool:
        """Tell whether ``key`` may have been evicted before it expired."""
        if not self.low_watermark_ms:
            return False
        created_ms = id_time_ms(key.work_id)
        return created_ms is None or created_ms <= self.low_watermark_ms

    def expire(self, now_s: float) -> None:
        """Remove the buckets past their retention time."""
        cutoff_s = now_s - self.retention_s - BUCKET_S
        while self.buckets and self.buckets[0].started_s < cutoff_s:
            self.key_count -= len(self.buckets.popleft().keys)

    def current_bucket(self, now_s: float) -> Bucket:
        """Return the bucket for keys that are added at ``now_s``.

        A bucket is also closed at an eighth of ``max_keys``, so that an
        eviction removes an eighth of the keys and not all of a busy minute.
        """
        if self.buckets:
            last = self.buckets[-1]
            has_room = len(last.keys) < max(1, self.max_keys // 8)
            if has_room and now_s - last.started_s < BUCKET_S:
                return last
        bucket = Bucket(started_s=now_s)
        self.buckets.append(bucket)
        return bucket

    def evict_oldest(self) -> None:
        """Evict the oldest bucket and raise the watermark to its ids."""
        bucket = self.buckets.popleft()
        self.key_count -= len(bucket.keys)
        self.low_watermark_ms = max(self.low_watermark_ms, bucket.max_id_ms, 1)
