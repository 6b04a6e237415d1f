"""A backlog of one service keeps accepted jobs of another service from starting on its idle workers."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from cell import CouldNotRun, main, route  # noqa: E402
from worker import Worker  # noqa: E402

# Time after the end of the traffic at which jobs are asked for (`finish_s`).
FINISH_S = 14
OTHER = "quote-svc"
RUN_MS = 10_000
# Jobs of three steps each in the burst, and at the same time in the quiet run.
BURST, USUAL = 270, 120
STEP = {"count": 1, "cpu": 250, "mem_mb": 64, "est_ms": RUN_MS}
SMALL_STEP = {"count": 2, "cpu": 1_000, "mem_mb": 256, "est_ms": 500}


def job(steps, run_ms):
    return {"spec": json.dumps({"run_ms": run_ms}), "steps": steps}


async def case(cell, trouble):
    busy = Worker(cell, "i-0000", "a", "r1-0", 16_000)
    others = [Worker(cell, f"i-{number:04}", "a", "r1-0", 16_000, service=OTHER) for number in range(1, 5)]
    await cell.start([route("batch", priority=1), route("quote", priority=2, service=OTHER)], [busy, *others])
    await cell.submit("/quote/", "1" * 16, job([SMALL_STEP], 500))
    await asyncio.sleep(2)
    if await cell.state("/quote/", "1" * 16) != "complete":
        raise CouldNotRun("the first job did not run")
    count = BURST if trouble else USUAL
    statuses = []
    for first in range(0, count, 30):
        ids = [f"{0xB000 + number:016x}" for number in range(first, min(first + 30, count))]
        sent = (cell.submit("/batch/", it, job([STEP] * 3, RUN_MS), instance=number % 3) for number, it in enumerate(ids))
        statuses += await asyncio.gather(*sent)
        await asyncio.sleep(0.25)
    cell.note("burst", accepted=statuses.count(200), of=len(statuses))
    small = [f"{0xC000 + number:016x}" for number in range(4)]
    for number, it in enumerate(small):
        await cell.submit("/quote/", it, job([SMALL_STEP], 500), instance=number % 3)
    cell.note("end-of-traffic", used_share=cell.used_share(OTHER))
    await asyncio.sleep(FINISH_S)
    waiting = await asyncio.gather(*(cell.waits_in_vain(it, SMALL_STEP, service=OTHER) for it in small))
    broken = []
    for it, waits in zip(small, waiting):
        state = await cell.state("/quote/", it)
        if waits and state not in ("complete", "failed", "canceled"):
            broken.append(f"LOST: job {it} is {state}; nothing of it runs, though its service is idle")
    return broken


main(case)
