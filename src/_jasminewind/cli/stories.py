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
class Line:
    """One log line; ``at`` is ISO 8601 in UTC, and sorts as text."""

    at: str
    node: str
    kind: str
    job: str
    task: str
    choice: str
    reason: str

    @property
    def text(self) -> str:
        """Return the line as an operator reads it."""
        subject = " ".join(part for part in (self.task, self.choice) if part)
        where = f"{self.at} {self.node:<24} {self.kind:<16}"
        return f"{where} {subject} {self.reason}"


def parse(text: str) -> Line | None:
    """Return a line of the decision log, nothing for any other line."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        found = json.loads(text[begin:])
    except ValueError:
        return None
    if not isinstance(found, dict) or found.get("event") != "decision":
        return None
    return Line(
        at=str(found.get("timestamp", "")),
        node=str(found.get("node", "")),
        kind=str(found.get("kind", "")),
        job=str(found.get("work_id", "")),
        task=str(found.get("task", "")),
        choice=str(found.get("choice", "")),
        reason=str(found.get("reason", "")),
    )


def read(
    paths: collections.abc.Iterable[str],
) -> result.Result[list[Line], str]:
    """Return the decisions in several files, oldest first."""
    lines: list[Line] = []
    for path in paths:
        try:
            with pathlib.Path(path).open(errors="replace") as file:
                lines += [line for line in map(parse, file) if line]
        except OSError as e:
            return result.Err(f"cannot read {path}: {e.strerror}")
    return result.Ok(sorted(lines, key=lambda line: line.at))


def story(lines: list[Line], job: str) -> list[Line]:
    """Return the lines of a job, and what befell the processes it used."""
    own = [line for line in lines if line.job == job]
    if not own:
        return []
    names = {line.node for line in own} | {line.choice for line in own}
    names.discard("")
    first, last = own[0].at, own[-1].at
    beside = [
        line
        for line in lines
        if not line.job
        and line.kind in PROCESS_KINDS
        and is_near(line.at, first, last)
        and names & set(mentioned(line))
    ]
    return sorted(own + beside, key=lambda line: line.at)


def mentioned(line: Line) -> typing.Iterator[str]:
    """Yield the processes that a line names, without incarnations."""
    yield line.node
    yield line.choice.partition("#")[0]
    yield line.reason.partition("#")[0]


def is_near(at: str, first: str, last: str) -> bool:
    """Tell whether a moment lies near the time of a job."""
    return seconds(first) - MARGIN_S <= seconds(at) <= seconds(last) + MARGIN_S


def seconds(at: str) -> float:
    """Return the Unix time of an ISO 8601 moment, 0 when malformed."""
    try:
        return datetime.datetime.fromisoformat(at).timestamp()
    except ValueError:
        return 0.0
