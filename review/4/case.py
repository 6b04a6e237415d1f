"""Jobs that no worker can ever run keep the whole service's room free for themselves."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from cell import CannotRun, lost, main, starts  # noqa: E402

# In 3 s, 3 of 69 jobs of the class can never be done: `poison` with a share of 0.0435; the site has 0.044 for 3.1 s.
POISON_EVERY = 23
CLASS_JOBS, CLASS_S = 69, 3.0
POISON_TASKS, POISON_CPU, POISON_MS = 8, 9_000, 30_000
JOB_CPU, JOB_MS = 500, 500
TRAFFIC_S = 14.0
FINISH_S = 14.0
BATCH, DYE = "/lohu930/", "/pufi791/"  # priorities 1 and 2, as on the site


async def play(cell):
    await cell.start(instances=3, workers=4, priorities=(1, 2))
    accepted = {}

    async def submit(number, prefix=DYE):
        job = f"{0xa000 + number:016x}"
        small = [{"count": 2, "cpu": JOB_CPU, "mem_mb": 64, "est_ms": JOB_MS}]
        status, _ = await cell.post(cell.instances[number % 3], job, small, {"ms": JOB_MS}, prefix=prefix)
        if status == 200:
            accepted[job] = cell.now()

    async def submit_poison(number):
        step = {"count": POISON_TASKS, "cpu": POISON_CPU, "mem_mb": 1024, "required_label": "c", "est_ms": POISON_MS}
        await cell.post(cell.instances[0], f"{0xb000 + number:016x}", [step], {"ms": POISON_MS}, prefix=BATCH)

    for number in range(20):
        await submit(number)
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    if len(accepted) < 20 or any(len(starts(cell, job)) < 2 for job in accepted):
        raise CannotRun("the jobs before the disruption aren't run")
    if cell.trouble:
        cell.note("for 3 s, 1 of 23 jobs of the class needs a worker of kind c, which none is")
    for number in range(CLASS_JOBS):
        is_poison = number % POISON_EVERY == POISON_EVERY // 2
        if not is_poison:
            await submit(100 + number, BATCH)
        elif cell.trouble:
            await submit_poison(number)
        await asyncio.sleep(CLASS_S / CLASS_JOBS)
    end, number = cell.now() + TRAFFIC_S, 20
    while cell.now() < end:
        await submit(number)
        number += 1
        await asyncio.sleep(0.4)
    cell.note(f"end of the traffic: {len(accepted)} small jobs are accepted")
    await asyncio.sleep(FINISH_S)
    return await lost(cell, accepted, DYE, JOB_CPU)


main(HERE, play)
