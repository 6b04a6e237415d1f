"""Stand-ins of the platform for the cases of the third review: store, workers and clients on loopback addresses.

They follow `PROTOCOL.md`. Everything runs in one asyncio loop, so that the record is in the order of events. The program
under test runs as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
LOOPBACK = "127.0.0.1"


def now_ms():
    return time.monotonic() * 1000.0


class Record:
    """Lines of record.txt, with the time since the start of the case."""

    def __init__(self, folder):
        self.begin = now_ms()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{(now_ms() - self.begin) / 1000.0:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body


class HttpServer:
    """HTTP/1.1 server with kept connections. A handler returns (status, JSON value) or None to close without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = None
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                handler = self.handler
                answer = await handler(request)
                if handler is not self.handler:
                    # The server was lost meanwhile.
                    answer = await self.handler(request)
                if answer is None:
                    break
                status, value = answer
                body = b"" if value is None else json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    def close(self):
        self.server.close()
        self.reset_connections()


async def read_request(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


class Store:
    """The platform's metadata store: rows, transactions and the change feed."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        # Called with each request; returns None for the usual answer, or a coroutine with another one.
        self.fault = None

    def write(self, name, value):
        """Writes rows of one transaction: `name` is (table, part, key), `value` base64 or None."""
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.ver)
        self.changes.append((self.ver, name, value))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put_platform(self, table, key, value):
        self.ver += 1
        self.write((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())
        self.notify()

    def remove_platform(self, table, key):
        self.ver += 1
        self.write((table, "", key), None)
        self.notify()

    def read_json(self, table, part, key):
        found = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(found[0])) if found else None

    def clock(self):
        return int(now_ms()) + 1_000_000

    async def handle(self, request):
        if self.fault is not None:
            other = self.fault(request)
            if other is not None:
                return await other
        await asyncio.sleep(0.003)
        return await self.answer(request)

    async def answer(self, request):
        if request.path == "/rows-tx":
            return self.transact(json.loads(request.body))
        if request.path == "/rows-get":
            return self.get(request.query)
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        if request.path == "/rows-parts":
            table = request.query.get("table", "")
            parts = sorted({name[1] for name in self.rows if name[0] == table})
            return 200, {"parts": parts, "has_more": False, "ver": self.ver, "now_ms": self.clock()}
        return 404, None

    def transact(self, body):
        name = lambda it: (it["table"], it.get("part", ""), it["key"])
        expect, puts, removes = (body.get(it, []) for it in ("expect", "puts", "removes"))
        if len(expect) + len(puts) + len(removes) > 100:
            return 400, {"problem": "too many entries"}
        if any(it["table"] in ("op", "servers") for it in puts + removes):
            return 403, {"problem": "a table of the platform"}
        if len({it.get("part", "") for it in expect + puts + removes}) > 1 and not body.get("across"):
            return 400, {"problem": "several parts"}
        if any(len(base64.b64decode(it["value"])) > 65536 for it in puts):
            return 400, {"problem": "row too large"}
        current = lambda it: self.rows.get(name(it), (None, 0))
        if any(current(it)[1] != it["ver"] for it in expect):
            rows = [row_json(name(it), *current(it)) for it in expect if current(it)[1]]
            return 412, {"rows": rows, "ver": self.ver, "now_ms": self.clock()}
        self.ver += 1
        for it in puts:
            self.write(name(it), it["value"])
        for it in removes:
            self.write(name(it), None)
        self.notify()
        return 200, {"ver": self.ver, "now_ms": self.clock()}

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        begin, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted(
            (it for it in self.rows if it[0] == table and it[1] == part and it[2] >= begin and (end is None or it[2] < end)),
            key=lambda it: it[2].encode(),
        )
        rows = [row_json(it, *self.rows[it]) for it in names[:limit]]
        return 200, {"rows": rows, "has_more": len(names) > limit, "ver": self.ver, "now_ms": self.clock()}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        until = now_ms() + int(query.get("wait_ms", 0))
        while True:
            rows = []
            for ver, name, value in reversed(self.changes):
                if ver <= after:
                    break
                if name[0] == table:
                    rows.append(row_json(name, value, ver))
            left = until - now_ms()
            if rows or left <= 0:
                rows.reverse()
                return 200, {"rows": rows, "ver": self.ver, "now_ms": self.clock()}
            try:
                await asyncio.wait_for(self.changed.wait(), left / 1000.0)
            except asyncio.TimeoutError:
                pass


def row_json(name, value, ver):
    row = {"table": name[0], "part": name[1], "key": name[2], "ver": ver}
    if value is None:
        row["deleted"] = True
    else:
        row["value"] = value
    return row


class Run:
    def __init__(self, number, at):
        self.number = number
        self.started = at
        # Time from which the run works; None while a gang is not complete.
        self.works_from = None
        self.stop_at = None


class Worker:
    """A worker: it runs what it is told under a lease, and lists what runs and what has ended."""

    STOP_MS = 100
    # Time after which a task that lasts is at work.
    STARTUP_MS = 300

    def __init__(self, world, number, cpu, mem_mb, service, rack, zone):
        self.world = world
        self.id = "w%04x" % (0x1000 + number * 37)
        self.cpu, self.mem_mb, self.service = cpu, mem_mb, service
        self.labels = ["a", rack]
        self.zone = zone
        self.http = HttpServer(self.handle)
        self.seq = 0
        self.is_up = False
        self.is_draining = False
        self.leaves_at = 0
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.began = now_ms()
        self.fence = 0
        self.due = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.news = asyncio.Event()

    def clock(self):
        return int(now_ms() - self.began) + 1000

    def register(self):
        self.seq += 1
        more = {"remaining_ms": max(0, int(self.leaves_at - now_ms()))} if self.is_draining else {}
        self.world.store.put_platform("servers", self.id, {
            "service": self.service, "addr": self.http.address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": "draining" if self.is_draining else "ready", "cold_left_ms": 0.0, "seq": self.seq, "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": self.labels, **more,
        })

    async def start(self):
        await self.http.start()
        self.is_up = True
        self.register()

    async def leave(self, stays_ms):
        """The worker reports that it leaves, serves on for this time, and is gone then with all that runs on it."""
        self.is_draining = True
        self.leaves_at = now_ms() + stays_ms
        self.register()
        self.world.record(f"worker {self.id} reports that it leaves in {stays_ms} ms")
        await asyncio.sleep(stays_ms / 1000.0)
        await self.lose()

    async def lose(self):
        """The worker is gone for good: it runs nothing, and neither open nor new connections are answered."""
        self.world.record(f"worker {self.id} is gone for good")
        self.is_up = False
        self.running = {}

        async def silent(_):
            await asyncio.sleep(3600)

        self.http.handler = silent
        self.handle = silent
        asyncio.get_running_loop().call_later(
            0.0 if self.is_draining else 3 * self.world.heartbeat_ms / 1000.0, lambda: self.world.store.remove_platform("servers", self.id))

    def used_cpu(self):
        return sum(self.world.task(it).cpu for it in self.running)

    def end(self, task, how, saved=""):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ended.append([self.next_end, task, run.number, how, saved])
        self.next_end += 1
        self.world.record(f"worker {self.id}: run {run.number} of {task} ends {how}")
        self.world.ends.append((now_ms(), self.id, task, run.number, how))
        self.news.set()
        self.news = asyncio.Event()
        self.world.run_ended(task, run.number, how)

    def tick(self):
        at = now_ms()
        for task, run in list(self.running.items()):
            if task not in self.running:
                continue
            if self.clock() > self.due:
                self.end(task, "lapsed")
            elif run.stop_at is not None and run.stop_at <= at:
                self.end(task, "stopped")
            else:
                spec = self.world.task(task)
                if spec.gang and run.works_from is None and at - run.started > self.world.gang_ms:
                    self.end(task, "alone")
                elif not spec.lasts and run.works_from is not None and at - run.works_from >= spec.work_ms:
                    self.world.finish(task, run.number, "failed" if spec.fails else "done")

    def percent(self, task, run):
        if run.works_from is None:
            return 0
        if self.world.task(task).lasts:
            return 100 if now_ms() - run.works_from > self.STARTUP_MS else 0
        return min(99, int(100 * (now_ms() - run.works_from) / self.world.task(task).work_ms))

    def refused(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    async def handle(self, request):
        if request.path == "/health":
            return 200, None
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        body = json.loads(request.body or b"{}")
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self.refused("fence")
        self.fence = fence
        self.tick()
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/run-start":
            return self.run_start(body)
        if request.path == "/run-stop":
            return self.run_stop(body)
        return 400, {"clock_ms": self.clock()}

    def extend(self, due):
        if due is not None:
            self.due = max(self.due, min(due, self.clock() + self.world.hold_max_ms))

    async def hold(self, body):
        self.extend(body.get("due_ms"))
        seen = body.get("seen_upto", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.world.taken_note(self, end)
        self.ended = [it for it in self.ended if it[0] > seen]
        until = now_ms() + min(body.get("wait_ms", 0), 2000)
        while not self.ended and now_ms() < until:
            try:
                await asyncio.wait_for(self.news.wait(), max(0.0, until - now_ms()) / 1000.0)
            except asyncio.TimeoutError:
                pass
        running = [[task, run.number, "", self.percent(task, run), self.world.task(task).cpu]
                   for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}

    def run_start(self, body):
        task, number, due = body["task"], body["run"], body["due_ms"]
        if due < self.clock():
            return self.refused("late")
        self.extend(due)
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.highest.get(task, 0):
            return self.refused("old")
        ticket = body.get("ticket")
        if ticket is not None and ticket != f"{task.rsplit('.', 1)[0]}@{self.id}":
            return self.refused("ticket")
        run = Run(number, now_ms())
        self.running[task] = run
        self.world.record(f"worker {self.id}: starts run {number} of {task}, fence {self.fence}")
        self.world.started(self, task, run)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and run.stop_at is None:
            run.stop_at = now_ms() + self.STOP_MS
        return 200, {"clock_ms": self.clock()}


class Advice:
    """The service that names the workers which may run a step; `good(job, worker)` is the policy."""

    def __init__(self, decide_ms, each_ms, good):
        self.decide_ms, self.each_ms, self.good = decide_ms, each_ms, good
        self.http = HttpServer(self.handle)
        self.turns = {}

    def terms(self, valid_ms=1500):
        return {"decide_ms": float(self.decide_ms), "each_ms": float(self.each_ms), "valid_ms": valid_ms}

    async def handle(self, request):
        body = json.loads(request.body)
        await asyncio.sleep((self.decide_ms + self.each_ms * len(body["workers"])) / 1000.0)
        job = body["step"].split(".")[0]
        return 200, {"good": [[it, f"{body['step']}@{it}"] for it in body["workers"] if self.good(job, it)]}


class TaskSpec:
    def __init__(self, cpu, work_ms, gang, count, fails, lasts):
        self.cpu, self.work_ms, self.gang, self.count, self.fails, self.lasts = cpu, work_ms, gang, count, fails, lasts


class World:
    """Store, workers, the jobs of the clients and the processes of the program."""

    hold_max_ms = 10_000
    gang_ms = 3_000
    heartbeat_ms = 1_500

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store()
        self.workers = []
        self.jobs = {}
        self.starts = []
        self.ends = []
        self.noted = []
        self.problems = []
        self.processes = {}
        self.settings = {}
        self.tasks = []
        self.dir = tempfile.TemporaryDirectory(prefix="review-3-")

    def task(self, name):
        job, _, step, _ = name.split(".")
        return self.jobs[job][int(step)]

    def members(self, task, number):
        step = task.rsplit(".", 1)[0] + "."
        for worker in self.workers:
            for name, run in list(worker.running.items()):
                if name.startswith(step) and run.number == number:
                    yield worker, name, run

    def started(self, worker, task, run):
        self.starts.append((now_ms(), worker.id, task, run.number))
        for other in self.workers:
            if other is not worker and task in other.running:
                self.problems.append(f"TWICE: {task} runs on {other.id} and {worker.id}")
                self.record(self.problems[-1])
        spec = self.task(task)
        if not spec.gang:
            run.works_from = run.started
            return
        members = list(self.members(task, run.number))
        if len(members) == spec.count:
            for _, _, member in members:
                member.works_from = now_ms()

    def finish(self, task, number, how):
        """Ends a run; the members of a gang end together."""
        if not self.task(task).gang:
            members = [it for it in self.members(task, number) if it[1] == task]
        else:
            members = list(self.members(task, number))
        for worker, name, _ in members:
            worker.end(name, how)

    def run_ended(self, task, number, how):
        if self.task(task).gang and how not in ("done", "failed", "broken"):
            for worker, name, _ in list(self.members(task, number)):
                worker.end(name, "broken")

    def taken_note(self, worker, end):
        self.noted.append((now_ms(), worker.id, end[1], end[2], end[3]))

    async def tick(self):
        last_beat = 0
        while True:
            for worker in self.workers:
                if worker.is_up:
                    worker.tick()
            if now_ms() - last_beat >= self.heartbeat_ms:
                last_beat = now_ms()
                for worker in self.workers:
                    if worker.is_up:
                        worker.register()
            await asyncio.sleep(0.01)

    async def begin(self, workers, cpu, mem_mb, config, service, per_rack=8):
        await self.store.http.start()
        for number in range(workers):
            worker = Worker(self, number, cpu, mem_mb, service, f"r1-{number // per_rack}", "zone-a")
            self.workers.append(worker)
            await worker.start()
        self.store.put_platform("op", "config", config)
        self.tasks.append(asyncio.ensure_future(self.tick()))

    def start_instances(self, count, **more):
        command = deploy_command()
        ports = free_ports(4 * count)
        for number in range(count):
            name = f"front-zone-a-{number + 1}"
            at = [f"{LOOPBACK}:{port}" for port in ports[4 * number:4 * number + 4]]
            settings = {
                "instance": name, "zone": "zone-a", "caller_address": at[0], "ready_address": at[1],
                "helper_address": at[2], "metrics_address": at[3],
                "store": {"address": self.store.http.address, "writes_per_s": 600.0, "reads_per_s": 2000.0},
                "advice_address": None, "cpu_share": 0.25, "link_mbit_s": 1000.0, "lease_ms": self.hold_max_ms,
                "stop_s": 6,
            }
            settings.update(more)
            path = os.path.join(self.dir.name, name + ".json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file)
            self.settings[name] = (settings, command, path)
            self.start_process(name)

    def start_process(self, name):
        log = open(os.path.join(self.dir.name, name + ".log"), "a", encoding="utf-8")
        _, command, path = self.settings[name]
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["RAGWORTREEL_SETTINGS"] = path
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"instance {name} starts")

    def signal(self, name, number):
        self.record(f"instance {name} gets signal {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def leader(self):
        row = self.store.read_json("leader", "main", "leader")
        return row["instance"] if row else None

    async def until_ready(self, seconds=20):
        until = now_ms() + seconds * 1000
        while now_ms() < until:
            states = [await call(it[0]["ready_address"], "GET", "/ready", None, {}, 1.0) for it in self.settings.values()]
            if all(it[0] == 200 for it in states) and self.store.read_json("leader", "main", "load") is not None:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the instances are not ready")

    async def request(self, name, method, path, body=None, deadline_ms=3000, host="queues.example", key=None):
        headers = {"host": host, "deadline-ms": str(deadline_ms)}
        if key:
            headers["authorization"] = "Bearer " + key
        at = self.settings[name][0]["caller_address"]
        status, answer = await call(at, method, path, body, headers, deadline_ms / 1000.0 + 0.5)
        self.record(f"client: {method} {path} at {name} -> {status or 'no answer'} {answer.decode(errors='replace').strip()}")
        return status, answer

    async def submit(self, name, queue, job, steps, spec="text", **more):
        """Submits a job; `steps` has the fields of the page, and `work_ms` and `fails` for the workers."""
        self.jobs[job] = [
            TaskSpec(it["cpu"], it.get("work_ms", 0), it.get("gang", False), it["count"], it.get("fails", False), it.get("perpetual", False))
            for it in steps
        ]
        sent = [{key: value for key, value in it.items() if key not in ("work_ms", "fails")} for it in steps]
        return await self.request(name, "POST", f"/{queue}/{job}", json.dumps({"spec": spec, "steps": sent}).encode(), **more)

    async def state(self, name, queue, job, **more):
        status, answer = await self.request(name, "GET", f"/{queue}/{job}", **more)
        return json.loads(answer)["state"] if status == 200 else None

    def end_processes(self):
        for process in self.processes.values():
            try:
                process.send_signal(signal.SIGCONT)
                process.kill()
            except ProcessLookupError:
                pass
            process.wait()

    def close(self, keep_logs=False):
        self.end_processes()
        if keep_logs or os.environ.get("KEEP_LOGS"):
            print("logs:", self.dir.name)
            self.dir._finalizer.detach()


async def call(address, method, path, body, headers, limit):
    """Sends a request on a connection of its own; returns (status, body), with status 0 without an answer."""
    host, port = address.split(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in {"host": address, **headers}.items()]
            payload = body or b""
            lines += ["content-type: application/json", f"content-length: {len(payload)}", "connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            length = next((int(it.split(":")[1]) for it in head if it.lower().startswith("content-length:")), 0)
            return status, await reader.readexactly(length)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


def deploy_command():
    """Command of the deploy file, without shell."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run = "):
                words = line.split("=", 1)[1].strip().strip('"').split(" ")
                return [os.path.join(ROOT, words[0])] + words[1:]
    raise RuntimeError("no command in the deploy file")


def free_ports(count):
    import socket
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((LOOPBACK, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def queue(name, service, **more):
    return {"name": name, "host": "queues.example", "path_prefix": f"/{name}/", "type": "mutating", "timeout_ms": 3000,
            "service": service, "priority": 1, "attempts": 2, "stretch": 4.0, "slo_ms": 3000, **more}


def config(version, routes, service):
    return {"version": version, "routes": routes,
            "services": [{"name": service, "health_path": "/health", "max_conns": 64, "admission_check": False}],
            "limits": {"max_body_bytes": 262144}}


def job_id():
    return "%016x" % random.getrandbits(64)


def main(case, folder):
    """Runs a case: `case(world)` returns the broken rules, an empty list if all held. Exit codes as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        try:
            found = await asyncio.wait_for(case(world, trouble), 110)
            found = found + world.problems
            for it in found:
                world.record("BROKEN " + it)
            world.record("result: " + ("broken" if found else "held"))
            return 1 if found else 0
        except Exception as err:  # The case could not run.
            world.record(f"the case could not run: {err!r}")
            return 2
        finally:
            world.close()

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
