"""Stand-ins for the review's cases: state service, cloud, workers and users as PROTOCOL describes them, and the real
controllers as processes with the command of deploy/service.toml, on loopback ports and the real clock.

Standard library only. One asyncio loop serves all stand-ins. A case builds a World, starts it, causes its disruption
and returns what it saw; the World's rules are checked all the time. What is sent, answered and run goes to its record.
"""
import asyncio
import bisect
import collections
import ctypes
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_S = 118


PORT_LOCKS = []  # bound for as long as this process lives


def free_ports(count):
    """Free ports of a block below the kernel's usual range for outgoing connections. Its first port stays bound,
    so that other runs at the same time use other blocks."""
    blocks = list(range(12000, 29000, 20))
    for base in blocks[os.getpid() % len(blocks) :] + blocks[: os.getpid() % len(blocks)]:
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", base))
        except OSError:
            lock.close()
            continue
        PORT_LOCKS.append(lock)
        ports = []
        for port in range(base + 1, base + 20):
            with socket.socket() as s:
                try:
                    s.bind(("127.0.0.1", port))
                except OSError:
                    continue
            ports.append(port)
        if len(ports) >= count:
            return ports[:count]
    raise RuntimeError("no free ports")


# ---- HTTP ----


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    """Calls handler(method, target, body), which returns (status, object), or None for no answer at all."""

    def __init__(self, handler):
        self.handler, self.server, self.port = handler, None, 0
        self.open = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    async def connection(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                answer = await self.handler(method, target, body)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, value = answer
                data = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.open):
            writer.close()


class HttpClient:
    """One connection, kept open."""

    def __init__(self):
        self.streams = {}

    def close(self):
        for _, writer in self.streams.values():
            writer.close()
        self.streams.clear()

    async def exchange(self, port, method, target, body):
        if port not in self.streams:
            self.close()
            self.streams[port] = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
        reader, writer = self.streams[port]
        data = body.encode()
        head = f"{method} {target} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\nContent-Length: {len(data)}\r\n"
        writer.write((head + "Content-Type: application/json\r\n\r\n").encode() + data)
        await writer.drain()
        start, headers, answer = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(answer or b"{}")
        except ValueError:
            value = {}
        return int(start.split(" ")[1]), headers, value

    async def request(self, port, method, target, body, timeout):
        """Returns (status, headers, object); status 0 if there was no answer."""
        try:
            return await asyncio.wait_for(self.exchange(port, method, target, body), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            self.close()
            return 0, {}, {}


# ---- the state service ----


class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < n:
            return False
        self.level -= n
        return True


class Store:
    """Each controller has a port of its own, so that one of them can be refused alone."""

    def __init__(self, world, limits):
        self.world, self.limits = world, limits
        self.rows, self.keys, self.epoch = {}, [], 0
        self.history, self.compacted = collections.deque(), 0
        self.leases, self.next_lease = {}, 1
        self.changed = asyncio.Event()
        self.requests, self.changes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.down_until, self.was_down = 0.0, False
        self.refused = set()
        self.latency = 0.002
        self.late = None  # called with (node, transaction): seconds until it is carried out, without an answer; or None
        self.lose_answer = None  # called with (node, transaction): True if it is carried out and not answered
        self.servers = {}
        self.counts = collections.Counter()

    async def start(self, nodes):
        for node in nodes:
            server = HttpServer(lambda m, t, b, node=node: self.handle(node, m, t, b))
            await server.start()
            self.servers[node] = server
        self.world.spawn(self.ticks())

    def down(self):
        return time.monotonic() < self.down_until

    async def ticks(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.down():
                self.was_down = True
                continue
            if self.was_down:
                self.was_down = False
                for lease in self.leases.values():
                    lease["until"] = now + lease["ttl"]
            for ended in [i for i, lease in self.leases.items() if now > lease["until"]]:
                self.end_lease(ended)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k in self.keys if self.rows[k][2] == lease]
        if keys:
            self.epoch += 1
            for key in keys:
                self.remove(key)
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def record(self, change):
        self.history.append(change)
        if len(self.history) > 10000:
            self.compacted = self.history.popleft()["stamp"]

    def put(self, key, value, lease):
        if key not in self.rows:
            bisect.insort(self.keys, key)
        self.rows[key] = (value, self.epoch, lease)
        self.record({"set": key, "data": value, "stamp": self.epoch})

    def remove(self, key):
        if key in self.rows:
            del self.rows[key]
            del self.keys[bisect.bisect_left(self.keys, key)]
            self.record({"remove": key, "stamp": self.epoch})

    def stamp(self, key):
        return self.rows[key][1] if key in self.rows else 0

    async def handle(self, node, method, target, body):
        self.counts["requests"] += 1
        path, _, query = target.partition("?")
        arguments = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/watch" and method == "GET":
            return await self.watch(node, arguments)
        if self.down() or node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            self.counts["429"] += 1
            return 429, {"error": "too many requests"}
        await asyncio.sleep(self.latency)
        if path == "/multi":
            return await self.multi(node, json.loads(body))
        if path.startswith("/leases"):
            return self.lease(method, path, body)
        if path == "/store":
            return 200, self.page(arguments)
        key = path[len("/store/") :]
        if key not in self.rows:
            return 404, {"epoch": self.epoch}
        value, stamp, lease = self.rows[key]
        return 200, {"path": key, "data": value, "stamp": stamp, "tether": lease or None}

    def lease(self, method, path, body):
        now = time.monotonic()
        if path == "/leases":
            number, ttl = self.next_lease, json.loads(body)["ttlMs"] / 1000
            self.next_lease += 1
            self.leases[number] = {"ttl": ttl, "until": now + ttl}
            return 200, {"tether": number}
        number = int(path.split("/")[2])
        if number not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(number)
        else:
            self.leases[number]["until"] = now + self.leases[number]["ttl"]
        return 200, {"tether": number}

    def page(self, arguments):
        prefix, after = arguments.get("prefix", ""), arguments.get("after", "")
        most = min(1000, int(arguments.get("page", 1000)))
        rows, size, more = [], 0, False
        for key in self.keys[bisect.bisect_left(self.keys, prefix) :]:
            if not key.startswith(prefix):
                break
            if after and key <= after:
                continue
            size += len(key) + len(json.dumps(self.rows[key][0]))
            if len(rows) >= most or (rows and size > 512 * 1024):
                more = True
                break
            rows.append({"path": key, "data": self.rows[key][0], "stamp": self.rows[key][1]})
        return {"rows": rows, "more": more, "epoch": self.epoch}

    async def multi(self, node, transaction):
        when, then = transaction.get("when", []), transaction.get("then", [])
        size = len(json.dumps(transaction, separators=(",", ":")))
        if len(then) > self.limits["txn_ops"] or len(when) > 4 * self.limits["txn_ops"] or size > 64 * 1024:
            return 400, {"error": "too large"}
        for op in then:
            if "set" in op and len(json.dumps(op["data"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value too long"}
        if not self.changes.take(len(then)):
            self.counts["429w"] += 1
            return 429, {"error": "too many changes"}
        delay = self.late(node, transaction) if self.late and then else None
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self.commit, transaction)
            return None
        lost = then and self.lose_answer and self.lose_answer(node, transaction)
        answer = self.commit(transaction)
        return None if lost else answer

    def commit(self, transaction):
        when, then = transaction.get("when", []), transaction.get("then", [])
        for op in then:
            if op.get("tether") and op["tether"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["path"] for c in when if self.stamp(c["path"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if then:
            self.epoch += 1
            for op in then:
                if "set" in op:
                    self.put(op["set"], op["data"], op.get("tether") or 0)
                else:
                    self.remove(op["remove"])
            self.notify()
        return 200, {"epoch": self.epoch}

    async def watch(self, node, arguments):
        prefix, after = arguments.get("prefix", ""), int(arguments.get("after", 0))
        until = time.monotonic() + int(arguments.get("holdMs", 0)) / 1000
        if self.down() or node in self.refused:
            return 503, {"error": "trouble"}
        while True:
            if self.down() or node in self.refused:
                await asyncio.sleep(0.05)
                continue
            if after < self.compacted:
                return 410, {}
            events = [
                e for e in self.history if e["stamp"] > after and e.get("set", e.get("remove")).startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"epoch": self.epoch, "events": events}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass


# ---- jobs, and the rules that clients, servers and the platform can judge ----


class Job:
    def __init__(self, spec, run_s):
        self.spec, self.run_s = spec, run_s
        self.submitted = self.accepted = self.cancel_asked = self.cancelled = None
        self.done, self.on = set(), {}  # finished indices; index -> {machine: (zone, since)}
        self.starts, self.progress = 0, {}
        self.phase_told = None


class Rules:
    def __init__(self, world):
        self.world, self.broken = world, []

    def breach(self, rule, text):
        self.world.log(f"RULE BROKEN {rule}: {text}")
        self.broken.append((rule, text))

    def used(self, team):
        cpus = gpus = 0.0
        for job in self.world.jobs.values():
            if job.spec["crew"] != team:
                continue
            n = sum(len(holders) for holders in job.on.values())
            cpus += n * job.spec["cpus"]
            gpus += n * job.spec["accelerators"]
        return cpus, gpus

    def started(self, job, index, machine):
        ref, spec, now = job.spec["ref"], job.spec, time.monotonic()
        job.starts += 1
        holders = job.on.setdefault(index, {})
        if any(m != machine.name for m in holders):
            self.breach("ran_twice", f"{ref}/{index} starts on {machine.name} while on {sorted(holders)}")
        for other in spec.get("awaits") or []:
            need = self.world.jobs[other]
            if len(need.done) < need.spec["shards"]:
                self.breach("too_early", f"{ref}/{index} starts before {other} is done")
        if spec.get("breeds") is not None and machine.breed not in spec["breeds"]:
            self.breach("wrong_place", f"{ref}/{index} on type {machine.breed}")
        if spec.get("yard") and machine.yard != spec["yard"]:
            self.breach("wrong_place", f"{ref}/{index} in zone {machine.yard}")
        if machine.loaners and not spec["loaners"]:
            self.breach("wrong_place", f"{ref}/{index} on a spot machine")
        zones = [z for i, h in job.on.items() for m, (z, _) in h.items() if (i, m) != (index, machine.name)]
        if spec["oneZone"] and any(z != machine.yard for z in zones):
            self.breach("wrong_place", f"{ref}/{index} in {machine.yard}, others in {sorted(set(zones))}")
        if spec["spread"] and zones.count(machine.yard) + 1 > (spec["shards"] + 1) // 2:
            self.breach("wrong_place", f"{ref}/{index}: more than half of the tasks in {machine.yard}")
        if job.cancelled and now > job.cancelled + self.world.workers["cancel_s"]:
            self.breach("ran_cancelled", f"{ref}/{index} starts {now - job.cancelled:.1f} s after")
        holders[machine.name] = (machine.yard, now)
        team = self.world.teams[spec["crew"]]
        cpus, gpus = self.used(spec["crew"])
        over_cpus = team["cpus_max"] > 0 and cpus > team["cpus_max"] + 1e-6
        over_gpus = team["gpus_max"] > 0 and gpus > team["gpus_max"] + 1e-6
        if over_cpus or over_gpus:
            self.breach("quota", f"{spec['crew']} uses {cpus} cpus, {gpus} gpus")

    def ended(self, job, index, machine):
        job.on.get(index, {}).pop(machine.name, None)
        if not job.on.get(index):
            job.on.pop(index, None)

    def tick(self):
        now = time.monotonic()
        for ref, job in self.world.jobs.items():
            if job.cancelled and job.on and now > job.cancelled + self.world.workers["cancel_s"] + 0.2:
                self.breach("ran_cancelled", f"{ref} is on {job.on} {now - job.cancelled:.1f} s after")
                job.cancelled = now + 1e9

    def told(self, job, phase, sent):
        """A user got this phase as an answer to a request that was sent at `sent`."""
        ref = job.spec["ref"]
        if phase == "done" and len(job.done) < job.spec["shards"]:
            self.breach("not_done", f"{ref} called done with {len(job.done)} of {job.spec['shards']} tasks done")
        if phase == "withdrawn" and not self.cancel_wanted(job):
            self.breach("went_back", f"{ref} called withdrawn, nobody cancelled it")
        if job.phase_told and sent >= job.phase_told[1] and phase != job.phase_told[0]:
            self.breach("went_back", f"{ref} was called {job.phase_told[0]}, now {phase}")
        over_since = min(self.cancelled_before(job), default=None)
        bound = self.world.workers["cancel_s"]
        if phase in ("pending", "running") and over_since and sent > over_since + bound:
            self.breach(
                "orphaned", f"{ref} called {phase} {sent - over_since:.1f} s after a job before it was cancelled"
            )
        if phase in ("done", "withdrawn") and not job.phase_told:
            job.phase_told = (phase, time.monotonic())

    def cancelled_before(self, job):
        """The times at which users were told that jobs before this one are cancelled."""
        times = []
        for ref in job.spec.get("awaits") or []:
            before = self.world.jobs[ref]
            times += [before.cancelled] if before.cancelled else []
            times += self.cancelled_before(before)
        return times

    def cancel_wanted(self, job):
        return job.cancel_asked or any(self.cancel_wanted(self.world.jobs[a]) for a in job.spec.get("awaits") or [])


# ---- machines ----


class Task:
    def __init__(self, job, index, attempt):
        self.job, self.index, self.attempt = job, index, attempt
        self.phase, self.cause, self.saved = "fetching", None, False
        self.until = self.since = time.monotonic()
        self.peer_lost = None


class Machine:
    def __init__(self, world, name, breed, yard, loaners, up_at):
        self.world, self.name, self.breed, self.yard, self.loaners = world, name, breed, yard, loaners
        self.created, self.up_at = time.monotonic(), up_at
        self.died = self.gone = None
        self.tenure, self.tick, self.baton = 1, 0, 0
        self.tasks, self.images = {}, set()
        self.lease_from = up_at
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.recall_at = None
        self.sick = False  # every task that is started ends with an error
        self.hung = self.mute = self.deaf = False
        self.late_commands = (
            None  # called with the orders: seconds until they are carried out without an answer; or None
        )
        self.target = 0

    async def start(self):
        await self.server.start()
        self.world.spawn(self.boot())

    async def boot(self):
        await asyncio.sleep(max(0.0, self.up_at - time.monotonic()))
        self.lease_from = time.monotonic()
        self.world.log(f"machine {self.name} up type={self.breed} zone={self.yard} spot={self.loaners}")
        self.world.spawn(self.beats())

    def alive(self):
        return self.died is None and self.gone is None

    def up(self):
        return self.alive() and time.monotonic() >= self.up_at

    def type(self):
        return self.world.types[self.breed]

    def free(self):
        free = [self.type()["cpus"], self.type()["accelerators"], self.type()["memGb"]]
        for task in self.tasks.values():
            if task.phase != "ended":
                for i, field in enumerate(("cpus", "accelerators", "memGb")):
                    free[i] -= task.job.spec[field]
        return free

    def fits(self, spec):
        return all(spec[f] <= have + 1e-9 for f, have in zip(("cpus", "accelerators", "memGb"), self.free()))

    def drop_all(self):
        for task in self.tasks.values():
            if task.phase not in ("fetching", "ended"):
                self.world.rules.ended(task.job, task.index, self)
        self.tasks.clear()
        self.images.clear()

    def die(self):
        self.world.log(f"machine {self.name} stops with all that is on it")
        self.died = time.monotonic()
        self.drop_all()
        self.world.spawn(self.server.stop())

    def remove(self):
        if self.gone is None:
            self.gone = time.monotonic()
            self.drop_all()
            self.world.spawn(self.server.stop())

    def report(self):
        self.tick += 1
        shards = []
        for task in self.tasks.values():
            row = {"shard": f"{task.job.spec['ref']}/{task.index}", "try": task.attempt, "phase": task.phase}
            if task.phase == "ended":
                row["cause"] = task.cause
                if task.saved:
                    row["saved"] = True
            shards.append(row)
        recall = None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic())
        return {
            "host": self.name,
            "endpoint": f"127.0.0.1:{self.server.port}",
            "breed": self.breed,
            "yard": self.yard,
            "loaners": self.loaners,
            "tenure": self.tenure,
            "tick": self.tick,
            "baton": self.baton,
            "recallS": recall,
            "shards": shards,
        }

    # what controllers send

    async def handle(self, method, target, body):
        while self.hung:
            await asyncio.sleep(0.05)
        if not self.up() or self.deaf:
            return None
        if target == "/inspect":
            return 200, self.report()
        value = json.loads(body)
        if "baton" not in value or "tenure" not in value:
            return 400, {}
        if self.late_commands and value.get("orders"):
            delay = self.late_commands(value["orders"])
            if delay is not None:
                asyncio.get_running_loop().call_later(delay, self.commands, value)
                return None
        return self.commands(value)

    def commands(self, value):
        fits = value["baton"] >= self.baton and value["tenure"] == self.tenure and self.up()
        if value["baton"] > self.baton:
            self.baton = value["baton"]
            self.changed.set()
        if fits:
            self.execute(value.get("orders", []))
        return 200 if fits else 409, self.report()

    def execute(self, orders):
        for order in orders:
            ref, _, index = order["shard"].rpartition("/")
            key = (ref, int(index), order["try"])
            if order["verb"] == "run" and key not in self.tasks:
                self.run(key)
            elif order["verb"] == "stop" and key in self.tasks:
                self.stop(self.tasks[key], order.get("leewayS", 0))
            elif order["verb"] == "reap" and key in self.tasks and self.tasks[key].phase == "ended":
                del self.tasks[key]

    def run(self, key):
        ref, index, attempt = key
        job = self.world.jobs.get(ref)
        self.changed.set()
        if job is None or job.submitted is None or index >= job.spec["shards"]:
            dummy = Job({"ref": ref, "cpus": 0, "accelerators": 0, "memGb": 0, "crew": "", "shape": "sweep"}, 0)
            task = Task(dummy, index, attempt)
            task.phase, task.cause = "ended", "no_such"
            self.tasks[key] = task
            self.world.log(f"{self.name} refuses {ref}/{index} try {attempt}: no_such")
            return
        task = Task(job, index, attempt)
        if any(k[:2] == key[:2] and t.phase != "ended" for k, t in self.tasks.items()):
            task.phase, task.cause = "ended", "busy"
        elif not self.fits(job.spec):
            task.phase, task.cause = "ended", "full"
        else:
            fetch = 0 if job.spec["bundle"] in self.images else job.spec["pullGb"] / self.type()["pullGbPerS"]
            task.until = time.monotonic() + fetch
        self.world.log(f"{self.name} run {ref}/{index} try {attempt} {task.phase} {task.cause or ''}")
        self.tasks[key] = task

    def end(self, task, cause, saved=False):
        on = task.phase not in ("fetching", "ended")
        job, now = task.job, time.monotonic()
        if on:
            self.world.rules.ended(job, task.index, self)
        if task.phase in ("running", "saving") and cause != "done":
            key = 0 if job.spec["shape"] == "ensemble" else task.index
            reached = job.progress.get(key, 0.0) + (now - task.since if task.phase == "running" else 0.0)
            mark = job.spec["markEveryS"]
            if saved:
                job.progress[key] = reached
            elif mark > 0:
                job.progress[key] = max(job.progress.get(key, 0.0), reached // mark * mark)
        task.phase, task.cause, task.saved = "ended", cause, saved
        self.changed.set()
        self.world.log(f"{self.name} ended {job.spec['ref']}/{task.index} try {task.attempt} {cause}")

    def stop(self, task, leeway):
        if task.phase == "ended" or (task.phase == "saving" and leeway > 0):
            return
        spec = task.job.spec
        if task.phase == "running" and spec["markEveryS"] > 0 and leeway >= spec["markCostS"]:
            now = time.monotonic()
            key = 0 if spec["shape"] == "ensemble" else task.index
            task.saved_progress = task.job.progress.get(key, 0.0) + now - task.since
            task.phase, task.until = "saving", now + spec["markCostS"]
            self.changed.set()
        else:
            self.end(task, "stopped")

    def step(self):
        now = time.monotonic()
        if not self.up():
            return
        if now - self.lease_from > self.world.workers["lease_s"]:
            self.world.log(f"{self.name}: lease over, session {self.tenure + 1}, had {[k for k in self.tasks]}")
            self.drop_all()
            self.tenure += 1
            self.lease_from = now
            self.changed.set()
        if self.hung:
            return
        for task in list(self.tasks.values()):
            self.step_task(task, now)

    def step_task(self, task, now):
        job = task.job
        if task.phase == "fetching" and now >= task.until:
            self.images.add(job.spec["bundle"])
            gang = job.spec["shape"] == "ensemble"
            task.phase, task.since = "gathering" if gang else "running", now
            self.world.rules.started(job, task.index, self)
            self.world.log(f"{self.name} starts {job.spec['ref']}/{task.index} try {task.attempt}")
            left = max(0.0, job.run_s - job.progress.get(task.index, 0.0))
            task.until = now + (0 if task.index in job.done else left)
            if job.spec["shape"] == "service":
                task.until = now + 1e9
            self.changed.set()
        elif task.phase in ("running", "gathering") and self.sick and now - task.since > 0.5:
            self.end(task, "error")
        elif task.phase == "running" and job.spec["shape"] != "ensemble" and now >= task.until:
            job.done.add(task.index)
            self.end(task, "done")
        elif task.phase == "saving" and now >= task.until:
            key = 0 if job.spec["shape"] == "ensemble" else task.index
            job.progress[key] = max(job.progress.get(key, 0.0), task.saved_progress)
            self.end(task, "stopped", saved=True)
        elif task.phase == "gathering" and now - task.since > self.world.workers["gang_wait_s"]:
            self.end(task, "alone")
        elif task.phase == "running" and task.peer_lost and now >= task.peer_lost:
            self.end(task, "peers")

    # what it sends

    async def beats(self):
        client, last = HttpClient(), 0.0
        every = self.world.workers["report_s"]
        next_at = time.monotonic() + every * self.world.random.random()
        while self.alive():
            now = time.monotonic()
            due = max(last + 0.5, min(next_at, now) if self.changed.is_set() else next_at)
            if now < due:
                try:
                    await asyncio.wait_for(self.changed.wait(), due - now)
                except asyncio.TimeoutError:
                    pass
                if self.changed.is_set() and time.monotonic() < last + 0.5:
                    await asyncio.sleep(max(0.0, last + 0.5 - time.monotonic()))
                continue
            if self.hung or self.mute:
                await asyncio.sleep(0.05)
                continue
            self.changed.clear()
            last, next_at = now, now + every * (0.75 + 0.5 * self.world.random.random())
            tenure, node = self.tenure, self.world.nodes[self.target % len(self.world.nodes)]
            status, _, body = await client.request(node.port, "POST", "/agent/beat", json.dumps(self.report()), 4)
            while self.hung:
                await asyncio.sleep(0.05)
            if self.deaf or time.monotonic() - now > 4:
                status = 0
            if not self.alive():
                return
            if status == 200:
                token = body.get("baton")
                if tenure == self.tenure and isinstance(token, int) and token >= self.baton:
                    if token > self.baton:
                        self.baton = token
                        self.changed.set()
                    self.lease_from = max(self.lease_from, now)
                    self.execute(body.get("orders", []))
            else:
                client.close()
                names = [n.name for n in self.world.nodes]
                steward = body.get("steward") if status == 421 else None
                if steward in names and names.index(steward) != self.target % len(names):
                    self.target, next_at = names.index(steward), time.monotonic() + 0.1
                else:
                    self.target, next_at = (self.target + 1) % len(names), time.monotonic() + 1
                last = min(last, time.monotonic() - 0.5)


# ---- the cloud ----


class Cloud:
    def __init__(self, world, lag, latency=0.1):
        self.world, self.lag, self.latency = world, lag, latency
        self.machines, self.hires = [], {}
        self.spare = None  # called with (breed, yard, loaners, count): how many of them can be rented now
        self.boot_s = None
        self.down = False
        self.server = HttpServer(self.handle)
        self.rate = Bucket(2 * world.cloud_rps)
        self.rate.rate = world.cloud_rps
        self.rate.level = 2 * world.cloud_rps

    def add(self, breed, yard, loaners, boot_s):
        name = f"i-{len(self.machines) + 1:06d}"
        machine = Machine(self.world, name, breed, yard, loaners, time.monotonic() + boot_s)
        self.machines.append(machine)
        return machine

    async def handle(self, method, target, body):
        await asyncio.sleep(self.latency)
        if self.down:
            return 503, {"error": "trouble"}
        path, _, query = target.partition("?")
        if path == "/flavors":
            return 200, {"breeds": list(self.world.types.values())}
        value = json.loads(body) if body else {}
        if path == "/machines" and method == "POST":
            return await self.hire(value)
        if path == "/machines/release":
            for name in value["hosts"]:
                for machine in self.machines:
                    if machine.name == name:
                        self.world.log(f"cloud: {name} released")
                        machine.remove()
            return 200, {}
        if path == "/machines":
            return 200, self.list(dict(p.partition("=")[::2] for p in query.split("&") if p))
        return 404, {}

    async def hire(self, value):
        if value["hire"] in self.hires:
            return 200, self.hires[value["hire"]]
        count = self.spare(value["breed"], value["yard"], value["loaners"], value["count"]) if self.spare else 0
        count = min(count, value["count"])
        if count == 0:
            self.world.log(f"cloud: hire {value} -> 503 no capacity")
            return 503, {"error": "no capacity"}
        hosts = []
        for _ in range(count):
            boot = self.boot_s() if self.boot_s else self.world.types[value["breed"]]["readyS"]
            machine = self.add(value["breed"], value["yard"], value["loaners"], boot)
            await machine.start()
            hosts.append(machine.name)
        self.world.log(f"cloud: hire {value} -> {hosts}")
        self.hires[value["hire"]] = {"hosts": hosts}
        return 200, self.hires[value["hire"]]

    def list(self, arguments):
        at, after = time.monotonic() - self.lag, arguments.get("after", "")
        most = min(500, int(arguments.get("page", 500)))
        rows = []
        for m in self.machines:
            if m.name <= after or m.created > at or (m.gone is not None and m.gone <= at):
                continue
            failed = m.died is not None and m.died + 30 <= at
            phase = "failed" if failed else "running" if m.up_at <= at else "starting"
            rows.append(
                {
                    "ref": m.name,
                    "endpoint": f"127.0.0.1:{m.server.port}",
                    "breed": m.breed,
                    "yard": m.yard,
                    "loaners": m.loaners,
                    "phase": phase,
                    "ageS": at - m.created,
                }
            )
        return {"hosts": rows[:most], "more": len(rows) > most}


# ---- controllers ----


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as f:
        run = re.search(r'^run = "([^"]*)"', f.read(), re.MULTILINE)
    return shlex.split(run[1])


def die_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Node:
    def __init__(self, world, name, zone, port, cluster_port):
        self.world, self.name, self.zone, self.port, self.cluster_port = world, name, zone, port, cluster_port
        self.child = self.settings = None

    def start(self):
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        command = deploy_command() + [self.settings]
        self.child = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=env, preexec_fn=die_with_parent
        )
        log.close()
        self.world.log(f"controller {self.name} started")

    def signal(self, number):
        self.world.log(f"controller {self.name}: signal {number}")
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            self.world.log(f"controller {self.name} killed")
            self.child.kill()
            self.child.wait()

    def running(self):
        return self.child is not None and self.child.poll() is None


class World:
    def __init__(self, record, types, teams, zones, **options):
        """`record`: the open record; `types`: breeds as /flavors gives them; `teams`: rows of the settings."""
        import random

        self.folder = tempfile.mkdtemp(prefix="martenwall-review-")
        self.record = record
        self.began = time.monotonic()
        self.random = random.Random(options.get("seed", 1))
        self.types = {t["sku"]: t for t in types}
        self.teams = {t["name"]: t for t in teams}
        self.zones = zones
        self.node_zones = options.get("node_zones") or [zones[i % len(zones)] for i in range(options.get("nodes", 3))]
        self.workers = dict(report_s=3.0, lease_s=19.0, gang_wait_s=50.0, gang_peer_s=4.0, cancel_s=39.0)
        self.workers.update(options.get("workers", {}))
        self.state = dict(rps=150.0, write_rps=60.0, value_kb=32.0, txn_ops=48)
        self.state.update(options.get("state", {}))
        self.cloud_rps, self.objectives = options.get("cloud_rps", 2.0), options.get("objectives", [])
        self.jobs, self.coroutines = {}, set()
        self.rules = Rules(self)
        self.store = Store(self, self.state)
        self.cloud = Cloud(self, options.get("list_lag_s", 3.0))
        self.nodes = []
        self.expected_dead = set()

    def log(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.coroutines.add(task)
        task.add_done_callback(self.finished)

    def finished(self, task):
        self.coroutines.discard(task)
        if not task.cancelled() and task.exception():
            self.log(f"stand-in failed: {task.exception()!r}")
            print(f"stand-in failed: {task.exception()!r}", file=sys.stderr)
            self.expected_dead.add("stand-in")

    async def start(self):
        await self.cloud.server.start()
        names = [f"stall-{i}" for i in range(len(self.node_zones))]
        await self.store.start(names)
        for machine in self.cloud.machines:
            await machine.start()
        ports = free_ports(2 * len(names))
        for i, name in enumerate(names):
            self.nodes.append(Node(self, name, self.node_zones[i], ports[2 * i], ports[2 * i + 1]))
        for node in self.nodes:
            node.settings = os.path.join(self.folder, node.name + ".json")
            with open(node.settings, "w", encoding="utf-8") as f:
                json.dump(self.settings(node), f, indent=1)
        for node in self.nodes:
            node.start()
        self.spawn(self.ticks())

    def peer_endpoint(self, node, other):
        return f"127.0.0.1:{other.cluster_port}"

    def settings(self, node):
        others = [o for o in self.nodes if o is not node]
        return {
            "member": node.name,
            "domain": node.zone,
            "bind": f"127.0.0.1:{node.port}",
            "cluster_listen": f"127.0.0.1:{node.cluster_port}",
            "others": [{"member": o.name, "domain": o.zone, "endpoint": self.peer_endpoint(node, o)} for o in others],
            "external": {
                "cloud": f"127.0.0.1:{self.cloud.server.port}",
                "state": f"127.0.0.1:{self.store.servers[node.name].port}",
            },
            "facts": {
                "nodes": len(self.nodes),
                "zones": self.zones,
                "teams": list(self.teams.values()),
                "objectives": self.objectives,
                "workers": self.workers,
                "state": self.state,
                "cloud": {"rps": self.cloud_rps, "list_lag_s": self.cloud.lag},
                "resources": {"cpu_share": 0.12, "mem_mb": 104.0, "max_connections": 1200},
                "clock_off_ms": 5.0,
            },
        }

    async def ticks(self):
        while True:
            await asyncio.sleep(0.05)
            for machine in self.cloud.machines:
                if machine.gone is None:
                    machine.step()
            self.step_gangs()
            self.rules.tick()

    def step_gangs(self):
        now, gangs = time.monotonic(), collections.defaultdict(list)
        for machine in self.cloud.machines:
            if not machine.up() or machine.hung:
                continue
            for task in machine.tasks.values():
                if task.job.spec["shape"] == "ensemble" and task.phase in ("gathering", "running"):
                    gangs[(task.job.spec["ref"], task.attempt)].append((machine, task))
        for (ref, _), members in gangs.items():
            job = self.jobs[ref]
            size = job.spec["shards"]
            gathering = [m for m in members if m[1].phase == "gathering"]
            running = [m for m in members if m[1].phase == "running"]
            if len(gathering) == size:
                left = max(0.0, job.run_s - job.progress.get(0, 0.0))
                for machine, task in gathering:
                    task.phase, task.since, task.until = "running", now, now + left
                    machine.changed.set()
                self.log(f"gang {ref} runs on {[m.name for m, _ in gathering]}")
            elif len(running) == size and now >= running[0][1].until:
                job.done.update(range(size))
                for machine, task in running:
                    machine.end(task, "done")
            elif running and len(running) < size:
                for _, task in running:
                    task.peer_lost = task.peer_lost or now + self.workers["gang_peer_s"]

    # ---- users ----

    def leader(self):
        row = self.store.rows.get("lead")
        names = [n.name for n in self.nodes]
        return self.nodes[names.index(row[0]["node"])] if row and row[0].get("node") in names else None

    async def ready(self, timeout=25, machines=True):
        """Waits until all controllers are healthy and lead a fleet that reports."""
        until = time.monotonic() + timeout
        client = HttpClient()
        while time.monotonic() < until:
            states = [await client.request(n.port, "GET", "/up", "", 1) for n in self.nodes]
            up = [m for m in self.cloud.machines if m.up()]
            if all(s[0] == 200 for s in states) and self.leader() and all(m.baton > 0 for m in up) or not machines:
                client.close()
                self.log("all controllers are healthy")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the controllers did not become ready")

    def add_job(self, spec, run_s):
        job = Job(spec, run_s)
        self.jobs[spec["ref"]] = job
        return job

    async def call(self, node, method, path, body="", timeout=5.0):
        client = HttpClient()
        sent = time.monotonic()
        status, headers, value = await client.request(node.port, method, path, body, timeout)
        client.close()
        self.log(f"user {method} {path} at {node.name} {body}: {status} {json.dumps(value)}")
        return status, headers, value, sent

    async def insist(self, nodes, method, path, body=""):
        """Repeats a submission or a cancellation as PROTOCOL says. Returns (status, object) or None after 60 s."""
        until, i = time.monotonic() + 60, 0
        while time.monotonic() < until:
            node = nodes[i % len(nodes)]
            i += 1
            status, headers, value, sent = await self.call(node, method, path, body)
            if status in (200, 201, 400, 404, 422):
                return status, value, sent
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", 1)))))
        return None

    async def submit(self, spec, run_s, nodes=None):
        job = self.jobs.get(spec["ref"]) or self.add_job(spec, run_s)
        job.submitted = job.submitted or time.monotonic()
        answer = await self.insist(nodes or self.nodes, "POST", "/api/jobs", json.dumps(spec))
        if answer and answer[0] in (200, 201):
            job.accepted = job.accepted or time.monotonic()
            self.rules.told(job, answer[1].get("phase"), answer[2])
        elif answer and job.accepted:
            self.rules.breach("forgotten", f"{spec['ref']}: a repeated submission got {answer[0]}")
        return answer

    async def cancel(self, ref, nodes=None):
        job = self.jobs[ref]
        job.cancel_asked = time.monotonic()
        answer = await self.insist(nodes or self.nodes, "POST", f"/api/jobs/{ref}/cancel")
        if answer and answer[0] == 200:
            self.rules.told(job, answer[1].get("phase"), answer[2])
            if answer[1].get("phase") == "withdrawn":
                job.cancelled = job.cancelled or time.monotonic()
        elif answer and answer[0] == 404 and job.accepted:
            self.rules.breach("forgotten", f"{ref}: cancel got 404")
        return answer

    async def poll(self, ref, node=None):
        node = node or self.random.choice(self.nodes)
        job = self.jobs.get(ref)
        accepted = job and job.accepted
        status, _, value, sent = await self.call(node, "GET", f"/api/jobs/{ref}", timeout=2.0)
        if status == 404 and accepted and accepted <= sent:
            self.rules.breach("forgotten", f"{ref}: a poll got 404")
        if status == 200 and job is None:
            self.rules.breach("invented", f"{ref}: nobody submitted it")
        elif status == 200:
            self.rules.told(job, value.get("phase"), sent)
        return status, value

    async def poll_until(self, ref, phases, timeout, every=2.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            status, value = await self.poll(ref)
            if status == 200 and value.get("phase") in phases:
                return value["phase"]
            await asyncio.sleep(every)
        return None

    async def take_back(self, machine, notice_s):
        """The cloud takes a spot machine back, after a notice."""
        self.log(f"cloud: {machine.name} is taken back in {notice_s} s")
        machine.recall_at = time.monotonic() + notice_s
        machine.changed.set()
        await asyncio.sleep(notice_s)
        if machine.gone is None:
            self.log(f"cloud: {machine.name} is taken")
            machine.remove()

    # ---- left waiting ----

    def could_start(self, job):
        """Whether a waiting task of the job (all tasks of a gang) has room on machines that fit, and the team's limit
        leaves room for it."""
        spec = job.spec
        placed = {t.index for m in self.cloud.machines if m.alive() for t in m.tasks.values() if t.job is job}
        placed = {i for i in placed if any(self.holds(m, job, i) for m in self.cloud.machines)}
        waiting = spec["shards"] - len(job.done | placed)
        if waiting == 0 or job.cancel_asked or not job.accepted:
            return False
        if any(len(self.jobs[a].done) < self.jobs[a].spec["shards"] for a in spec.get("awaits") or []):
            return False
        need = 1 if spec["shape"] == "sweep" else spec["shards"]
        cpus, gpus = self.rules.used(spec["crew"])
        team = self.teams[spec["crew"]]
        for limit, used, each in (
            (team["cpus_max"], cpus, spec["cpus"]),
            (team["gpus_max"], gpus, spec["accelerators"]),
        ):
            if limit > 0 and used + need * each > limit + 1e-6:
                return False
        room = 0
        for m in self.cloud.machines:
            if not m.up() or m.sick or m.hung or m.mute or m.deaf or m.recall_at or (m.loaners and not spec["loaners"]):
                continue
            if (spec["breeds"] is not None and m.breed not in spec["breeds"]) or (spec["yard"] not in (None, m.yard)):
                continue
            each = [(f, have) for f, have in zip(("cpus", "accelerators", "memGb"), m.free()) if spec[f] > 0]
            room += int(min([(have + 1e-9) // spec[f] for f, have in each] or [1]))
        return room >= need

    def holds(self, machine, job, index):
        return machine.alive() and any(
            t.job is job and t.index == index and t.phase != "ended" for t in machine.tasks.values()
        )

    async def left_waiting(self, refs, until):
        """Watches the jobs until the given moment. Returns what was seen if one of them could start for 90 s without a
        break and no task of it did. The cases call this once the troubles are over."""
        since, starts = {}, {}
        while time.monotonic() < until:
            now = time.monotonic()
            for ref in refs:
                if not self.could_start(self.jobs[ref]) or starts.get(ref) != self.jobs[ref].starts:
                    since.pop(ref, None)
                    starts[ref] = self.jobs[ref].starts
                elif now - since.setdefault(ref, now) > 90:
                    room = [(m.name, m.free()) for m in self.cloud.machines if m.up()]
                    return f"left waiting: {ref} for {now - since[ref]:.1f} s while there is room {room}"
            await asyncio.sleep(0.2)
        return None

    # ---- the end ----

    async def end(self):
        for node in self.nodes:
            if node.child and node.child.poll() is None:
                node.child.kill()
                node.child.wait()
            elif node.child and node.name not in self.expected_dead:
                self.log(f"controller {node.name} had ended by itself with {node.child.returncode}")
                self.rules.broken.append(("ended", f"{node.name} ended by itself: {node.child.returncode}"))
        for task in list(self.coroutines):
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        for name in sorted(os.listdir(self.folder)):
            path = os.path.join(self.folder, name)
            if keep:
                os.makedirs(keep, exist_ok=True)
                os.replace(path, os.path.join(keep, name))
            else:
                os.remove(path)
        os.rmdir(self.folder)


def job_spec(number, crew, shape="sweep", **fields):
    spec = {
        "ref": f"job-{number:06d}",
        "lane": "batch",
        "crew": crew,
        "shape": shape,
        "rank": "normal",
        "shards": 1,
        "cpus": 1.0,
        "accelerators": 0.0,
        "memGb": 2.0,
        "bundle": "img-01",
        "pullGb": 0.2,
        "breeds": None,
        "yard": None,
        "oneZone": False,
        "spread": False,
        "loaners": False,
        "guessS": 10.0,
        "markEveryS": 0.0,
        "markCostS": 0.0,
        "dueS": None,
    }
    spec.update(fields)
    return spec


def main(record_path, build, play):
    """Runs a case: build(record) makes its World, play(world, trouble) returns None, or what broke the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(record):
        world = build(record)
        world.log(f"trouble={trouble}")
        outcome = CANNOT_RUN
        try:
            await world.start()
            seen = await asyncio.wait_for(play(world, trouble), LIMIT_S - 3)
            if "stand-in" not in world.expected_dead:
                outcome = BROKEN if seen or world.rules.broken else HELD
            world.log(f"seen: {seen or world.rules.broken or 'the rule held'}")
            print(seen or world.rules.broken or "the rule held")
        except (RuntimeError, asyncio.TimeoutError, OSError) as e:
            world.log(f"could not run: {e!r}")
            print(f"could not run: {e!r}", file=sys.stderr)
        finally:
            await world.end()
            world.log(f"exit code {outcome}")
        return outcome

    with open(record_path, "w", buffering=1, encoding="utf-8") as record:
        if not os.path.exists(os.path.join(ROOT, deploy_command()[0])):
            record.write("could not run: the deploy file's build is missing\n")
            print("the deploy file's build is missing", file=sys.stderr)
            sys.exit(CANNOT_RUN)
        sys.exit(asyncio.run(run(record)))
