"""Stand-ins of the platform for the scripts of the second review: the store, the
minions, the machine list and a client, all on loopback addresses, and the
dispatchers as child processes. They follow PROTOCOL.md; where that is silent they
behave like a sound platform. Python's standard library only."""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Bounds of the site files, in milliseconds.
GANG_MS, RESTORE_MS, SAVE_MS, UPKEEP_MS, HISTORY_MS = 3000, 600, 1000, 2000, 20000
PROGRAM = os.path.join(ROOT, "target/release/tamarack-dispatchd")


class CannotRun(Exception):
    """The case could not be set up."""


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Lines of record.txt, with the time since the start in seconds."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()


class Dropped(Exception):
    """Ends the connection without an answer."""


async def serve(handler, host="127.0.0.1", port=0):
    """Serves HTTP/1.1 with keep-alive; `handler` gets method, path, query, headers and
    body and returns a status and a JSON value."""
    connections = set()

    async def connection(reader, writer):
        connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length") or 0)
                body = await reader.readexactly(length) if length else b""
                parts = urlsplit(target)
                query = {key: value[0] for key, value in parse_qs(parts.query).items()}
                status, value = await handler(method, parts.path, query, headers, body)
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (Dropped, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, host, port)
    server.open_connections = connections
    return server


def address_of(server):
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def close_server(server):
    """Stops listening and resets the open connections, as when a process dies."""
    server.close()
    for writer in list(server.open_connections):
        sock = writer.get_extra_info("socket")
        if sock is not None:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            except OSError:
                pass
        writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 1
        # Revision up to which the history is dropped, and the dispatchers that are turned away.
        self.dropped, self.away = 0, set()
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()

    async def start(self):
        self.fronts = {}
        asyncio.get_running_loop().create_task(self.expire())

    async def front(self, index):
        """Returns the address at which one dispatcher reaches the store."""
        async def handle(*call):
            if index in self.away:
                return 503, {}
            return await self.handle(*call)
        if index not in self.fronts:
            self.fronts[index] = await serve(handle)
        return address_of(self.fronts[index])

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    def apply(self, puts, removes):
        self.revision += 1
        revision = self.revision
        for key, value, lease in puts:
            created = self.items[key][2] if key in self.items else revision
            self.items[key] = (value, revision, created, lease)
            self.events.append((revision, key, self.item(key), now_ms()))
        for key in removes:
            if self.items.pop(key, None) is not None:
                gone = {"key": key, "revision": revision, "deleted": True}
                self.events.append((revision, key, gone, now_ms()))
        self.wake()
        return revision

    def put(self, key, value):
        """Writes on behalf of the operator or of a minion."""
        return self.apply([(key, json.dumps(value).encode(), 0)], [])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.apply([], keys)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            over = [lease for lease, (_, until) in self.leases.items() if now_ms() >= until]
            for lease in over:
                self.end_lease(lease)
            old = now_ms() - HISTORY_MS
            while self.events and self.events[0][3] < old:
                self.dropped = self.events.pop(0)[0]

    async def handle(self, method, path, query, headers, body):
        value = json.loads(body) if body else {}
        call = path.removeprefix("/tamarackproxy/")
        if call == "kv-key":
            key = query.get("key", "")
            if key not in self.items:
                return 404, {"as_of": self.revision}
            return 200, self.item(key) | {"as_of": self.revision}
        if call == "kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self.item(key) for key in keys[:500]],
                         "more_pages": len(keys) > 500, "as_of": self.revision}
        if call == "kv-watch":
            return await self.watch(query)
        if call == "kv-txn":
            return self.transact(value)
        if call == "kv-lease":
            self.next_lease += 1
            ttl = int(value["ttl_ms"])
            self.leases[self.next_lease] = (ttl, now_ms() + ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        name, _, lease = call.partition("/")
        lease = int(lease or 0)
        if lease not in self.leases:
            return 404, {}
        if name == "kv-keep":
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now_ms() + ttl)
        elif name == "kv-lease-end":
            self.end_lease(lease)
        else:
            return 400, {}
        return 200, {"lease": lease}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        until = now_ms() + int(query.get("wait_ms", 0))
        while True:
            if after < self.dropped:
                return 410, {}
            found = [event for revision, key, event, _ in self.events
                     if revision > after and key.startswith(prefix)]
            left = until - now_ms()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left / 1000)
            except asyncio.TimeoutError:
                pass

    def transact(self, value):
        expected = value.get("expected", [])
        for row in expected:
            found = self.items[row["key"]][1] if row["key"] in self.items else 0
            if found != row["revision"]:
                items = [self.item(row["key"]) for row in expected if row["key"] in self.items]
                return 412, {"items": items}
        puts = []
        for row in value.get("put", []):
            lease = row.get("lease") or 0
            if lease and lease not in self.leases:
                return 404, {}
            puts.append((row["key"], base64.b64decode(row["value"]), lease))
        return 200, {"revision": self.apply(puts, value.get("remove", []))}


class Minion:
    """One life of a machine. Its tasks take as long as the job says in `spec`; a spec that
    holds no number is that of a task that lasts."""

    def __init__(self, site, slot, life):
        self.site, self.slot = site, slot
        self.id = f"i-{slot:02d}{life:04d}"
        self.machine = f"m-{slot:02d}"
        self.zone, self.rack = "zone-a", f"r1-{slot // 4}"
        self.born = int(time.time() * 1000)
        self.began = now_ms()
        self.fence, self.until, self.end_number, self.seq = 0, 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.changed = asyncio.Event()
        self.is_up = True

    def clock(self):
        return now_ms() - self.began + 1000

    async def start(self):
        self.server = await serve(self.handle)
        self.address = address_of(self.server)
        self.tasks = [asyncio.get_running_loop().create_task(work())
                      for work in (self.advance, self.beat)]

    def crash(self):
        """Ends the minion at once: it runs nothing from now on."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        close_server(self.server)
        lost, self.running = self.running, {}
        for (name, run), state in lost.items():
            self.site.on_end(self, name, run, "gone with its minion")
            if state["gang"] is not None and state["began"] is not None:
                self.site.break_gang((name, run))

    async def beat(self):
        while True:
            self.seq += 1
            self.site.store.put(f"servers/{self.id}", {
                "service": self.site.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "seq": self.seq, "born": self.born, "machine": self.machine,
                "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
                "labels": ["a", self.rack], "timestamp_ms": self.clock()})
            await asyncio.sleep(1.5)

    def finish(self, key, how):
        run = self.running.pop(key)
        self.end_number += 1
        self.ended.append((self.end_number, key[0], key[1], how, run["saved"]))
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.site.on_end(self, key[0], key[1], how)
        self.changed.set()
        self.changed = asyncio.Event()
        if run["gang"] is not None and run["began"] is not None and how not in ("done", "broken"):
            self.site.break_gang(key)

    async def advance(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() > self.until:
                for key in list(self.running):
                    self.finish(key, "lapsed")
            for key, run in list(self.running.items()):
                if key not in self.running:
                    continue
                self.save(key[0], run, self.done_ms(run) // SAVE_MS * SAVE_MS)
                if run["gang"] is not None and run["began"] is None:
                    self.site.gather(key)
                    if now_ms() >= run["present"] + GANG_MS and run["began"] is None:
                        self.finish(key, "alone")
                        continue
                if run["stops"] is not None and now_ms() >= run["stops"]:
                    self.save(key[0], run, self.done_ms(run))
                    self.finish(key, "stopped")
                elif run["ends"] is not None and now_ms() >= run["ends"]:
                    self.finish(key, "done")

    def extend(self, value):
        until = value.get("deadline_ms")
        if until is not None:
            self.until = max(self.until, min(int(until), self.clock() + 10_000))

    def reply(self, status, **fields):
        return status, {"timestamp_ms": self.clock(), "born": self.born} | fields

    async def handle(self, method, path, query, headers, body):
        if method == "GET":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return self.reply(421)
        value = json.loads(body) if body else {}
        fence = value.get("fencing_token", 0)
        if fence < self.fence:
            return self.reply(409, reason="fence")
        self.fence = fence
        call = path.removeprefix("/tamarackproxy/")
        if call == "hold":
            return await self.hold(value)
        name, run = value["task"], value["run_id"]
        if call == "run-start":
            return self.run_start(name, run, value)
        if call == "run-stop":
            self.highest[name] = max(self.highest.get(name, 0), run)
            found = self.running.get((name, run))
            if found is not None and found["stops"] is None:
                found["stops"] = now_ms() + 50
            return self.reply(200)
        if call == "pace":
            return self.reply(200)
        return self.reply(400)

    def run_start(self, name, run, value):
        if (name, run) in self.running:
            return self.reply(200)
        if run <= self.highest.get(name, 0):
            self.extend(value)
            return self.reply(409, reason="old")
        if self.clock() > int(value["deadline_ms"]):
            return self.reply(409, reason="late")
        self.extend(value)
        found = re.search(r"\d+", value["spec"])
        work = int(found.group()) if found else None
        saved = value.get("checkpoint", "")
        step = self.site.step_of(name)
        state = {"present": now_ms(), "began": None, "ends": None, "stops": None, "work": work,
                 "saved": saved, "from": int(saved[:8], 16) if saved else 0,
                 "gang": step.get("count") if step.get("gang") else None,
                 "saves": bool(step.get("checkpointing"))}
        self.running[(name, run)] = state
        self.site.on_start(self, name, run, saved)
        if state["gang"] is None:
            self.begin(state)
        return self.reply(200)

    def begin(self, state):
        """The task works from now on, or once its checkpoint is restored."""
        state["began"] = now_ms() + (RESTORE_MS if state["from"] else 0)
        if state["work"]:
            state["ends"] = state["began"] + max(0, state["work"] - state["from"])

    def done_ms(self, state):
        """The work that is done, in milliseconds."""
        if state["began"] is None:
            return state["from"]
        return state["from"] + max(0, now_ms() - state["began"])

    def save(self, name, state, at_ms):
        if state["saves"] and state["began"] is not None and at_ms > 0:
            state["saved"] = f"{at_ms:08x}{name[4:12]}"

    def percent(self, run):
        return min(100, self.done_ms(run) * 100 // (run["work"] or 700))

    async def hold(self, value):
        self.extend(value)
        ack = value.get("ack_seq", 0)
        self.ended = [end for end in self.ended if end[0] > ack]
        wait = int(value.get("wait_ms") or 0)
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), min(wait, 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[name, run, state["saved"], self.percent(state), 0]
                   for (name, run), state in self.running.items()]
        return self.reply(200, running=running, finished=[list(end) for end in self.ended[:500]])


class Site:
    """A small deployment: the store, minions of one service, the machine list and
    dispatchers with settings like those of the template."""

    def __init__(self, record, service="press-svc"):
        self.record, self.service = record, service
        self.minions, self.lives, self.processes = {}, {}, {}
        self.starts, self.ends, self.jobs, self.orders = [], [], {}, []
        # When the last upkeep was over.
        self.upkeep_over_ms = None
        # Whether the machines' service answers orders; none: it resets the connection.
        self.takes_orders = True
        self.directory = tempfile.mkdtemp(prefix="tamarack-review-")
        # So that a script that is told to end also ends its processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def start(self, minions, dispatchers, routes):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing; run the build of deploy/system.toml")
        self.store = Store()
        await self.store.start()
        self.machines = await serve(self.list_machines)
        self.store.put("op/config", {
            "version": 7, "routes": routes, "limits": {},
            "services": [{"name": self.service, "enforces_capacity": False, "standby": False}]})
        for slot in range(minions):
            await self.start_minion(slot)
        for index in range(dispatchers):
            await self.store.front(index)
            self.start_dispatcher(index)
        for index in range(dispatchers):
            await self.wait_ready(index)

    async def list_machines(self, method, path, query, headers, body):
        if method == "POST":
            return self.machine_order(path, headers, json.loads(body))
        rows = [{"machine": minion.machine, "pool": self.service, "state": "up",
                 "zone": minion.zone, "labels": ["a", minion.rack],
                 "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0}, "id": minion.id}
                for minion in self.minions.values()]
        return 200, {"machines": rows, "next_token": None}

    def machine_order(self, path, headers, value):
        """Takes an order for upkeep; there is no other pool to move machines to."""
        if not self.takes_orders:
            raise Dropped
        waves = [json.loads(self.store.items[key][0]) for key in self.store.items
                 if key.startswith("op/wave/")]
        if not path.endswith("/machine-upkeep"):
            return 400, {}
        if not any(wave["wave"] == value["wave"] and value["machine"] in wave["machines"]
                   for wave in waves):
            return 409, {"reason": "wave"}
        order = (value["wave"], value["machine"])
        if order in self.orders:
            return 200, {}
        slot = int(value["machine"][2:])
        if slot not in self.minions:
            return 409, {"reason": "busy"}
        self.orders.append(order)
        self.record(f"upkeep of {value['machine']} begins, ordered by "
                    f"{headers.get('x-duty-holder')}")
        self.crash_minion(slot)
        loop = asyncio.get_running_loop()
        loop.call_later(UPKEEP_MS / 1000, lambda: loop.create_task(self.end_upkeep(slot)))
        return 200, {}

    async def end_upkeep(self, slot):
        await self.start_minion(slot)
        self.upkeep_over_ms = now_ms()

    async def start_minion(self, slot):
        self.lives[slot] = self.lives.get(slot, 0) + 1
        minion = Minion(self, slot, self.lives[slot])
        await minion.start()
        self.minions[slot] = minion
        self.record(f"minion {minion.id} on {minion.machine} starts")
        return minion

    def crash_minion(self, slot):
        """The minion dies; its entry is removed after three heartbeats of silence."""
        minion = self.minions.pop(slot)
        self.record(f"minion {minion.id} on {minion.machine} ends, "
                    f"running {sorted(name for name, _ in minion.running)}")
        minion.crash()
        key = f"servers/{minion.id}"
        loop = asyncio.get_running_loop()
        loop.call_later(4.5, lambda: self.store.apply([], [key]))

    def step_of(self, name):
        """The step of a task's name, as it was handed in."""
        job, _, step, _ = name.split(".")
        return self.jobs.get(job, [])[int(step)] if job in self.jobs else {}

    def members(self, key):
        """All present members of the gang that a run belongs to."""
        step, run = key[0].rpartition(".")[0], key[1]
        return [(minion, other, state) for minion in self.minions.values()
                for other, state in minion.running.items()
                if other[1] == run and other[0].rpartition(".")[0] == step]

    def gather(self, key):
        """Starts a gang once all tasks of one run are present and carry the same value."""
        found = self.members(key)
        values = {state["saved"] for _, _, state in found}
        if len(found) == found[0][2]["gang"] and len(values) == 1:
            for minion, _, state in found:
                minion.begin(state)

    def break_gang(self, key):
        for minion, other, state in self.members(key):
            if state["began"] is not None:
                minion.finish(other, "broken")

    def on_start(self, minion, name, run, saved):
        self.starts.append((now_ms(), name, run, minion.id, saved))
        self.record(f"{minion.id} starts {name} run {run}" +
                    (f" with checkpoint {saved}" if saved else ""))

    def on_end(self, minion, name, run, how):
        self.ends.append((now_ms(), name, run, how, minion.id))
        self.record(f"{minion.id} ends {name} run {run}: {how}")

    def free_port(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]

    def start_dispatcher(self, index):
        known = self.processes.get(index)
        ports = known["ports"] if known else [self.free_port() for _ in range(4)]
        front, ready, metrics, relay = (f"127.0.0.1:{port}" for port in ports)
        path = os.path.join(self.directory, f"edge-{index}.ini")
        with open(path, "w") as file:
            file.write(
                f"[entry]\nname = edge-{index}\ndata_centre = zone-a\n\n"
                f"[listen]\ncallers = {front}\nready = {ready}\nmetrics = {metrics}\n"
                f"relay = {relay}\n\n"
                f"[platform]\nstore = {address_of(self.store.fronts[index])}\n"
                f"hosts = {address_of(self.machines)}\nhosts_reject_old_terms = true\n"
                f"advice =\n\n"
                f"[limits]\ngraceful_stop_s = 6\nworker_lease_max_ms = 10000\n"
                f"ended_jobs_s = 120\nkey_revocation_ms =\nconfiguration_apply_ms = 2000\n"
                f"maintenance_s = 2\nhost_move_s = 1.5\ncores = 0.25\ndescriptors = 4100\n\n"
                f"[log]\nlevel = info\n")
        log = open(os.path.join(self.directory, f"edge-{index}.log"), "a")
        child = subprocess.Popen([PROGRAM], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                 cwd=ROOT, env={"PATH": os.environ.get("PATH", ""),
                                                "TAMARACKPROXY_NODE_FILE": path})
        self.processes[index] = {"child": child, "ports": ports, "front": front, "ready": ready}
        self.record(f"dispatcher edge-{index} starts, front {front}")

    async def wait_ready(self, index):
        for _ in range(100):
            status, _ = await call(self.processes[index]["ready"], "GET",
                                   "/tamarackproxy/readyz", timeout=1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"dispatcher edge-{index} does not get ready")

    def stop(self):
        """Ends all processes that were started."""
        for index, process in self.processes.items():
            child = process["child"]
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
            child.wait()
            self.record(f"dispatcher edge-{index} is ended")
        if os.environ.get("KEEP_LOGS"):
            self.record(f"logs are kept in a temporary folder")
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


async def call(address, method, path, host=None, body=None, timeout=3.0, deadline_ms=3000):
    """Makes one call on a new connection; returns the status and the JSON value, or 0 and
    none without a complete answer."""
    async def exchange():
        name, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(name, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            head = (f"{method} {path} HTTP/1.1\r\nhost: {host or address}\r\n"
                    f"x-deadline-ms: {deadline_ms}\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\nconnection: close\r\n\r\n")
            writer.write(head.encode() + data)
            await writer.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
            lines = answer.decode("latin-1").split("\r\n")
            length = 0
            for line in lines[1:]:
                key, _, value = line.partition(":")
                if key.lower() == "content-length":
                    length = int(value)
            data = await reader.readexactly(length) if length else b""
            return int(lines[0].split(" ")[1]), json.loads(data) if data else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
