"""A scheduled job whose times are all due at once, beside small jobs."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from world import CannotRun, Minion, World, main  # noqa: E402

MEMORY_MB = 260
FINISH_S = 14.0
WATCHED_S = 3.0
SCHEDULED = "5c0e7a21d94b0fff"
MINUTES = 2 * 365 * 24 * 60
ROUTE = {"name": "q-a", "host": World.HOST, "prefix": "/plans/", "service": "svc-a", "priority": 1,
         "max_attempts": 3, "stretch_factor": 2.0, "target_duration_ms": 1_000}
SMALL = {"spec": "small", "phases": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}]}


async def platform(world, kills):
    """Ends a process that exceeds its memory, and starts ended ones again."""
    while True:
        for dispatcher in world.dispatchers:
            if dispatcher.process.returncode is None and dispatcher.memory_mb() > MEMORY_MB:
                world.record.line(f"edge-{dispatcher.index} has {dispatcher.memory_mb():.0f} MB of {MEMORY_MB}; it is killed")
                dispatcher.process.kill()
                kills[dispatcher.index] += 1
            if dispatcher.process.returncode is not None:
                await asyncio.sleep(0.3)
                await dispatcher.start()
        await asyncio.sleep(0.02)


async def case(world, trouble):
    world.logs_runs = False
    world.behave = lambda minion, task, data: (0.5, "done", None)
    minions = [Minion(world, f"i-{k:04d}", f"m-{k}", "svc-a", rack=f"r1-{k // 2}") for k in range(4)]
    await world.begin([ROUTE], ["svc-a"], minions, 2)
    kills = [0, 0]
    watch = asyncio.ensure_future(platform(world, kills))
    # Each minute of the last two years; without the disruption, of the next two.
    start = int(time.time() * 1000) + (-MINUTES if trouble else 1) * 60_000
    scheduled = {"spec": "ledger", "phases": [{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 500}],
                 "repeat_count": MINUTES, "start_at_ms": start, "interval_ms": 60_000}
    small = [f"{0x5c0e7a21d94b0000 + index:016x}" for index in range(20)]
    sent = []
    for index, number in enumerate(small):
        if index == 5:
            answer = await world.call(0, "POST", f"/plans/{SCHEDULED}", scheduled)
            if answer is None or answer[0] != 200:
                raise CannotRun(f"the scheduled job was not accepted: {answer}")
        answer = await world.call(index % 2, "POST", f"/plans/{number}", SMALL)
        if answer is not None and answer[0] == 200:
            sent.append(number)
        await asyncio.sleep(1.0)
    world.record.line(f"the traffic ends; {len(sent)} of {len(small)} small jobs are accepted")
    await asyncio.sleep(FINISH_S)
    # Jobs with nothing running for 3 s, while under half of the room is in use.
    room = sum(minion.capacity["cpu"] for minion in minions)
    idle, most, until = set(sent), 0, time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        at_work = [task for minion in minions for task in minion.running]
        idle -= set(task.split(".")[0] for task in at_work)
        most = max(most, sum(100 if task.startswith(SCHEDULED) else 500 for task in at_work))
        await asyncio.sleep(0.02)
    started = set(task.split(".")[0] for _, _, task, _ in world.starts)
    idle -= started
    breaches = []
    if most * 2 < room:
        breaches += [f"{number} hasn't begun, with {most} of {room} of the room in use" for number in sorted(idle)]
    for index, number in enumerate(sent):
        answers = []
        for attempt in range(2):
            answer = await world.call((index + attempt) % 2, "GET", f"/plans/{number}")
            answers.append(answer)
            if answer is not None and answer[0] == 200:
                break
        if not any(answer is not None and answer[0] == 200 for answer in answers):
            breaches.append(f"the accepted job {number} gets no answer: {answers}")
    watch.cancel()
    world.record.line(f"processes killed over their memory: {kills}; accepted jobs that never began: {len(idle)}")
    for dispatcher, count in enumerate(kills):
        if count >= 3:
            breaches.append(f"the process of edge-{dispatcher} ended {count} times over its memory")
    for breach in breaches:
        world.record.line(f"broken: {breach}")
    return f"{len(breaches)}: {breaches[0]}; killed {kills}, never begun {len(idle)} of {len(sent)}" if breaches else None


main(case, FOLDER)
