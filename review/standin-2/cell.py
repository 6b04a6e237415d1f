"""A small cell: the store, workers, and instances of the project's own program as separate processes."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

from http_server import call
from store import Store
from worker import Worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "ragwortreel")
HOST = "queues.example"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class CouldNotRun(Exception):
    """The case could not run, for a reason that says nothing about the rule."""


class Cell:
    service = "pattern-svc"
    lease_ms = 10_000

    def __init__(self, record_file):
        self.record = open(record_file, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.events = []
        self.store = Store()
        self.workers = []
        self.jobs = {}
        self.processes = []
        self.ports = []
        # Tenants of the configuration, the key with which clients call, and the time to revoke one; None without tenants.
        self.tenants = self.key = self.key_revocation_ms = None
        self.config_version = 0
        self.dir = tempfile.TemporaryDirectory(prefix="review-")

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        event = {"t": round(self.now(), 3), "what": what, **fields}
        self.events.append(event)
        self.record.write(json.dumps(event) + "\n")
        self.record.flush()

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    async def start(self, routes, workers, instances=3):
        if not os.path.exists(PROGRAM):
            raise CouldNotRun("the program is not built")
        await self.store.server.start()
        self.routes, self.workers = routes, workers
        self.configure()
        for worker in workers:
            await worker.start()
        for index in range(instances):
            self.ports.append(free_ports(4))
            self.start_instance(index)
        for index in range(instances):
            await self.wait_for(f"instance {index} is ready", lambda index=index: self.is_ready(index))
        await self.wait_for("an instance leads", self.has_leader)
        self.note("ready", leader=self.leader())

    def configure(self):
        """Writes the next version of the configuration; the write is its acknowledgement."""
        self.config_version += 3
        config = {
            "version": self.config_version,
            "routes": self.routes,
            "services": [
                {"name": name, "health_path": "/health", "max_conns": 64, "admission_check": False}
                for name in sorted({self.service, *(it.service for it in self.workers)})
            ],
            "limits": {"max_body_bytes": 262_144},
        }
        if self.tenants is not None:
            config["tenants"] = self.tenants
        self.store.put_platform("op", "config", config)
        self.note("config", version=self.config_version, tenants=self.tenants)

    def start_instance(self, index):
        caller, ready, helper, metrics = (f"127.0.0.1:{port}" for port in self.ports[index])
        settings = {
            "instance": f"front-{index}",
            "zone": "zone-a",
            "caller_address": caller,
            "ready_address": ready,
            "helper_address": helper,
            "metrics_address": metrics,
            "store": {
                "address": f"127.0.0.1:{self.store.server.port}",
                "writes_per_s": 800.0,
                "reads_per_s": 2000.0,
            },
            "advice_address": None,
            "cpu_share": 0.25,
            "link_mbit_s": 1000.0,
            "lease_ms": self.lease_ms,
            "stop_s": 6,
        }
        if self.key_revocation_ms:
            settings["key_revocation_ms"] = self.key_revocation_ms
        path = os.path.join(self.dir.name, f"settings-{index}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.dir.name, f"log-{index}"), "ab")
        process = subprocess.Popen(
            [PROGRAM, "cell"],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.dir.name, "RAGWORTREEL_SETTINGS": path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes[index : index + 1] = [process]

    async def is_ready(self, index):
        return (await call(self.ports[index][1], "GET", "/ready"))[0] == 200

    async def has_leader(self):
        return self.store.read("leader", "main", "leader") is not None

    def leader(self):
        return json.loads(self.store.read("leader", "main", "leader"))["instance"]

    async def wait_for(self, what, condition, seconds=20):
        until = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > until:
                raise CouldNotRun(f"timed out: {what}")
            await asyncio.sleep(0.05)

    async def submit(self, prefix, job, body, instance=0):
        self.jobs[job] = body
        status, _ = await call(self.ports[instance][0], "POST", prefix + job, HOST, body, key=self.key)
        self.note("submit", job=job, status=status)
        return status

    async def state(self, prefix, job, instance=0):
        status, body = await call(self.ports[instance][0], "GET", prefix + job, HOST, key=self.key)
        state = body.get("state") if isinstance(body, dict) else None
        self.note("state", job=job, status=status, state=state)
        return state

    async def cancel(self, prefix, job, instance=0):
        status, _ = await call(self.ports[instance][0], "DELETE", prefix + job, HOST, key=self.key)
        self.note("cancel", job=job, status=status)
        return status

    def starts(self, job):
        return [it for it in self.events if it["what"] == "start" and it["task"].startswith(job + ".")]

    def up(self, service):
        return [it for it in self.workers if it.is_up and it.service == (service or self.service)]

    def room(self, step, service=None):
        """Number of tasks of a step that the workers which are up have room for now."""
        label = step.get("required_label")
        up = [it for it in self.up(service) if label is None or label in (it.kind, it.rack)]
        return sum((it.cpu - it.used()) // step["cpu"] for it in up)

    def used_share(self, service=None):
        """Share of the cores of a service's workers that are up which tasks use."""
        up = self.up(service)
        return sum(it.used() for it in up) / sum(it.cpu for it in up)

    async def waits_in_vain(self, job, step, watch_s=6.0, service=None):
        """Whether for 3 s on end a job has nothing running while there is room for it twice over and less than half of the
        service is in use: the last clause of the rule LOST. Its state is read afterwards."""
        began = None
        until = time.monotonic() + watch_s
        while time.monotonic() < until:
            room, used_share = self.room(step, service), self.used_share(service)
            if not self.running(job) and room >= 2 * step["count"] and used_share < 0.5:
                began = began or time.monotonic()
                if time.monotonic() - began >= 3.0:
                    self.note("waits", job=job, room=room, used_share=round(used_share, 3))
                    return True
            else:
                began = None
            await asyncio.sleep(0.05)
        return False

    def running(self, job):
        return [(it.id, task) for it in self.workers for task in it.running if task.startswith(job + ".")]

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            for name in os.listdir(self.dir.name):
                if name.startswith("log-"):
                    with open(os.path.join(self.dir.name, name), "rb") as log:
                        sys.stderr.buffer.write(log.read())
        self.dir.cleanup()
        self.record.close()


def route(name, **fields):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "mutating",
        "timeout_ms": 3_000,
        "service": Cell.service,
        "priority": 1,
        "attempts": 4,
        "stretch": 4.0,
        "slo_ms": 3_000,
        **fields,
    }


def main(case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A script's own folder holds its record.
    record = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    cell = Cell(record)
    # The instances are ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    async def run():
        return await asyncio.wait_for(case(cell, trouble), 105)

    try:
        broken = asyncio.run(run())
        for line in broken:
            cell.note("broken", rule=line)
            print(f"broken: {line}")
        status = BROKEN if broken else HELD
    except (CouldNotRun, asyncio.TimeoutError, OSError) as err:
        cell.note("could-not-run", problem=str(err))
        print(f"could not run: {err}")
        status = COULD_NOT_RUN
    finally:
        cell.stop()
    print({BROKEN: "the rule was broken", HELD: "the rule held", COULD_NOT_RUN: "the case could not run"}[status])
    # Connections that the stand-ins still hold are of no interest.
    sys.stdout.flush()
    os._exit(status)
