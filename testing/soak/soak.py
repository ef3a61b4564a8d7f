"""Runs one soak: load under faults, then recovery and the checks."""

import dataclasses
import random

from twisted.internet import defer

from testing import reactor as reactors
from testing.soak import callers
from testing.soak import faults
from testing.soak import fleet as fleets

# Mean intervals of jobs and faults. The jobs need about half of the
# capacity, so that long ones are seldom refused.
MEAN_JOB_INTERVAL_S = 0.25
MEAN_FAULT_INTERVAL_S = 0.4
# Entries must be ready and serve within this time after the last fault;
# users require recovery within 12 s.
RECOVERY_S = 12.0
START_LIMIT_S = 30.0
# The longest that a caller takes for all its attempts.
SETTLE_LIMIT_S = callers.MAX_ATTEMPTS * (
    callers.ANSWER_TIMEOUT_S + callers.RETRY_DELAY_S
)


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of a soak; it passed if ``violations`` is empty."""

    seed: int
    jobs: int
    completed: int
    injected: tuple[faults.Injection, ...]
    # How often each kind of fault that may be drawn was injected.
    fault_counts: dict[str, int]
    violations: tuple[str, ...]


async def ends_within(limit_s, awaited):
    """Wait for a coroutine or Deferred; tell whether it ended in time."""
    waiting = defer.ensureDeferred(awaited)
    waiting.addTimeout(limit_s, reactors.reactor)
    try:
        await waiting
    except defer.TimeoutError:
        return False
    return True


async def run(seed, *, duration_s, folder, agents=6, groups=faults.ALL_GROUPS):
    """Run one soak with some groups of faults and return its result."""
    rng = random.Random(seed)
    fleet = fleets.Fleet(folder, agents=agents)
    cancels = faults.Group.COMBINED in groups
    job_callers = callers.Callers(fleet, rng, cancels=cancels)
    injector = faults.Faults(fleet, rng, groups=groups)
    violations = []
    try:
        if not await ends_within(START_LIMIT_S, fleet.start()):
            violations.append("the fleet was not ready after its start")
        await submit_under_faults(fleet, job_callers, injector, duration_s)
        # After this only heartbeats of silent endpoints are still missing.
        await reactors.sleep(faults.MAX_FAULT_S)
        fleet.recover()
        calm_s = fleet.reactor.seconds()
        job_callers.cancels = False
        if not await ends_within(
            RECOVERY_S, wait_recovered(fleet, job_callers)
        ):
            violations.append(f"no recovery within {RECOVERY_S} s")
        settled = defer.DeferredList(job_callers.pending, consumeErrors=True)
        await ends_within(SETTLE_LIMIT_S, settled)
        violations += job_callers.violations(calm_s)
        violations += [text for e in fleet.endpoints for text in e.violations]
        violations += fleet.late_starts()
        violations += fleet.unexpected_exits()
    finally:
        fleet.stop()
    return Result(
        seed=seed,
        jobs=len(job_callers.submissions),
        completed=sum(
            b'"completed"' in answer
            for submission in job_callers.submissions
            for _, answer in submission.answers
        ),
        injected=tuple(injector.injected),
        fault_counts=injector.counts(),
        violations=tuple(violations),
    )


async def submit_under_faults(fleet, job_callers, injector, duration_s):
    """Submit jobs and inject faults for ``duration_s`` seconds."""
    until_s = fleet.reactor.seconds() + duration_s
    rng = injector.rng
    next_fault_s = 0.0
    while fleet.reactor.seconds() < until_s:
        await reactors.sleep(rng.expovariate(1.0 / MEAN_JOB_INTERVAL_S))
        job_callers.submit()
        if fleet.reactor.seconds() >= next_fault_s:
            injector.inject()
            pause_s = rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
            next_fault_s = fleet.reactor.seconds() + pause_s


async def wait_recovered(fleet, job_callers):
    """Wait until every entry is ready and a new job completes."""
    await fleet.wait_ready()
    while True:
        job_callers.submit()
        last = job_callers.submissions[-1]
        await job_callers.pending[-1]
        if any(b'"completed"' in body for _, body in last.answers):
            return
