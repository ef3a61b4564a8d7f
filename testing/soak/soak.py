"""One soak: faults and load for a while, then recovery and a verdict."""

import dataclasses
import random

from twisted.internet import defer

from testing import reactor as reactors
from testing.soak import callers
from testing.soak import faults
from testing.soak import fleet as fleets

# Jobs and faults come at random times with these mean pauses. The jobs need
# about half of the capacity, so that long ones are seldom refused.
JOB_PAUSE_S = 0.25
FAULT_PAUSE_S = 0.4
# Entries are ready and serve again this long after the last fault; the
# users' bound for recovery is 12 s.
RECOVERY_S = 12.0
START_LIMIT_S = 30.0
# The most that a caller needs: all its attempts.
SETTLE_LIMIT_S = callers.MAX_SENDS * (callers.PATIENCE_S + callers.RESEND_S)


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a soak saw; it passed when ``broken`` is empty."""

    seed: int
    jobs: int
    completed: int
    injected: tuple[tuple[float, str], ...]
    broken: tuple[str, ...]


async def within(limit_s, awaited):
    """Wait for a coroutine or Deferred; tell whether it ended in time."""
    waiting = defer.ensureDeferred(awaited)
    waiting.addTimeout(limit_s, reactors.reactor)
    try:
        await waiting
    except defer.TimeoutError:
        return False
    return True


async def play(seed, *, for_s, folder, agents=6):
    """Run one soak and return its verdict."""
    rng = random.Random(seed)
    fleet = fleets.Fleet(folder, agents=agents)
    callers_here = callers.Callers(fleet, rng)
    injector = faults.Faults(fleet, rng)
    broken = []
    try:
        if not await within(START_LIMIT_S, fleet.start()):
            broken.append("the fleet was not ready after its start")
        await under_faults(fleet, callers_here, injector, for_s)
        # Faults that are under way end by themselves before this.
        await reactors.sleep(faults.MAX_FAULT_S)
        fleet.recover()
        if not await within(RECOVERY_S, recovered(fleet, callers_here)):
            broken.append(f"no recovery within {RECOVERY_S} s")
        settled = defer.DeferredList(callers_here.waiting, consumeErrors=True)
        await within(SETTLE_LIMIT_S, settled)
        broken += callers_here.broken()
        broken += [text for e in fleet.endpoints for text in e.violations]
    finally:
        fleet.stop()
    return Verdict(
        seed=seed,
        jobs=len(callers_here.submissions),
        completed=sum(
            b'"completed"' in answer
            for each in callers_here.submissions
            for _, answer in each.answers
        ),
        injected=tuple(injector.injected),
        broken=tuple(broken),
    )


async def under_faults(fleet, callers_here, injector, for_s):
    """Submit jobs and inject faults for a while."""
    until_s = fleet.reactor.seconds() + for_s
    rng = injector.rng
    next_fault_s = 0.0
    while fleet.reactor.seconds() < until_s:
        await reactors.sleep(rng.expovariate(1.0 / JOB_PAUSE_S))
        callers_here.submit()
        if fleet.reactor.seconds() >= next_fault_s:
            injector.inject()
            pause_s = rng.expovariate(1.0 / FAULT_PAUSE_S)
            next_fault_s = fleet.reactor.seconds() + pause_s


async def recovered(fleet, callers_here):
    """Wait until every entry is ready and a new job completes."""
    await fleet.wait_ready()
    while True:
        callers_here.submit()
        last = callers_here.submissions[-1]
        await callers_here.waiting[-1]
        if any(b'"completed"' in body for _, body in last.answers):
            return
