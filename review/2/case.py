"""The leader ends while users submit jobs that await several others. See claim.txt."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import stand_ins as p  # noqa: E402

PARENTS = 8
SUBMIT_FOR_S, SUBMIT_EVERY_S = 6.0, 0.4
POLL_EVERY_S, FORGOTTEN_AFTER_S = 5.0, 90.0


async def case(platform, trouble):
    # "Responses usually take under 10 ms, and occasionally a few hundred": here those for a range of keys.
    platform.store.list_latency_s = 0.3
    await platform.start(machines=6)
    await platform.ready()
    first = platform.leader()
    # One user at each node that does not lead; a connection stays where the load balancer has put it.
    users = [(f"user-{n.name}", p.Client(n.port)) for n in platform.nodes if n is not first]
    parents = [platform.job(f"job-{i:06d}", guessS=400.0) for i in range(1, PARENTS + 1)]
    for i, job in enumerate(parents):
        await platform.submit(users[i % 2][1], job, users[i % 2][0])

    async def all_run():
        phases = [(await platform.poll(users[0][1], job["ref"], users[0][0]))[1] for job in parents]
        return all(a and a.get("phase") == "running" for a in phases)

    await platform.wait_for("the first jobs run", all_run, 25)

    polls = {}  # job -> [(time, answered)]
    last_answer = {}

    async def follow(who, client, lock, ref):
        """Polls a job roughly every 5 s, one request at a time on the user's connection."""
        while True:
            await asyncio.sleep(POLL_EVERY_S)
            async with lock:
                status, answer = await platform.poll(client, ref, who)
            polls.setdefault(ref, []).append((time.monotonic(), status == 200))
            last_answer[ref] = (status, answer)

    accepted = {}  # job -> time
    followers = []
    locks = {who: asyncio.Lock() for who, _ in users}
    for i, job in enumerate(parents):
        who, client = users[i % 2]
        followers.append(asyncio.create_task(follow(who, client, locks[who], job["ref"])))
    if trouble:
        platform.signal(first, signal.SIGKILL)
    begin = time.monotonic()

    async def submit_some(index, who, client):
        number = 0
        while time.monotonic() - begin < SUBMIT_FOR_S:
            number += 1
            ref = f"job-{index + 1}{number:05d}"
            job = platform.job(ref, lane="pubblica-registro", awaits=[j["ref"] for j in parents], guessS=8.0)
            async with locks[who]:
                status = await platform.submit(client, job, who)
            if status in (200, 201):
                accepted[ref] = time.monotonic()
                followers.append(asyncio.create_task(follow(who, client, locks[who], ref)))
            await asyncio.sleep(SUBMIT_EVERY_S)

    submitting = [asyncio.create_task(submit_some(i, *user)) for i, user in enumerate(users)]
    await asyncio.sleep(8.0)
    if trouble:
        platform.start_node(first)
    await asyncio.gather(*submitting)
    await asyncio.sleep(max(0.0, max(accepted.values()) + FORGOTTEN_AFTER_S + 1.0 - time.monotonic()))
    for task in followers:
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
