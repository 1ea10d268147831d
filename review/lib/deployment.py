"""A small deployment of the project's processes with stand-ins around them."""

import asyncio
import os
import sys
import tempfile
import time

from platform_standins import Dispatchers, Hosts, Record, Store, Worker, call, free_ports

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
HELD, BROKEN, NOT_RUN = 0, 1, 2
QUEUE_HOST = "caller.example"


class NotRun(Exception):
    """The case could not be set up."""


class Deployment:
    def __init__(self, case, plan, workers=6, entries=3, services=("svc-a",), per_rack=2):
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.record = Record(os.path.join(case, "record.txt"))
        self.store = Store(self.record)
        self.services = services
        self.workers = [
            Worker(self.record, self.store, f"i-{index:02}", f"m-{index:02}",
                   services[index * len(services) // workers], f"r1-{index // per_rack}", plan)
            for index in range(workers)]
        self.hosts = Hosts(self.record, self.workers)
        self.dispatchers = Dispatchers(self.record, ROOT, self.folder.name)
        self.names = [f"edge-{index + 1}" for index in range(entries)]
        self.fronts = {}

    async def start(self, routes):
        if not os.path.exists(os.path.join(ROOT, "target/release/tamarack-dispatchd")):
            raise NotRun("build the deploy file first")
        self.store_port = await self.store.start()
        self.hosts_port = await self.hosts.server.start()
        await self.configure(1, routes)
        for worker in self.workers:
            await worker.start()
        for name in self.names:
            await self.start_entry(name)
        until = time.monotonic() + 15
        while time.monotonic() < until:
            replies = [await call(port, "GET", f"{routes[0]['prefix']}", host=QUEUE_HOST)
                       for port in self.fronts.values()]
            if all(reply and reply[0] == 200 for reply in replies):
                # Control of the pool is acquired, and all workers were polled.
                await asyncio.sleep(4)
                return
            await asyncio.sleep(0.2)
        raise NotRun("the processes did not become ready")

    async def start_entry(self, name):
        ports = free_ports(4)
        self.fronts[name] = ports[0]
        await self.dispatchers.start(name, ports, self.store_port, self.hosts_port)

    async def configure(self, version, routes, tenants=None):
        document = {"version": version, "routes": routes,
                    "services": [{"name": name, "enforces_capacity": False}
                                 for name in self.services],
                    "limits": {}}
        if tenants is not None:
            document["tenants"] = tenants
        await self.store.put("op/config", document)
        self.record.add("configuration", version=version,
                        routes={route["name"]: route["service"] for route in routes})

    def overlap(self):
        """Returns a task with two runs at the same time on workers that are up."""
        held = {}
        for worker in self.workers:
            for task, started in worker.running.items():
                held.setdefault(task, []).append((worker.name, worker.service, started["run"]))
        return next(((task, runs) for task, runs in held.items() if len(runs) > 1), None)

    async def client(self, name, method, path, body=None):
        sent = self.record.now()
        reply = await call(self.fronts[name], method, path, body, host=QUEUE_HOST)
        self.record.add("client call", sent_s=sent, process=name, method=method, path=path,
                        reply=reply)
        return reply

    async def end(self):
        await self.dispatchers.end_all()
        for worker in self.workers:
            if worker.is_up:
                await worker.crash()
        await self.store.server.stop()
        await self.hosts.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.folder.name, keep, dirs_exist_ok=True)
        self.folder.cleanup()


def route(name, service="svc-a", max_attempts=2):
    return {"name": name, "host": QUEUE_HOST, "prefix": f"/{name}/", "service": service,
            "priority": 0, "max_attempts": max_attempts, "stretch_factor": 1.6,
            "target_duration_ms": 600}


def main(case_file, run):
    """Runs `run(case folder, trouble)` and exits with its result."""
    case = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def judge():
        try:
            status, message = await asyncio.wait_for(run(case, trouble), 110)
        except NotRun as error:
            status, message = NOT_RUN, str(error)
        except (OSError, asyncio.TimeoutError) as error:
            status, message = NOT_RUN, f"{type(error).__name__}: {error}"
        print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[status] + f": {message}")
        sys.stdout.flush()
        # All processes have ended; the stand-ins' open connections end with this one.
        os._exit(status)

    asyncio.run(judge())
