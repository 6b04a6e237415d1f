"""More than 500 tasks of one worker end while the store is down; the worker lists their ends 500 at a time."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from cell import CannotRun, main, starts, twice  # noqa: E402

TASKS = 750
TASK_MS = 5_000
OUTAGE_S = 4.2  # `platform_down`, how "busy", lasts 4.2 s on the site
JOB = "5c0e7a21d94b36f8"


async def play(cell):
    await cell.start(instances=3, workers=1)
    (worker,) = cell.workers
    entry = cell.instances[0]
    steps = [{"count": TASKS, "cpu": 40, "mem_mb": 16, "est_ms": TASK_MS}]
    status, _ = await cell.post(entry, JOB, steps, {"ms": TASK_MS})
    if status != 200:
        raise CannotRun(f"the job isn't accepted: {status}")
    for _ in range(200):
        if len(worker.runs) == TASKS:
            break
        await asyncio.sleep(0.02)
    if len(worker.runs) < TASKS:
        raise CannotRun(f"only {len(worker.runs)} of {TASKS} tasks run")
    begun = starts(cell, JOB)
    # The outage begins shortly before the first end.
    await asyncio.sleep(max(0.0, begun[0]["at"] + TASK_MS / 1000 - 0.5 - cell.now()))
    if cell.trouble:
        cell.note(f"the store is down for {OUTAGE_S} s (it answers 503)")
        cell.store.down = "busy"
        await asyncio.sleep(OUTAGE_S)
        cell.store.down = None
        cell.note("the store is back")
    else:
        await asyncio.sleep(OUTAGE_S)
    state = None
    for _ in range(40):
        await asyncio.sleep(0.5)
        state = await cell.state(entry, JOB)
        if state in ("complete", "failed", "canceled"):
            break
    await asyncio.sleep(1.0)
    cell.note(f"the job is {state}; {len(starts(cell, JOB))} starts of {TASKS} tasks")
    return twice(cell)


main(HERE, play)
