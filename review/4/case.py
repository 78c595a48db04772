"""Entries freeze for four seconds, one after the other, while clients send their jobs elsewhere."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from platform_parts import (  # noqa: E402
    BROKEN, HELD, Client, configuration, is_trouble, job_body, main, new_job_id, route)

FREEZES, FREEZE_S, PAUSE_S = 10, 4.0, 3.5
DEADLINE_MS = 1500
# Queue, jobs a second, tasks and work in ms.
KINDS = (("/redeem/", 60.0, 1, 1000), ("/reversal/", 100.0, 2, 200))


async def submit_jobs(deployment, stop, path, jobs_per_s, tasks, work_ms):
    """Submits jobs of one kind at a steady rate to all entries until `stop` is set."""
    pending = []
    number = 0
    while not stop.is_set():
        number += 1
        client = Client(deployment, f"till-{number % 60}")
        body = job_body(tasks, work_ms, cpu=1500)
        job = client.submit(new_job_id(), body, path=path, deadline_ms=DEADLINE_MS)
        pending.append(asyncio.ensure_future(job))
        await asyncio.sleep(1 / jobs_per_s)
    await asyncio.gather(*pending)


async def play(deployment, record):
    routes = [route(kind[0].strip("/"), kind[0]) for kind in KINDS]
    await deployment.start(configuration(1, routes))
    stop = asyncio.Event()
    traffic = asyncio.gather(*(submit_jobs(deployment, stop, *kind) for kind in KINDS))
    for number in range(FREEZES):
        await asyncio.sleep(PAUSE_S)
        frozen = deployment.entries[number % len(deployment.entries)]
        if is_trouble():
            frozen.signal(signal.SIGSTOP)
            record.line(f"{frozen.name} freezes")
        await asyncio.sleep(FREEZE_S)
        if is_trouble():
            frozen.signal(signal.SIGCONT)
            record.line(f"{frozen.name} wakes")
    await asyncio.sleep(PAUSE_S)
    stop.set()
    await traffic
    pairs = record.overlaps()
    record.write_overlaps(pairs)
    return BROKEN if pairs else HELD


main(play, Path(__file__).parent)
