"""Stand-ins of the platform for review scripts: store, workers, host service.

They follow the users' protocol page. Everything runs on one asyncio loop, on
loopback addresses and the real clock. What is sent, answered and run is
written to a record file, one JSON object a line.
"""

import asyncio
import base64
import json
import os
import random
import signal
import time
import urllib.parse

HOST = "127.0.0.1"


class Record:
    """Log of events with the time since the start of the case, in seconds."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return round(time.monotonic() - self.began, 3)

    def add(self, what, **fields):
        entry = {"at_s": self.now(), "what": what, **fields}
        self.file.write(json.dumps(entry) + "\n")
        self.file.flush()


class Silence(Exception):
    """The peer gets no answer on this connection."""


async def read_message(reader):
    """Reads the head and body of an HTTP/1.1 message; none at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 403: "Forbidden", 400: "Bad Request",
           503: "Service Unavailable", 429: "Too Many Requests"}


class HttpServer:
    """Serves `handle(method, path, query, headers, body)` with keep-alive."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.tasks = set()
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self):
        """Closes the listener and all connections, as when a process ends."""
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                start, headers, body = message
                method, target, _ = start.split(" ", 2)
                path, _, query = target.partition("?")
                query = {name: values[0] for name, values in
                         urllib.parse.parse_qs(query, keep_blank_values=True).items()}
                status, reply = await self.handle(method, path, query, headers, body)
                data = json.dumps(reply).encode()
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
        except Silence:
            # The connection stays open, and nothing further is returned on it.
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                pass
        except (asyncio.CancelledError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)
        # Called before each call; may raise Silence or return an answer.
        self.intercept = None

    async def start(self):
        port = await self.server.start()
        self.expiry = asyncio.create_task(self.expire())
        return port

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [it for it, (until, _) in self.leases.items() if now >= until]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            await self.change([], gone)
        return True

    async def change(self, puts, removes):
        """Applies a change at one revision."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "created": created,
                    "lease": lease}
            self.items[key] = item
            self.events.append(item)
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        """Writes as the operator, a worker or another writer."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self.change([(key, base64.b64encode(text).decode(), 0)], [])

    async def remove(self, key):
        await self.change([], [key])

    async def handle(self, method, path, query, headers, body):
        if self.intercept:
            answer = await self.intercept(method, path, query, body)
            if answer is not None:
                return answer
        return await self.execute(method, path, query, body)

    async def execute(self, method, path, query, body):
        name = path.removeprefix("/tamarackproxy/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if name == "kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = keys[:500]
            return 200, {"items": [self.items[key] for key in page],
                         "more_pages": len(keys) > len(page), "as_of": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return await self.transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        if name.startswith("kv-lease-end/"):
            found = await self.end_lease(int(name.split("/")[1]))
            return (200, {}) if found else (404, {})
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [event for event in self.events
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, txn):
        expected, puts = txn.get("expected", []), txn.get("put", [])
        removes = txn.get("remove", [])
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, {}
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return 403, {}
        current = [self.items.get(row["key"]) for row in expected]
        if any((item["revision"] if item else 0) != row["revision"]
               for item, row in zip(current, expected)):
            return 412, {"items": [item for item in current if item]}
        leases = [put.get("lease") or 0 for put in puts]
        if any(lease and lease not in self.leases for lease in leases):
            return 404, {}
        rows = [(put["key"], put["value"], lease) for put, lease in zip(puts, leases)]
        return 200, {"revision": await self.change(rows, removes)}


class Worker:
    """A minion: runs tasks under a lease, and registers itself in the store.

    `plan(task, run)` returns how long a run takes in seconds and how it ends.
    """

    def __init__(self, record, store, name, machine, service, rack, plan,
                 heartbeat_ms=1500, cpu=32000, mem_mb=131072):
        self.record, self.store, self.name = record, store, name
        self.machine, self.service, self.rack, self.plan = machine, service, rack, plan
        self.heartbeat_ms, self.cpu, self.mem_mb = heartbeat_ms, cpu, mem_mb
        self.server = HttpServer(self.handle)
        self.state = "ready"
        self.registers = True
        # Called before each call; may raise Silence.
        self.intercept = None
        self.is_up = False
        self.life = 0

    async def start(self, port=0):
        self.life += 1
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic()
        self.fence, self.lease_until, self.seq = 0, 0, 0
        self.running, self.finished, self.next_end, self.highest = {}, [], 1, {}
        self.ended = asyncio.Condition()
        await self.server.start(port)
        self.record.add("worker up", worker=self.name, machine=self.machine, born=self.born,
                        address=f"{HOST}:{self.server.port}")
        self.tasks = [asyncio.create_task(self.heartbeat()), asyncio.create_task(self.tick())]

    async def crash(self):
        """Ends at once; everything that runs on it ends."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for task, run in self.running.items():
            self.record.add("run ended", worker=self.name, task=task, run=run["run"], how="crash")
        self.running = {}
        await self.server.stop()
        self.record.add("worker crashed", worker=self.name)
        asyncio.create_task(self.expire_entry(self.life))

    async def expire_entry(self, life):
        """Removes the entry of a life that has ended, after three heartbeats."""
        await asyncio.sleep(3 * self.heartbeat_ms / 1000)
        if self.life == life:
            await self.store.remove(f"servers/{self.name}")

    def entry(self):
        return {"service": self.service, "address": f"{HOST}:{self.server.port}", "zone": "z1",
                "version": "1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                "seq": self.seq, "born": self.born, "machine": self.machine,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": ["a", self.rack]}

    async def heartbeat(self):
        # The beats of the workers are not in step.
        await asyncio.sleep(random.random() * self.heartbeat_ms / 1000)
        while True:
            if self.registers:
                self.seq += 1
                await self.store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(self.heartbeat_ms / 1000)

    def clock_ms(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self.clock_ms() > self.lease_until:
                for task in list(self.running):
                    await self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if now >= run["until"]:
                    await self.end(task, run["how"])

    async def end(self, task, how):
        run = self.running.pop(task)
        self.finished.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.record.add("run ended", worker=self.name, task=task, run=run["run"], how=how)
        async with self.ended:
            self.ended.notify_all()

    def rows(self):
        now = time.monotonic()
        return [[task, run["run"], "", run["percent"](now), 100]
                for task, run in self.running.items()]

    async def handle(self, method, path, query, headers, body):
        name, call = path.removeprefix("/tamarackproxy/"), json.loads(body or b"{}")
        if self.intercept:
            await self.intercept(name, headers, call)
        return await self.execute(name, headers, call)

    async def execute(self, name, headers, call):
        def reply(status, **fields):
            return status, {"timestamp_ms": self.clock_ms(), "born": self.born, **fields}

        if headers.get("x-expect-instance", self.name) != self.name:
            return reply(421)
        token = call.get("fencing_token", 0)
        if token < self.fence:
            return reply(409, reason="fence")
        self.fence = token
        if name == "run-start":
            return reply(*self.run_start(call)[:1], **self.last_reason)
        if name == "run-stop":
            task, run = call["task"], call["run_id"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task]["run"] == run:
                await self.end(task, "stopped")
            return reply(200)
        if name == "pace":
            return reply(200)
        if name == "hold":
            self.lease_until = max(self.lease_until, call.get("deadline_ms", 0))
            self.lease_until = min(self.lease_until, self.clock_ms() + 10_000)
            if call["ack_seq"]:
                listed = [row[0] for row in self.finished]
                self.finished = [row for row in self.finished if row[0] > call["ack_seq"]]
                if len(listed) != len(self.finished):
                    self.record.add("ends taken note of", worker=self.name,
                                    ack_seq=call["ack_seq"])
            wait = call.get("wait_ms", 0) / 1000
            if wait and not self.finished:
                async with self.ended:
                    try:
                        await asyncio.wait_for(self.ended.wait(), wait)
                    except asyncio.TimeoutError:
                        pass
            return reply(200, running=self.rows(), finished=self.finished[:500])
        return reply(400)

    def run_start(self, call):
        task, run = call["task"], call["run_id"]
        deadline = call["deadline_ms"]
        self.last_reason = {}
        known = self.running.get(task)
        if known and known["run"] == run:
            return (200,)
        if run <= self.highest.get(task, 0) or (known and run < known["run"]):
            self.last_reason = {"reason": "old"}
        elif deadline < self.clock_ms():
            self.last_reason = {"reason": "late"}
        if self.last_reason.get("reason") != "late":
            self.lease_until = max(self.lease_until, deadline)
        if self.last_reason:
            return (409,)
        seconds, how = self.plan(task, run)
        began = time.monotonic()

        def percent(now):
            return min(99, int((now - began) / seconds * 100))

        self.running[task] = {"run": run, "until": began + seconds, "how": how,
                              "percent": percent}
        self.record.add("run began", worker=self.name, task=task, run=run,
                        token=call["fencing_token"])
        return (200,)


class Hosts:
    """The host service: lists the machines; moves and upkeep are refused as busy."""

    def __init__(self, record, workers):
        self.record, self.workers = record, workers
        self.server = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        if path.endswith("/machines"):
            machines = [{"machine": it.machine, "pool": it.service,
                         "state": "up" if it.is_up else "down", "zone": "z1",
                         "labels": ["a", it.rack],
                         "capacity": {"cpu": it.cpu, "mem_mb": it.mem_mb, "gpu": 0},
                         "id": it.name if it.is_up else ""} for it in self.workers]
            return 200, {"machines": machines, "next_token": ""}
        self.record.add("host order", path=path, body=body.decode())
        return 409, {"reason": "busy"}


class Dispatchers:
    """The project's own processes, started with the command of the deploy file."""

    def __init__(self, record, root, folder):
        self.record, self.root, self.folder = record, root, folder
        self.processes = {}

    async def start(self, name, ports, store_port, hosts_port):
        fields = {
            "node_id": name, "zone": "z1", "listen.front": f"{HOST}:{ports[0]}",
            "listen.ready": f"{HOST}:{ports[1]}", "ip": HOST, "port_range.0": str(ports[2]),
            "port_range.1": str(ports[3]), "platform.address": f"{HOST}:{store_port}",
            "cloud_api.address": f"{HOST}:{hosts_port}", "bounds.enforce_fencing": "true",
            "advice": "", "bounds.grace_s": "6", "bounds.max_hold_ms": "10000",
            "bounds.status_s": "120", "bounds.config_apply_ms": "2000",
            "bounds.maintenance_s": "2", "bounds.migrate_s": "1.5", "limits.cpu_share": "0.25",
            "limits.max_fds": "4100",
        }
        with open(os.path.join(self.root, "deploy/settings.ini"), encoding="utf-8") as file:
            text = file.read()
        text = text.replace(
            "{{#bounds.strict_revoke}}{{bounds.revoke_ms}}{{/bounds.strict_revoke}}", "")
        for key, value in fields.items():
            text = text.replace("{{" + key + "}}", value)
        path = os.path.join(self.folder, f"{name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        process = await asyncio.create_subprocess_exec(
            os.path.join(self.root, "target/release/tamarack-dispatchd"), cwd=self.root,
            env={"TAMARACKPROXY_NODE_FILE": path, "PATH": os.environ.get("PATH", "")},
            stdout=log, stderr=log)
        self.processes[name] = process
        self.record.add("process started", process=name, front=f"{HOST}:{ports[0]}")

    async def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        await process.wait()
        self.record.add("process killed", process=name)

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.add("signal sent", process=name, signal=int(number))

    async def end_all(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        self.processes = {}


async def call(port, method, path, body=None, host="caller.example", timeout=4.0):
    """Sends a client's request; returns the status and the body, or none."""
    data = json.dumps(body).encode() if body is not None else b""
    head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
            f"X-Deadline-Ms: 3000\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n")

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(head.encode() + data)
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            return None
        start, _, reply = message
        return int(start.split(" ")[1]), json.loads(reply or b"null")

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


def free_ports(count):
    """Returns ports of the loopback address that are free now."""
    import socket
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((HOST, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports
