"""Cancellations of jobs whose submission has had no answer."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from world import CannotRun, Minion, World, main  # noqa: E402

JOBS = 30
GAP_S = 0.13
# Jobs whose clients leave early and cancel them: a share of 0.4.
CANCELLED = {index for index in range(JOBS) if index % 5 in (0, 2)}
# Of these, jobs whose first write has its answer lost and is executed late.
LOST = {2, 7, 12, 25}
LATE_S = 2.0
LEAVES_AFTER_S = 0.85
CANCEL_MS = 3_000
STOP_TIMEOUT_MS = 900
ROUTE = {"name": "q-a", "host": World.HOST, "prefix": "/payouts/", "service": "svc-a", "priority": 1,
         "max_attempts": 3, "stretch_factor": 2.0, "target_duration_ms": 1_000}
BODY = {"spec": "payout", "phases": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "long_running": True}]}


async def case(world, trouble):
    world.behave = lambda minion, task, data: (0, "done", None)
    numbers = [f"{0x5c0e7a21d94b0000 + index:016x}" for index in range(JOBS)]
    lost = set()

    def lose_answer(data):
        for row in data["put"]:
            key = row["key"]
            for index in LOST:
                if trouble and key.startswith("jobs/") and key.endswith(numbers[index]) and index not in lost:
                    lost.add(index)
                    return LATE_S
        return None

    world.store.lose_answer = lose_answer
    minions = [Minion(world, f"i-{k:04d}", f"m-{k}", "svc-a", rack=f"r1-{k // 2}") for k in range(4)]
    await world.begin([ROUTE], ["svc-a"], minions, 2)
    accepted, cancelled = {}, {}

    async def client(index, number):
        await asyncio.sleep(index * GAP_S)
        sent = time.monotonic()
        leaves = index in CANCELLED
        answer = await world.call(index % 2, "POST", f"/payouts/{number}", BODY, timeout=LEAVES_AFTER_S if leaves else 3.0)
        accepted[number] = answer is not None and answer[0] == 200
        if not leaves:
            return
        # A client that leaves before its time limit, and then cancels its job.
        await asyncio.sleep(max(0.0, sent + LEAVES_AFTER_S - time.monotonic()))
        answer = await world.call(index % 2, "DELETE", f"/payouts/{number}")
        if answer is None or not (200 <= answer[0] < 300 or answer[0] == 410):
            raise CannotRun(f"the cancelling of {number} was not acknowledged: {answer}")
        cancelled[number] = time.monotonic()

    await asyncio.gather(*(client(index, number) for index, number in enumerate(numbers)))
    # The last late call is executed LATE_S after it was sent; calm from then on.
    calm = time.monotonic() + LATE_S
    await asyncio.sleep(LATE_S + 2 * (CANCEL_MS + STOP_TIMEOUT_MS) / 1000)
    running = {}
    for minion in minions:
        for task in minion.running:
            running.setdefault(task.split(".")[0], []).append(f"{task} on {minion.name}")
    breaches = []
    for index, number in enumerate(numbers):
        if number not in cancelled:
            continue
        state = await world.call((index + 1) % 2, "GET", f"/payouts/{number}")
        if number in running:
            after = time.monotonic() - cancelled[number]
            text = (f"{number}: cancelling acknowledged, and {after:.1f} s later, {time.monotonic() - calm:.1f} s of it calm, "
                    f"{', '.join(running[number])} run; GET answers {state}")
            world.record.line(f"broken: {text}")
            breaches.append(text)
    world.record.line(f"answers lost: {world.store.lost} of {world.store.txns} writes; "
                      f"submissions answered: {sum(accepted.values())} of {JOBS}")
    return f"{len(breaches)} of {len(cancelled)} cancelled jobs run on" if breaches else None


main(case, FOLDER)
