"""Tasks that last fail once at the same time; the leader takes up to 20 s to start them again on idle workers."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from cell import CouldNotRun, main, route  # noqa: E402
from worker import Worker  # noqa: E402

JOB = "1" * 16
STEP = {"count": 32, "cpu": 3_000, "mem_mb": 256, "est_ms": 1_000, "perpetual": True, "image": "counter"}
# The rule counts from this time after the last run of a task, and asks for this time without one, in seconds.
GRACE_S, WAIT_S = 6, 3


async def case(cell, trouble):
    workers = [Worker(cell, f"i-{number:04}", "a", f"r1-{number // 4}", 16_000) for number in range(8)]
    await cell.start([route("batch")], workers)
    await cell.submit("/batch/", JOB, {"spec": json.dumps({}), "steps": [STEP]})
    await asyncio.sleep(8)
    tasks = {task for _, task in cell.running(JOB)}
    if len(tasks) != STEP["count"]:
        raise CouldNotRun("the lasting tasks do not run")
    if trouble:
        for worker in workers:
            worker.fail_all()
    ended = cell.now()
    broken = {}
    # Room and waiting tasks at each moment; a task counts if there was room for two of its kind all the while.
    room_since = None
    while cell.now() < ended + 30:
        await asyncio.sleep(0.05)
        now = cell.now()
        if cell.room(STEP) < 2:
            room_since = None
            continue
        room_since = now if room_since is None else room_since
        if now - max(room_since, ended + GRACE_S) < WAIT_S:
            continue
        running = {task for _, task in cell.running(JOB)}
        for task in tasks - running - set(broken):
            broken[task] = now - ended
            cell.note("waits", task=task, since_s=round(now - ended, 2), room=cell.room(STEP), used_share=round(cell.used_share(), 3))
    starts = [it["t"] - ended for it in cell.starts(JOB) if it["t"] > ended]
    cell.note("restarts", count=len(starts), last_s=round(max(starts, default=0), 2))
    return [f"LOST: task {task} did not run {after:.1f} s after its last run, though there was room" for task, after in sorted(broken.items())]


main(case)
