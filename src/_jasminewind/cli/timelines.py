"""Merges the decision logs of several processes into a timeline of a job."""

import collections.abc
import dataclasses
import datetime
import json
import pathlib
import typing

import result

# Kinds of decisions on a process, not a job, that explain why tasks on it
# ended.
PROCESS_DECISION_KINDS = frozenset(
    (
        "agent_lost",
        "attach",
        "eject",
        "endpoint_gone",
        "endpoint_state",
        "lease_lapsed",
        "link_lost",
        "owner_lost",
        "reachable",
    )
)
# These decisions are included from this long before a job until this long
# after it.
PROCESS_DECISION_MARGIN_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecisionLine:
    """A line of the decision log.

    ``timestamp`` is ISO 8601 in UTC, so it sorts as text.
    """

    timestamp: str
    node: str
    kind: str
    work_id: str
    task: str
    choice: str
    reason: str

    @property
    def text(self) -> str:
        """Return the line as printed for operators."""
        subject = " ".join(part for part in (self.task, self.choice) if part)
        prefix = f"{self.timestamp} {self.node:<24} {self.kind:<16}"
        return f"{prefix} {subject} {self.reason}"


def parse_line(text: str) -> DecisionLine | None:
    """Parse a log line; return None if it is not a decision."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or fields.get("event") != "decision":
        return None
    return DecisionLine(
        timestamp=str(fields.get("timestamp", "")),
        node=str(fields.get("node", "")),
        kind=str(fields.get("kind", "")),
        work_id=str(fields.get("work_id", "")),
        task=str(fields.get("task", "")),
        choice=str(fields.get("choice", "")),
        reason=str(fields.get("reason", "")),
    )


def read_decisions(
    paths: collections.abc.Iterable[str],
) -> result.Result[list[DecisionLine], str]:
    """Return the decisions in all files, oldest first."""
    lines: list[DecisionLine] = []
    for path in paths:
        try:
            with pathlib.Path(path).open(errors="replace") as file:
                lines += [line for line in map(parse_line, file) if line]
        except OSError as e:
            return result.Err(f"cannot read {path}: {e.strerror}")
    return result.Ok(sorted(lines, key=lambda line: line.timestamp))


def job_timeline(
    lines: list[DecisionLine], work_id: str
) -> list[DecisionLine]:
    """Return the decisions on a job and on the processes it ran on."""
    job_lines = [line for line in lines if line.work_id == work_id]
    if not job_lines:
        return []
    processes = {line.node for line in job_lines} | {
        line.choice for line in job_lines
    }
    processes.discard("")
    first, last = job_lines[0].timestamp, job_lines[-1].timestamp
    process_lines = [
        line
        for line in lines
        if not line.work_id
        and line.kind in PROCESS_DECISION_KINDS
        and is_near(line.timestamp, first, last)
        and processes & set(named_processes(line))
    ]
    return sorted(job_lines + process_lines, key=lambda line: line.timestamp)


def named_processes(line: DecisionLine) -> typing.Iterator[str]:
    """Yield the names of processes in a line, without ``#incarnation``."""
    yield line.node
    yield line.choice.partition("#")[0]
    yield line.reason.partition("#")[0]


def is_near(timestamp: str, first: str, last: str) -> bool:
    """Tell whether a time is within `PROCESS_DECISION_MARGIN_S` of a job."""
    return (
        unix_time_s(first) - PROCESS_DECISION_MARGIN_S
        <= unix_time_s(timestamp)
        <= unix_time_s(last) + PROCESS_DECISION_MARGIN_S
    )


def unix_time_s(timestamp: str) -> float:
    """Return the Unix time of an ISO 8601 timestamp, 0 if it is malformed."""
    try:
        return datetime.datetime.fromisoformat(timestamp).timestamp()
    except ValueError:
        return 0.0
