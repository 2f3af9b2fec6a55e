"""The leader ends, and the next one is refused by the state service for a second while it loads. See claim.txt."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import stand_ins as p  # noqa: E402

PARENTS, LAST_STEPS = 135, 20
REFUSED_AFTER_S, REFUSED_FOR_S, BACK_AFTER_S = 0.3, 1.0, 8.0
POLL_EVERY_S, FORGOTTEN_AFTER_S = 5.0, 90.0


async def case(platform, trouble):
    # The limits that the state service will have later, as on the days of the site.
    platform.next_limits = {"value_kb": 2.0, "txn_ops": 16, "write_rps": 42.0}
    platform.run_s = lambda job: 400.0 if job.get("awaits") else 5.0
    await platform.start(machines=8)
    await platform.ready()
    leader = platform.leader()
    # The jobs' users are at the nodes that do not lead; a connection stays where the load balancer has put it.
    nodes = [n for n in platform.nodes if n is not leader]
    at_leader = [(f"user-{leader.name}-{i}", p.Client(leader.port)) for i in range(4)]
    small = {"cpus": 2.5, "accelerators": 0.0, "memGb": 9.6, "guessS": 5.0}
    parents = [platform.job(f"job-{i:06d}", **small) for i in range(1, PARENTS + 1)]
    refs = [job["ref"] for job in parents]
    last = [platform.job(f"job-{i:06d}", awaits=refs, guessS=400.0) for i in range(1001, 1001 + LAST_STEPS)]

    async def submit_share(index, jobs):
        who, client = at_leader[index]
        for job in jobs[index::4]:
            if await platform.submit(client, job, who) not in (200, 201):
                raise p.CannotRun("a job was not accepted")

    for jobs in (parents, last):
        await asyncio.gather(*[submit_share(i, jobs) for i in range(4)])
    polls, last_answer = {}, {}

    async def poll(client, ref):
        last_answer[ref] = await platform.poll(client, ref)
        polls.setdefault(ref, []).append((time.monotonic(), last_answer[ref][0] == 200))

    async def follow(client, ref, delay):
        """Polls a job roughly every 5 s, on its user's connection."""
        await asyncio.sleep(delay)
        while True:
            await poll(client, ref)
            await asyncio.sleep(POLL_EVERY_S)

    followed = [*last, *parents[:20]]
    clients = {job["ref"]: p.Client(nodes[i % 2].port) for i, job in enumerate(followed)}

    def all_run():
        return all(platform.present.get(job["ref"] + "/0") for job in last)

    await platform.wait_for("the last steps run", all_run, 40)
    await asyncio.sleep(0.5)
    for job in last:
        await poll(clients[job["ref"]], job["ref"])
        if last_answer[job["ref"]][0] != 200:
            raise p.CannotRun("a job was not known")
    tasks = []
    for i, job in enumerate(followed):
        tasks.append(asyncio.create_task(follow(clients[job["ref"]], job["ref"], 0.1 * (i % 50))))
    if trouble:
        platform.signal(leader, signal.SIGKILL)
        asyncio.get_running_loop().call_later(BACK_AFTER_S, platform.start_node, leader)

        def next_leader():
            return platform.leader() if platform.leader() is not leader else None

        node = await platform.wait_for("another node leads", next_leader, 20)
        await asyncio.sleep(REFUSED_AFTER_S)
        platform.record.write(f"the state service refuses {node.name}")
        platform.store.refused_nodes.add(node.name)
        await asyncio.sleep(REFUSED_FOR_S)
        platform.store.refused_nodes.discard(node.name)
        platform.record.write(f"the state service serves {node.name} again")
    begin = time.monotonic()
    await asyncio.sleep(FORGOTTEN_AFTER_S)
    stopped = [job["ref"] for job in last if not platform.present.get(job["ref"] + "/0")]
    platform.record.write(f"last steps whose task is on no machine now: {stopped}")
    for task in tasks:
        task.cancel()
    broken = []
    for job in last:
        ref = job["ref"]
        mine = [ok for t, ok in polls.get(ref, []) if t >= begin]
        others = [ok for r, list_ in polls.items() if r != ref for t, ok in list_ if t >= begin]
        if mine and not any(mine) and sum(others) > len(others) / 2:
            broken.append(
                f"forgotten: {ref} was accepted, and each of its {len(mine)} polls in {FORGOTTEN_AFTER_S:.0f} s failed "
                f"(last: {last_answer[ref]}), while {sum(others)} of {len(others)} others got answers"
            )
    return broken


p.main(case, os.path.join(FOLDER, "record.txt"))
