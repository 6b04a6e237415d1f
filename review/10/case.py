"""A worker starts again under its id as another kind; the leader starts tasks there that need the former kind."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from cell import main, route  # noqa: E402
from worker import Worker  # noqa: E402

# Time for which the worker is down.
DOWN_S = 3.0
CYCLES = 6
STEP = {"count": 100, "cpu": 2_000, "mem_mb": 256, "est_ms": 2_000, "required_label": "b"}


async def case(cell, trouble):
    # Two of sixteen workers are of the kind `b`, which all tasks need.
    workers = [Worker(cell, f"i-{number:04}", "ab"[number < 2], f"r1-{number // 4}", 16_000) for number in range(16)]
    await cell.start([route("batch")], workers)
    for number in range(8):
        await cell.submit("/batch/", f"{number:016x}", {"spec": json.dumps({"run_ms": 2_000}), "steps": [STEP]}, instance=number % 3)
    await asyncio.sleep(2)
    worker = workers[0]

    async def restart(kind):
        port = worker.port
        worker.crash()
        await asyncio.sleep(DOWN_S)
        worker.kind = kind
        # Its new entry is in the store before its first answer.
        await worker.start(port)
        await asyncio.sleep(3)

    for _ in range(CYCLES):
        # Without the disruption of interest, the worker starts again as the same kind.
        await restart("a" if trouble else "b")
        await restart("b")
    starts = [it for it in cell.events if it["what"] == "start"]
    return [f"ROUTE: {it['task']} started at {it['t']} s on {it['worker']}, which has no label b" for it in starts if it["kind"] != "b"]


main(case)
