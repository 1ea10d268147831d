"""A wave asks for the upkeep of two machines. The machines' service is unavailable for some
seconds, and the dispatcher that has ordered the upkeep is stopped meanwhile. The upkeep must
not end two tasks of a step of which one may be missing."""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from platform_standins import CannotRun, Dropped, Record, Site, call, now_ms  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX = "pule25.example", "/tije37/"
FILLING, JOB = "5c0e7a21d94b36f8", "77aa0c1e5f20b9d3"
MINIONS, MAY_MISS = 8, 1
# The service is unavailable for 5 s, which is what the bench plays where an entry names no
# length.
DOWN_S, WAVE_AT_S, STOP_AT_S, LIMIT_S = 5.0, 0.2, 1.0, 25


class DownSite(Site):
    """A site that notes which tasks an upkeep ends, and whose machines' service may be away."""

    async def list_machines(self, method, path, query, headers, body):
        if not self.takes_orders:
            raise Dropped
        return await super().list_machines(method, path, query, headers, body)

    def machine_order(self, path, headers, value):
        slot = int(value["machine"][2:])
        minion = self.minions.get(slot)
        running = dict(minion.running) if minion else {}
        at_work = [name for (name, _), state in running.items() if minion.percent(state) >= 100]
        answer = super().machine_order(path, headers, value)
        if minion is not None and not minion.is_up:
            self.judge(at_work)
        return answer

    def judge(self, at_work):
        """AVAIL, for each task at work that an upkeep has ended."""
        for name in at_work:
            away = [other for other, at_ms in self.ended_by_order.items()
                    if other != name and other.rpartition(".")[0] == name.rpartition(".")[0]
                    and not self.is_at_work(other)]
            self.record(f"the upkeep ends {name}, which is at work; {len(away)} others of its "
                        f"step are away by such orders, {MAY_MISS} may be")
            if len(away) >= MAY_MISS:
                self.broken.append(name)
            self.ended_by_order[name] = now_ms()

    def is_at_work(self, name):
        return any(other == name and minion.percent(state) >= 100
                   for minion in self.minions.values()
                   for (other, _), state in minion.running.items())


async def submit(front, job, tasks, record):
    body = {"spec": "lasts", "phases": [{
        "count": tasks, "cpu": 9000, "mem_mb": 256, "long_running": True, "may_miss": MAY_MISS}]}
    status, _ = await call(front, "POST", PREFIX + job, HOST, body)
    record(f"POST {PREFIX}{job}, {tasks} tasks that last: {status}")
    if status != 200:
        raise CannotRun("a job was not accepted")


async def case(record):
    site = DownSite(record)
    site.broken, site.ended_by_order = [], {}
    try:
        await site.start(MINIONS, 3, [{
            "name": "r-8nbkxxm", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
            "timeout_ms": 3000, "target_duration_ms": 2500, "priority": 0,
            "service": site.service, "max_attempts": 2, "stretch_factor": 2.2}])
        await asyncio.sleep(7)
        holder = json.loads(site.store.items["control/upkeep"][0])["holder"]
        index = int(holder.rpartition("-")[2])
        front = site.processes[(index + 1) % 3]["front"]
        await submit(front, FILLING, MINIONS - 2, record)
        await asyncio.sleep(2)
        idle = [minion for minion in site.minions.values() if not minion.running]
        if len(idle) != 2:
            raise CannotRun("the tasks are not spread as expected")
        loop, began = asyncio.get_running_loop(), now_ms()
        if TROUBLE:
            site.takes_orders = False
            record("the machines' service is unavailable")

            def back():
                site.takes_orders = True
                record("the machines' service is back")
            loop.call_later(DOWN_S, back)
        await asyncio.sleep(WAVE_AT_S)
        wave = {"wave": 1, "machines": [minion.machine for minion in idle], "duration_s": 20,
                "max_count": 2}
        site.store.put("op/wave/1", wave)
        record(f"op/wave/1: {wave}")
        await asyncio.sleep(STOP_AT_S - WAVE_AT_S)
        if TROUBLE:
            record(f"SIGTERM to {holder}")
            site.processes[index]["child"].send_signal(signal.SIGTERM)
        await submit(front, JOB, 2, record)
        while now_ms() < began + LIMIT_S * 1000:
            await asyncio.sleep(0.1)
            child = site.processes[index]["child"]
            if child.poll() is not None:
                record(f"{holder} has ended with {child.returncode}")
                site.start_dispatcher(index)
        record(f"upkeeps: {site.orders}; ended at work: {sorted(site.ended_by_order)}")
        if len(site.orders) != 2:
            raise CannotRun("the upkeeps were not ordered in time")
        if site.broken:
            record(f"AVAIL is broken for {site.broken}")
            return 1
        return 0
    finally:
        site.stop()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record(f"trouble: {'the service is away and its caller stopped' if TROUBLE else 'none'}")
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 110))
    except (CannotRun, KeyError, OSError, asyncio.TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        code = 2
    record(f"exit {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
