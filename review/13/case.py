"""Gangs wait for the few workers that they may use; a job that may use others is not started there although they are idle."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))

from world import Advice, config, job_id, main, now_ms, queue  # noqa: E402

SERVICE = "svc"
CORES, WORKERS = 16000, 20
FINISH_S = 14


async def case(world, trouble):
    gangs = [job_id() for _ in range(6)]
    # The policy allows the gangs 6 of the 20 workers (a share of 0.3), and the other job 9 others (0.45).
    place = lambda worker: [it.id for it in world.workers].index(worker)
    advice = Advice(40, 0.6, lambda job, worker: place(worker) < 6 if job in gangs else 6 <= place(worker) < 15)
    await advice.http.start()
    routes = [
        queue("alloc", SERVICE, priority=1, stretch=2.2, advice=advice.terms()),
        queue("recon", SERVICE, priority=2, stretch=4.0, advice=advice.terms()),
    ]
    await world.begin(WORKERS, CORES, 65536, config(1, routes, SERVICE), SERVICE)
    world.start_instances(3, advice_address=advice.http.address)
    await world.until_ready()
    names = list(world.settings)
    await asyncio.sleep(3)
    sent = gangs if trouble else gangs[:1]
    for number, job in enumerate(sent):
        # Four in the burst of 4 s, 0.98 a second, and two more at the usual rate of 0.54 a second.
        await asyncio.sleep(1.05 if number < 4 else 1.9)
        step = {"count": 12, "cpu": 7600, "mem_mb": 8800, "est_ms": 20000, "gang": True, "work_ms": 20000}
        status, _ = await world.submit(names[number % 3], "alloc", job, [step])
        if status != 200:
            raise RuntimeError(f"a gang is not accepted: {status}")
    last = job_id()
    step = {"count": 10, "cpu": 1000, "mem_mb": 3600, "est_ms": 22000, "work_ms": 18000}
    status, _ = await world.submit(names[1], "recon", last, [step])
    if status != 200:
        raise RuntimeError(f"the last job is not accepted: {status}")
    end_of_traffic = now_ms()
    begin, longest = None, 0.0
    while now_ms() < end_of_traffic + 60_000:
        await asyncio.sleep(0.02)
        if any(it[2].startswith(last) for it in world.starts):
            break
        used = sum(it.used_cpu() for it in world.workers)
        if now_ms() < end_of_traffic + FINISH_S * 1000 or used * 2 >= WORKERS * CORES:
            begin = None
            continue
        begin = begin or now_ms()
        longest = max(longest, now_ms() - begin)
    idle = sum(not it.running for it in world.workers)
    world.record(f"job {last}: first start {(now_ms() - end_of_traffic) / 1000:.1f} s after the end of the traffic; "
                 f"nothing running for {longest / 1000:.1f} s from finish_s on; {idle} workers idle now")
    if longest >= 3000:
        return [f"LOST: job {last} has nothing running for {longest / 1000:.1f} s from finish_s on, while the 9 workers that it "
                "may use are idle and under half of the capacity is in use"]
    return []


main(case, FOLDER)
