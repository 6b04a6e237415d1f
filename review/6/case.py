"""A worker is cut off just after the last starts of a wide job reached it; its tasks run twice at the same time."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from cell import CouldNotRun, main, route  # noqa: E402
from worker import Worker  # noqa: E402

JOB = "1" * 16
STEPS = [{"count": 117, "cpu": 40, "mem_mb": 64, "est_ms": 25_000}] * 3
TASKS = sum(step["count"] for step in STEPS)
# Time from the arrival of the first start to the answer to the last one: 2.7 ms for each, as between two zones.
STARTS_S = 0.94
# Length of the cut.
CUT_S = 12.0
# Rate of the workers' clocks; the pages allow them to be 2% slow.
CLOCK_RATE = 0.98


class CutWorker(Worker):
    """Worker that answers starts after a round trip between zones, and that can be cut off: no request reaches it then."""

    first_start = None
    starts = 0
    is_cut = False

    def __init__(self, *args):
        super().__init__(*args)
        self.clock_rate = CLOCK_RATE
        self.heartbeat = asyncio.Event()
        self.last_start = asyncio.Event()

    async def handle(self, method, target, headers, body):
        if self.is_cut:
            return None
        if target == "/hold":
            self.heartbeat.set()
        answer = await super().handle(method, target, headers, body)
        if target == "/run-start":
            loop = asyncio.get_running_loop()
            self.first_start = self.first_start or loop.time()
            self.starts += 1
            await asyncio.sleep(self.first_start + STARTS_S * self.starts / TASKS - loop.time())
            if self.starts == TASKS:
                self.last_start.set()
        # A response that is on its way when the cut begins is lost.
        return None if self.is_cut else answer


def overlaps(events):
    """Runs of a task that began while another run of it was active on another worker."""
    active, found = {}, []
    for it in events:
        if it["what"] == "start":
            for worker, run in active.get(it["task"], {}).items():
                found.append(f"TWICE: {it['task']} run {it['run']} starts at {it['t']} s on {it['worker']}; run {run} is active on {worker}")
            active.setdefault(it["task"], {})[it["worker"]] = it["run"]
        elif it["what"] == "end":
            active.get(it["task"], {}).pop(it["worker"], None)
    return found


async def case(cell, trouble):
    workers = [CutWorker(cell, f"i-{number:04}", "a", f"r1-{number // 4}", 16_000) for number in range(8)]
    await cell.start([route("batch")], workers)
    await asyncio.sleep(2)
    # The tasks fit on one worker and go to the first one. The leader asks each worker for its runs about every 2 s; the case waits
    # for such a request, so that the moment of the job is the same in each run.
    chosen = workers[0]
    chosen.heartbeat.clear()
    await chosen.heartbeat.wait()
    await cell.submit("/batch/", JOB, {"spec": json.dumps({"run_ms": 25_000}), "steps": STEPS})
    try:
        await asyncio.wait_for(chosen.last_start.wait(), 5)
    except asyncio.TimeoutError:
        raise CouldNotRun(f"{chosen.starts} of the tasks were started on the first worker") from None
    if trouble:
        chosen.is_cut = True
        cell.note("cut", worker=chosen.id)
        await asyncio.sleep(CUT_S)
        chosen.is_cut = False
        cell.note("healed", worker=chosen.id)
    await asyncio.sleep(3 if trouble else CUT_S + 3)
    return overlaps(cell.events)


main(case)
