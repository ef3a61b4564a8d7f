"""Sends heartbeats of another writer to the processes beside minions."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins

JOBS = 6
LATER_JOBS = 60
LATER_PERIOD_S = 0.1


async def send_foreign(system, machine, number):
    """Send one heartbeat that names a service of no configuration."""
    body = {
        "service": "label-printers",
        "address": f"{standins.HOST}:{standins.free_port()}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 0,
        "capacity": {
            "cpu-millicores": 32_000,
            "memory-request-mb": 131_072,
            "gpus": 0,
        },
        "labels": ["a", "r1"],
        "clock-ms": 1_000,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    status, _ = await standins.call(
        system.control_ports[machine],
        "POST",
        f"/-/Instances.Heartbeat/x-{number}",
        body,
    )
    system.record.add(
        f"heartbeat of x-{number}, service label-printers, to {machine}: "
        f"{status}"
    )


async def play(system, has_trouble):
    await system.start()
    jobs = [
        asyncio.create_task(
            system.submit(
                f"{number + 1:016x}",
                [standins.one_step(count=4, estimated_ms=1_500)],
                work_ms=1_500,
                entries=[f"entry-{number % 3}"] * 3,
                limit_s=12.0,
            )
        )
        for number in range(JOBS)
    ]
    await asyncio.sleep(0.5)
    if has_trouble:
        await send_foreign(system, "agent-0", 0)
    await asyncio.gather(*jobs)
    await use_later(system)
    return system.overlaps()


async def use_later(system):
    """Record whether the minion beside agent-0 is used afterwards."""
    began_s = system.record.now()
    jobs = []
    for number in range(LATER_JOBS):
        job = f"{number + 1_000:016x}"
        handing_in = system.submit(
            job,
            [standins.one_step()],
            work_ms=100,
            entries=[f"entry-{number % 3}"],
        )
        jobs.append(asyncio.create_task(handing_in))
        await asyncio.sleep(LATER_PERIOD_S)
    await asyncio.gather(*jobs)
    for machine, minion in system.minions.items():
        starts = sum(
            run[0] is minion and run[2] >= began_s for run in system.runs
        )
        system.record.add(
            f"{minion.name} of {machine}: {minion.sequence} heartbeats so "
            f"far, {starts} starts since {began_s:.1f} s"
        )


standins.main(play)
