"""The story of one job, from the log files of several processes."""

import collections.abc
import dataclasses
import datetime
import json
import pathlib
import typing

import result

# Kinds of lines about a process rather than a job, which explain the ends
# of runs on it.
PROCESS_KINDS = frozenset(
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
# Lines about processes count from this long before the job to this long
# after it, in seconds.
MARGIN_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecisionLine:
    """One log line; ``timestamp`` is ISO 8601 in UTC, and sorts as text."""

    timestamp: str
    node: str
    kind: str
    work_id: str
    task: str
    choice: str
    reason: str

    @property
    def text(self) -> str:
        """Return the line as an operator reads it."""
        subject = " ".join(part for part in (self.task, self.choice) if part)
        prefix = f"{self.timestamp} {self.node:<24} {self.kind:<16}"
        return f"{prefix} {subject} {self.reason}"


def parse_line(text: str) -> DecisionLine | None:
    """Return a line of the decision log, nothing for any other line."""
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
    """Return the decisions in several files, oldest first."""
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
    """Return the lines of a job, and what befell the processes it used."""
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
        and line.kind in PROCESS_KINDS
        and is_near(line.timestamp, first, last)
        and processes & set(named_processes(line))
    ]
    return sorted(job_lines + process_lines, key=lambda line: line.timestamp)


def named_processes(line: DecisionLine) -> typing.Iterator[str]:
    """Yield the processes that a line names, without incarnations."""
    yield line.node
    yield line.choice.partition("#")[0]
    yield line.reason.partition("#")[0]


def is_near(timestamp: str, first: str, last: str) -> bool:
    """Tell whether a moment lies near the time of a job."""
    return (
        unix_time_s(first) - MARGIN_S
        <= unix_time_s(timestamp)
        <= unix_time_s(last) + MARGIN_S
    )


def unix_time_s(timestamp: str) -> float:
    """Return the Unix time of an ISO 8601 moment, 0 when malformed."""
    try:
        return datetime.datetime.fromisoformat(timestamp).timestamp()
    except ValueError:
        return 0.0
