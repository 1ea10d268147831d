"""A gang that keeps checkpoints, and the crash of one of its minions."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from world import CannotRun, Minion, World, main  # noqa: E402

MEMBERS = 4
JOBS = 4
WORK_S = 12.0
RESTORE_S = 0.6
GANG_TIMEOUT_S = 3.0
DOWN_S = 4.5
ROUTE = {"name": "q-a", "host": World.HOST, "prefix": "/plans/", "service": "svc-a", "priority": 1,
         "max_attempts": 3, "stretch_factor": 2.0, "target_duration_ms": 1_000}
GANG = {"spec": "gang", "phases": [{"count": MEMBERS, "cpu": 2_000, "mem_mb": 512, "estimate_ms": 12_000, "gang": True,
                                    "checkpointing": True, "max_per_server": 1}]}


class Gang:
    """One run of a gang: it works from the moment when all members are present."""

    def __init__(self, world, step, run):
        self.world, self.step, self.run = world, step, run
        self.members, self.began, self.done = {}, None, 0.0
        self.timer = asyncio.get_event_loop().call_later(GANG_TIMEOUT_S, self.end, "alone")

    def join(self, minion, task, checkpoint):
        self.members[task] = minion
        if checkpoint:
            self.done = float(int(checkpoint.split("/")[-1], 16))
        if len(self.members) == MEMBERS:
            self.timer.cancel()
            self.began = time.monotonic() + (RESTORE_S if self.done else 0.0)
            left = WORK_S - self.done + self.began - time.monotonic()
            self.timer = asyncio.get_event_loop().call_later(left, self.end, "done")

    def saved(self):
        """The same value for all members, a new one with each second of work."""
        worked = max(0.0, time.monotonic() - self.began) if self.began else 0.0
        seconds = int(self.done + worked)
        return f"{self.step}/{seconds:08x}" if seconds else ""

    def end(self, how, but=None):
        self.timer.cancel()
        members, self.members = self.members, {}
        for task, minion in members.items():
            if minion is not but and task in minion.running:
                minion.end(task, how)


async def case(world, trouble):
    gangs, starts = {}, []

    def behave(minion, task, data):
        step, run = task.rsplit(".", 1)[0], data["run_id"]
        key = (step, run)
        gang = gangs.get(key) or gangs.setdefault(key, Gang(world, step, run))
        starts.append((task, run, data.get("checkpoint", "")))
        world.record.line(f"minion {minion.name} is told to start {task} run {run} with checkpoint '{data.get('checkpoint', '')}'")
        gang.join(minion, task, data.get("checkpoint", ""))
        return 0, "done", lambda intervals: gang.saved()

    world.behave = behave
    world.startup_s = WORK_S
    minions = [Minion(world, f"i-{k:04d}", f"m-{k}", "svc-a", rack=f"r1-{k // 4}") for k in range(8)]
    for minion in minions:
        end = minion.end

        def ended(task, how, end=end, minion=minion):
            gang = gangs.get((task.rsplit(".", 1)[0], minion.running[task]["run"])) if task in minion.running else None
            end(task, how)
            if gang and task in gang.members:
                gang.members.pop(task)
                if how in ("stopped", "lapsed", "failed"):
                    gang.end("broken")

        minion.end = ended
    await world.begin([ROUTE], ["svc-a"], minions, 2)
    jobs = [f"{0x5c0e7a21d94b0000 + index:016x}" for index in range(JOBS)]
    for index, job in enumerate(jobs):
        answer = await world.call(index % 2, "POST", f"/plans/{job}", GANG)
        if answer is None or answer[0] != 200:
            raise CannotRun(f"a job was not accepted: {answer}")
        await asyncio.sleep(0.27)
    await asyncio.sleep(4.7)
    if trouble:
        lost = max(minions, key=lambda minion: len(minion.running))
        world.record.line(f"minion {lost.name} crashes with {', '.join(lost.running)}")
        broken = [gangs[(task.rsplit(".", 1)[0], run["run"])] for task, run in lost.running.items()]
        world.replace(lost, "down", DOWN_S)
        for gang in broken:
            gang.end("broken", but=lost)
    await asyncio.sleep(30)
    breaches = []
    for key in sorted({(task.rsplit(".", 1)[0], run) for task, run, _ in starts}):
        values = {task: checkpoint for task, run, checkpoint in starts if (task.rsplit(".", 1)[0], run) == key}
        if len(set(values.values())) > 1:
            breaches.append(f"the members of run {key[1]} of {key[0]} are told to start with different checkpoints: "
                            + ", ".join(f"{task} '{value}'" for task, value in sorted(values.items())))
    for index, job in enumerate(jobs):
        await world.call(index % 2, "GET", f"/plans/{job}")
    for breach in breaches:
        world.record.line(f"broken: {breach}")
    return f"{len(breaches)} runs: {breaches[0]}" if breaches else None


main(case, FOLDER)
