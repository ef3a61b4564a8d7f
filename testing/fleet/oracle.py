"""Checks a client's replies against the task starts seen by endpoints."""

import collections
import typing

from testing.fleet import system as systems
from testing.fleet import traffic

Start = dict[str, typing.Any]


def check(client: traffic.Client) -> collections.Counter[str]:
    """Fail on any violation; return the reply counts by outcome."""
    wait_idle(client.system)
    starts: dict[str, list[Start]] = collections.defaultdict(list)
    for start in client.system.starts():
        starts[start["key"]["work_id"]].append(start)
    by_id: dict[str, list[traffic.Reply]] = collections.defaultdict(list)
    for reply in client.replies:
        by_id[reply.work.work_id].append(reply)
    violations: list[str] = []
    for work_id, replies in by_id.items():
        violations += start_violations(replies[0].work, starts[work_id])
        for reply in replies:
            violations += reply_violations(reply, replies, starts[work_id])
    assert not violations, "\n".join(violations)
    return collections.Counter(reply.outcome for reply in client.replies)


def wait_idle(system: systems.System) -> None:
    """Wait until no task runs, so that no further start can happen."""
    system.wait(lambda: system.count_running() == 0, "the end of every task")


def start_violations(
    work: traffic.Work, starts: list[Start]
) -> collections.abc.Iterator[str]:
    """Yield duplicate starts (invariants 1 and 5)."""
    keys = collections.Counter(
        (start["key"]["index"], start["key"]["attempt"]) for start in starts
    )
    for key, count in keys.items():
        if count > 1:
            yield f"{work.work_id}: {key} started {count} times: {starts}"
    if work.method != traffic.NOT_REPEATABLE:
        return
    tasks = collections.Counter(start["key"]["index"] for start in starts)
    for index, count in tasks.items():
        if count > 1:
            yield f"{work.work_id}: task {index} ran {count} times: {starts}"


def reply_violations(
    reply: traffic.Reply, replies: list[traffic.Reply], starts: list[Start]
) -> collections.abc.Iterator[str]:
    """Yield contradictions of one reply (invariants 2, 3 and 4)."""
    name = f"{reply.work.work_id} ({reply.outcome})"
    if reply.outcome == traffic.COMPLETE:
        if output_tags(reply) != expected_tags(reply.work):
            yield f"{name}: wrong or missing outputs: {reply.body}"
        missing = set(range(reply.work.tasks)) - {
            start["key"]["index"] for start in starts
        }
        if missing:
            yield f"{name}: tasks {missing} never started"
    elif reply.outcome == "NOT_RUN":
        last_s = max(other.answered_s for other in replies)
        for start in starts:
            if start["started_s"] <= reply.answered_s:
                yield f"{name}: started before: {start} {reply.body}"
            elif reply.answered_s == last_s:
                yield f"{name}: started later: {start} {reply.body}"
    elif reply.outcome == "FAILED_WHILE_RUNNING":
        if not starts:
            yield f"{name}: never started: {reply.body}"
    elif reply.outcome not in ("MAY_HAVE_RUN", traffic.LOST):
        yield f"{name}: unknown outcome: {reply.body}"


def output_tags(reply: traffic.Reply) -> list[str]:
    """Return the tags echoed by the outputs of a reply, in order."""
    if not reply.work.is_job:
        return [reply.body["payload"]["echo"]["tag"]]
    outputs = reply.body.get("outputs", [])
    return [output["payload"]["echo"]["tag"] for output in outputs]


def expected_tags(work: traffic.Work) -> list[str]:
    """Return the tags that a complete reply echoes, in order."""
    return [work.tag(index) for index in range(work.tasks)]
