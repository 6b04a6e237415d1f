"""Stand-in of a worker, as PROTOCOL.md describes it.

The text of a task (`spec`) is a JSON object: `run_ms` is the duration of a run. A task without it lasts until it is
stopped or fails.
"""

import asyncio
import json
import time

from http_server import Server

MAX_LISTED_ENDS = 500
HEARTBEAT_S = 1.5


class Worker:
    """A worker; `crash` and `start` end and begin a life of it."""

    def __init__(self, cell, worker_id, kind, rack, cpu, mem_mb=65_536, service=None):
        self.cell = cell
        self.service = service or cell.service
        self.id = worker_id
        self.kind, self.rack = kind, rack
        self.cpu, self.mem_mb = cpu, mem_mb
        self.server = None
        self.lives = 0
        self.is_up = False
        self.clock_rate = 1.0

    # Life.

    async def start(self, port=0):
        self.lives += 1
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.highest = {}
        self.seq = 0
        self.some_end = asyncio.Event()
        self.server = Server(self.handle)
        await self.server.start(port)
        self.is_up = True
        self.register()
        self.ticker = asyncio.create_task(self.tick())
        self.cell.note("worker-start", worker=self.id, port=self.port, kind=self.kind, life=self.lives)

    @property
    def port(self):
        return self.server.port

    def crash(self):
        """Ends at once what runs here; connections are reset and the port is closed."""
        self.ticker.cancel()
        self.server.abort()
        for task, run in self.running.items():
            self.cell.note("end", worker=self.id, task=task, run=run["run"], how="crash")
        self.running = {}
        self.is_up = False
        self.cell.note("worker-crash", worker=self.id)

    def register(self):
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": [self.kind, self.rack],
            "machine": f"m-{self.id}",
            "born": self.born,
        }
        self.cell.store.put_platform("servers", self.id, entry)

    async def tick(self):
        registered = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            self.end_due()
            if time.monotonic() - registered >= HEARTBEAT_S:
                registered = time.monotonic()
                self.register()

    # Runs.

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000 * self.clock_rate)

    def end_due(self):
        lapsed = self.clock_ms() > self.lease_ms
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if run["ends"] is not None and run["ends"] <= now:
                self.end(task, run["how"])
            elif lapsed:
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.some_end.set()
        self.some_end = asyncio.Event()
        self.cell.note("end", worker=self.id, task=task, run=run["run"], how=how)

    def fail_all(self):
        """All tasks here fail by their own fault."""
        for task in list(self.running):
            self.end(task, "failed")

    def used(self):
        return sum(run["cpu"] for run in self.running.values())

    def percent(self, run):
        if run["ms"] is None:
            return 100
        return min(100, int((time.monotonic() - run["since"]) * 100_000 / max(run["ms"], 1)))

    async def handle(self, method, target, headers, body):
        if method != "POST":
            return 200, {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, None
        life = self.lives
        req = json.loads(body)
        if target == "/hold":
            return await self.hold(req, life)
        if req.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = req.get("fence", 0)
        if target == "/run-start":
            return self.run_start(req)
        if target == "/run-stop":
            return self.run_stop(req)
        return 404, None

    def extend(self, due_ms):
        self.lease_ms = max(self.lease_ms, min(due_ms, self.clock_ms() + self.cell.lease_ms))

    async def hold(self, req, life):
        until = time.monotonic() + req.get("wait_ms", 0) / 1000
        if req.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = req.get("fence", 0)
        if "due_ms" in req:
            self.extend(req["due_ms"])
        seen = req.get("seen_upto", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.cell.note("noted", worker=self.id, task=end[1], run=end[2], how=end[3])
        self.ended = [end for end in self.ended if end[0] > seen]
        while not self.ended and time.monotonic() < until and life == self.lives:
            try:
                await asyncio.wait_for(self.some_end.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        self.end_due()
        running = [[task, run["run"], "", self.percent(run), run["cpu"]] for task, run in self.running.items()]
        ended = self.ended[:MAX_LISTED_ENDS]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running, "ended": ended}

    def run_start(self, req):
        task, number = req["task"], req["run"]
        answer = {"clock_ms": self.clock_ms()}
        if req["due_ms"] < self.clock_ms():
            return 409, {**answer, "reason": "late"}
        self.extend(req["due_ms"])
        if task in self.running and self.running[task]["run"] == number:
            return 200, answer
        if number <= self.highest.get(task, 0):
            return 409, {**answer, "reason": "old"}
        step = self.cell.step_of(task)
        ms = json.loads(req["spec"]).get("run_ms")
        now = time.monotonic()
        self.running[task] = {
            "run": number,
            "since": now,
            "ms": ms,
            "ends": None if ms is None else now + ms / 1000,
            "how": "done",
            "cpu": step["cpu"],
        }
        fence, used = req["fence"], self.used()
        self.cell.note("start", worker=self.id, task=task, run=number, fence=fence, kind=self.kind, used=used, cpu=self.cpu)
        return 200, answer

    def run_stop(self, req):
        task, number = req["task"], req["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run["run"] == number:
            run["ends"] = min(run["ends"] or float("inf"), time.monotonic() + 0.05)
            run["how"] = "stopped"
        return 200, {"clock_ms": self.clock_ms()}
