"""A job that was accepted before its queue went to another service is taken over by a new owner."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import cell as stand

FINISH_S = 14


async def main(cell, trouble):
    for _ in range(2):
        cell.add_worker("pool-a")
    for _ in range(4):
        cell.add_worker("pool-b")
    for name in ("front-a-1", "front-b-1", "front-c-1"):
        cell.add_node(name)
    pools = ["pool-a", "pool-b"]
    keep = stand.route("keep", "pool-a", prefix="/keep/")
    old = stand.configuration(3, [stand.route("work", "pool-a"), keep], pools)
    without = stand.configuration(6, [keep], pools)
    new = stand.configuration(10, [stand.route("work", "pool-b"), keep], pools)
    if not await cell.start(old):
        return 2
    client = stand.Client(cell, "jobs.example", "/queue/")
    # Two tasks that last take 12 of the 16 cores of both workers of pool-a.
    lasting = {"spec": "0", "steps": [{"count": 2, "cpu": 12000, "memMb": 1024, "estimateMs": 400, "maxPerServer": 1,
                                       "longRunning": True}]}
    if await stand.Client(cell, "jobs.example", "/keep/").submit("00000000000000ee", lasting, cell.nodes) is None:
        return 2
    job = "5c0e7a21d94b36f8"
    # The first step takes 5 s; the second one takes a second, and 8 cores, which only pool-b has free.
    body = {"spec": "5000,1000", "steps": [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 5000},
                                           {"count": 1, "cpu": 8000, "memMb": 256, "estimateMs": 1000, "after": [0]}]}
    if await client.submit(job, body, cell.nodes) is None:
        return 2
    await asyncio.sleep(1.0)
    cell.store.put("op", "config", without)
    cell.record("the operator removes the route, by version 6")
    await asyncio.sleep(1.0)
    cell.store.put("op", "config", new)
    cell.record("the operator adds the route again, with pool-b as its service, by version 10")
    await asyncio.sleep(1.5)
    if trouble:
        owner = cell.owner()
        owner.kill()
        cell.record("TROUBLE: %s, the owner, is killed" % owner.name)
        cell.tasks.append(asyncio.ensure_future(cell.restart(owner)))
    await asyncio.sleep(3.0)
    # The turn of the second step came when the first one had ended, and all of pool-b is empty.
    deadline = time.monotonic() + FINISH_S
    while time.monotonic() < deadline:
        if await client.state(job, cell.nodes) == "completed":
            cell.record("HELD: the job is completed")
            return 0
        await asyncio.sleep(1.0)
    begun = [start for start in cell.starts if start[2] == job + ".0.1.0"]
    cell.record("BROKEN (LOST): the second step's turn came %d s ago, 4 workers of pool-b are empty, starts of it: %d"
                % (FINISH_S, len(begun)))
    return 1


stand.run_case(main)
