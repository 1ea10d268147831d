"""Stand-ins for the scripts of this review: the platform's store, its list of
machines, minions, clients, and dispatchers as processes.

They follow PROTOCOL.md. Everything runs on loopback addresses and the real clock.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "tamarack-dispatchd")
VALUE_BYTES = 1 << 20
LOCAL = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")


async def read_request(reader):
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
    return method, target, headers, body


SILENT = object()


class HttpServer:
    """HTTP/1.1 server; `handle` returns a status and a body, or SILENT."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, host=LOCAL, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 24)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                data = json.loads(body) if body else {}
                answer = await self.handle(method, url.path, query, headers, data)
                if answer is SILENT:
                    # A connection on which a response is lost returns nothing further.
                    await reader.read()
                    return
                status, answer = answer
                payload = json.dumps(answer, separators=(",", ":")).encode() if answer is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Ends the server and resets its connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        # Returns None, or the delay in seconds with which a transaction whose answer
        # is lost is executed.
        self.lose_answer = lambda data: None
        self.txns = 0
        self.refused = {}
        self.lost = 0

    def note(self, event):
        self.events.append(event)
        if len(self.events) > 20_000:
            del self.events[:10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self.note((self.revision, key, dict(self.items[key])))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note((self.revision, key, {"key": key, "revision": self.revision, "deleted": True}))

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (until, _) in self.leases.items() if now >= until]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def run(self):
        while True:
            self.expire()
            await asyncio.sleep(0.05)

    def commit(self, data):
        expected, put, remove = (data.get(name) or [] for name in ("expected", "put", "remove"))
        entries = len(expected) + len(put) + len(remove)
        if entries > 32:
            self.refused[entries] = self.refused.get(entries, 0) + 1
            return 400, {}
        values = [(row["key"], base64.b64decode(row["value"]), row.get("lease") or 0) for row in put]
        if any(len(value) > VALUE_BYTES for _, value, _ in values):
            return 400, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in values):
            return 403, {}
        if any(lease and lease not in self.leases for _, _, lease in values):
            return 404, {}
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(current(row["key"]) != row["revision"] for row in expected):
            found = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": found}
        for key, value, lease in values:
            self.put(key, value, lease)
        for key in remove:
            self.remove(key)
        return 200, {"revision": self.revision}

    async def commit_late(self, data, delay):
        await asyncio.sleep(delay)
        self.expire()
        status, _ = self.commit(data)
        keys = ", ".join(row["key"] for row in data["put"])
        self.record.line(f"store: a call whose answer was lost is executed {delay:.1f} s late, status {status}: {keys}")

    async def handle(self, method, path, query, headers, data):
        self.expire()
        await asyncio.sleep(0.002)
        name = path.removeprefix("/tamarackproxy/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if name == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page, size = [], 0
            for key in keys:
                if len(page) >= 500 or size > VALUE_BYTES:
                    break
                page.append(self.items[key])
                size += len(self.items[key]["value"])
            return 200, {"items": page, "more_pages": len(page) < len(keys), "as_of": self.revision}
        if name == "kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                if self.events and after + 1 < self.events[0][0] and len(self.events) > 10_000:
                    return 410, {}
                found = [event for rev, key, event in self.events if rev > after and key.startswith(prefix)]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "as_of": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if name == "kv-txn":
            self.txns += 1
            delay = self.lose_answer(data)
            if delay is not None:
                self.lost += 1
                keys = ", ".join(row["key"] for row in data["put"])
                self.record.line(f"store: the answer to a write is lost: {keys}")
                asyncio.ensure_future(self.commit_late(data, delay))
                return SILENT
            return self.commit(data)
        if name == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(data["ttl_ms"], 1000)
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name.startswith("kv-lease-end/"):
            self.end_lease(int(name.split("/")[1]))
            return 200, {}
        return 404, {}


class Minion:
    """One life of a minion. `behave(minion, task, data)` returns the duration of a run
    in seconds, 0 for a task that lasts, how it ends, and its checkpoint after a number
    of checkpoint intervals, or none if it keeps no checkpoints."""

    def __init__(self, world, name, machine, service, cpu=32_000, mem_mb=131_072, rack="r1-0", kind="a"):
        self.state = "up"
        self.world, self.name, self.machine, self.service = world, name, machine, service
        self.capacity, self.labels = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}, [kind, rack]
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.running = {}
        self.finished = []
        self.next_end = 1
        self.highest = {}
        self.ended = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.seq = 0
        self.tasks = []

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        self.address = await self.http.start()
        self.tasks = [asyncio.ensure_future(self.register()), asyncio.ensure_future(self.watch_lease())]
        return self

    async def register(self):
        while True:
            self.seq += 1
            self.world.store.put(f"servers/{self.name}", json.dumps({
                "service": self.service, "address": self.address, "zone": "zone-a", "version": 1,
                "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born,
                "capacity": self.capacity, "labels": self.labels, "machine": self.machine}).encode())
            await asyncio.sleep(1.5)

    async def watch_lease(self):
        while True:
            if self.running and self.clock_ms() > self.deadline_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")
            await asyncio.sleep(0.05)

    def checkpoint(self, run):
        intervals = int(time.monotonic() - run["since"])
        return run["saved"](intervals) if run["saved"] and intervals else ""

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        if run["timer"]:
            run["timer"].cancel()
        saved = self.checkpoint(run) if how not in ("done", "failed") else ""
        self.finished.append([self.next_end, task, run["run"], how, saved])
        self.next_end += 1
        if self.world.logs_runs:
            self.world.record.line(f"minion {self.name}: {task} run {run['run']} ends {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    def crash(self):
        """The minion ends without a word; what runs on it is lost."""
        for task in self.tasks:
            task.cancel()
        for task, run in self.running.items():
            if run["timer"]:
                run["timer"].cancel()
            self.world.record.line(f"minion {self.name}: {task} run {run['run']} is lost with the minion")
        self.running.clear()
        self.http.crash()

    async def handle(self, method, path, query, headers, data):
        expect = headers.get("x-expect-instance")
        if expect and expect != self.name:
            return 421, {}
        name = path.removeprefix("/tamarackproxy/")
        stamp = lambda more=None: {"timestamp_ms": self.clock_ms(), "born": self.born, **(more or {})}
        token = data.get("fencing_token") or 0
        if token < self.token:
            return 409, stamp({"reason": "fence"})
        self.token = token
        if name == "run-start":
            task, run = data["task"], data["run_id"]
            if data["deadline_ms"] <= self.clock_ms():
                return 409, stamp({"reason": "late"})
            self.deadline_ms = max(self.deadline_ms, min(data["deadline_ms"], self.clock_ms() + 10_000))
            known = self.running.get(task)
            if known and known["run"] == run:
                return 200, stamp()
            if run <= self.highest.get(task, 0):
                return 409, stamp({"reason": "old"})
            self.highest[task] = run
            seconds, how, saved = self.world.behave(self, task, data)
            timer = asyncio.get_event_loop().call_later(seconds, self.end, task, how) if seconds else None
            self.running[task] = {"run": run, "saved": saved, "timer": timer, "since": time.monotonic(), "seconds": seconds}
            self.world.on_start(self, task, run, data)
            return 200, stamp()
        if name == "run-stop":
            task, run = data["task"], data["run_id"]
            self.highest[task] = max(run, self.highest.get(task, 0))
            if task in self.running and self.running[task]["run"] <= run:
                self.end(task, "stopped")
            return 200, stamp()
        if name == "pace":
            return 200, stamp()
        if name == "hold":
            ack = data.get("ack_seq") or 0
            self.finished = [row for row in self.finished if row[0] > ack]
            if data.get("deadline_ms"):
                self.deadline_ms = max(self.deadline_ms, min(data["deadline_ms"], self.clock_ms() + 10_000))
            wait = min(data.get("wait_ms") or 0, 2000) / 1000
            if not self.finished and wait:
                try:
                    await asyncio.wait_for(self.ended.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            rows = []
            for task, run in self.running.items():
                share = (time.monotonic() - run["since"]) / (run["seconds"] or self.world.startup_s)
                rows.append([task, run["run"], self.checkpoint(run), min(int(share * 100), 99 if run["seconds"] else 100), 0])
            return 200, stamp({"running": rows, "finished": self.finished[:500]})
        return 404, {}


class Dispatcher:
    """One dispatcher process, started as the deploy file says."""

    def __init__(self, world, index):
        self.world, self.index = world, index
        pid = os.getpid()
        self.ip = f"127.{64 + pid // 65_536 % 64}.{pid // 256 % 256}.{pid % 256}"
        first = 21_000 + 10 * index
        self.front, self.ready, self.metrics, self.relay = (first + i for i in range(4))
        self.settings = os.path.join(world.folder, f"edge-{index}.ini")
        self.process = None

    async def start(self):
        w = self.world
        with open(self.settings, "w") as file:
            file.write(
                f"[entry]\nname = edge-{self.index}\ndata_centre = zone-a\n\n"
                f"[listen]\ncallers = {self.ip}:{self.front}\nready = {self.ip}:{self.ready}\n"
                f"metrics = {self.ip}:{self.metrics}\nrelay = {self.ip}:{self.relay}\n\n"
                f"[platform]\nstore = {w.store_address}\nhosts = {w.hosts_address}\n"
                "hosts_reject_old_terms = true\nadvice =\n\n"
                "[limits]\ngraceful_stop_s = 6\nworker_lease_max_ms = 10000\nended_jobs_s = 120\n"
                "key_revocation_ms =\nconfiguration_apply_ms = 2000\nmaintenance_s = 2\nhost_move_s = 1.5\n"
                "cores = 0.25\ndescriptors = 4100\n\n[log]\nlevel = info\n")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["TAMARACKPROXY_NODE_FILE"] = self.settings
        log = open(os.path.join(w.folder, f"edge-{self.index}.log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--memory-mb=260", cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        w.record.line(f"dispatcher edge-{self.index} starts")

    def memory_mb(self):
        """Resident memory of the process; 0 if it is gone."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                line = next(line for line in file if line.startswith("VmRSS:"))
            return int(line.split()[1]) / 1024
        except (OSError, StopIteration):
            return 0

    async def is_ready(self):
        answer = await request(self.ip, self.ready, "GET", "/tamarackproxy/readyz", "platform", None, 1.0)
        return answer is not None and answer[0] == 200


async def request(ip, port, method, path, host, body, timeout):
    """Sends one request; returns the status and the body, or None without an answer."""
    async def send():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            payload = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n").encode() + payload)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = next((int(line.split(":")[1]) for line in head if line.lower().startswith("content-length:")), 0)
            text = await reader.readexactly(length) if length else b""
            return int(head[0].split(" ")[1]), json.loads(text) if text else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(send(), timeout)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
        return None


class World:
    """A small deployment."""

    HOST = "queue.example"

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="tamarack-review-")
        self.store = Store(self.record)
        self.hosts = HttpServer(self.list_hosts)
        self.minions = []
        self.dispatchers = []
        self.logs_runs = True
        # Time from the start of a task that lasts until it is at work.
        self.startup_s = 0.3
        self.starts = []
        self.fences = {}
        self.kept = set()
        self.lives = 0
        self.behave = lambda minion, task, data: (0.5, "done", None)

    def on_start(self, minion, task, run, data):
        self.starts.append((time.monotonic(), minion.name, task, run))
        if self.logs_runs:
            self.record.line(f"minion {minion.name}: {task} run {run} starts")

    async def list_hosts(self, method, path, query, headers, data):
        if method == "POST" and path.endswith("/machine-upkeep"):
            return self.upkeep(headers, data)
        if method == "POST":
            return 409, {"reason": "busy"}
        rows = [{"machine": m.machine, "pool": m.service, "state": m.state, "zone": "zone-a", "labels": m.labels,
                 "capacity": m.capacity, "id": m.name if m.state == "up" else ""} for m in self.minions]
        return 200, {"machines": rows, "next_token": ""}

    def upkeep(self, headers, data):
        """Starts the upkeep of a machine; a new minion joins after `maintenance_s`."""
        minion = next((m for m in self.minions if m.machine == data["machine"]), None)
        if minion is None:
            return 400, {}
        token = int(headers.get("x-fencing-token", "0"))
        if token < self.fences.get(minion.machine, 0):
            return 409, {"reason": "fence"}
        self.fences[minion.machine] = token
        if (minion.machine, data["wave"]) in self.kept:
            return 200, {}
        if minion.state != "up":
            return 409, {"reason": "busy"}
        self.kept.add((minion.machine, data["wave"]))
        self.record.line(f"platform: upkeep of {minion.machine}, wave {data['wave']}")
        self.replace(minion, "upkeep", 2.0)
        return 200, {}

    def replace(self, minion, state, seconds):
        """Ends a minion; another one starts on its machine later."""
        minion.crash()
        minion.state = state
        asyncio.ensure_future(self.join_later(minion, seconds))

    async def join_later(self, minion, seconds):
        await asyncio.sleep(seconds)
        self.lives += 1
        joined = Minion(self, f"{minion.name[:6]}-{self.lives}", minion.machine, minion.service,
                        minion.capacity["cpu"], minion.capacity["mem_mb"], minion.labels[1], minion.labels[0])
        self.store.remove(f"servers/{minion.name}")
        self.minions[self.minions.index(minion)] = await joined.start()
        self.record.line(f"minion {joined.name} joins on {joined.machine}")

    async def begin(self, routes, services, minions, dispatchers):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing; run the build of the deploy file")
        self.store_address = await self.store.http.start()
        self.hosts_address = await self.hosts.start()
        asyncio.ensure_future(self.store.run())
        self.store.put("op/config", json.dumps({
            "version": 3, "routes": routes, "services": [{"name": name, "enforces_capacity": False} for name in services],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 5_000,
                       "idle_timeout_ms": 60_000}}).encode())
        for minion in minions:
            self.minions.append(await minion.start())
        for index in range(dispatchers):
            dispatcher = Dispatcher(self, index)
            await dispatcher.start()
            self.dispatchers.append(dispatcher)
        until = time.monotonic() + 20
        while not all([await dispatcher.is_ready() for dispatcher in self.dispatchers]):
            if time.monotonic() > until:
                raise CannotRun("the dispatchers did not become ready")
            await asyncio.sleep(0.2)
        # Traffic begins 10 s after the machines do; here once they are ready and settled.
        await asyncio.sleep(6)

    async def call(self, index, method, path, body=None, timeout=3.0, show=True):
        dispatcher = self.dispatchers[index]
        answer = await request(dispatcher.ip, dispatcher.front, method, path, self.HOST, body, timeout)
        if show:
            text = "no answer" if answer is None else f"{answer[0]} {json.dumps(answer[1])[:120]}"
            self.record.line(f"client: {method} {path} at edge-{index}: {text}")
        return answer

    async def finish(self):
        for dispatcher in self.dispatchers:
            if dispatcher.process and dispatcher.process.returncode is None:
                dispatcher.process.kill()
                await dispatcher.process.wait()
        # KEEP_LOGS=1 keeps the settings and the logs of the dispatchers.
        if os.environ.get("KEEP_LOGS") == "1":
            print(f"the logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs a case: 1 if it returns a breach, 0 if the rule held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(folder)
        try:
            breach = await asyncio.wait_for(case(world, trouble), 112)
        finally:
            await world.finish()
        world.record.line(f"broken: {breach}" if breach else "the rule held")
        return breach

    try:
        breach = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(f"broken: {breach}" if breach else "the rule held")
    sys.exit(1 if breach else 0)
