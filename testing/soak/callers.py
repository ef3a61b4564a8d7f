"""Callers that submit and retry jobs, and checks of their replies."""

import dataclasses
import json

from twisted.internet import defer

from testing import reactor as reactors

# Pause of a caller before it retries a job without a reply.
RETRY_DELAY_S = 1.3
ANSWER_TIMEOUT_S = 6.0
MAX_ATTEMPTS = 12
# The longest tasks still run when the job is retried.
RUN_TIMES_S = (0.05, 0.1, 0.3, 1.2, 3.0, 3.0)
# A cancelled job starts nothing this long after the reply, and after the
# last fault.
CANCEL_LIMIT_S = 3.0
CANCELLED_SHARE = 0.15
LOST_STATUSES = (502, 504)
REFUSED_STATUS = 503


@dataclasses.dataclass
class Submission:
    """One job with the status and body of each reply; status 0 is none."""

    job: str
    count: int
    answers: list[tuple[int, bytes]] = dataclasses.field(default_factory=list)
    is_answered: bool = False
    # When a cancellation was answered with a 2xx, infinite if none was.
    cancelled_s: float = float("inf")

    def tasks(self):
        """Return the names of the tasks."""
        return {f"{self.job}.0.0.{index}" for index in range(self.count)}


class Callers:
    """Submits random jobs to random entries and records the replies."""

    def __init__(self, fleet, rng, *, cancels):
        self.cancels = cancels
        self.fleet = fleet
        self.rng = rng
        self.submissions = []
        self.pending = []

    def submit(self):
        """Submit a random job in the background."""
        number = len(self.submissions) + 1
        count = self.rng.randint(1, 5)
        work_s = self.rng.choice(RUN_TIMES_S)
        cores = self.rng.choice((1.0, 2.0, 3.0))
        submission = Submission(job=f"{number:016x}", count=count)
        self.submissions.append(submission)
        body = {
            "specification": json.dumps({"cores": cores, "work_s": work_s}),
            "best-effort": True,
            "steps": [
                {
                    "count": count,
                    "cpu-millicores": int(cores * 1000),
                    "memory-request-mb": 64,
                    "estimated-ms": work_s * 1000,
                }
            ],
        }
        answered = defer.ensureDeferred(
            self.submit_until_answered(submission, body)
        )
        self.pending.append(answered)
        if self.cancels and self.rng.random() < CANCELLED_SHARE:
            cancelled = defer.ensureDeferred(
                self.cancel(submission, self.rng.uniform(0.1, 3.0))
            )
            self.pending.append(cancelled)

    async def cancel(self, submission, after_s):
        """Cancel a job at a random entry after a while."""
        await reactors.sleep(after_s)
        name = self.rng.choice(self.fleet.entry_names)
        client = self.fleet.client(self.fleet.caller_ports[name])
        found = await client.send(
            b"DELETE",
            f"/quotes/{submission.job}",
            timeout_s=ANSWER_TIMEOUT_S,
            headers={"host": "orders.example"},
        )
        await client.close()
        if found.is_ok() and found.unwrap().status in (200, 202):
            submission.cancelled_s = self.fleet.reactor.seconds()

    async def submit_until_answered(self, submission, body):
        """Send a job until it is answered; go to the next entry each time."""
        names = self.rng.sample(
            self.fleet.entry_names, len(self.fleet.entry_names)
        )
        for attempt in range(MAX_ATTEMPTS):
            name = names[attempt % len(names)]
            status = await self.send(submission, body, name)
            if status and status not in LOST_STATUSES:
                submission.is_answered = True
                return
            await reactors.sleep(RETRY_DELAY_S)

    async def send(self, submission, body, name):
        """Send a job to one entry; return the status, 0 for no reply."""
        client = self.fleet.client(self.fleet.caller_ports[name])
        headers = {
            "host": "orders.example",
            "content-type": "application/json",
            "x-deadline-milliseconds": str(int(ANSWER_TIMEOUT_S * 1000)),
        }
        found = await client.send(
            b"POST",
            f"/quotes/{submission.job}",
            json.dumps(body).encode(),
            timeout_s=ANSWER_TIMEOUT_S,
            headers=headers,
        )
        await client.close()
        status, text = 0, b""
        if found.is_ok():
            status, text = found.unwrap().status, found.unwrap().body
        submission.answers.append((status, text))
        return status

    def violations(self, calm_s):
        """Return the violations in the replies to all jobs.

        There were no faults after ``calm_s``.
        """
        done = set()
        last_starts_s = {}
        for endpoint in self.fleet.endpoints:
            done |= endpoint.done
            for at_s, key in endpoint.starts:
                last_starts_s[key.task] = max(
                    at_s, last_starts_s.get(key.task, 0.0)
                )
        found = []
        for submission in self.submissions:
            found += submission_violations(
                submission, done, set(last_starts_s)
            )
            limit_s = max(submission.cancelled_s, calm_s) + CANCEL_LIMIT_S
            found += [
                f"{task} starts after its job was cancelled"
                for task in sorted(submission.tasks())
                if last_starts_s.get(task, 0.0) > limit_s
            ]
        return found


def submission_violations(submission, done, started):
    """Yield the violations in the replies to one job."""
    name = f"job {submission.job}"
    if not submission.is_answered:
        yield f"{name}: no answer, {submission.answers}"
    for status, body in submission.answers:
        if status == 200:
            state = json.loads(body)["state"]
            missing = submission.tasks() - done
            if state == "completed" and missing:
                yield f"{name}: completed without {sorted(missing)}"
        elif status not in (0, REFUSED_STATUS, *LOST_STATUSES):
            yield f"{name}: status {status}, {body!r}"
    statuses = {status for status, _ in submission.answers}
    if statuses == {REFUSED_STATUS} and submission.tasks() & started:
        yield f"{name}: refused as not run, but it ran"
