"""A node restarts while the owner still holds the answer to a request of its former process."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import cell as stand

# The site's trouble "platform_slow" has x = 60 for 4.5 s.
SLOWNESS = 60
VISIBLE_S = 3
FINISH_S = 14


async def main(cell, trouble):
    # SPARE_FRONT=1 leaves out the kill of the node only, for comparison.
    kills_front = trouble and os.environ.get("SPARE_FRONT") != "1"
    for _ in range(6):
        cell.add_worker("pool")
    for name in ("front-a-1", "front-b-1", "front-c-1"):
        cell.add_node(name)
    if not await cell.start(stand.configuration(3, [stand.route("work", "pool")], ["pool"])):
        return 2
    await asyncio.sleep(2.0)
    client = stand.Client(cell, "jobs.example", "/queue/")
    owner = cell.owner()
    front, other = [node for node in cell.nodes if node is not owner]
    body = {"spec": "500", "steps": [{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 500}]}
    job_a, job_b = "00000000000000aa", "00000000000000bb"
    if trouble:
        cell.store.slowness = SLOWNESS
        cell.record("TROUBLE: the store's answers take %d times as long" % SLOWNESS)
        await asyncio.sleep(1.0)
    # Job A comes just after the owner has sent a transaction, so that it waits for the next one.
    await asyncio.wait_for(cell.store.arrived.wait(), 5)
    first = asyncio.ensure_future(client.request(front, "POST", job_a, body))
    await asyncio.sleep(0.03)
    if kills_front:
        front.kill()
        cell.record("TROUBLE: %s is killed" % front.name)
        await cell.restart(front)
    while not await front.ready():
        await asyncio.sleep(0.01)
    answer = await client.request(front, "POST", job_b, body)
    accepted = time.monotonic()
    if trouble:
        for node in cell.nodes:
            node.send_kill()
        cell.record("TROUBLE: all processes are killed, right after work was accepted")
        cell.store.slowness = 1
        for node in cell.nodes:
            node.kill()
        await asyncio.gather(*[cell.restart(node) for node in cell.nodes])
    if answer is None or not 200 <= answer[0] < 300:
        cell.record("job B was not accepted: nothing can be said")
        return 0 if not trouble else 2
    # The client of job A has had no answer, or one; without one it hands the job in again.
    if await first is None and await client.submit(job_a, body, [other, owner]) is None:
        return 2
    while time.monotonic() < accepted + FINISH_S:
        await asyncio.sleep(1.0)
        state = await client.state(job_b, [other])
        if state == "completed":
            cell.record("HELD: job B is completed")
            return 0
        if state == "410" and time.monotonic() > accepted + VISIBLE_S + 3:
            cell.record("BROKEN (LOST): job B was accepted %.1f s ago, nobody has cancelled it, and a GET is answered "
                        "410" % (time.monotonic() - accepted))
            return 1
    cell.record("BROKEN (LOST): job B is not completed")
    return 1


stand.run_case(main)
