"""Deduplication of submissions by id, and retention of their answers.

A coordinator records an id before it starts any of its tasks. A resubmission
joins the record of the first submission. A finished record is kept for
``RETENTION_S``; then the shard's floor is raised past its id, so that an id
without a record is never accepted as a new one.
"""

import collections
import collections.abc
import dataclasses
import enum

import result

from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.messages import ownership as messages
from _jasminewind.messages import work

RETENTION_S = 10 * 60.0
DEFAULT_MAX_RECORDS = 200_000
# Refusals are bounded separately, so that a burst of refused work does not
# displace records of accepted work.
DEFAULT_MAX_REFUSALS = 200_000
# Equal errors share one object, of which this many are cached.
MAX_SHARED_ERRORS = 1_024


class Refusal(enum.StrEnum):
    """Why an id was not accepted.

    ``FULL`` means that it was not run, as nothing was recorded. With
    ``FORGOTTEN`` it may have run, as its record may have been dropped.
    """

    FULL = "full"
    FORGOTTEN = "forgotten"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreError:
    """Why the store did not accept an id."""

    refusal: Refusal
    reason: str


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """One recorded id and, once finished, its answer.

    ``submit`` is ``None`` in a finished, refused or handed-over record.
    ``requesters`` are the processes that wait for the answer.
    ``answer_or_error`` holds only the error for failed work, which equal
    errors share. ``is_refusal`` marks a record that counts as a refusal.
    """

    work_id: str
    shard: int
    submit: work.Submit | None = None
    answer_or_error: work.Answer | errors.WorkError | None = None
    finished_s: float | None = None
    requesters: tuple[members.NodeId, ...] = ()
    is_refusal: bool = False

    @property
    def answer(self) -> work.Answer | None:
        """Return the answer, ``None`` while the work is unfinished."""
        if isinstance(self.answer_or_error, errors.WorkError):
            return work.Answer(
                work_id=self.work_id,
                state=work.WorkState.FAILED,
                error=self.answer_or_error,
            )
        return self.answer_or_error

    def is_finished(self) -> bool:
        """Tell whether the answer is known."""
        return self.answer_or_error is not None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """An accepted id; ``is_new`` is false when a record was joined."""

    record: Record
    is_new: bool


class SubmissionStore:
    """Records of accepted and refused ids.

    At most ``max_records`` records of accepted work. Records of refused
    work take little memory and are bounded separately, by ``max_refusals``.
    """

    def __init__(
        self,
        *,
        max_records: int = DEFAULT_MAX_RECORDS,
        max_refusals: int = DEFAULT_MAX_REFUSALS,
    ) -> None:
        self.max_records = max_records
        self.max_refusals = max_refusals
        self.records: dict[str, Record] = {}
        self.refusal_count = 0
        self.finished: collections.deque[Record] = collections.deque()
        self.floors: dict[int, int] = {}
        self.shared_errors: dict[errors.WorkError, errors.WorkError] = {}

    def __len__(self) -> int:
        return len(self.records)

    def find(self, work_id: str) -> Record | None:
        """Return the record of an id, if there is one."""
        return self.records.get(work_id)

    def floor_ms(self, shard: int) -> int:
        """Return the id timestamp up to which records may be dropped."""
        return self.floors.get(shard, 0)

    def is_full(self) -> bool:
        """Tell whether no further id can be accepted."""
        return len(self.records) - self.refusal_count >= self.max_records

    def accept(
        self,
        submit: work.Submit,
        *,
        shard: int,
        sender: members.NodeId,
    ) -> result.Result[Accepted, StoreError]:
        """Record an id, or join its existing record.

        Call this only when ownership accepts the id, or when :meth:`find`
        returns a record.
        """
        known = self.records.get(submit.work_id)
        if known is not None:
            if not known.is_finished() and sender not in known.requesters:
                known.requesters = (*known.requesters, sender)
            return result.Ok(Accepted(record=known, is_new=False))
        if ids.time_ms(submit.work_id) <= self.floor_ms(shard):
            return result.Err(
                StoreError(
                    refusal=Refusal.FORGOTTEN,
                    reason=(
                        "the record of this id may have been dropped, so "
                        "it may have run; submit new work under a new id"
                    ),
                )
            )
        if self.is_full():
            return result.Err(
                StoreError(
                    refusal=Refusal.FULL,
                    reason=(
                        f"the limit of {self.max_records} recorded "
                        "submissions is reached, so it was not run; submit "
                        "the work again later under a new id"
                    ),
                )
            )
        record = Record(
            work_id=submit.work_id,
            shard=shard,
            submit=submit,
            requesters=(sender,),
        )
        self.records[submit.work_id] = record
        return result.Ok(Accepted(record=record, is_new=True))

    def refuse(
        self,
        work_id: str,
        error: errors.WorkError,
        *,
        shard: int,
        now: core.Instant,
    ) -> bool:
        """Record that an id without a record is refused as not run.

        Returns false when the limit is reached. A copy of the submission
        that arrives later could then be accepted, so the refusal must not
        say that it was not run.
        """
        if work_id in self.records or self.refusal_count >= self.max_refusals:
            return False
        record = Record(work_id=work_id, shard=shard)
        self.records[work_id] = record
        self._finish_record(record, error, now)
        return True

    def finish(
        self, answer: work.Answer, now: core.Instant
    ) -> tuple[members.NodeId, ...]:
        """Store the answer of an id; return its requesters.

        Only the first answer counts: a later one changes nothing and is
        sent to nobody.
        """
        record = self.records.get(answer.work_id)
        if record is None or record.is_finished():
            return ()
        requesters = tuple(sorted(record.requesters))
        self._finish_record(record, answer.error or answer, now)
        return requesters

    def _finish_record(
        self,
        record: Record,
        answer_or_error: work.Answer | errors.WorkError,
        now: core.Instant,
    ) -> None:
        if isinstance(answer_or_error, errors.WorkError):
            answer_or_error = self._intern_error(answer_or_error)
            is_refusal = answer_or_error.outcome is errors.Outcome.NOT_RUN
            if is_refusal and self.refusal_count < self.max_refusals:
                record.is_refusal = True
                self.refusal_count += 1
        record.answer_or_error = answer_or_error
        record.finished_s = now.mono_s
        record.submit = None
        record.requesters = ()
        self.finished.append(record)

    def _intern_error(self, error: errors.WorkError) -> errors.WorkError:
        if len(self.shared_errors) >= MAX_SHARED_ERRORS:
            self.shared_errors.clear()
        return self.shared_errors.setdefault(error, error)

    def receive(
        self, hand_over: messages.HandOver, now: core.Instant
    ) -> messages.HandOverAck:
        """Store the records of a leaving owner; return the acknowledgement.

        Records beyond the limit are dropped: their ids are below the floor
        of this owner's interval, so they are answered as "may have run" and
        never started again.
        """
        for answer in hand_over.answers:
            if answer.work_id in self.records:
                continue
            if self.is_full():
                break
            record = Record(work_id=answer.work_id, shard=hand_over.shard)
            self.records[answer.work_id] = record
            self._finish_record(record, answer.error or answer, now)
        return messages.HandOverAck(
            shard=hand_over.shard,
            epoch=hand_over.epoch,
            sequence=hand_over.sequence,
        )

    def answers(self) -> tuple[work.Answer, ...]:
        """Return the stored answers, oldest first, for a hand-over."""
        return tuple(r.answer for r in self.finished if r.answer is not None)

    def expire(
        self,
        now: core.Instant,
        *,
        raise_floor: collections.abc.Callable[[int, int], None],
        is_accepted: collections.abc.Callable[[str], bool],
    ) -> tuple[int, ...]:
        """Drop expired records; return the shards whose floor was raised.

        ``raise_floor`` gets each new floor before any record is dropped. A
        record whose id is still accepted afterwards is kept for another
        ``RETENTION_S``: without it the id would start a second time.
        """
        expired = self._pop_expired(now)
        raised: set[int] = set()
        for record in expired:
            time_ms = ids.time_ms(record.work_id)
            if time_ms > self.floor_ms(record.shard):
                self.floors[record.shard] = time_ms
                raised.add(record.shard)
        for shard in sorted(raised):
            raise_floor(shard, self.floors[shard])
        for record in expired:
            if is_accepted(record.work_id):
                record.finished_s = now.mono_s
                self.finished.append(record)
                continue
            del self.records[record.work_id]
            self.refusal_count -= record.is_refusal
        return tuple(sorted(raised))

    def _pop_expired(self, now: core.Instant) -> list[Record]:
        """Remove the records that finished ``RETENTION_S`` ago or earlier."""
        expired: list[Record] = []
        while self.finished:
            finished_s = self.finished[0].finished_s
            if finished_s is None or now.mono_s - finished_s < RETENTION_S:
                break
            expired.append(self.finished.popleft())
        return expired
