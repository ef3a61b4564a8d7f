"""A client that submits jobs and requests and records their replies."""

import collections.abc
import concurrent.futures
import dataclasses
import http.client
import random
import threading
import time
import typing

from _jasminewind import ids
from _jasminewind.experiment import fleets
from testing.fleet import system as systems

SUBMIT_JOB = "jasminewind.v1.JobService/SubmitJob"
CALL = "jasminewind.v1.RequestService/Call"
SERVICE = "hutch-orders"
# Example configuration: "quote" is repeatable, "cut-list" is not.
REPEATABLE = "quote"
NOT_REPEATABLE = "cut-list"
LOST = "LOST"
COMPLETE = "COMPLETE"
DEADLINE_S = 30.0
# An entry looks up the owner of an id for 15 s or until the deadline. A
# test waits for its last submissions, so their deadline is short.
TRAFFIC_DEADLINE_S = 5.0
SUBMIT_INTERVAL_S = 0.05
MAX_ATTEMPTS = 40


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """A job or request to submit."""

    work_id: str
    method: str
    tasks: int
    is_job: bool
    run_s: float
    deadline_s: float

    def rpc(self) -> str:
        """Return the name of the RPC that submits it."""
        return SUBMIT_JOB if self.is_job else CALL

    def tag(self, index: int) -> str:
        """Return the tag that the output of a task must echo."""
        return f"{self.work_id}/{index}"

    def body(self) -> dict[str, typing.Any]:
        """Return the body of the RPC that submits it."""
        common = {
            "id": self.work_id,
            "team": "crew-desk",
            "deadlineS": self.deadline_s,
        }
        tasks = [
            {
                "service": SERVICE,
                "method": self.method,
                "payload": {"run_s": self.run_s, "tag": self.tag(index)},
                "expectedS": self.run_s,
            }
            for index in range(self.tasks)
        ]
        if not self.is_job:
            return common | tasks[0]
        for index, task in enumerate(tasks):
            task["name"] = f"task-{index}"
            task["demand"] = {"cores": 0.5, "memoryMb": 64}
        return common | {"tasks": tasks}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """The result of one attempt at a submission; times in Unix seconds.

    ``outcome`` is COMPLETE, an outcome of the schema, or LOST when the
    connection or the balancer failed before a reply.
    """

    work: Work
    outcome: str
    sent_s: float
    answered_s: float
    body: dict[str, typing.Any]


def send(base_url: str, work: Work) -> Reply:
    """Submit work once and return the reply."""
    sent_s = time.time()
    outcome, body = LOST, {}
    try:
        reply = fleets.call(
            base_url, work.rpc(), work.body(), timeout_s=systems.WAIT_LIMIT_S
        )
    except (OSError, ValueError, http.client.HTTPException) as e:
        body = {"error": repr(e)}
    else:
        body = reply.body
        outcome = outcome_of(reply)
    return Reply(
        work=work,
        outcome=outcome,
        sent_s=sent_s,
        answered_s=time.time(),
        body=body,
    )


def outcome_of(reply: fleets.Reply) -> str:
    """Return the outcome of a reply; LOST for an error of the balancer."""
    if reply.status == 200:
        return COMPLETE
    details = reply.body.get("details", [])
    found = [d["debug"]["outcome"] for d in details if "debug" in d]
    return found[0] if found else LOST


class Client:
    """Submits work drawn from a seed and keeps every reply."""

    def __init__(self, system: systems.System, *, seed: int) -> None:
        self.system = system
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.replies: list[Reply] = []
        self.draw_deadline_s = TRAFFIC_DEADLINE_S

    def new(
        self,
        *,
        shard: int | None = None,
        method: str = NOT_REPEATABLE,
        tasks: int = 1,
        is_job: bool = False,
        run_s: float = 0.02,
        deadline_s: float = DEADLINE_S,
    ) -> Work:
        """Return work with a new id, which falls on ``shard`` if given."""
        while True:
            with self.lock:
                wall_ms = time.time_ns() // 1_000_000
                work_id = ids.new(wall_ms=wall_ms, rng=self.rng)
            found = ids.shard_of(work_id, shard_count=systems.SHARDS)
            if shard in (None, found):
                break
        return Work(
            work_id=work_id,
            method=method,
            tasks=tasks,
            is_job=is_job,
            run_s=run_s,
            deadline_s=deadline_s,
        )

    def submit(self, work: Work, *, entry: int | None = None) -> Reply:
        """Submit work once, through the balancer or the given entry."""
        layout = self.system.layout
        base_url = layout.url() if entry is None else layout.entry_url(entry)
        reply = send(base_url, work)
        with self.lock:
            self.replies.append(reply)
        if reply.outcome != COMPLETE:
            # Shown by pytest when the test fails; the processes' logs have
            # the decisions on the id.
            print(reply)
        return reply

    def submit_until_answered(self, work: Work) -> Reply:
        """Submit until a reply arrives.

        Retries keep the id, as those of a caller whose reply was lost do.
        """
        for _ in range(MAX_ATTEMPTS):
            reply = self.submit(work)
            if reply.outcome != LOST:
                return reply
            time.sleep(SUBMIT_INTERVAL_S)
        raise AssertionError(f"no reply in {MAX_ATTEMPTS} attempts: {reply}")

    def complete_one(self, **fields: typing.Any) -> Reply:
        """Submit new work until one submission completes."""
        limit_s = time.monotonic() + systems.WAIT_LIMIT_S
        while time.monotonic() < limit_s:
            reply = self.submit_until_answered(self.new(**fields))
            if reply.outcome == COMPLETE:
                return reply
            time.sleep(SUBMIT_INTERVAL_S)
        raise AssertionError(f"no submission completed: {reply}")

    def draw(self) -> Work:
        """Return random work."""
        with self.lock:
            is_job = self.rng.random() < 0.4
            method = NOT_REPEATABLE if self.rng.random() < 0.5 else REPEATABLE
            tasks = self.rng.randint(2, 6) if is_job else 1
            run_s = self.rng.choice((0.01, 0.03, 0.1))
        return self.new(
            method=method,
            tasks=tasks,
            is_job=is_job,
            run_s=run_s,
            deadline_s=self.draw_deadline_s,
        )


class Traffic:
    """Background load from threads that submit until the context exits.

    Every fifth submission is sent twice: the second time directly to one of
    the entries in turn if ``direct``, else through the balancer.
    """

    def __init__(
        self,
        client: Client,
        *,
        threads: int = 6,
        direct: bool = True,
        draw: collections.abc.Callable[[], Work] | None = None,
    ) -> None:
        self.client = client
        self.draw = draw or client.draw
        self.direct = direct
        self.stopping = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(threads)
        self.futures = [self.pool.submit(self.run) for _ in range(threads)]

    def __enter__(self) -> "Traffic":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stopping.set()
        self.pool.shutdown()
        if exc_info[0] is None:
            for future in self.futures:
                future.result()

    def run(self) -> None:
        """Submit work one after the other; send every fifth twice."""
        count = 0
        while not self.stopping.is_set():
            work = self.draw()
            self.client.submit_until_answered(work)
            count += 1
            if count % 5 == 0:
                entries = len(self.client.system.layout.entries)
                entry = count // 5 % entries if self.direct else None
                self.client.submit(work, entry=entry)
            self.stopping.wait(SUBMIT_INTERVAL_S)
