"""A node stands still while clients hand in jobs through it. The clients leave
before their time limit and cancel through another node. Do the jobs start?"""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standin.cell import CannotRun, Cell  # noqa: E402

# Unlike 1, no exit code of Python itself; run.sh turns it into 1.
BROKEN = 11
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 4.0
ROUNDS = 5
# Of these, 40 % leave early and cancel, the share of the site file.
CLIENTS = 10
LEAVING = 4
LEAVE_S = 0.5
PATIENT_S = 3.0
CANCEL_S = 3.0


class Client:
    """Hands one job in. One that leaves sends it once only, and cancels it at
    another node; the others wait for their time limit and send it again there."""

    def __init__(self, cell, job, node, other, leaves):
        self.cell, self.job, self.node, self.other = cell, job, node, other
        self.leaves = leaves
        self.handed_in = None
        self.cancelled = None
        self.acknowledged = None

    async def run(self):
        body = {"spec": "done 3000", "steps": [
            {"count": 2, "cpu": 5600, "memMb": 21000, "estimateMs": 3000}]}
        self.handed_in, _ = await self.node.call(
            "POST", f"/q/{self.job}", body, LEAVE_S if self.leaves else PATIENT_S)
        self.cell.log("client", f"{self.job} handed in to {self.node.name}: "
                                f"{self.handed_in or 'no answer'}")
        if not self.leaves:
            if not self.handed_in:
                self.handed_in, _ = await self.other.call("POST", f"/q/{self.job}", body)
            return
        self.cancelled, _ = await self.other.call("DELETE", f"/q/{self.job}")
        self.acknowledged = time.monotonic()
        self.cell.log("client", f"{self.job} cancelled at {self.other.name}: {self.cancelled}")


def check(cell, clients):
    """UNASKED: a machine in touch starts a task later than cancel_ms after the
    job's cancelling was acknowledged."""
    broken = 0
    for client in clients:
        if client.cancelled not in (200, 410):
            continue
        for worker in cell.workers:
            for run in worker.runs:
                late = run.started - client.acknowledged
                if run.task.startswith(client.job + ".") and late > CANCEL_S:
                    broken += 1
                    cell.log("check", f"UNASKED: {run.task} run {run.number} starts on "
                                      f"{worker.name} {late:.2f} s after the cancelling was "
                                      f"acknowledged with {client.cancelled}")
    return broken


async def main():
    async with Cell(os.path.join(FOLDER, "record.txt"), 3, 6) as cell:
        chooser = random.Random(1)
        await asyncio.sleep(4)
        clients = []
        for _ in range(ROUNDS):
            # The owner is left alone: the machine that starts tasks is in touch.
            owner = cell.owner()
            frozen = next(n for n in cell.nodes if n is not owner)
            if TROUBLE:
                frozen.process.send_signal(signal.SIGSTOP)
                cell.log("case", f"{frozen.name} stands still; the owner is {owner.name}")
            begun = time.monotonic()
            batch = [
                Client(cell, f"{chooser.getrandbits(64):016x}", frozen, owner, n < LEAVING)
                for n in range(CLIENTS)
            ]
            clients += batch
            await asyncio.gather(*(c.run() for c in batch))
            await asyncio.sleep(max(0, begun + FREEZE_S - time.monotonic()))
            if TROUBLE:
                frozen.process.send_signal(signal.SIGCONT)
                cell.log("case", f"{frozen.name} wakes")
            await asyncio.sleep(6)
            if cell.owner() is not owner:
                cell.log("case", f"the owner is {cell.owner().name} now")
        broken = check(cell, clients)
        acknowledged = sum(c.cancelled in (200, 410) for c in clients)
        leaving = [c for c in clients if c.leaves]
        answered = sum(c.handed_in == 200 for c in leaving)
        summary = (f"{len(leaving)} jobs handed in once and cancelled, {answered} of them "
                   f"answered with 200; {acknowledged} cancels acknowledged; "
                   f"UNASKED broken by {broken} starts")
        cell.log("check", summary)
        print(summary)
        if acknowledged < len(leaving) / 2:
            raise CannotRun("the cancels were not acknowledged")
        return BROKEN if broken else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(asyncio.wait_for(main(), 115)))
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        print(f"the case could not run: {problem!r}")
        sys.exit(2)
