"""A job whose tasks fail by their own fault; later a gang that has room three times over never starts."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))

from world import config, job_id, main, now_ms, queue  # noqa: E402

SERVICE = "svc"
FINISH_S = 14


async def case(world, trouble):
    routes = [queue("recon", SERVICE, attempts=2, priority=2), queue("alloc", SERVICE, attempts=2, priority=1)]
    await world.begin(8, 16000, 65536, config(1, routes, SERVICE), SERVICE)
    world.start_instances(3)
    await world.until_ready()
    names = list(world.settings)
    # Twenty jobs of a kind in 3 s, one of which can never be done (a share of 0.05).
    jobs = [job_id() for _ in range(20)]
    for number, job in enumerate(jobs):
        is_last = number == len(jobs) - 1
        step = {"count": 60 if is_last else 2, "cpu": 2000, "mem_mb": 3600, "est_ms": 1000,
                "work_ms": 1000 if is_last else 300, "fails": is_last and trouble}
        status, _ = await world.submit(names[number % 3], "recon", job, [step])
        if status != 200:
            raise RuntimeError(f"a job is not accepted: {status}")
        await asyncio.sleep(0.14)
    expected = "failed" if trouble else "complete"
    until = now_ms() + 40_000
    while await world.state(names[0], "recon", jobs[-1]) != expected:
        if now_ms() > until:
            raise RuntimeError("the last job does not end")
        await asyncio.sleep(0.5)
    await asyncio.sleep(6)
    # The last job of the traffic: 12 tasks of 4.5 cores as a gang. 24 such tasks fit on the 8 idle workers.
    gang = job_id()
    step = {"count": 12, "cpu": 4500, "mem_mb": 8800, "est_ms": 1500, "gang": True, "work_ms": 1500}
    status, _ = await world.submit(names[1], "alloc", gang, [step])
    if status != 200:
        raise RuntimeError(f"the gang is not accepted: {status}")
    end_of_traffic = now_ms()
    state = None
    idle_since = None
    longest = 0.0
    while now_ms() < end_of_traffic + (FINISH_S + 12) * 1000:
        await asyncio.sleep(0.05)
        if now_ms() < end_of_traffic + FINISH_S * 1000:
            continue
        if any(it.running for it in world.workers):
            idle_since = None
            continue
        idle_since = idle_since or now_ms()
        longest = max(longest, now_ms() - idle_since)
    state = await world.state(names[2], "alloc", gang)
    starts = sum(it[2].startswith(gang) for it in world.starts)
    world.record(f"gang {gang}: {starts} starts, shown as {state}; all workers idle for {longest / 1000:.1f} s from finish_s on")
    if state != "complete" and starts == 0 and longest >= 3000:
        return [f"LOST: gang {gang} has nothing running for {longest / 1000:.1f} s, while its tasks fit twice over and nothing else runs"]
    return []


main(case, FOLDER)
