"""One of two machines fails every task for 8 s. The job that failed there is never tried again, there or elsewhere."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "world-2"))
from world import World, job_spec, main  # noqa: E402

ALPE48 = dict(sku="alpe48", cpus=48.0, accelerators=4.0, memGb=288.0, cacheGb=80.0, pullGbPerS=1.0)
ALPE48.update(hourly=10.1, spotPrice=2.92, readyS=45.0, yards=["milano-nord", "brescia-est"])
TEAMS = [
    dict(name="stradario", cpus=0.0, cpus_max=0.0, gpus=32.0, gpus_max=72.0),
    dict(name="catasto-civici", cpus=0.0, cpus_max=0.0, gpus=48.0, gpus_max=152.0),
]


def build(record):
    world = World(record, [ALPE48], TEAMS, ["milano-nord", "brescia-est"])
    world.cloud.add("alpe48", "milano-nord", False, 0)
    world.cloud.add("alpe48", "brescia-est", False, 0)
    return world  # the cloud has no further machine to give


async def play(world, trouble):
    await world.ready()
    # One machine is taken by a long job.
    long_job = job_spec(1, "catasto-civici", "ensemble", lane="civico-train", cpus=43.0, accelerators=4.0, memGb=230.0)
    await world.submit(dict(long_job, guessS=300.0, markEveryS=45.0, markCostS=4.0), 300)
    while not world.jobs["job-000001"].on:
        await asyncio.sleep(0.1)
    idle = next(m for m in world.cloud.machines if not m.tasks)
    if trouble:
        world.log(f"machine {idle.name} fails every task from now on")
        idle.sick = True
    job = job_spec(2, "stradario", "sweep", lane="toponimi-embed", shards=2, cpus=10.0, accelerators=1.0, memGb=54.0)
    await world.submit(dict(job, guessS=8.0), 8)
    await asyncio.sleep(8)
    idle.sick = False
    world.log(f"machine {idle.name} is well again")
    seen = await world.left_waiting(["job-000002"], time.monotonic() + 93)
    await world.poll("job-000002")
    return seen


main(os.path.join(FOLDER, "record.txt"), build, play)
