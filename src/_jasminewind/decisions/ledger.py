"""Accepted ids and their records.

A coordinator asks the ledger before it starts anything. The ledger joins a
resubmission to the record of the first submission, keeps a finished record
for ``RETENTION_S`` and then raises the shard's floor past it, so that an
id that it no longer remembers is never taken for a new one.
"""

import collections
import dataclasses
import enum

import result

from _jasminewind import ids
from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.messages import ownership as messages
from _jasminewind.messages import work

RETENTION_S = 10 * 60.0
DEFAULT_MAX_RECORDS = 200_000


class Refusal(enum.StrEnum):
    """Why an id was not accepted.

    ``FULL`` proves that it was not run: nothing was recorded. With
    ``FORGOTTEN`` it may have run, because its record can have been
    dropped.
    """

    FULL = "full"
    FORGOTTEN = "forgotten"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerError:
    """A refused id."""

    refusal: Refusal
    reason: str


@dataclasses.dataclass(kw_only=True)
class Record:
    """One accepted id. ``submit`` is ``None`` for a received record.

    ``waiting`` are the processes that want the answer.
    """

    work_id: str
    shard: int
    submit: work.Submit | None = None
    answer: work.Answer | None = None
    ended_s: float | None = None
    waiting: set[members.NodeId] = dataclasses.field(default_factory=set)

    def is_finished(self) -> bool:
        """Tell whether the one answer exists."""
        return self.answer is not None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admission:
    """An accepted id; ``is_new`` is false when a record was joined."""

    record: Record
    is_new: bool


class Ledger:
    """Records of accepted ids, at most ``max_records`` of them."""

    def __init__(self, *, max_records: int = DEFAULT_MAX_RECORDS) -> None:
        self.max_records = max_records
        self.records: dict[str, Record] = {}
        self.finished: collections.deque[Record] = collections.deque()
        self.floors: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.records)

    def find(self, work_id: str) -> Record | None:
        """Return the record of an id, if it is remembered."""
        return self.records.get(work_id)

    def floor_ms(self, shard: int) -> int:
        """Return the id time up to which records may be forgotten."""
        return self.floors.get(shard, 0)

    def accept(
        self,
        submit: work.Submit,
        *,
        shard: int,
        sender: members.NodeId,
    ) -> result.Result[Admission, LedgerError]:
        """Record an id, or join the record that it has.

        Call this only when the ownership has judged the id as accepted,
        or when :meth:`find` knows it.
        """
        known = self.records.get(submit.work_id)
        if known is not None:
            if not known.is_finished():
                known.waiting.add(sender)
            return result.Ok(Admission(record=known, is_new=False))
        if ids.time_ms(submit.work_id) <= self.floor_ms(shard):
            return result.Err(
                LedgerError(
                    refusal=Refusal.FORGOTTEN,
                    reason=(
                        "the record of this id may have been dropped; it "
                        "may have run. Submit new work under a new id"
                    ),
                )
            )
        if len(self.records) >= self.max_records:
            return result.Err(
                LedgerError(
                    refusal=Refusal.FULL,
                    reason=(
                        f"{self.max_records} submissions are remembered "
                        "already; it was not run. Submit it again later"
                    ),
                )
            )
        record = Record(work_id=submit.work_id, shard=shard, submit=submit)
        record.waiting.add(sender)
        self.records[submit.work_id] = record
        return result.Ok(Admission(record=record, is_new=True))

    def finish(
        self, answer: work.Answer, now: core.Instant
    ) -> tuple[members.NodeId, ...]:
        """Store the answer of an id; return who waits for it.

        The first answer stays: a further one changes nothing and is
        sent to nobody.
        """
        record = self.records.get(answer.work_id)
        if record is None or record.is_finished():
            return ()
        record.answer = answer
        record.ended_s = now.mono_s
        record.submit = None
        self.finished.append(record)
        waiting = tuple(sorted(record.waiting))
        record.waiting.clear()
        return waiting

    def receive(
        self, hand_over: messages.HandOver, now: core.Instant
    ) -> messages.HandOverAck:
        """Store the records of a leaving owner; return the reply.

        Records beyond the bound are left out: their ids are below the
        floor of this owner's interval, so they are answered as "may have
        run" and never started again.
        """
        for answer in hand_over.answers:
            if answer.work_id in self.records:
                continue
            if len(self.records) >= self.max_records:
                break
            record = Record(
                work_id=answer.work_id,
                shard=hand_over.shard,
                answer=answer,
                ended_s=now.mono_s,
            )
            self.records[answer.work_id] = record
            self.finished.append(record)
        return messages.HandOverAck(
            shard=hand_over.shard,
            epoch=hand_over.epoch,
            sequence=hand_over.sequence,
        )

    def answers(self) -> tuple[work.Answer, ...]:
        """Return the finished answers, oldest first, for a hand-over."""
        return tuple(r.answer for r in self.finished if r.answer is not None)

    def expire(self, now: core.Instant) -> tuple[int, ...]:
        """Drop old records; return the shards whose floor rose."""
        risen: set[int] = set()
        while self.finished:
            record = self.finished[0]
            ended_s = record.ended_s
            if ended_s is None or now.mono_s - ended_s < RETENTION_S:
                break
            self.finished.popleft()
            del self.records[record.work_id]
            time_ms = ids.time_ms(record.work_id)
            if time_ms > self.floor_ms(record.shard):
                self.floors[record.shard] = time_ms
                risen.add(record.shard)
        return tuple(sorted(risen))
