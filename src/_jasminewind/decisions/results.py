"""Task results that are resent until their coordinator acknowledges them."""

import collections
import dataclasses

import msgspec

from _jasminewind import members
from _jasminewind.messages import tasks

RESEND_INTERVAL_S = 1.0
# A coordinator keeps finished records this long (10 min).
RETENTION_S = 600.0
# A silent member is removed after 60 s. An older result can expect no
# acknowledgement any more and does not block a drain.
DRAIN_ACK_TIMEOUT_S = 60.0
MAX_RESULTS = 4096
MAX_BYTES = 8 << 20
# A frame is limited to 1 MiB, and JSON text grows when it is escaped.
MAX_BATCH_BYTES = 512 << 10
MAX_PAYLOAD_BYTES = 900 << 10


def encoded_size(result: tasks.TaskResult) -> int:
    """Return the approximate size of ``result`` in a frame, in bytes."""
    return len(msgspec.json.encode(result))


@dataclasses.dataclass
class UnackedResult:
    """A result without acknowledgement; times are monotonic seconds."""

    result: tasks.TaskResult
    coordinator: members.NodeId | None
    ended_s: float
    sent_s: float
    size: int


class ResultStore:
    """Results that are resent until they are acknowledged.

    No result is evicted to make space. When the store is full, the executor
    refuses new starts until results are acknowledged or expire.
    """

    def __init__(
        self, *, max_results: int = MAX_RESULTS, max_bytes: int = MAX_BYTES
    ) -> None:
        self.max_results = max_results
        self.max_bytes = max_bytes
        self.unacked: dict[tasks.TaskKey, UnackedResult] = {}
        self.total_bytes = 0

    def is_full(self, expected: int) -> bool:
        """Tell whether the store cannot take ``expected`` more results."""
        if self.total_bytes >= self.max_bytes:
            return True
        return len(self.unacked) + expected >= self.max_results

    def add(
        self,
        result: tasks.TaskResult,
        coordinator: members.NodeId | None,
        now_s: float,
    ) -> None:
        """Store ``result``, which the caller sends now."""
        size = encoded_size(result)
        self.total_bytes += size
        self.unacked[result.key] = UnackedResult(
            result=result,
            coordinator=coordinator,
            ended_s=now_s,
            sent_s=now_s,
            size=size,
        )

    def remove(self, key: tasks.TaskKey) -> bool:
        """Remove a result; tell whether it was stored."""
        item = self.unacked.pop(key, None)
        if item is None:
            return False
        self.total_bytes -= item.size
        return True

    def expired(self, now_s: float) -> tuple[tasks.TaskKey, ...]:
        """Return the keys of results past their retention time."""
        cutoff_s = now_s - RETENTION_S
        return tuple(
            key
            for key, item in self.unacked.items()
            if item.ended_s < cutoff_s
        )

    def keys_of_replaced(
        self, coordinator: members.NodeId
    ) -> tuple[tasks.TaskKey, ...]:
        """Return the keys started by earlier incarnations of a node."""
        return tuple(
            key
            for key, item in self.unacked.items()
            if item.coordinator is not None
            and item.coordinator.name == coordinator.name
            and item.coordinator.incarnation < coordinator.incarnation
        )

    def due_for_resend(
        self, now_s: float, *, coordinator: members.NodeId | None = None
    ) -> dict[members.NodeId, list[tasks.TaskResult]]:
        """Return the results to resend now and record the time.

        With ``coordinator``, all of its results are due, even recent ones.
        """
        due: dict[members.NodeId, list[tasks.TaskResult]]
        due = collections.defaultdict(list)
        for item in self.unacked.values():
            if item.coordinator is None:
                continue
            if coordinator is None and now_s - item.sent_s < RESEND_INTERVAL_S:
                continue
            if coordinator is not None and item.coordinator != coordinator:
                continue
            item.sent_s = now_s
            due[item.coordinator].append(item.result)
        return due

    def blocks_drain(self, now_s: float) -> bool:
        """Tell whether an acknowledgement may still be expected."""
        cutoff_s = now_s - DRAIN_ACK_TIMEOUT_S
        return any(item.ended_s >= cutoff_s for item in self.unacked.values())


def batches(
    results: list[tasks.TaskResult],
) -> list[tuple[tasks.TaskResult, ...]]:
    """Split ``results`` into batches that fit into one frame each."""
    split: list[tuple[tasks.TaskResult, ...]] = []
    batch: list[tasks.TaskResult] = []
    batch_bytes = 0
    for item in results:
        size = encoded_size(item)
        if batch and batch_bytes + size > MAX_BATCH_BYTES:
            split.append(tuple(batch))
            batch = []
            batch_bytes = 0
        batch.append(item)
        batch_bytes += size
    if batch:
        split.append(tuple(batch))
    return split
