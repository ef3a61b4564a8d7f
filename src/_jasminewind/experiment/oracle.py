"""Checks answers to callers against the starts that endpoints saw."""

import collections
import collections.abc
import dataclasses

from _jasminewind.decisions import retries
from _jasminewind.experiment import load
from _jasminewind.standins import server


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A broken invariant: its rule, work id and detail."""

    rule: str
    work_id: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Result of a check; ``extra_starts`` counts retries and hedges."""

    violations: tuple[Violation, ...]
    unanswered: int
    extra_starts: int


def check(
    records: collections.abc.Iterable[load.Record],
    starts: collections.abc.Iterable[server.StartRecord],
    *,
    repeatable: frozenset[str],
) -> Verdict:
    """Check the records of one run; ``repeatable`` names methods."""
    starts_by_id = starts_by_work(starts)
    violations: list[Violation] = []
    unanswered = 0
    extra_starts = 0
    for record in records:
        task_starts = starts_by_id.get(record.work_id, {})
        extra_starts += sum(len(each) - 1 for each in task_starts.values())
        violations += check_starts(record, task_starts, repeatable)
        violations += check_answer(record, task_starts)
        # An answer after the timeout does not count: the caller has left.
        if record.status == 0:
            unanswered += 1
    return Verdict(
        violations=tuple(violations),
        unanswered=unanswered,
        extra_starts=extra_starts,
    )


StartsByTask = dict[int, list[server.StartRecord]]


def starts_by_work(
    starts: collections.abc.Iterable[server.StartRecord],
) -> dict[str, StartsByTask]:
    """Group the starts by work id and task index."""
    result: dict[str, StartsByTask] = {}
    for start in starts:
        by_index = result.setdefault(start.key.work_id, {})
        by_index.setdefault(start.key.index, []).append(start)
    return result


def check_starts(
    record: load.Record, task_starts: StartsByTask, repeatable: frozenset[str]
) -> collections.abc.Iterator[Violation]:
    """Yield a violation for each task that was started too often.

    A repeatable task may be retried and hedged, but no attempt may start
    twice.
    """
    for index, starts in task_starts.items():
        method = record.submission.tasks[index].method
        limit = retries.MAX_ATTEMPTS if method in repeatable else 1
        attempts = collections.Counter(each.key.attempt for each in starts)
        if len(starts) > limit or max(attempts.values()) > 1:
            endpoints = [(e.endpoint, e.key.attempt) for e in starts]
            yield Violation(
                rule="started twice",
                work_id=record.work_id,
                detail=f"task {index} of method {method}: {endpoints}",
            )


def check_answer(
    record: load.Record, task_starts: StartsByTask
) -> collections.abc.Iterator[Violation]:
    """Yield the violations of an answer."""
    if record.answers > 1:
        yield violation(record, "answered twice", str(record.answers))
    if record.is_refused() and task_starts:
        yield violation(record, "not run, but started", record.reason)
    if not record.is_complete():
        return
    names = [task.name for task in record.submission.tasks]
    if [each.name for each in record.outputs] != names:
        yield violation(
            record, "partial answer", f"{len(record.outputs)}/{len(names)}"
        )
    if record.answer_id != record.work_id:
        yield violation(record, "answer of another id", record.answer_id)
    for index, each in enumerate(record.outputs):
        if each.number != record.submission.number:
            yield violation(
                record, "answer of another submission", f"task {index}"
            )
        endpoints = [start.endpoint for start in task_starts.get(index, ())]
        if each.payload_endpoint not in endpoints:
            yield violation(
                record,
                "answer without a start",
                f"task {index} at {each.payload_endpoint}, "
                f"started: {endpoints}",
            )


def violation(record: load.Record, rule: str, detail: str) -> Violation:
    """Return a violation of ``rule`` for the work of ``record``."""
    return Violation(rule=rule, work_id=record.work_id, detail=detail)
