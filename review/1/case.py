"""A version of the configuration sends a queue to another service while its jobs run."""

import asyncio
import time

from deployment import BROKEN, HELD, Deployment, NotRun, main, route

JOB = "5c0e7a21d94b36f8"
TASKS = 2
TASK_S = 25.0
CONFIG_APPLY_S = 2.0
VISIBLE_S = 3.0


async def run(case, trouble):
    site = Deployment(case, lambda task, run: (TASK_S, "done"), services=("svc-a", "svc-b"))
    try:
        await site.start([route("queue-a", "svc-a"), route("queue-b", "svc-b")])
        step = {"count": TASKS, "cpu": 4000, "mem_mb": 1024, "estimate_ms": int(TASK_S * 1000)}
        body = {"spec": "work", "phases": [step]}
        path = f"/queue-a/{JOB}"
        reply = await site.client("edge-1", "POST", path, body)
        if reply is None or reply[0] != 200:
            raise NotRun("the job was not accepted")
        until = time.monotonic() + 10
        while sum(len(it.running) for it in site.workers) < TASKS:
            if time.monotonic() > until:
                raise NotRun("the tasks did not start")
            await asyncio.sleep(0.05)
        service = "svc-b" if trouble else "svc-a"
        await site.configure(2, [route("queue-a", service), route("queue-b", "svc-b")])
        await asyncio.sleep(CONFIG_APPLY_S + VISIBLE_S + 1)
        states = [await site.client(name, "GET", path) for name in site.names]
        # The same request again, as it occasionally arrives after its 2xx.
        await site.client("edge-2", "POST", path, body)
        twice = None
        until = time.monotonic() + 4
        while time.monotonic() < until and twice is None:
            twice = site.overlap()
            await asyncio.sleep(0.02)
        if twice:
            site.record.add("TWICE", task=twice[0], runs=twice[1])
        # After both checks: a cancellation, and what still runs a second later.
        await site.client("edge-3", "DELETE", path)
        await asyncio.sleep(1)
        site.record.add("still running", runs=[
            (it.name, it.service, task) for it in site.workers for task in it.running])
        gone = [name for name, reply in zip(site.names, states) if reply and reply[0] == 410]
        if gone:
            site.record.add("LOST", job=JOB, processes=gone)
            return BROKEN, f"410 for the accepted job from {gone}; runs at once: {twice}"
        if twice:
            return BROKEN, f"runs at once: {twice}"
        if any(reply is None or reply[0] != 200 for reply in states):
            raise NotRun(f"the job's state could not be read: {states}")
        return HELD, f"the job is known: {states[0][1]}"
    finally:
        await site.end()


main(__file__, run)
