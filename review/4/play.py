"""Hands in a job of many steps, beside small jobs, at one entry."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins

STEPS = 30
SMALL_JOBS = 60
SMALL_PERIOD_S = 0.5
# Small jobs take 0.1 s. A process that answers nothing for this long, with
# no disruption of its machine, does not hand back the processor.
SILENCE_S = 15.0


async def small_jobs(system, answered):
    """Hand in small jobs at each entry; note when they are answered."""
    waiting = []

    async def hand_in(job, entry):
        status = await system.submit(
            job,
            [standins.one_step(cores=1_000)],
            work_ms=100,
            entries=[entry],
            limit_s=6.0,
        )
        if status:
            answered[entry].append(time.monotonic())

    for number in range(SMALL_JOBS):
        for index, entry in enumerate(sorted(answered)):
            job = f"{(index + 1) * 1_000 + number:016x}"
            waiting.append(asyncio.create_task(hand_in(job, entry)))
        await asyncio.sleep(SMALL_PERIOD_S)
    await asyncio.gather(*waiting)


async def play(system, has_trouble):
    await system.start()
    answered = {entry: [] for entry in system.front_ports}
    began_s = time.monotonic()
    loading = asyncio.create_task(small_jobs(system, answered))
    await asyncio.sleep(2.0)
    # Each step needs all earlier ones, or only the one before it.
    steps = [
        standins.one_step(
            cores=1_000,
            estimated_ms=20,
            after=(
                list(range(number))
                if has_trouble
                else list(range(max(number - 1, 0), number))
            ),
        )
        for number in range(STEPS)
    ]
    large = asyncio.create_task(
        system.submit(
            "00000000000000ff",
            steps,
            work_ms=20,
            entries=["entry-0", "entry-1", "entry-2"],
            limit_s=20.0,
            wait_s=3.0,
        )
    )
    await loading
    status = await large
    found = []
    for entry, times in sorted(answered.items()):
        edges = [began_s, *times, time.monotonic()]
        longest_s = max(b - a for a, b in zip(edges, edges[1:]))
        system.record.add(
            f"{entry} answered {len(times)} of {SMALL_JOBS} small jobs, the "
            f"longest time without an answer is {longest_s:.1f} s"
        )
        if longest_s > SILENCE_S:
            found.append(f"{entry} answered nothing for {longest_s:.1f} s")
    ready, _ = await standins.call(
        system.ready_ports["entry-0"], "GET", "/-/readiness", limit_s=3.0
    )
    system.record.add(f"entry-0: readiness {ready}, large job {status}")
    return found


standins.main(play)
