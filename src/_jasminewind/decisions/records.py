"""Records of the ids that a coordinator has accepted."""

import collections.abc
import dataclasses

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.messages import work

RETENTION_S = 600.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """One accepted id: who asked for it, and its answer when finished."""

    work_id: str
    submit: work.Submit | None = None
    requesters: list[members.NodeId] = dataclasses.field(default_factory=list)
    answer: work.Answer | None = None
    finished_s: float = 0.0


class Ledger:
    """Accepted ids and their records.

    An id is forgotten only when ownership no longer accepts it, because a
    forgotten id that is still accepted would start a second time.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.open_count = 0

    def find(self, work_id: str) -> Record | None:
        """Return the record of an id that was accepted or handed over."""
        return self.records.get(work_id)

    def open(
        self,
        work_id: str,
        submit: work.Submit,
        requester: members.NodeId,
        now: core.Instant,
    ) -> Record:
        """Record a newly accepted id."""
        del now
        record = Record(work_id=work_id, submit=submit, requesters=[requester])
        self.records[work_id] = record
        self.open_count += 1
        return record

    def join(self, work_id: str, requester: members.NodeId) -> None:
        """Add a requester that gets the same answer."""
        record = self.records[work_id]
        if requester not in record.requesters:
            record.requesters.append(requester)

    def finish(
        self, answer: work.Answer, now: core.Instant
    ) -> tuple[members.NodeId, ...]:
        """Store the first answer of an id and return its requesters."""
        record = self.records.get(answer.work_id)
        if record is None:
            record = Record(work_id=answer.work_id)
            self.records[answer.work_id] = record
            self.open_count += 1
        if record.answer is not None:
            return ()
        record.answer = answer
        record.finished_s = now.mono_s
        record.submit = None
        self.open_count -= 1
        requesters = tuple(record.requesters)
        record.requesters = []
        return requesters

    def answers(self) -> collections.abc.Iterator[work.Answer]:
        """Return the stored answers."""
        for record in self.records.values():
            if record.answer is not None:
                yield record.answer

    def expire(
        self,
        now: core.Instant,
        is_accepted: collections.abc.Callable[[str], bool],
    ) -> int:
        """Forget old finished records whose ids are no longer accepted."""
        limit_s = now.mono_s - RETENTION_S
        old = [
            record.work_id
            for record in self.records.values()
            if record.answer is not None and record.finished_s < limit_s
        ]
        forgotten = 0
        for work_id in old:
            if not is_accepted(work_id):
                del self.records[work_id]
                forgotten += 1
        return forgotten
