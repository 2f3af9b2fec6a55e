"""No case: it takes 135 s. A copy of a direct start reaches its worker AFTER seconds (default 125) after that start was
carried out and answered; meanwhile the task was preempted and runs on another machine. Writes record.txt here.

    AFTER=125 python3 -B review/world-2/late_copy.py
"""
import asyncio
import copy
import os
import time

import world as stand_ins
from world import Machine, World, job_spec, main

AFTER = float(os.environ.get("AFTER", "125"))
ALPE48 = dict(sku="alpe48", cpus=48.0, accelerators=4.0, memGb=288.0, cacheGb=80.0, pullGbPerS=1.0)
ALPE48.update(hourly=10.1, spotPrice=2.92, readyS=45.0, yards=["milano-nord"])
TEAMS = [dict(name="stradario", cpus=0.0, cpus_max=0.0, gpus=32.0, gpus_max=72.0)]
stand_ins.LIMIT_S = 220
STARTS = []  # (time, machine, body) of each direct command with a start
carry_out = Machine.commands


def remember(machine, value):
    if any(order["verb"] == "run" for order in value.get("orders", [])):
        STARTS.append((time.monotonic(), machine, copy.deepcopy(value)))
    return carry_out(machine, value)


Machine.commands = remember


def build(record):
    world = World(record, [ALPE48], TEAMS, ["milano-nord"], nodes=3)
    for _ in range(2):
        world.cloud.add("alpe48", "milano-nord", False, 0)
    return world


async def play(world, trouble):
    await world.ready()
    whole = dict(cpus=43.0, accelerators=4.0, memGb=230.0)
    await world.submit(job_spec(1, "stradario", rank="high", **whole, guessS=12.0), 12)
    await asyncio.sleep(1)
    await world.submit(job_spec(2, "stradario", rank="best_effort", **whole, guessS=300.0), 400)
    while not world.jobs["job-000002"].on:
        await asyncio.sleep(0.1)
    at, machine, body = next(s for s in STARTS if s[2]["orders"][0]["shard"] == "job-000002/0")
    await asyncio.sleep(2)
    await world.submit(job_spec(3, "stradario", rank="high", **whole, guessS=20.0), 20)  # preempts job-000002
    await asyncio.sleep(max(0.0, at + AFTER - time.monotonic()))
    if trouble:
        world.log(f"the copy reaches {machine.name}, which knows {list(machine.tasks)}")
        carry_out(machine, body)
    await asyncio.sleep(6)


main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), build, play)
