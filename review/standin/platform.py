"""Stand-ins of the platform's store and of its workers, as PROTOCOL.md has
them. Only what the cases need is there: tables and their feed, starts, stops
and holds. Workers keep leases and fence numbers."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .http import Dropped, Server

ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
TXN_S = 0.006
READ_S = 0.004
MAX_HOLD_MS = 6000
MAX_ENDS = 500


class Store:
    """The tables. Each node calls a port of its own, so that the store can turn
    single nodes away."""

    def __init__(self, log):
        self.log = log
        self.rows = {}
        self.changes = []
        self.version = 0
        self.refused = set()
        self.last_writer = None
        self.rejected_writes = 0
        self.applied = 0
        self.changed = asyncio.Condition()
        self.part = asyncio.Lock()
        self.started = time.monotonic()

    async def listen(self, host, port, node):
        async def handler(method, target, headers, body):
            return await self._handle(node, method, target, body)

        await Server(handler).listen(host, port)

    def put_operator(self, table, key, value):
        """Writes a row of the operator or of a worker."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self._put(table, "", key, text)

    def _put(self, table, part, key, value):
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "rowVersion": self.version,
        }
        self.rows[(table, part, key)] = row
        self.changes.append(row)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _answer(self, **more):
        now = int((time.monotonic() - self.started) * 1000)
        return {"rowVersion": self.version, "nowMs": now, **more}

    async def _handle(self, node, method, target, body):
        if node in self.refused:
            return 503, {}
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if method == "POST" and parts.path == "/rows-tx":
            return await self._transaction(node, body)
        if method == "GET" and parts.path == "/rows-get":
            await asyncio.sleep(READ_S)
            return 200, self._page(query)
        if method == "GET" and parts.path == "/rows-feed":
            return await self._feed(node, query)
        return 404, {}

    def _page(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        keys = sorted(
            k[2].encode()
            for k in self.rows
            if k[0] == table
            and k[1] == part
            and k[2].encode() >= start.encode()
            and (end is None or k[2].encode() < end.encode())
        )
        rows, size = [], 0
        for key in keys:
            row = self.rows[(table, part, key.decode())]
            size += len(row["value"]) + 200
            if len(rows) == limit or size > MAX_CALL_BYTES:
                return self._answer(rows=rows, hasMore=True)
            rows.append(row)
        return self._answer(rows=rows, hasMore=False)

    async def _feed(self, node, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
        while True:
            rows = [r for r in self.changes if r["table"] == table and r["rowVersion"] > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._answer(rows=rows[:MAX_PAGE_ROWS])
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if node in self.refused:
                return 503, {}

    async def _transaction(self, node, body):
        call = json.loads(body)
        put, remove = call.get("put", []), call.get("remove", [])
        expected = call.get("expectedRev", [])
        async with self.part:
            await asyncio.sleep(TXN_S)
            if node in self.refused:
                return 503, {}
            if len(put) + len(remove) + len(expected) > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
                self.rejected_writes += 1
                return 400, {}
            for row in put:
                if len(base64.b64decode(row["value"])) > ROW_BYTES:
                    self.rejected_writes += 1
                    self.log("store", f"400 for {node}: {row['table']}/{row['key']} is too large")
                    return 400, {}
            if any(r["table"] in ("op", "servers") for r in put + remove):
                return 403, {}
            rows = [(r["table"], r.get("part", ""), r["key"]) for r in expected]
            for key, row in zip(rows, expected):
                if self.rows.get(key, {}).get("rowVersion", 0) != row.get("rowVersion", 0):
                    found = [self.rows[k] for k in rows if k in self.rows]
                    return 412, self._answer(rows=found)
            self.version += 1
            for row in put:
                self._put(row["table"], row.get("part", ""), row["key"], row["value"])
            for row in remove:
                key = (row["table"], row.get("part", ""), row["key"])
                if self.rows.pop(key, None) is not None:
                    self.changes.append(
                        {"table": key[0], "part": key[1], "key": key[2],
                         "rowVersion": self.version, "deleted": True}
                    )
            self.applied += 1
            if expected:
                self.last_writer = node
            answer = self._answer()
        await self.notify()
        return 200, answer


class Run:
    def __init__(self, task, number, started):
        self.task = task
        self.number = number
        self.started = started
        self.ended = None
        self.how = None
        self.serial = None
        # When lastSeen reached the end; None while it has not.
        self.noted = None


class Worker:
    """Runs what it is told to. The spec of a job says how its tasks end: "done
    MS" or "failed MS"."""

    def __init__(self, name, pool, zone, rack, store, log, cpu=64000, mem=262144):
        self.name, self.pool, self.zone, self.rack = name, pool, zone, rack
        self.store, self.log = store, log
        self.cpu, self.mem = cpu, mem
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.ended = []
        self.runs = []
        self.highest = {}
        self.serial = 0
        self.cut = False
        self.changed = asyncio.Condition()
        self.address = None

    async def listen(self, host, port):
        self.address = f"{host}:{port}"
        await Server(self._handle).listen(host, port)
        self.register()

    def register(self):
        self.sequence += 1
        self.store.put_operator(
            "servers",
            self.name,
            {
                "service": self.pool, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                "sequence": self.sequence, "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": self.mem},
                "labels": ["a", self.rack],
            },
        )

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def _handle(self, method, target, headers, body):
        if self.cut:
            raise Dropped()
        if headers.get("x-oriolevane-target-instance", self.name) != self.name:
            return 421, {"serverTimeMs": self.now_ms(), "born": self.born}
        call = json.loads(body) if body else {}
        token = call.get("fencingToken", 0)
        if token < self.fence:
            return 409, self._answer(reason="fence")
        self.fence = token
        if target == "/run-start":
            answer = self._start(call)
        elif target == "/run-stop":
            answer = self._stop(call)
        elif target == "/hold":
            answer = await self._hold(call)
        else:
            answer = 404, {}
        if self.cut:
            raise Dropped()
        return answer

    def _answer(self, **more):
        return {"serverTimeMs": self.now_ms(), "born": self.born, **more}

    def _extend(self, call):
        if "dueMs" in call:
            due = min(call["dueMs"], self.now_ms() + MAX_HOLD_MS)
            self.lease_end = max(self.lease_end, due)

    def _start(self, call):
        task, number = call["task"], call["run"]
        if call["dueMs"] < self.now_ms():
            return 409, self._answer(reason="late")
        self._extend(call)
        run = self.running.get(task)
        if run is not None and run.number == number:
            return 200, self._answer()
        if number <= self.highest.get(task, 0) or run is not None:
            return 409, self._answer(reason="old")
        run = Run(task, number, time.monotonic())
        self.running[task] = run
        self.runs.append(run)
        self.log(self.name, f"starts {task} run {number} token {call['fencingToken']}")
        how, after = call["spec"].split()[:2]
        asyncio.get_running_loop().call_later(int(after) / 1000, self._end, run, how)
        return 200, self._answer()

    def _stop(self, call):
        run = self.running.get(call["task"])
        if run is None or run.number != call["run"]:
            return 409, self._answer(reason="old")
        asyncio.get_running_loop().call_later(0.05, self._end, run, "stopped")
        return 200, self._answer()

    def _end(self, run, how):
        if run.how is not None:
            return
        run.how, run.ended = how, time.monotonic()
        self.serial += 1
        run.serial = self.serial
        del self.running[run.task]
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.ended.append(run)
        self.log(self.name, f"{run.task} run {run.number} ends {how}")
        asyncio.ensure_future(self._notify())

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def check_lease(self):
        """Ends everything when the lease is over."""
        if self.running and self.lease_end < self.now_ms():
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    async def _hold(self, call):
        self._extend(call)
        last = call.get("lastSeen", 0)
        for run in self.ended:
            if run.serial <= last:
                run.noted = time.monotonic()
        self.ended = [r for r in self.ended if r.serial > last]
        until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        running = [[r.task, r.number, "", self._percent(r), 0] for r in self.running.values()]
        ended = [[r.serial, r.task, r.number, r.how, ""] for r in self.ended[:MAX_ENDS]]
        return 200, self._answer(running=running, ended=ended)

    @staticmethod
    def _percent(run):
        return min(99, int((time.monotonic() - run.started) * 100))
