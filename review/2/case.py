"""Open channels between entries and agents go silent while long tasks run past their deadline."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from http_parts import SilencingProxy  # noqa: E402
from platform_parts import (  # noqa: E402
    BROKEN, HELD, INTERNAL_PORTS, PROXY_PORT, Client, configuration, is_trouble, job_body, main,
    new_job_id, route)

SHORT_MS, LONG_MS, ESTIMATE_MS = 60, 3600, 900
DEADLINE_MS = 1500
BURST_S, BURST_JOBS_PER_S, BURST_TASKS = 4.0, 10, 8
CALM_S, CALM_JOBS_PER_S, CALM_TASKS = 16.0, 2, 2


async def add_proxies(deployment):
    """Puts a proxy before the address at which each agent is called by the entries."""
    proxies = []
    for agent in deployment.agents:
        proxy = SilencingProxy(agent.ip, INTERNAL_PORTS[0])
        await proxy.start(agent.ip, PROXY_PORT)
        agent.extra["listen"] = f'advertise: "{agent.ip}:{PROXY_PORT}"'
        proxies.append(proxy)
    return proxies


async def submit_short_jobs(deployment):
    """Submits short jobs as the usual traffic: many for some seconds, few after that."""
    pending = []
    phases = ((BURST_S, BURST_JOBS_PER_S, BURST_TASKS), (CALM_S, CALM_JOBS_PER_S, CALM_TASKS))
    for seconds, jobs_per_s, tasks in phases:
        for number in range(int(seconds * jobs_per_s)):
            client = Client(deployment, f"till-{number % 30}")
            job = client.submit(new_job_id(), job_body(tasks, SHORT_MS), tries=1)
            pending.append(asyncio.ensure_future(job))
            await asyncio.sleep(1 / jobs_per_s)
    await asyncio.gather(*pending)


async def submit_long_jobs(deployment):
    """Submits two jobs at each entry whose tasks take longer than the client waits."""
    body = job_body(2, LONG_MS, estimated_ms=ESTIMATE_MS)
    jobs = [Client(deployment, f"counter-{number}").submit(
        new_job_id(), body, deadline_ms=DEADLINE_MS, entry=entry)
        for number, entry in enumerate(deployment.entries * 2)]
    await asyncio.gather(*jobs)


async def play(deployment, record):
    proxies = await add_proxies(deployment)
    await deployment.start(configuration(1, [route("redeem", "/till/")]))
    traffic = asyncio.ensure_future(submit_short_jobs(deployment))
    await asyncio.sleep(BURST_S)
    jobs = asyncio.ensure_future(submit_long_jobs(deployment))
    await asyncio.sleep(0.5)
    if is_trouble():
        count = sum(proxy.silence() for proxy in proxies)
        record.line(f"{count} open channels between entries and agents go silent")
    await jobs
    await traffic
    pairs = record.overlaps()
    record.write_overlaps(pairs)
    return BROKEN if pairs else HELD


main(play, Path(__file__).parent)
