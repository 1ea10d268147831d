"""Two jobs of tasks that last, one task of each on every minion. One minion is lost for good;
then a wave asks for the upkeep of another machine. A task that the wave has stopped must
run again within 9 s, since there is room for it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from platform_standins import CannotRun, Record, Site, call, now_ms  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX = "pule25.example", "/tije37/"
# Jobs with the tasks of their step that may be missing at once.
JOBS = {"5c0e7a21d94b36f8": 2, "77aa0c1e5f20b9d3": 1}
MINIONS, CPU = 8, 3000
# The minion is lost in both forms of the case; the wave is the disruption.
WAVE_AFTER_S, LIMIT_S = 14, 20
# A task that lasts has to run again from 6 s after its last run, for 3 s, with the 4 s before
# them calm. Nothing happens in the case after the wave is sent but the dispatchers' own orders.
SINCE_MS, FOR_MS, CALM_MS = 6000, 3000, 4000


class LossSite(Site):
    """Notes how long a task has been without a run while a minion has room for it."""

    def __init__(self, record):
        super().__init__(record)
        # Since when each task has been without a run, with room for it.
        self.since = {}

    def calm_ms(self):
        """When the last upkeep was over; 0 if there was none."""
        return self.upkeep_over_ms or 0

    def missing(self, name):
        """When the last run of a task ended; none while it runs."""
        if any(other == name for minion in self.minions.values() for other, _ in minion.running):
            return None
        return max((at for at, other, *_ in self.ends if other == name), default=None)

    def with_room(self, name):
        """Minions with twice the room for a task and no other task of its step."""
        step = name.rpartition(".")[0]
        found = []
        for minion in self.minions.values():
            used = sum(self.step_of(other)["cpu"] for other, _ in minion.running)
            is_taken = any(other.rpartition(".")[0] == step for other, _ in minion.running)
            if not is_taken and 16000 - used >= 2 * CPU:
                found.append(minion.id)
        return found


async def case(record):
    site = LossSite(record)
    try:
        await site.start(MINIONS, 3, [{
            "name": "r-8nbkxxm", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
            "timeout_ms": 3000, "target_duration_ms": 2500, "priority": 0,
            "service": site.service, "max_attempts": 2, "stretch_factor": 2.2}])
        await asyncio.sleep(6)
        front = site.processes[0]["front"]
        for job, may_miss in JOBS.items():
            phases = [{"count": MINIONS, "cpu": CPU, "mem_mb": 256, "long_running": True,
                       "max_per_server": 1, "may_miss": may_miss}]
            site.jobs[job] = phases
            status, _ = await call(front, "POST", PREFIX + job, HOST,
                                   {"spec": "lasts", "phases": phases})
            record(f"POST {PREFIX}{job}, {MINIONS} tasks that last, {may_miss} may be "
                   f"missing: {status}")
            if status != 200:
                raise CannotRun("a job was not accepted")
        await asyncio.sleep(3)
        if len(site.starts) != 2 * MINIONS:
            raise CannotRun("not all tasks have started")
        lost, emptied = sorted(site.minions)[0], sorted(site.minions)[1]
        site.crash_minion(lost)
        await asyncio.sleep(WAVE_AFTER_S)
        sent = now_ms()
        if TROUBLE:
            wave = {"wave": 1, "machines": [f"m-{emptied:02d}"], "duration_s": 25,
                    "max_count": 1}
            site.store.put("op/wave/1", wave)
            record(f"op/wave/1: {wave}")
        broken = {}
        while now_ms() < sent + LIMIT_S * 1000:
            await asyncio.sleep(0.1)
            now = now_ms()
            names = {name for _, name, *_ in site.starts}
            for name in sorted(names):
                ended = site.missing(name)
                rooms = site.with_room(name)
                if ended is None or not rooms:
                    site.since.pop(name, None)
                    continue
                begun = site.since.setdefault(name, max(now, ended))
                calm = max(site.calm_ms(), sent) + CALM_MS
                if now >= max(begun, ended + SINCE_MS, calm) + FOR_MS and name not in broken:
                    broken[name] = now
                    record(f"{name} doesn't run, {now - ended} ms after its last run, with "
                           f"room on {rooms}")
        wave = site.store.items.get("status/wave/1")
        record(f"status/wave/1: {wave and wave[0].decode()}; upkeeps: {site.orders}")
        if broken:
            record(f"LOST is broken for {sorted(broken)}")
            return 1
        return 0
    finally:
        site.stop()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record(f"trouble: {'a wave' if TROUBLE else 'none'}")
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        code = 2
    record(f"exit {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
