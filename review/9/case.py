"""A gang that cannot start keeps the service's idle room for itself; accepted jobs of other queues do not start."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from cell import CouldNotRun, main, route  # noqa: E402
from worker import Worker  # noqa: E402

# Time after the end of the traffic at which jobs are asked for (`finish_s`).
FINISH_S = 14
LASTING, GANG = "1" * 16, "2" * 16
SMALL_STEP = {"count": 2, "cpu": 1_000, "mem_mb": 256, "est_ms": 500}


def job(*steps, **text):
    return {"spec": json.dumps(text), "steps": list(steps)}


async def case(cell, trouble):
    workers = [Worker(cell, f"i-{number:04}", "a", f"r1-{number // 4}", 16_000) for number in range(4)]
    routes = [route("batch", priority=1, stretch=2.2, slo_ms=1_000), route("dye", priority=2)]
    await cell.start(routes, workers)
    # A quarter of each worker serves for good.
    lasting = {"count": 4, "cpu": 4_000, "mem_mb": 256, "est_ms": 1_000, "perpetual": True, "max_per_server": 1}
    await cell.submit("/batch/", LASTING, job(lasting))
    await asyncio.sleep(3)
    if len(cell.running(LASTING)) != 4:
        raise CouldNotRun("the lasting tasks do not run")
    small = []

    async def submit_small():
        small.append(f"{0xC000 + len(small):016x}")
        await cell.submit("/dye/", small[-1], job(SMALL_STEP, run_ms=500), instance=len(small) % 3)
        await asyncio.sleep(0.3)

    for _ in range(14):
        await submit_small()
    if trouble:
        # Fits on the empty workers, 4 members on each, but beside the lasting tasks only 3 fit on each.
        await cell.submit("/batch/", GANG, job({"count": 14, "cpu": 3_500, "mem_mb": 256, "est_ms": 20_000, "gang": True}, run_ms=20_000))
        await asyncio.sleep(0.5)
    for _ in range(6):
        await submit_small()
    cell.note("end-of-traffic", used_share=cell.used_share())
    await asyncio.sleep(FINISH_S)
    waiting = await asyncio.gather(*(cell.waits_in_vain(it, SMALL_STEP) for it in small))
    broken = []
    for it, waits in zip(small, waiting):
        state = await cell.state("/dye/", it)
        if waits and state not in ("complete", "failed", "canceled"):
            broken.append(f"LOST: job {it} is {state}; nothing of it runs, though there is room")
    return broken


main(case)
