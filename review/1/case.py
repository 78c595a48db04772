"""The first jobs of a new queue state the largest integer as the estimate of their run time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from platform_parts import (  # noqa: E402
    BROKEN, HELD, ZONES, Client, configuration, is_trouble, job_body, main, new_job_id, route)

# 2^63 - 1, the largest integer of most languages.
UNKNOWN_MS = (1 << 63) - 1
DAY_S = 30.0
INTERVAL_S = 0.25


async def submit_all(deployment, record):
    """Submits a small job at a steady rate until the end of the day; returns the statuses."""
    client = Client(deployment, "till")
    pending = []
    for number in range(int(DAY_S / INTERVAL_S)):
        client.name = f"till-{number % 30}"
        pending.append(asyncio.ensure_future(client.submit(new_job_id(), job_body(2, 60))))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*pending)


async def play(deployment, record):
    await deployment.start(configuration(1, [route("balance", "/till/")]))
    estimate = UNKNOWN_MS if is_trouble() else 60
    first = [Client(deployment, f"counter-{zone}").submit(
        new_job_id(), job_body(1, 60, estimated_ms=estimate), entry=entry)
        for zone, entry in zip(ZONES, deployment.entries)]
    first = [asyncio.ensure_future(job) for job in first]
    await asyncio.sleep(0.3)
    statuses = await submit_all(deployment, record)
    statuses += await asyncio.gather(*first)
    served = statuses.count(200)
    record.line(f"served {served} of {len(statuses)} jobs")
    for entry in deployment.entries:
        is_up = entry.child is not None and entry.child.poll() is None
        is_ready = await deployment.is_ready(entry)
        record.line(f"{entry.name}: process up={is_up} own ends={entry.own_ends} ready={is_ready}")
    return BROKEN if served == 0 else HELD


main(play, Path(__file__).parent)
