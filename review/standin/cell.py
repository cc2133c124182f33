"""Starts a small cell on loopback: the store, workers and the project's nodes,
with the command and the template of the deploy file."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from . import http
from .platform import Store, Worker

CALLERS, READY, PEERS, STORE, WORKERS = 7800, 7801, 7720, 7900, 8000
HOST = "jobs.example"


class CannotRun(Exception):
    """The case could not be played."""


def repository():
    return os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def _settings(node, address, zone, store):
    """The fields that the template of the deploy file takes, as DEPLOY.md and
    the site file have them."""
    template = open(os.path.join(repository(), "platform/node.json.template")).read()
    values = {
        "node": node, "zone": zone, "listenAddrs.front": f"{address}:{CALLERS}",
        "listenAddrs.ready": f"{address}:{READY}", "ip": address, "internalPorts.0": PEERS,
        "limits.cpuShare": 0.25, "limits.linkMbps": 1000.0, "platform.address": store,
        "bounds.maxHoldMs": 6000, "bounds.stopGraceMs": 900, "bounds.status_s": 120,
        "bounds.remoteFactor": 3, "bounds.graceS": 6,
    }
    # Sections for fields that this deployment does not have.
    template = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}", "", template, flags=re.S)

    def fill(match):
        name, _, form = match.group(1).partition("|")
        return json.dumps(values[name]) if form == "json" else str(values[name])

    return re.sub(r"\{\{([^#/}]+)\}\}", fill, template)


class Node:
    def __init__(self, name, address, zone, store, folder):
        self.name, self.address, self.zone = name, address, zone
        self.store, self.folder = store, folder
        self.process = None

    def start(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as settings:
            settings.write(_settings(self.name, self.address, self.zone, self.store))
        output = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(
            [os.path.join(repository(), "target/bin/oriolenode")],
            env={"ORIOLEVANE_NODE_FILE": path, "PATH": os.environ["PATH"]},
            stdout=output, stderr=subprocess.STDOUT, cwd=repository(),
        )

    async def call(self, method, path, value=None, timeout=3.0):
        return await http.call(
            self.address, CALLERS, method, path, {"Host": HOST}, value, timeout
        )

    async def is_ready(self):
        return (await http.call(self.address, READY, "GET", "/ready", timeout=1.0))[0] == 200


class Cell:
    """Use as an async context manager. All processes are ended at its end."""

    def __init__(self, record, nodes=3, workers=12, attempts=4):
        self.begun = time.monotonic()
        self.lines = open(record, "w")
        self.log("case", "begins")
        self.folder = tempfile.mkdtemp(prefix="review-")
        prefix = self._free_prefix()
        self.store = Store(self.log)
        self.store_host = f"{prefix}.1"
        self.nodes = [
            Node(f"front-{i + 1}", f"{prefix}.{11 + i}", f"zone-{i + 1}",
                 f"{self.store_host}:{STORE + i}", self.folder)
            for i in range(nodes)
        ]
        self.workers = [
            Worker(f"w-{i:03}", "pool", f"zone-{i % nodes + 1}", f"r{i // 6}", self.store, self.log)
            for i in range(workers)
        ]
        self.attempts = attempts
        self.upkeep = None

    @staticmethod
    def _free_prefix():
        for _ in range(50):
            prefix = f"127.{random.randint(40, 200)}.{random.randint(1, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{prefix}.1", STORE))
                    return prefix
                except OSError:
                    continue
        raise CannotRun("no free addresses")

    def log(self, who, text):
        self.lines.write(f"{time.monotonic() - self.begun:9.3f} {who}: {text}\n")

    async def __aenter__(self):
        if not os.path.exists(os.path.join(repository(), "target/bin/oriolenode")):
            raise CannotRun("target/bin/oriolenode is missing; build it with the deploy file")
        for index, node in enumerate(self.nodes):
            await self.store.listen(self.store_host, STORE + index, node.name)
        self.store.put_operator("op", "config", {
            "version": 3,
            "routes": [{"name": "q", "host": HOST, "pathPrefix": "/q/", "service": "pool",
                        "priority": 0, "maxAttempts": self.attempts, "stretch": 1.5,
                        "targetLatencyMs": 250}],
            "services": [{"name": "pool", "admissionControl": False}],
            "limits": {},
        })
        for index, worker in enumerate(self.workers):
            await worker.listen(self.store_host, WORKERS + index)
        for node in self.nodes:
            node.start()
        self.upkeep = asyncio.ensure_future(self._keep())
        await self.until(lambda: self.all_ready(), 20, "the nodes are not ready")
        self.log("case", "all nodes are ready")
        return self

    async def __aexit__(self, *_):
        self.upkeep.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        self.log("case", "ends")
        self.lines.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _keep(self):
        """Leases run out, and workers write to the registry now and then."""
        beat = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            for worker in self.workers:
                worker.check_lease()
            if time.monotonic() - beat > 1.5:
                beat = time.monotonic()
                for worker in self.workers:
                    if not worker.cut:
                        worker.register()
                await self.store.notify()

    async def until(self, condition, seconds, message):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(message)

    async def all_ready(self):
        answers = await asyncio.gather(*(n.is_ready() for n in self.nodes))
        return all(answers) and self.store.last_writer is not None

    def owner(self):
        """The node that last wrote to the store under a condition."""
        return next(n for n in self.nodes if n.name == self.store.last_writer)
