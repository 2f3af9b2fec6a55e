"""The leader ends while users submit jobs that await another one, which is then cancelled. See claim.txt."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import stand_ins as p  # noqa: E402

SUBMIT_FOR_S, SUBMIT_EVERY_S, CANCEL_AFTER_S = 5.0, 0.4, 3.5
POLL_EVERY_S, FORGOTTEN_AFTER_S = 5.0, 90.0


async def case(platform, trouble):
    # "Responses usually take under 10 ms, and occasionally a few hundred": here those for a range of keys.
    platform.store.list_latency_s = 0.3
    await platform.start(machines=3)
    await platform.ready()
    leader = platform.leader()
    # One user at each node that does not lead; a connection stays where the load balancer has put it.
    users = [(f"user-{n.name}", p.Client(n.port), asyncio.Lock()) for n in platform.nodes if n is not leader]
    first, other = (platform.job(f"job-{i:06d}", guessS=400.0) for i in (1, 2))
    for job in (first, other):
        if await platform.submit(users[0][1], job, users[0][0]) not in (200, 201):
            raise p.CannotRun("a job was not accepted")
    accepted, polls, last_answer, tasks = {}, {}, {}, []

    async def follow(who, client, lock, ref):
        """Polls a job roughly every 5 s, one request at a time on the user's connection."""
        while True:
            await asyncio.sleep(POLL_EVERY_S)
            async with lock:
                last_answer[ref] = await platform.poll(client, ref, who)
            polls.setdefault(ref, []).append((time.monotonic(), last_answer[ref][0] == 200))

    async def submit_some(index, who, client, lock):
        number, begin = 0, time.monotonic()
        while time.monotonic() - begin < SUBMIT_FOR_S:
            number += 1
            job = platform.job(f"job-{index + 1}{number:05d}", awaits=[first["ref"]], guessS=8.0)
            async with lock:
                status = await platform.submit(client, job, who)
            if status in (200, 201):
                accepted[job["ref"]] = time.monotonic()
                tasks.append(asyncio.create_task(follow(who, client, lock, job["ref"])))
            await asyncio.sleep(SUBMIT_EVERY_S)

    for user in users:
        for job in (first, other):
            tasks.append(asyncio.create_task(follow(*user, job["ref"])))
    if trouble:
        platform.signal(leader, signal.SIGKILL)
    submitting = [asyncio.create_task(submit_some(i, *user)) for i, user in enumerate(users)]
    await asyncio.sleep(CANCEL_AFTER_S)
    node = next(n for n in platform.nodes if n is not leader)
    status, _ = await platform.cancel(p.Client(node.port), first["ref"], "user of " + first["ref"])
    if status != 200:
        raise p.CannotRun("the cancellation was not confirmed")
    told = time.monotonic()
    await asyncio.gather(*submitting)
    if trouble:
        await asyncio.sleep(max(0.0, told + 3.0 - time.monotonic()))
        platform.start_node(leader)
    await asyncio.sleep(max([told, *accepted.values()]) + FORGOTTEN_AFTER_S + 1.0 - time.monotonic())
    for task in tasks:
        task.cancel()
    broken = []
    for ref, at in accepted.items():
        mine = [ok for t, ok in polls.get(ref, []) if t >= at]
        others = [ok for r, list_ in polls.items() if r != ref for t, ok in list_ if t >= at]
        if mine and not any(mine) and sum(others) > len(others) / 2:
            broken.append(
                f"forgotten: {ref} was accepted, and each of its {len(mine)} polls in {FORGOTTEN_AFTER_S:.0f} s failed "
                f"(last: {last_answer[ref]}), while {sum(others)} of {len(others)} others got answers"
            )
    return broken


p.main(case, os.path.join(FOLDER, "record.txt"))
