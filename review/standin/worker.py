"""Stand-in of a worker, as PROTOCOL.md describes it, with a service that doesn't guard its capacity.

A job's `spec` is JSON and says how its tasks behave: {"ms": duration, "fail": true if each run fails at its end, "saves":
true if they checkpoint their progress, "lasts": true if they run until they are stopped}. A resumed task works the full duration again.
"""

import asyncio
import json
import time

from http_lite import serve

HOLD_MAX_MS = 10_000
STOP_MS = 100
SAVE_MS = 1_000
STARTUP_MS = 300
ENDS_PER_ANSWER = 500
HEARTBEAT_S = 1.5


class Run:
    def __init__(self, run, began_ms, ms, fails, saves, resumed):
        self.saves = saves
        self.resumed = resumed
        self.run = run
        self.began_ms = began_ms
        self.ms = ms
        self.fails = fails
        self.timer = None

    def percent(self, clock):
        """Share of the work that is done; 100 for a task that lasts, once it is at work."""
        worked = clock - self.began_ms
        if self.lasts:
            return 100 if worked >= STARTUP_MS else 0
        return min(99, worked * 100 // max(self.ms, 1))

    def saved(self, clock):
        """The latest checkpoint: a new one each second of work."""
        parts = (clock - self.began_ms) // SAVE_MS if self.saves else 0
        return f"{(self.began_ms + parts) * 2654435761 % 2**64:016x}" if parts > 0 else self.resumed


class Worker:
    def __init__(self, store, record, name, service, zone, rack, cpu=32_000, mem_mb=131_072):
        self.store = store
        self.record = record
        self.id = name
        self.service, self.zone, self.rack = service, zone, rack
        self.cpu, self.mem_mb = cpu, mem_mb
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - 5.0
        self.fence = 0
        self.due = 0
        self.runs = {}  # task -> Run
        self.over = {}  # task -> highest run that was stopped or ended here
        self.ended = []  # [N, task, run, how, saved]
        self.ends = 0
        self.seen = 0
        self.seq = 0
        self.holds = 0
        self.waiters = set()
        # Called before a call is carried out, with its path; may wait.
        self.before = None
        # Called after a call was carried out and before it is answered, with its path; may wait.
        self.after = None

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        self.connections = set()
        self.server, self.addr = await serve(self.handle, writers=self.connections)
        self.tasks = [asyncio.create_task(self.register()), asyncio.create_task(self.watch_lease())]

    async def register(self):
        while True:
            self.seq += 1
            entry = {"service": self.service, "addr": "%s:%d" % self.addr, "zone": self.zone, "version": "v1",
                     "slots": 8, "state": "ready", "cold_left_ms": 0,
                     "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": ["a", self.rack],
                     "clock_ms": self.clock(), "seq": self.seq, "born": self.born}
            if self.store.down is None:
                self.store.put("servers", self.id, json.dumps(entry))
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        is_held = False
        while True:
            was_held, is_held = is_held, self.clock() < self.due
            if was_held and not is_held:
                self.record("lapse", worker=self.id)
                for task in list(self.runs):
                    self.end(task, "lapsed")
            await asyncio.sleep(0.01)

    def crash(self):
        """Ends the worker for good: what runs is gone, and the store removes its entry after three heartbeats."""
        self.record("crash", worker=self.id)
        for task in list(self.runs):
            run = self.runs.pop(task)
            if run.timer:
                run.timer.cancel()
            self.record("end", worker=self.id, task=task, run=run.run, how="crash", n=0)
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        for task in self.tasks:
            task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.store.remove, "servers", self.id)

    def extend(self, due_ms):
        self.due = max(self.due, min(due_ms, self.clock() + HOLD_MAX_MS))

    def end(self, task, how):
        run = self.runs.pop(task)
        if run.timer:
            run.timer.cancel()
        self.over[task] = max(self.over.get(task, 0), run.run)
        self.ends += 1
        self.ended.append([self.ends, task, run.run, how, run.saved(self.clock())])
        self.record("end", worker=self.id, task=task, run=run.run, how=how, n=self.ends)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def handle(self, req):
        if self.before:
            await self.before(req.path)
        answer = await self.carry_out(req)
        if self.after:
            await self.after(req.path)
        return answer

    async def carry_out(self, req):
        if req.path == "/health":
            return 200, None
        if req.headers.get("expect-instance", self.id) != self.id:
            return 421, None
        body = req.json()
        if body.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        if req.path == "/run-start":
            return self.run_start(body)
        if req.path == "/run-stop":
            return self.run_stop(body)
        if req.path == "/hold":
            return await self.hold(body)
        return 404, None

    def run_start(self, body):
        task, run = body["task"], body["run"]
        clock = self.clock()
        present = self.runs.get(task)
        if present and present.run == run:
            return 200, {"clock_ms": clock}
        if run <= max(self.over.get(task, 0), present.run if present else 0):
            self.extend(body["due_ms"])
            return 409, {"clock_ms": clock, "reason": "old"}
        if body["due_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self.extend(body["due_ms"])
        spec = json.loads(body["spec"])
        saves, resumed = spec.get("saves", False), body.get("checkpointed", "")
        began = Run(run, clock, spec["ms"], spec.get("fail", False), saves, resumed)
        how = "failed" if began.fails else "done"
        began.lasts = spec.get("lasts", False)
        if not began.lasts:
            began.timer = asyncio.get_running_loop().call_later(spec["ms"] / 1000, self.end, task, how)
        self.runs[task] = began
        self.record("start", worker=self.id, task=task, run=run, fence=self.fence)
        return 200, {"clock_ms": clock}

    def run_stop(self, body):
        task, run = body["task"], body["run"]
        self.over[task] = max(self.over.get(task, 0), run)
        present = self.runs.get(task)
        if present and present.run == run:
            if present.timer:
                present.timer.cancel()
            loop = asyncio.get_running_loop()
            present.timer = loop.call_later(STOP_MS / 1000, self.end, task, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        self.holds += 1
        if "due_ms" in body:
            self.extend(body["due_ms"])
        seen = body.get("seen_upto", 0)
        if seen > self.seen:
            self.seen = seen
            self.ended = [end for end in self.ended if end[0] > seen]
            self.record("seen", worker=self.id, upto=seen)
        wait = min(body.get("wait_ms", 0), 2_000) / 1000
        if wait and not self.ended:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await asyncio.wait_for(waiter, wait)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiters.discard(waiter)
        clock = self.clock()
        running = [[task, run.run, run.saved(clock), run.percent(clock), 10]
                   for task, run in self.runs.items()]
        return 200, {"clock_ms": clock, "born": self.born, "running": running,
                     "ended": self.ended[:ENDS_PER_ANSWER]}
