"""An owner is killed while advice is being asked for on its behalf, and owns the shard again after its restart."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import cell as stand

FINISH_S = 14
# Of the pages' kinds of work: the decision and each worker take so long, and tickets hold so long (milliseconds).
ADVICE = (450, 6.5, 2500)


async def main(cell, trouble):
    for number in range(48):
        cell.add_worker("pool", rack="r%d" % (number // 8))
    # Hosts of unlike size: the first is the fittest, and owns the shard.
    cell.add_node("front-a-1", share=0.5, link=200.0)
    cell.add_node("front-b-1", share=0.12, link=20.0)
    cell.add_node("front-c-1", share=0.12, link=20.0)
    cell.advice = ADVICE
    routes = [stand.route("work", "pool", advice=ADVICE, stretch=1.5, targetLatencyMs=250),
              stand.route("bulk", "pool", prefix="/bulk/", advice=ADVICE, stretch=2.2, targetLatencyMs=2500, priority=2)]
    if not await cell.start(stand.configuration(3, routes, ["pool"])):
        return 2
    await asyncio.sleep(2.0)
    owner = cell.owner()
    others = [node for node in cell.nodes if node is not owner]
    client = stand.Client(cell, "jobs.example", "/queue/")
    bulk_client = stand.Client(cell, "jobs.example", "/bulk/")
    body = {"spec": "600", "steps": [{"count": 8, "cpu": 3400, "memMb": 9700, "estimateMs": 600}]}
    # A first job runs alone.
    first = "00000000000000a0"
    if await client.submit(first, body, others) is None:
        return 2
    await asyncio.sleep(4.0)
    if await client.state(first, others) != "completed":
        return 2
    # Two jobs that can wait, and then four that can't.
    jobs = ["%016x" % (0xb0 + number) for number in range(6)]
    accepted = await asyncio.gather(*[bulk_client.submit(job, body, others) for job in jobs[:2]])
    accepted += await asyncio.gather(*[client.submit(job, body, others) for job in jobs[2:]])
    if None in accepted:
        return 2
    if trouble:
        owner.kill()
        cell.record("TROUBLE: %s, the owner, is killed" % owner.name)
        cell.tasks.append(asyncio.ensure_future(cell.restart(owner)))
    end = time.monotonic()
    open_jobs = list(jobs)
    while open_jobs and time.monotonic() < end + FINISH_S + 10:
        await asyncio.sleep(2.0)
        open_jobs = [job for job in open_jobs if await client.state(job, others) != "completed"]
    cell.record("the owner is %s" % cell.owner().name)
    if not open_jobs:
        cell.record("HELD: all jobs are completed")
        return 0
    idle = sum(1 for worker in cell.workers if not worker.running)
    for job in open_jobs:
        begun = sum(1 for start in cell.starts if start[2].startswith(job))
        cell.record("BROKEN (LOST): %s was accepted %.0f s ago; starts of its 8 tasks: %d; idle workers: %d of 48"
                    % (job, time.monotonic() - accepted[jobs.index(job)], begun, idle))
    return 1


stand.run_case(main)
