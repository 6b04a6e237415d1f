"""A wide job whose tasks fail by their own fault makes its state row larger than `row_bytes`."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from cell import CannotRun, lost, main, starts  # noqa: E402

# In 3 s, 1 of 21 jobs of the class can never be done: `poison` with a share of 0.048 for 3 s; the site has 0.05.
CLASS_JOBS, CLASS_S = 21, 3.0
WIDE_JOB = "5c0e7a21d94b36f8"
WIDE_TASKS = 1_500
WIDE_MS = 4_000
TRAFFIC_S = 20
JOB_MS = 500
WIDE_CPU = 20
JOB_CPU = 500
FINISH_S = 14.0


async def play(cell):
    await cell.start(instances=3, workers=4)
    entries = cell.instances
    accepted = {}

    async def submit(number, prefix="/lohu930/"):
        job = f"{0xa000 + number:016x}"
        small = [{"count": 2, "cpu": JOB_CPU, "mem_mb": 64, "est_ms": JOB_MS}]
        status, _ = await cell.post(entries[number % 3], job, small, {"ms": JOB_MS}, prefix=prefix)
        if status == 200:
            accepted[job] = cell.now()

    for number in range(6):
        await submit(number)
    await asyncio.sleep(2.0)
    if any(len(starts(cell, job)) < 2 for job in accepted) or len(accepted) < 6:
        raise CannotRun("the jobs before the wide one aren't run")
    # 1,500 tasks of 0.02 cores take 30 of 128 cores. With the disruption each of their runs fails.
    wide = [{"count": WIDE_TASKS, "cpu": WIDE_CPU, "mem_mb": 16, "est_ms": WIDE_MS, "checkpointing": True}]
    spec = {"ms": WIDE_MS, "fail": cell.trouble, "saves": True}
    for number in range(CLASS_JOBS):
        if number == CLASS_JOBS // 2:
            status, _ = await cell.post(entries[0], WIDE_JOB, wide, spec, prefix="/pufi791/")
            if status != 200:
                raise CannotRun(f"the wide job isn't accepted: {status}")
        else:
            await submit(100 + number, "/pufi791/")
        await asyncio.sleep(CLASS_S / CLASS_JOBS)
    number = 6
    end = cell.now() + TRAFFIC_S
    while cell.now() < end:
        await submit(number)
        number += 1
        await asyncio.sleep(0.5)
    cell.note(f"end of the traffic: {len(accepted)} small jobs are accepted")
    await asyncio.sleep(FINISH_S)
    breaches = await lost(cell, accepted, "/lohu930/", JOB_CPU, WIDE_CPU)
    busy = sum(len(worker.runs) for worker in cell.workers)
    cell.note(f"at the end {busy} runs are at work; wide job: {await cell.state(entries[1], WIDE_JOB, '/pufi791/')}, "
              f"{len(starts(cell, WIDE_JOB))} starts; rows refused by the store: {cell.store.refused_rows}")
    return breaches


main(HERE, play)
