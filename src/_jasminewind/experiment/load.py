"""Open-loop load generator that simulates callers and the balancer.

It calls the entries round-robin, as the platform's balancer does, because a
balancer in Python would limit the load. A call without a response goes to
the next entry under the same id. It counts as a resubmission if the first
call may have been sent, as when a client believes its job lost.
"""

import base64
import collections.abc
import dataclasses
import time
import typing

import msgspec
from twisted.internet import defer

from _jasminewind import errors
from _jasminewind import members
from _jasminewind.api.pb import errors_pb2
from _jasminewind.experiment import client
from _jasminewind.experiment import demand
from _jasminewind.messages import work

JOB_PATH = "/jasminewind.v1.JobService/SubmitJob"
REQUEST_PATH = "/jasminewind.v1.RequestService/Call"
# A submission counts as unanswered this long after its deadline.
ANSWER_GRACE_S = 3.0
RESUBMIT_DELAY_S = 0.1
# An entry that gave no response is skipped for this long, as a balancer
# skips one that fails its health check.
ENTRY_UNHEALTHY_S = 0.5


@dataclasses.dataclass(kw_only=True)
class Record:
    """Outcome of one submission; times in seconds since the start.

    ``status`` is the HTTP status, 0 while there is no answer. ``answers``
    counts final answers, also late ones. ``outputs`` are those of a
    complete answer.
    """

    submission: demand.Submission
    work_id: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    answers: int = 0
    resubmissions: int = 0
    outcome: errors.Outcome | None = None
    code: str = ""
    reason: str = ""
    answer_id: str = ""
    outputs: tuple["Output", ...] = ()

    def response_s(self) -> float:
        """Return the time from the scheduled arrival to the answer."""
        return self.ended_s - self.submission.at_s

    def is_complete(self) -> bool:
        """Tell whether the complete result arrived."""
        return self.status == 200

    def is_in_time(self) -> bool:
        """Tell whether the complete result arrived within the deadline."""
        return (
            self.is_complete()
            and self.response_s() <= self.submission.deadline_s
        )

    def is_refused(self) -> bool:
        """Tell whether the answer says that nothing was run."""
        return self.outcome is errors.Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Output:
    """Result of one task, with the number and endpoint in its payload."""

    name: str
    endpoint: str
    run_s: float
    number: int
    payload_endpoint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadResult:
    """All records, and whether the generator was the bottleneck.

    ``start_wall_s`` is Unix time. ``processor_share`` is the generator's
    processor time over elapsed time; ``lateness_s`` holds, for each
    submission, the delay from its scheduled time to its sending.
    """

    records: list[Record]
    start_wall_s: float
    processor_share: float
    lateness_s: list[float]


class Generator:
    """Sends submissions at their scheduled times."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        entries: collections.abc.Sequence[members.Address],
        submissions: collections.abc.Sequence[demand.Submission],
        seed: int = 0,
    ) -> None:
        self.reactor = reactor
        self.submissions = submissions
        self.seed = seed
        self.pools = [
            client.Pool(reactor=reactor, host=each.host, port=each.port)
            for each in entries
        ]
        self.unhealthy_until_s = [0.0] * len(self.pools)
        self.last_entry_index = 0
        self.start_s = 0.0
        self.start_wall_s = 0.0
        self.records: list[Record] = []
        self.pending = 0
        self.next_index = 0
        self.done: defer.Deferred[None] = defer.Deferred()
        self.lateness_s: list[float] = []

    async def run(self) -> LoadResult:
        """Submit everything; return when all are answered or timed out."""
        processor_s = time.process_time()
        self.start_s = self.reactor.seconds()
        self.start_wall_s = time.time()
        self.schedule_next()
        await self.done
        elapsed_s = self.seconds()
        processor_s = time.process_time() - processor_s
        for pool in self.pools:
            pool.close()
        return LoadResult(
            records=self.records,
            start_wall_s=self.start_wall_s,
            processor_share=processor_s / max(elapsed_s, 1e-9),
            lateness_s=self.lateness_s,
        )

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return self.reactor.seconds() - self.start_s

    def schedule_next(self) -> None:
        """Set the timer of the next submission."""
        if self.next_index >= len(self.submissions):
            self.finish_if_done()
            return
        wait_s = self.submissions[self.next_index].at_s - self.seconds()
        self.reactor.callLater(max(wait_s, 0.0), self.submit_due)

    def submit_due(self) -> None:
        """Send every submission that is due."""
        while self.next_index < len(self.submissions):
            item = self.submissions[self.next_index]
            now_s = self.seconds()
            if item.at_s > now_s:
                break
            self.next_index += 1
            self.lateness_s.append(now_s - item.at_s)
            self.submit(item, now_s)
        self.schedule_next()

    def submit(self, item: demand.Submission, now_s: float) -> None:
        """Send one submission and start its timeout."""
        wall_ms = time.time_ns() // 1_000_000
        record = Record(
            submission=item, work_id=item.work_id(wall_ms), sent_s=now_s
        )
        self.records.append(record)
        self.pending += 1
        limit_s = item.deadline_s + ANSWER_GRACE_S
        timeout = self.reactor.callLater(limit_s, self.give_up, record)
        body = encode(item, record.work_id)
        self.send(record, body, timeout)

    def send(self, record: Record, body: bytes, timeout: typing.Any) -> None:
        """Send or resend a submission to the next healthy entry."""
        if not timeout.active():
            return
        index = self.next_entry()
        is_job = record.submission.kind is work.WorkKind.JOB
        self.pools[index].call(
            JOB_PATH if is_job else REQUEST_PATH,
            body,
            lambda response: self.handle_response(
                record, body, timeout, index, response
            ),
        )

    def next_entry(self) -> int:
        """Return the index of the next healthy entry, round-robin."""
        now_s = self.seconds()
        count = len(self.pools)
        for _ in range(count):
            self.last_entry_index = (self.last_entry_index + 1) % count
            if self.unhealthy_until_s[self.last_entry_index] <= now_s:
                break
        return self.last_entry_index

    def handle_response(
        self,
        record: Record,
        body: bytes,
        timeout: typing.Any,
        index: int,
        response: client.Response,
    ) -> None:
        """Record an answer, or resubmit after a delay without one."""
        if response.status == 0:
            self.unhealthy_until_s[index] = self.seconds() + ENTRY_UNHEALTHY_S
            if response.is_sent:
                record.resubmissions += 1
            self.reactor.callLater(
                RESUBMIT_DELAY_S, self.send, record, body, timeout
            )
            return
        record.answers += 1
        if not timeout.active():
            return
        timeout.cancel()
        record.ended_s = self.seconds()
        decode(record, response)
        self.complete_one()

    def give_up(self, record: Record) -> None:
        """Record that a submission timed out."""
        record.ended_s = self.seconds()
        self.complete_one()

    def complete_one(self) -> None:
        """Count a submission as answered or timed out."""
        self.pending -= 1
        self.finish_if_done()

    def finish_if_done(self) -> None:
        """End the run once all submissions are sent and complete."""
        is_all_submitted = self.next_index >= len(self.submissions)
        if is_all_submitted and self.pending == 0 and not self.done.called:
            self.done.callback(None)


def payload(item: demand.Submission, task: demand.TaskDemand) -> object:
    """Return the run time to simulate and a number to be echoed."""
    return {"run_s": task.run_s, "number": item.number}


def encode(item: demand.Submission, work_id: str) -> bytes:
    """Return the JSON body of the call."""
    body: dict[str, typing.Any] = {
        "id": work_id,
        "team": item.team,
        "deadlineS": item.deadline_s,
    }
    if item.kind is work.WorkKind.REQUEST:
        task = item.tasks[0]
        body["service"] = item.service
        body["method"] = task.method
        body["payload"] = payload(item, task)
        body["expectedS"] = task.declared_s
        return msgspec.json.encode(body)
    body["tasks"] = [
        {
            "name": task.name,
            "service": item.service,
            "method": task.method,
            "payload": payload(item, task),
            "demand": {"cores": task.cores, "memoryMb": task.memory_mb},
            "expectedS": task.declared_s,
        }
        for task in item.tasks
    ]
    return msgspec.json.encode(body)


def decode(record: Record, response: client.Response) -> None:
    """Store a response in its record."""
    record.status = response.status
    try:
        body = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        record.reason = "the body is not JSON"
        return
    if response.status != 200:
        decode_error(record, body)
        return
    record.answer_id = body.get("id", "")
    outputs = body.get("outputs")
    if outputs is None:
        name = record.submission.tasks[0].name
        outputs = [{**body, "name": name}]
    record.outputs = tuple(output(each) for each in outputs)


def output(body: dict[str, typing.Any]) -> Output:
    """Decode one output of an answer."""
    payload_body = body.get("payload")
    echoed = payload_body if isinstance(payload_body, dict) else {}
    echo = echoed.get("echo", {})
    return Output(
        name=body.get("name", ""),
        endpoint=body.get("endpoint", ""),
        run_s=body.get("runS", 0.0),
        number=int(echo.get("number", -1)),
        payload_endpoint=echoed.get("endpoint", ""),
    )


def decode_error(record: Record, body: dict[str, typing.Any]) -> None:
    """Store the error of a response in its record."""
    record.code = body.get("code", "")
    record.reason = body.get("message", "")
    for detail in body.get("details", ()):
        if detail.get("type") != "jasminewind.v1.FailureDetail":
            continue
        value = detail["value"]
        raw = base64.b64decode(value + "=" * (-len(value) % 4))
        failure = errors_pb2.FailureDetail.FromString(raw)
        if failure.outcome:
            name = errors_pb2.Outcome.Name(failure.outcome)
            record.outcome = errors.Outcome(name)
