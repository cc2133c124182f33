"""Stand-ins of the platform, of workers, of the policy service and of clients, for the cases of this review.

They speak what the users' PROTOCOL page says, over loopback and the real clock, and start the project's node with the
command of its deploy file. Python's standard library is all they need.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE_PROGRAM = os.path.join(ROOT, "target", "bin", "oriolenode")


def steady_ms():
    return time.monotonic() * 1000.0


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.begin, text))
        self.file.flush()


# --- HTTP ------------------------------------------------------------------------------------------------------------

class HttpServer:
    """One request at a time on each channel. A handler returns (status, body); None leaves the call unanswered."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 22, backlog=512)

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = await self.handler(method, path, arguments, headers, body)
                if answer is None:
                    # A channel on which an answer is lost delivers nothing further.
                    await asyncio.sleep(60)
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, path, host, body=None, timeout=3.0):
    """One request on a new channel. Returns (status, headers, value), or None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                          "X-Oriolevane-Timeout-Ms: %d\r\n\r\n" % (method, path, host, len(data), timeout * 1000)
                          ).encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            headers = {}
            for line in head[1:]:
                if ":" in line:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            text = await reader.readexactly(length) if length else b""
            return status, headers, json.loads(text) if text else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


# --- the platform's store --------------------------------------------------------------------------------------------

class Store:
    """Rows in tables; linearizable; a part handles one transaction after another."""

    def __init__(self, record, txn_ms=6.0, answer_ms=4.0):
        self.record = record
        self.txn_ms = txn_ms
        self.answer_ms = answer_ms
        # How many times as long all answers take.
        self.slowness = 1.0
        self.rows = {}
        self.version = 0
        self.log = []
        self.parts = {}
        self.changed = asyncio.Event()
        # Set, and replaced, whenever a transaction has arrived.
        self.arrived = asyncio.Event()
        self.begin = steady_ms()
        self.http = HttpServer(self.handle)

    def apply(self, puts, removes):
        self.version += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.version)
            self.log.append((self.version, table, part, key, value, False))
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None) is not None:
                self.log.append((self.version, table, part, key, "", True))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.apply([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())], [])

    def drop(self, table, key):
        self.apply([], [(table, "", key)])

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0])

    def count(self, table):
        return sum(1 for name in self.rows if name[0] == table)

    def stamp(self, answer):
        answer["rowVersion"] = self.version
        answer["nowMs"] = int(steady_ms() - self.begin)
        return answer

    async def handle(self, method, path, arguments, headers, body):
        if method == "POST" and path == "/rows-tx":
            self.arrived.set()
            self.arrived = asyncio.Event()
            answer = await self.transact(json.loads(body), len(body))
            await asyncio.sleep(self.answer_ms * self.slowness / 1000)
            return answer
        if method == "GET" and path == "/rows-get":
            await asyncio.sleep(self.answer_ms * self.slowness / 1000)
            return self.read(arguments)
        if method == "GET" and path == "/rows-feed":
            await asyncio.sleep(self.answer_ms * self.slowness / 1000)
            return await self.feed(arguments)
        return 404, {}

    async def transact(self, call_body, size):
        conditions = call_body.get("expectedRev", [])
        puts = call_body.get("put", [])
        removes = call_body.get("remove", [])
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        entries = conditions + puts + removes
        too_long = any(len(base64.b64decode(row.get("value", ""))) > 65536 for row in puts)
        if too_long or len(entries) > 100 or size > 1_000_000 or len({name(row)[1] for row in entries}) > 1:
            return 400, {}
        if any(row["table"] in ("op", "servers") for row in puts + removes):
            return 403, {}
        part = name(entries[0])[1] if entries else ""
        async with self.parts.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(self.txn_ms * self.slowness / 1000)
            if any(self.rows.get(name(row), ("", 0))[1] != row.get("rowVersion", 0) for row in conditions):
                rows = [self.row(name(row)) for row in conditions if name(row) in self.rows]
                return 412, self.stamp({"rows": rows})
            self.apply([name(row) + (row.get("value", ""),) for row in puts], [name(row) for row in removes])
            version = self.version
        answer = self.stamp({})
        answer["rowVersion"] = version
        return 200, answer

    def row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "rowVersion": version}

    def read(self, arguments):
        table, part = arguments["table"], arguments.get("part", "")
        first, end = arguments.get("from", ""), arguments.get("target")
        limit = min(int(arguments.get("limit", "500")), 500)
        names = sorted((name for name in self.rows if name[0] == table and name[1] == part and name[2] >= first
                        and (end is None or name[2] < end)), key=lambda name: name[2].encode())
        return 200, self.stamp({"rows": [self.row(name) for name in names[:limit]], "hasMore": len(names) > limit})

    async def feed(self, arguments):
        table, after = arguments["table"], int(arguments["after"])
        deadline = steady_ms() + min(int(arguments.get("waitMs", "0")), 30000)
        while True:
            rows = [{"table": t, "part": p, "key": k, "value": v, "rowVersion": n, "deleted": gone}
                    for n, t, p, k, v, gone in self.log if t == table and n > after][:500]
            left = deadline - steady_ms()
            if rows or left <= 0:
                answer = self.stamp({"rows": rows, "hasMore": len(rows) == 500})
                if len(rows) == 500:
                    answer["rowVersion"] = rows[-1]["rowVersion"]
                return 200, answer
            try:
                await asyncio.wait_for(self.changed.wait(), left / 1000)
            except (TimeoutError, asyncio.TimeoutError):
                pass


# --- workers ---------------------------------------------------------------------------------------------------------

class Worker:
    """One worker. A task's spec holds, for each step, the milliseconds that a task takes; 0: it lasts."""

    def __init__(self, cell, name, service, address, cpu=16000, memory=65536, kind="a", rack="r1"):
        self.cell = cell
        self.name = name
        self.service = service
        self.address = address
        self.capacity = {"cpu": cpu, "memMb": memory, "gpu": 0}
        self.labels = [kind, rack]
        self.state = "ready"
        self.leaves_at = None
        self.sequence = 0
        self.http = None
        self.up = False

    async def boot(self):
        self.born = unix_ms()
        self.begin = steady_ms()
        self.token = 0
        self.due = 0.0
        self.running = {}
        self.ended = []
        self.serial = 0
        self.past = {}
        self.news = asyncio.Event()
        self.up = True
        self.http = HttpServer(self.handle)
        await self.http.start(*self.address)
        self.register()

    def crash(self):
        """The process dies: it runs and knows nothing any more."""
        self.up = False
        self.http.close()
        for (task, run), _ in self.running.items():
            self.cell.note_end(self, task, run, "gone")
        self.running = {}

    def leave(self):
        self.crash()
        self.cell.store.drop("servers", self.name)

    def drain(self, remaining_ms):
        self.state = "draining"
        self.leaves_at = steady_ms() + remaining_ms
        self.register()

    def register(self):
        if not self.up:
            return
        self.sequence += 1
        entry = {"service": self.service, "address": "%s:%d" % self.address, "zone": "za", "version": "v1", "slots": 8,
                 "state": self.state, "coldLeftMs": 0, "sequence": self.sequence, "capacity": self.capacity,
                 "labels": self.labels, "born": self.born}
        if self.leaves_at is not None:
            entry["remainingMs"] = max(int(self.leaves_at - steady_ms()), 0)
        self.cell.store.put("servers", self.name, entry)

    def now(self):
        return steady_ms() - self.begin

    def tick(self):
        if not self.up:
            return
        now = self.now()
        if self.running and self.due <= now:
            for task, run in list(self.running):
                self.end(task, run, "lapsed")
        for (task, run), entry in list(self.running.items()):
            if entry["stop_at"] is not None and entry["stop_at"] <= now:
                self.end(task, run, "stopped")
            elif entry["ends_at"] is not None and entry["ends_at"] <= now:
                self.end(task, run, "done")

    def end(self, task, run, how):
        del self.running[(task, run)]
        self.serial += 1
        self.ended.append([self.serial, task, run, how, ""])
        self.past[task] = max(self.past.get(task, 0), run)
        self.cell.note_end(self, task, run, how)
        self.news.set()
        self.news = asyncio.Event()

    def extend(self, due):
        if due is not None:
            self.due = max(self.due, min(due, self.now() + self.cell.max_hold_ms))

    async def handle(self, method, path, arguments, headers, body):
        if headers.get("x-oriolevane-target-instance", self.name) != self.name:
            return 421, {}
        order = json.loads(body)
        token = order.get("fencingToken", 0)
        if token < self.token:
            return 409, {"serverTimeMs": int(self.now()), "reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self.start(order)
        if path == "/run-stop":
            return self.stop(order)
        if path == "/hold":
            return await self.hold(order)
        return 404, {}

    def start(self, order):
        task, run = order["task"], order["run"]
        self.extend(order.get("dueMs"))
        refuse = lambda reason: (409, {"serverTimeMs": int(self.now()), "reason": reason})
        if (task, run) in self.running:
            return 200, {"serverTimeMs": int(self.now())}
        if self.due <= self.now():
            return refuse("late")
        if run <= self.past.get(task, 0):
            return refuse("old")
        if not self.cell.ticket_holds(self, task, order.get("ticket")):
            return refuse("ticket")
        times = order["spec"].split(",")
        milliseconds = float(times[min(int(task.split(".")[2]), len(times) - 1)])
        self.running[(task, run)] = {"begun": self.now(), "stop_at": None, "length": milliseconds,
                                     "ends_at": self.now() + milliseconds if milliseconds > 0 else None}
        self.cell.note_start(self, task, run)
        return 200, {"serverTimeMs": int(self.now())}

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.past[task] = max(self.past.get(task, 0), run)
        entry = self.running.get((task, run))
        if entry is not None and entry["stop_at"] is None:
            entry["stop_at"] = self.now() + 50
        return 200, {"serverTimeMs": int(self.now())}

    async def hold(self, order):
        self.extend(order.get("dueMs"))
        self.ended = [end for end in self.ended if end[0] > order.get("lastSeen", 0)]
        wait = min(order.get("waitMs", 0), 2000)
        if wait > 0 and not self.ended:
            try:
                await asyncio.wait_for(self.news.wait(), wait / 1000)
            except (TimeoutError, asyncio.TimeoutError):
                pass
        percent = lambda e: 100 if not e["length"] else min(int((self.now() - e["begun"]) * 100 / e["length"]), 99)
        return 200, {"serverTimeMs": int(self.now()), "born": self.born,
                     "running": [[task, run, "", percent(entry), 0] for (task, run), entry in self.running.items()],
                     "ended": self.ended[:500]}


# --- nodes -----------------------------------------------------------------------------------------------------------

class Node:
    """A process of the project, started with the command of the deploy file and settings as its template has them."""

    def __init__(self, cell, name, ip, ports, share=0.25, link=1000.0):
        self.cell = cell
        self.name = name
        self.callers = (ip, ports[0])
        self.readiness = (ip, ports[1])
        self.policy = (ip, ports[3])
        self.process = None
        self.settings = os.path.join(cell.folder, name + ".json")
        self.log = os.path.join(cell.folder, name + ".log")
        text = {"node": name, "availability_zone": "za",
                "listen": {"callers": "%s:%d" % self.callers, "readiness": "%s:%d" % self.readiness,
                           "peers": "%s:%d" % (ip, ports[2])},
                "processor_share": share, "link_mbps": link, "memory_mb": 260, "max_fds": 4200,
                "store": "%s:%d" % cell.store_address, "policy_service": "%s:%d" % self.policy,
                "longest_lease_ms": cell.max_hold_ms, "longest_stop_ms": 900, "keep_finished_s": 120,
                "remote_factor": 2, "stop_grace_ms": 6000}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(text, file)

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["ORIOLEVANE_NODE_FILE"] = self.settings
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([NODE_PROGRAM], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.cell.record("node %s started" % self.name)

    def send_kill(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)

    def kill(self):
        if self.process is not None:
            self.send_kill()
            self.process.wait()
            self.process = None

    async def ready(self):
        answer = await call(self.readiness, "GET", "/ready", "x", timeout=1.0)
        return answer is not None and answer[0] == 200


class Cell:
    """The platform around some nodes."""

    def __init__(self, record, max_hold_ms=6000):
        self.record = record
        self.max_hold_ms = max_hold_ms
        self.folder = tempfile.mkdtemp(prefix="oriole-review-")
        self.net = "127.%d.%d." % (random.randint(20, 120), random.randint(1, 250))
        self.port = random.randint(20000, 50000)
        self.store = Store(record)
        self.store_address = (self.net + "1", self.port)
        self.workers = []
        self.nodes = []
        # Queues with advice: milliseconds of a decision and for each worker, and how long a ticket is valid.
        self.advice = None
        self.tickets = {}
        self.advisors = []
        # (time, worker, task, run) of starts, and (time, task, run, how) of ends.
        self.starts = []
        self.ends = []
        self.tasks = []

    def note_start(self, worker, task, run):
        self.starts.append((time.monotonic(), worker.name, task, run))
        self.record("worker %s starts %s run %d" % (worker.name, task, run))

    def note_end(self, worker, task, run, how):
        self.ends.append((time.monotonic(), task, run, how))
        self.record("worker %s: %s run %d ends: %s" % (worker.name, task, run, how))

    def ticket_holds(self, worker, task, ticket):
        if self.advice is None:
            return True
        until = self.tickets.get((task.rsplit(".", 1)[0], worker.name, worker.born, ticket))
        return until is not None and steady_ms() <= until

    def add_worker(self, service, **more):
        number = len(self.workers) + 1
        address = (self.net + str(100 + number), self.port)
        self.workers.append(Worker(self, "w-%03d" % number, service, address, **more))
        return self.workers[-1]

    def add_node(self, name, **more):
        number = len(self.nodes) + 1
        ports = [self.port, self.port + 1, self.port + 2, self.port + 3]
        self.nodes.append(Node(self, name, self.net + str(10 + number), ports, **more))
        return self.nodes[-1]

    def advisor_of(self, node):
        """The policy service as one machine sees it: it handles the machine's calls in turn."""
        turn = asyncio.Lock()
        waiting = 0

        async def handle(method, path, arguments, headers, body):
            nonlocal waiting
            if waiting >= 32:
                return 429, {}
            waiting += 1
            try:
                async with turn:
                    query = json.loads(body)
                    decision, each, validity = self.advice
                    self.record("advice on %s for %d workers, asked by %s"
                                % (query["step"], len(query["workers"]), node.name))
                    await asyncio.sleep((decision + each * len(query["workers"])) / 1000)
            finally:
                waiting -= 1
            rows = []
            for worker in self.workers:
                if worker.up and worker.name in query["workers"]:
                    ticket = "t%016x" % random.getrandbits(64)
                    self.tickets[(query["step"], worker.name, worker.born, ticket)] = steady_ms() + validity
                    rows.append([worker.name, ticket])
            self.record("advice on %s answered" % query["step"])
            return 200, {"approved": rows}

        return HttpServer(handle)

    async def start(self, configuration):
        await self.store.http.start(*self.store_address)
        self.store.put("op", "config", configuration)
        for worker in self.workers:
            await worker.boot()
        for node in self.nodes:
            advisor = self.advisor_of(node)
            await advisor.start(*node.policy)
            self.advisors.append(advisor)
        self.tasks.append(asyncio.ensure_future(self.tick()))
        for node in self.nodes:
            node.start()
        for _ in range(200):
            if all([await node.ready() for node in self.nodes]):
                self.record("all nodes are ready; the owner is %s" % self.owner().name)
                return True
            await asyncio.sleep(0.1)
        return False

    async def tick(self):
        beat = steady_ms()
        while True:
            for worker in self.workers:
                worker.tick()
            if steady_ms() - beat > 1500:
                beat = steady_ms()
                for worker in self.workers:
                    worker.register()
            await asyncio.sleep(0.005)

    def owner(self):
        """The node that last wrote to the store under a condition, as the row of owners names it."""
        rows = [value for name, (value, _) in self.store.rows.items() if name[0] == "owners"]
        text = base64.b64decode(rows[0]).decode("utf-8", "replace") if rows else ""
        for node in self.nodes:
            if node.name in text:
                return node
        return None

    async def restart(self, node, delay=0.5):
        """The platform restarts a process that has ended after a short delay."""
        await asyncio.sleep(delay)
        node.start()

    def stop(self, keep=False):
        for node in self.nodes:
            node.kill()
        for task in self.tasks:
            task.cancel()
        for server in [self.store.http] + self.advisors + [w.http for w in self.workers if w.http is not None]:
            server.close()
        if keep:
            print("kept: " + self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client of the cell: it hands jobs in with retries, as the pages allow, and asks for their state."""

    def __init__(self, cell, host, prefix):
        self.cell = cell
        self.host = host
        self.prefix = prefix

    async def request(self, node, method, job, body=None, timeout=3.0):
        self.cell.record("%s %s sent to %s" % (method, job, node.name))
        answer = await call(node.callers, method, self.prefix + job, self.host, body, timeout)
        shown = "no answer" if answer is None else "%d %s" % (answer[0], json.dumps(answer[2]))
        self.cell.record("%s %s at %s: %s" % (method, job, node.name, shown))
        return answer

    async def submit(self, job, body, nodes, tries=8):
        """Returns the time of the 2xx answer, or None."""
        for attempt in range(tries):
            node = nodes[attempt % len(nodes)]
            if node.process is None:
                await asyncio.sleep(0.2)
                continue
            answer = await self.request(node, "POST", job, body)
            if answer is not None and 200 <= answer[0] < 300:
                return time.monotonic()
            if answer is not None and answer[0] in (429, 503):
                await asyncio.sleep(float(answer[1].get("retry-after", "1")))
            elif answer is None:
                await asyncio.sleep(0.3)
        return None

    async def state(self, job, nodes):
        for node in nodes:
            answer = await self.request(node, "GET", job)
            if answer is not None and answer[0] == 200:
                return answer[2].get("state")
            if answer is not None and answer[0] == 410:
                return "410"
        return None


def route(name, service, host="jobs.example", prefix="/queue/", advice=None, **more):
    value = {"name": name, "host": host, "pathPrefix": prefix, "routeType": "non_idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 500, "priority": 0, "service": service, "maxAttempts": 4, "stretch": 2.0}
    if advice is not None:
        value["advisor"] = {"decisionMs": advice[0], "perItemMs": advice[1], "validityMs": advice[2]}
    value.update(more)
    return value


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "admissionControl": False, "standby": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}}


def run_case(main):
    """Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.path.exists(NODE_PROGRAM):
        print("no %s: build by the deploy file first" % NODE_PROGRAM, file=sys.stderr)
        sys.exit(2)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble: %s" % ("yes" if trouble else "no"))

    async def guarded():
        cell = Cell(record)
        case = asyncio.ensure_future(main(cell, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, case.cancel)
        try:
            return await asyncio.wait_for(case, 110)
        finally:
            cell.stop(keep=os.environ.get("KEEP") == "1")

    try:
        code = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:  # The case itself failed, or was ended.
        record("could not run: %r" % error)
        print("could not run: %r" % error, file=sys.stderr)
        code = 2
    record("exit code %d" % code)
    # Told apart from an exit code of Python itself; run.sh turns it into 1.
    sys.exit(10 if code == 1 else code)
