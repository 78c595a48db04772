"""Stand-in for a runner of the platform, as the page on running tasks describes it."""

import asyncio
import time

from http_parts import BrokenChannel, HttpServer, json_bytes, request_once

MAX_HOLD_MS = 1000
STOP_MS = 5
HEARTBEAT_S = 1.5
MAX_LISTED_ENDS = 500


class Run:
    """Run of a task at one runner."""

    def __init__(self, task, number, work_ms, demand, now):
        self.task, self.number, self.work_ms, self.demand = task, number, work_ms, demand
        self.started = now
        self.stop_at = None


class Runner:
    """One lifetime of a runner, which rejects what does not fit its capacity."""

    def __init__(self, name, machine, address, control, service, zone, jobs, record):
        self.id, self.machine, self.zone, self.service = name, machine, zone, service
        self.address, self.control = address, control
        self.jobs, self.record = jobs, record
        self.capacity = {"cpu": 32000, "memMb": 131072, "gpus": 0}
        self.origin = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.lease_until = 0.0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.highest_run = {}
        self.news = asyncio.Event()
        self.tasks = []

    def clock_ms(self):
        return (time.monotonic() - self.origin) * 1000

    async def start(self):
        server = HttpServer(self.handle)
        await server.start(*self.address)
        self.tasks = [
            asyncio.ensure_future(self.work()),
            asyncio.ensure_future(self.report()),
        ]

    async def report(self):
        """Reports the state of the runner to the agent on its machine."""
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": self.capacity,
                "labels": ["a", "r1"],
                "clockMs": int(self.clock_ms()),
                "seqNo": self.sequence,
                "born": self.born,
                "machine": self.machine,
            }
            try:
                headers = {"content-type": "application/json"}
                path = f"/v1/instances/{self.id}"
                await request_once(*self.control, "PUT", path, headers, json_bytes(body))
            except BrokenChannel:
                await asyncio.sleep(0.3)
                continue
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        """Ends runs that are done, stopped or whose lease has expired."""
        while True:
            await asyncio.sleep(0.004)
            now = self.clock_ms()
            for run in list(self.running.values()):
                if now >= self.lease_until:
                    self.end(run, "lapsed")
                elif run.stop_at is not None and now >= run.stop_at:
                    self.end(run, "stopped")
                elif now >= run.started + run.work_ms:
                    self.end(run, "done")

    def end(self, run, how):
        del self.running[run.task, run.number]
        self.note_run(run.task, run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.record.run_ended(self.id, run.task, run.number, how)
        self.news.set()

    def note_run(self, task, number):
        self.highest_run[task] = max(number, self.highest_run.get(task, 0))

    def extend_lease(self, deadline_ms):
        now = self.clock_ms()
        self.lease_until = max(self.lease_until, min(deadline_ms, now + MAX_HOLD_MS))

    async def handle(self, request):
        if request.method == "GET":
            return 200, b""
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, b""
        body = request.json()
        fence = body.get("fenceToken", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if request.path == "/v1/run-start":
            return self.handle_start(body)
        if request.path == "/v1/run-stop":
            return self.handle_stop(body)
        if request.path == "/v1/hold":
            return await self.handle_hold(body)
        return 404, b""

    def refuse(self, reason):
        return 409, {"clockMs": int(self.clock_ms()), "reason": reason}

    def confirm(self):
        return 200, {"clockMs": int(self.clock_ms())}

    def handle_start(self, body):
        task, number = body["task"], body["run"]
        now = self.clock_ms()
        if (task, number) in self.running:
            return self.confirm()
        if body["deadlineMs"] <= now:
            return self.refuse("late")
        self.extend_lease(body["deadlineMs"])
        if number <= self.highest_run.get(task, 0):
            return self.refuse("old")
        demand = self.jobs.demand(task)
        used = sum(run.demand for run in self.running.values())
        if used + demand > self.capacity["cpu"]:
            return self.refuse("room")
        work_ms = self.jobs.work_ms(body["taskSpec"])
        self.running[task, number] = Run(task, number, work_ms, demand, now)
        self.record.run_started(self.id, task, number, body["taskSpec"])
        return self.confirm()

    def handle_stop(self, body):
        task, number = body["task"], body["run"]
        self.note_run(task, number)
        run = self.running.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = self.clock_ms() + STOP_MS
        return self.confirm()

    async def handle_hold(self, body):
        if "deadlineMs" in body:
            self.extend_lease(body["deadlineMs"])
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        deadline = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ended and (left := deadline - time.monotonic()) > 0:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), left)
            except asyncio.TimeoutError:
                break
        now = self.clock_ms()
        rows = [[run.task, run.number, "", self.percent(run, now), 0]
                for run in self.running.values()]
        ended = self.ended[:MAX_LISTED_ENDS]
        answer = {"clockMs": int(now), "born": self.born, "running": rows, "ended": ended}
        return 200, answer

    @staticmethod
    def percent(run, now):
        return min(99, int((now - run.started) * 100 / max(1, run.work_ms)))
