"""An accepted job of one task. Minions crash one at a time, three times in all, each while
it runs the task. No run of the task ends `failed`, so the job must not be shown so."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from platform_standins import CannotRun, Record, Site, call, now_ms  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX, JOB = "pule25.example", "/tije37/", "5c0e7a21d94b36f8"
MINIONS, CRASHES = 8, 3
# Time from a start of the task to the crash of its minion, and from that until the
# machine has its next minion.
CRASH_AFTER_S, AWAY_S = 1.5, 4.5
TASK_MS, LIMIT_S = 4000, 75


async def case(record):
    site = Site(record)
    try:
        await site.start(MINIONS, 3, [{
            "name": "r-8nbkxxm", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
            "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0,
            "service": site.service, "max_attempts": 4, "stretch_factor": 1.6}])
        await asyncio.sleep(6)
        front = site.processes[0]["front"]
        body = {"spec": f"work {TASK_MS} ms",
                "phases": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": TASK_MS}]}
        status, _ = await call(front, "POST", PREFIX + JOB, HOST, body)
        record(f"POST {PREFIX}{JOB}: {status}")
        if status != 200:
            raise CannotRun("the job was not accepted")
        troubles = asyncio.get_running_loop().create_task(trouble(site))
        state, until = None, now_ms() + LIMIT_S * 1000
        while state not in ("done", "failed", "cancelled") and now_ms() < until:
            await asyncio.sleep(0.25)
            status, value = await call(front, "GET", PREFIX + JOB, HOST)
            if status == 200 and value["state"] != state:
                state = value["state"]
                record(f"GET {PREFIX}{JOB}: {state}")
        troubles.cancel()
        failed = [end for end in site.ends if end[3] == "failed"]
        record(f"shown as {state}; {len(site.starts)} starts, {len(failed)} ends `failed`")
        if state == "failed" and not failed:
            record("LOST is broken: shown as `failed`, and no run has ended `failed`")
            return 1
        if state != "done":
            raise CannotRun("the job did not end in time")
        return 0
    finally:
        site.stop()


async def trouble(site):
    """Crashes the minion that runs the task, and starts the machine's next one later."""
    if not TROUBLE:
        return
    loop = asyncio.get_running_loop()
    for number in range(CRASHES):
        while len(site.starts) <= number:
            await asyncio.sleep(0.02)
        await asyncio.sleep(CRASH_AFTER_S)
        slot = next(slot for slot, minion in site.minions.items() if minion.running)
        site.crash_minion(slot)
        loop.call_later(AWAY_S, lambda slot=slot: loop.create_task(site.start_minion(slot)))


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record(f"trouble: {'crashes of minions' if TROUBLE else 'none'}")
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 110))
    except (CannotRun, OSError, asyncio.TimeoutError, StopIteration) as error:
        record(f"the case could not run: {error!r}")
        code = 2
    record(f"exit {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
