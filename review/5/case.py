"""Four callers hand in a job for each minute of the year, some months into it. Do
processes end?"""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standin.cell import CannotRun, Cell  # noqa: E402

# Unlike 1, no exit code of Python itself; run.sh turns it into 1.
BROKEN = 11
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# How long ago the schedule begins. All that is due since then is due at once.
BEGAN_DAYS_AGO = 320 if TROUBLE else 0.01
REPEAT_COUNT = 525_600
INTERVAL_MS = 60_000
TRAFFIC_S = 30
SCHEDULES = 4
SCHEDULE_EVERY_S = 5
JOBS_PER_S = 5
FINISH_S = 14
# A process that needs more is killed by the platform, and started again.
MEMORY_MB = 260
RESTART_S = 0.5


def memory_mb(pid):
    try:
        pages = int(open(f"/proc/{pid}/statm").read().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def keep_memory_limit(cell, ends):
    """Does what the platform does with a process over its limit."""
    while True:
        await asyncio.sleep(0.02)
        for node in cell.nodes:
            if node.process.poll() is None and memory_mb(node.process.pid) > MEMORY_MB:
                node.process.kill()
                cell.log("platform", f"{node.name} is over {MEMORY_MB} MB and killed")
            if node.process.poll() is not None:
                ends.append(node.name)
                cell.log("platform", f"{node.name} has ended ({node.process.poll()})")
                await asyncio.sleep(RESTART_S)
                node.start()


async def submit(cell, chooser, job, body):
    for _ in range(5):
        node = chooser.choice(cell.nodes)
        status, _ = await node.call("POST", f"/q/{job}", body)
        cell.log("client", f"{job} to {node.name}: {status}")
        if 200 <= status < 300:
            return True
        if status in (400, 404):
            return False
        await asyncio.sleep(0.5)
    return False


async def state(cell, chooser, job):
    status = 0
    for _ in range(4):
        status, answer = await chooser.choice(cell.nodes).call("GET", f"/q/{job}")
        if status == 200:
            return answer["state"]
    return f"status {status}"


async def main():
    async with Cell(os.path.join(FOLDER, "record.txt"), 3, 12) as cell:
        chooser, ends, jobs, pending = random.Random(1), [], {}, set()
        guard = asyncio.ensure_future(keep_memory_limit(cell, ends))
        scheduled = [f"{chooser.getrandbits(64):016x}" for _ in range(SCHEDULES)]
        step = {"count": 1, "cpu": 100, "memMb": 50, "estimateMs": 300}
        small = {"spec": "done 640", "steps": [
            {"count": 2, "cpu": 5600, "memMb": 21000, "estimateMs": 640}]}

        async def hand_in(job, body):
            jobs[job] = await submit(cell, chooser, job, body)

        begun, sent = time.monotonic(), 0
        while time.monotonic() - begun < TRAFFIC_S:
            due = 4 + sent * SCHEDULE_EVERY_S
            if sent < SCHEDULES and time.monotonic() - begun > due:
                start = int((time.time() - BEGAN_DAYS_AGO * 86400) * 1000)
                pending.add(asyncio.ensure_future(hand_in(scheduled[sent], {
                    "spec": "done 300", "steps": [step], "repeatCount": REPEAT_COUNT,
                    "startAtMs": start, "intervalMs": INTERVAL_MS})))
                sent += 1
            job = f"{chooser.getrandbits(64):016x}"
            pending.add(asyncio.ensure_future(hand_in(job, small)))
            await asyncio.sleep(1 / JOBS_PER_S)
        cell.log("case", "the traffic ends")
        await asyncio.gather(*pending)
        await asyncio.sleep(FINISH_S)
        states = {}
        for job in [j for j, accepted in jobs.items() if accepted]:
            states[job] = await state(cell, chooser, job)
            cell.log("client", f"{job} is {states[job]}")
        guard.cancel()
        often = [n.name for n in cell.nodes if ends.count(n.name) >= 3]
        others = [j for j in jobs if j not in scheduled]
        refused = sum(not jobs[j] for j in others)
        lost = sum(states.get(j) != "completed" for j in others if jobs[j])
        summary = (f"schedules: {[states.get(j, 'not accepted') for j in scheduled]}; "
                   f"processes ended: {[ends.count(n.name) for n in cell.nodes]}, three times "
                   f"or more on {len(often)} machines; of {len(others)} other jobs {refused} "
                   f"not accepted in 5 tries, {lost} accepted and not completed")
        cell.log("check", summary)
        print(summary)
        if not any(w.runs for w in cell.workers):
            raise CannotRun("nothing was started")
        return BROKEN if len(often) >= 2 else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(asyncio.wait_for(main(), 115)))
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        print(f"the case could not run: {problem!r}")
        sys.exit(2)
