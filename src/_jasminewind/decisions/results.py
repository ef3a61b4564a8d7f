"""Results that a keeper holds until their coordinator has stored them."""

import collections
import dataclasses

import msgspec

from _jasminewind import members
from _jasminewind.messages import tasks

RESEND_S = 1.0
# As long as a coordinator keeps a finished record (10 min).
KEEP_S = 600.0
# A member is forgotten 60 s after it became silent, so a result that waited
# longer does not hold up a drain.
DRAIN_WAIT_S = 60.0
MAX_RESULTS = 4096
MAX_BYTES = 8 << 20
# A frame holds 1 MiB, and JSON text grows when it is quoted in a frame.
MAX_BATCH_BYTES = 512 << 10
MAX_PAYLOAD_BYTES = 900 << 10


def size_of(result: tasks.TaskResult) -> int:
    """Return about how many bytes ``result`` takes in a frame."""
    return len(msgspec.json.encode(result))


@dataclasses.dataclass
class Kept:
    """A result that is not acknowledged; times are monotonic seconds."""

    result: tasks.TaskResult
    coordinator: members.NodeId | None
    ended_s: float
    sent_s: float
    size: int


class ResultStore:
    """Results that are sent again until they are acknowledged.

    No result is dropped to make room. When the store is full, the keeper
    refuses new starts until results are acknowledged or expire.
    """

    def __init__(
        self, *, max_results: int = MAX_RESULTS, max_bytes: int = MAX_BYTES
    ) -> None:
        self.max_results = max_results
        self.max_bytes = max_bytes
        self.kept: dict[tasks.TaskKey, Kept] = {}
        self.bytes = 0

    def is_full(self, expected: int) -> bool:
        """Tell whether ``expected`` more results would not fit."""
        if self.bytes >= self.max_bytes:
            return True
        return len(self.kept) + expected >= self.max_results

    def add(
        self,
        result: tasks.TaskResult,
        coordinator: members.NodeId | None,
        now_s: float,
    ) -> None:
        """Keep ``result``, which is sent now."""
        size = size_of(result)
        self.bytes += size
        self.kept[result.key] = Kept(
            result=result,
            coordinator=coordinator,
            ended_s=now_s,
            sent_s=now_s,
            size=size,
        )

    def remove(self, key: tasks.TaskKey) -> bool:
        """Drop a result; tell whether it was kept."""
        kept = self.kept.pop(key, None)
        if kept is None:
            return False
        self.bytes -= kept.size
        return True

    def expired(self, now_s: float) -> tuple[tasks.TaskKey, ...]:
        """Return the keys of results that nobody asked for in time."""
        limit_s = now_s - KEEP_S
        return tuple(
            key for key, kept in self.kept.items() if kept.ended_s < limit_s
        )

    def of_replaced(
        self, coordinator: members.NodeId
    ) -> tuple[tasks.TaskKey, ...]:
        """Return the keys that earlier incarnations of a node started."""
        return tuple(
            key
            for key, kept in self.kept.items()
            if kept.coordinator is not None
            and kept.coordinator.name == coordinator.name
            and kept.coordinator.incarnation < coordinator.incarnation
        )

    def due(
        self, now_s: float, *, coordinator: members.NodeId | None = None
    ) -> dict[members.NodeId, list[tasks.TaskResult]]:
        """Return results to send again, and note that they are sent.

        With ``coordinator`` all of its results are due, whatever their age.
        """
        due: dict[members.NodeId, list[tasks.TaskResult]]
        due = collections.defaultdict(list)
        for kept in self.kept.values():
            if kept.coordinator is None:
                continue
            if coordinator is None and now_s - kept.sent_s < RESEND_S:
                continue
            if coordinator is not None and kept.coordinator != coordinator:
                continue
            kept.sent_s = now_s
            due[kept.coordinator].append(kept.result)
        return due

    def holds_up_drain(self, now_s: float) -> bool:
        """Tell whether a result is recent enough to wait for its ack."""
        limit_s = now_s - DRAIN_WAIT_S
        return any(kept.ended_s >= limit_s for kept in self.kept.values())


def batches(
    results: list[tasks.TaskResult],
) -> list[tuple[tasks.TaskResult, ...]]:
    """Split ``results`` so that each part fits into one frame."""
    parts: list[tuple[tasks.TaskResult, ...]] = []
    part: list[tasks.TaskResult] = []
    part_bytes = 0
    for item in results:
        size = size_of(item)
        if part and part_bytes + size > MAX_BATCH_BYTES:
            parts.append(tuple(part))
            part = []
            part_bytes = 0
        part.append(item)
        part_bytes += size
    if part:
        parts.append(tuple(part))
    return parts
