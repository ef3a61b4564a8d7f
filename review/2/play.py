"""Resets connections of one entry while it runs a job."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins

JOBS = 6
IDLE_CLIENTS = 8


async def hand_in(system, job, has_trouble):
    """Hand a job in at one entry, and after a reset at the next one."""
    body = json.dumps(
        {
            "specification": json.dumps({"work-ms": 2_500}),
            "best-effort": True,
            "steps": [standins.one_step(count=2, estimated_ms=2_500)],
        }
    ).encode()
    reader, writer = await asyncio.open_connection(
        standins.HOST, system.front_ports["entry-0"]
    )
    head = (
        f"POST /quotes/{job} HTTP/1.1\r\nhost: orders.example\r\n"
        "content-type: application/json\r\n"
        "x-deadline-milliseconds: 12000\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    system.record.add(f"POST {job} to entry-0")
    writer.write(head.encode() + body)
    if not has_trouble:
        message = await standins.read_message(reader)
        system.record.add(f"answer {job} from entry-0: {message}")
        writer.close()
        return
    await asyncio.sleep(0.5)
    # One disruption: some connections of this machine are reset together.
    standins.reset(writer)
    count = 1 + system.proxies["entry-0"].reset()
    system.record.add(
        f"reset {count} connections of entry-0; it has {IDLE_CLIENTS} more "
        "of clients, and two to the store"
    )
    await asyncio.sleep(standins.RESEND_S)
    await system.submit(
        job,
        json.loads(body)["steps"],
        work_ms=2_500,
        entries=["entry-1"],
        limit_s=12.0,
    )


async def play(system, has_trouble):
    await system.start()
    idle = [
        await asyncio.open_connection(
            standins.HOST, system.front_ports["entry-0"]
        )
        for _ in range(IDLE_CLIENTS)
    ]
    for number in range(JOBS):
        await hand_in(system, f"{number + 1:016x}", has_trouble)
        await asyncio.sleep(4.0)
    for _, writer in idle:
        writer.close()
    return system.overlaps()


standins.main(play)
