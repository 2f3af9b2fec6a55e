"""Stand-ins for the review's cases: state service, cloud, workers and an HTTP client, after the protocol page.

All servers of one case run in one process, on loopback addresses and free ports. Each controller node gets a port of
its own at the state service, so that a case can treat the nodes differently there.
"""

import asyncio
import collections
import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
PR_SET_PDEATHSIG = 1
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Record:
    """Writes what was sent, answered and run, with seconds since the case began, to the file."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


# ---- HTTP ----


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return line.decode().strip(), headers, body


async def serve(handler):
    """Serves on a free port; returns (port, server). `handler(method, target, body)` gives (status, object), or None
    to close the connection without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await handler(method, target, message[2])
                if answer is None:
                    break
                status, value = answer
                body = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, HOST, 0, backlog=512)
    return server.sockets[0].getsockname()[1], server


class Client:
    """One connection to one address, opened again only when it has failed."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def exchange(self, method, target, data):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}:{self.port}\r\nContent-Type: application/json\r\n"
        self.writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionError("closed")
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return int(message[0].split()[1]), message[1], message[2]

    async def request(self, method, target, value=None, timeout=5.0):
        """Returns (status, object, headers); status 0 without an answer in time."""
        data = b"" if value is None else json.dumps(value).encode()
        try:
            status, headers, body = await asyncio.wait_for(self.exchange(method, target, data), timeout)
        except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, None, {}
        try:
            return status, json.loads(body) if body else None, headers
        except ValueError:
            return status, None, headers


# ---- state service ----


class Bucket:
    def __init__(self, rate):
        self.rate = self.level = rate
        self.at = time.monotonic()

    def take(self, amount):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class Store:
    """The state service. `list_latency_s` is the time of a request for a range of keys, `latency_s` of any other."""

    def __init__(self, record, rps=150.0, write_rps=60.0, value_kb=32.0, txn_ops=48, latency_s=0.004):
        self.record = record
        self.rps, self.write_rps = Bucket(rps), Bucket(write_rps)
        self.limits = {"rps": rps, "write_rps": write_rps, "value_kb": value_kb, "txn_ops": txn_ops}
        self.latency_s = self.list_latency_s = latency_s
        self.rows, self.leases = {}, {}
        self.history = collections.deque()
        self.revision, self.next_lease, self.compacted = 0, 1, 0
        self.changed = asyncio.Event()
        self.refused_nodes = set()
        self.down = False
        self.intercept = None  # coroutine function (node, method, target, object) that may give an answer

    async def start(self):
        asyncio.create_task(self.expire())

    async def listen(self, node):
        port, _ = await serve(lambda method, target, body: self.handle(node, method, target, body))
        return port

    def refuses(self, node):
        return self.down or node in self.refused_nodes

    def end_outage(self):
        """All leases have their full time again after an outage."""
        self.down = False
        for lease in self.leases.values():
            lease["until"] = time.monotonic() + lease["ttl"]

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            for lease_id in [i for i, lease in self.leases.items() if lease["until"] <= time.monotonic()]:
                self.end_lease(lease_id)

    def end_lease(self, lease_id):
        self.leases.pop(lease_id, None)
        keys = [key for key, row in self.rows.items() if row["tether"] == lease_id]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            del self.rows[key]
            self.add_change({"remove": key, "stamp": self.revision})
        self.wake()

    def add_change(self, event):
        self.history.append(event)
        while len(self.history) > 10000:
            self.compacted = self.history.popleft()["stamp"]

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, key):
        row = self.rows.get(key)
        return None if row is None else row["data"]

    async def handle(self, node, method, target, body):
        if not self.rps.take(1):
            return 429, {"error": "too many requests"}
        value = json.loads(body) if body else None
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        is_list = parts.path == "/store"
        if self.intercept is not None:
            answer = await self.intercept(node, method, target, value)
            if answer is not None:
                return answer
        if parts.path == "/watch":
            return await self.watch(node, query)
        if self.refuses(node):
            return 503, {"error": "unavailable"}
        if is_list:
            answer = self.page(query)
        elif parts.path.startswith("/store/"):
            answer = self.get(parts.path[len("/store/") :])
        elif parts.path == "/multi":
            answer = self.multi(value)
        else:
            answer = self.lease(method, parts.path, value)
        await asyncio.sleep(self.list_latency_s if is_list else self.latency_s)
        return answer

    def get(self, key):
        row = self.rows.get(key)
        if row is None:
            return 404, {"epoch": self.revision}
        return 200, {"path": key, "data": row["data"], "stamp": row["stamp"], "tether": row["tether"]}

    def page(self, query):
        prefix, after, limit = query.get("prefix", ""), query.get("after", ""), int(query.get("page", "1000"))
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        rows, size = [], 0
        for key in keys[: min(limit, 1000)]:
            row = {"path": key, "data": self.rows[key]["data"], "stamp": self.rows[key]["stamp"]}
            size += len(json.dumps(row))
            if rows and size > 512 * 1024:
                break
            rows.append(row)
        return 200, {"rows": rows, "more": len(rows) < len(keys), "epoch": self.revision}

    def multi(self, txn):
        when, then = txn.get("when", []), txn.get("then", [])
        if len(then) > self.limits["txn_ops"] or len(when) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        if len(json.dumps(txn)) > 64 * 1024:
            return 400, {"error": "transaction too large"}
        if any(len(json.dumps(op["data"])) > self.limits["value_kb"] * 1024 for op in then if "set" in op):
            return 400, {"error": "value too large"}
        if then and not self.write_rps.take(len(then)):
            return 429, {"error": "too many changes"}
        if any(op.get("tether") is not None and op["tether"] not in self.leases for op in then):
            return 400, {"error": "no such lease"}
        failed = [c["path"] for c in when if self.rows.get(c["path"], {"stamp": 0})["stamp"] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.revision}
        if then:
            self.revision += 1
            for op in then:
                if "set" in op:
                    self.rows[op["set"]] = {"data": op["data"], "stamp": self.revision, "tether": op.get("tether")}
                    self.add_change({"set": op["set"], "data": op["data"], "stamp": self.revision})
                elif self.rows.pop(op["remove"], None) is not None:
                    self.add_change({"remove": op["remove"], "stamp": self.revision})
            self.wake()
        return 200, {"epoch": self.revision}

    def lease(self, method, path, value):
        if method == "POST" and path == "/leases":
            lease_id = self.next_lease
            self.next_lease += 1
            ttl = value["ttlMs"] / 1000
            self.leases[lease_id] = {"ttl": ttl, "until": time.monotonic() + ttl}
            return 200, {"tether": lease_id}
        lease_id = int(path.split("/")[2])
        if lease_id not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease_id)
        else:
            self.leases[lease_id]["until"] = time.monotonic() + self.leases[lease_id]["ttl"]
        return 200, {"tether": lease_id}

    async def watch(self, node, query):
        """An open watch waits as long as the node is refused or the service is down."""
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("holdMs", "0")) / 1000
        if self.refuses(node):
            return 503, {"error": "unavailable"}
        while True:
            if not self.refuses(node):
                if after < self.compacted:
                    return 410, {}
                events = [
                    e for e in self.history if e["stamp"] > after and e.get("set", e.get("remove")).startswith(prefix)
                ]
                if events or time.monotonic() >= until:
                    return 200, {"epoch": self.revision, "events": events}
            try:
                await asyncio.wait_for(self.changed.wait(), min(0.1, max(0.01, until - time.monotonic())))
            except asyncio.TimeoutError:
                pass


# ---- workers ----


class Worker:
    """A machine with its agent. `context` is the Platform."""

    def __init__(self, context, name, breed, zone, spot=False):
        self.context, self.name, self.breed, self.zone, self.spot = context, name, breed, zone, spot
        self.tenure, self.tick, self.token = 1, 0, 0
        self.tasks = {}  # (shard, try) -> dict
        self.images = set()
        self.wake = asyncio.Event()
        self.node = random.randrange(len(context.nodes))
        self.renewed = time.monotonic()
        self.results = context.results
        self.gone = False
        self.clients = {}

    async def start(self):
        self.port, self.server = await serve(self.handle)
        asyncio.create_task(self.report_loop())
        asyncio.create_task(self.run_loop())

    def changed(self):
        self.wake.set()

    def report(self):
        self.tick += 1
        shards = []
        for (shard, attempt), task in self.tasks.items():
            entry = {"shard": shard, "try": attempt, "phase": task["phase"]}
            if task["phase"] == "ended":
                entry["cause"] = task["cause"]
                if task.get("saved"):
                    entry["saved"] = True
            shards.append(entry)
        return {
            "host": self.name,
            "endpoint": f"{HOST}:{self.port}",
            "breed": self.breed,
            "yard": self.zone,
            "loaners": self.spot,
            "tenure": self.tenure,
            "tick": self.tick,
            "baton": self.token,
            "recallS": None,
            "shards": shards,
        }

    def expire(self):
        """Ends the session when the last answered report was sent more than lease_s ago."""
        if time.monotonic() - self.renewed <= self.context.timings["lease_s"]:
            return
        self.context.record.write(f"worker {self.name} lease over, session {self.tenure} ends")
        for key, task in self.tasks.items():
            if task["phase"] in ("gathering", "running", "saving"):
                self.context.off(self, key, "lease over")
        self.tasks.clear()
        self.tenure += 1
        self.renewed = time.monotonic()
        self.changed()

    async def report_loop(self):
        next_at = time.monotonic() + random.random()
        last = 0.0
        while not self.gone:
            self.expire()
            wait = next_at - time.monotonic()
            if self.wake.is_set():
                wait = min(wait, last + 0.5 - time.monotonic())
            if wait > 0:
                try:
                    await asyncio.wait_for(self.wake.wait(), min(wait, 0.25))
                    await asyncio.sleep(max(0.0, min(wait, last + 0.5 - time.monotonic())))
                except asyncio.TimeoutError:
                    continue
            self.wake.clear()
            self.expire()
            last = time.monotonic()
            report_s = self.context.timings["report_s"]
            next_at = last + report_s * (0.75 + 0.5 * random.random())
            await self.send_report(last)

    async def send_report(self, sent):
        tenure = self.tenure
        node = self.context.nodes[self.node]
        client = self.clients.setdefault(self.node, Client(node.port))
        status, answer, _ = await client.request("POST", "/agent/beat", self.report(), 4.0)
        if self.gone:
            return
        if status == 200:
            self.apply(answer, tenure, sent)
            return
        client.close()
        names = [n.name for n in self.context.nodes]
        steward = (answer or {}).get("steward") if status == 421 else None
        if steward in names and names.index(steward) != self.node:
            self.node = names.index(steward)
            self.changed()
            return
        self.node = (self.node + 1) % len(names)
        await asyncio.sleep(1.0)
        self.changed()

    def apply(self, answer, tenure, sent):
        token = (answer or {}).get("baton")
        if tenure != self.tenure or token is None or token < self.token:
            return
        if token > self.token:
            self.token = token
        self.renewed = max(self.renewed, sent)
        for order in answer.get("orders", []):
            self.execute(order)

    async def handle(self, method, target, body):
        if self.gone:
            return None
        if target == "/inspect":
            return 200, self.report()
        command = json.loads(body)
        if command.get("baton") is None or command.get("tenure") is None:
            return 400, {}
        self.expire()
        if command["baton"] < self.token or command["tenure"] != self.tenure:
            return 409, self.report()
        self.token = command["baton"]
        for order in command.get("orders", []):
            self.execute(order)
        return 200, self.report()

    def execute(self, order):
        key = (order["shard"], order["try"])
        task = self.tasks.get(key)
        if order["verb"] == "run":
            if task is None:
                self.begin(key)
        elif order["verb"] == "stop" and task is not None and task["phase"] != "ended":
            job = self.context.jobs.get(key[0].rsplit("/", 1)[0])
            saves = job and job["markEveryS"] > 0 and task["phase"] == "running"
            if saves and order.get("leewayS", 0) >= job["markCostS"]:
                task["phase"], task["until"] = "saving", time.monotonic() + job["markCostS"]
            elif task["phase"] != "saving" or order.get("leewayS", 0) == 0:
                self.end(key, "stopped")
        elif order["verb"] == "reap" and task is not None and task["phase"] == "ended":
            del self.tasks[key]
        self.changed()

    def begin(self, key):
        job = self.context.jobs.get(key[0].rsplit("/", 1)[0])
        task = {"phase": "fetching", "until": 0.0}
        self.tasks[key] = task
        if job is None:
            self.end(key, "no_such")
            return
        if any(k[0] == key[0] and k != key and t["phase"] != "ended" for k, t in self.tasks.items()):
            self.end(key, "busy")
            return
        cached = job["bundle"] in self.images
        task["until"] = time.monotonic() + (0.0 if cached else job["pullGb"] / 0.6)
        self.advance()

    def end(self, key, cause):
        task = self.tasks[key]
        if task["phase"] in ("running", "saving"):
            self.context.off(self, key, cause)
        task["phase"], task["cause"] = "ended", cause
        if cause == "stopped" and task.get("was_saving"):
            task["saved"] = True
        self.changed()

    def advance(self):
        now = time.monotonic()
        for key, task in list(self.tasks.items()):
            job = self.context.jobs.get(key[0].rsplit("/", 1)[0])
            if task["phase"] == "fetching" and now >= task["until"]:
                self.images.add(job["bundle"])
                task["phase"] = "running"
                done = key[0] in self.results
                task["until"] = now + (0.0 if done else self.context.run_s(job))
                self.context.on(self, key)
                self.changed()
                if done:
                    self.end(key, "done")
            elif task["phase"] == "running" and job["shape"] != "service" and now >= task["until"]:
                self.results.add(key[0])
                self.end(key, "done")
            elif task["phase"] == "saving" and now >= task["until"]:
                task["was_saving"] = True
                self.end(key, "stopped")

    async def run_loop(self):
        while not self.gone:
            self.expire()
            self.advance()
            await asyncio.sleep(0.05)


# ---- the platform: controllers, cloud and the record of what ran ----


class Node:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.process = None


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections, so that they are free for a restart too."""
    ports = set()
    while len(ports) < count:
        port = random.randrange(11000, 30000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.add(port)
    return list(ports)


def end_with_parent():
    """In a new controller: it ends when this process ends in whatever way."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Platform:
    """Three controllers with the commands of the deploy file, and all that they meet. The settings are those
    of the site atri-lombardia-next, with fewer machines."""

    ZONES = ["milano-nord", "brescia-est", "trento-valle"]

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.timings = {"report_s": 3.0, "lease_s": 19.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": 39.0}
        self.teams = [
            {"name": "stradario", "cpus": 0.0, "cpus_max": 0.0, "gpus": 800.0, "gpus_max": 2000.0},
            {"name": "catasto-civici", "cpus": 0.0, "cpus_max": 0.0, "gpus": 1200.0, "gpus_max": 4000.0},
            {"name": "servizi-emergenza", "cpus": 0.0, "cpus_max": 0.0, "gpus": 700.0, "gpus_max": 2500.0},
        ]
        self.store = Store(self.record)
        self.nodes = [Node(f"stall-{i}", zone) for i, zone in enumerate(self.ZONES)]
        self.peer_route = lambda source, target: target.peer_port  # the port at which `source` reaches `target`
        self.workers, self.jobs, self.results = {}, {}, set()
        self.present = {}  # shard -> {(worker, try)}
        self.violations = []
        self.run_s = lambda job: 400.0
        self.logs = tempfile.TemporaryDirectory(prefix="review-")
        self.on_start = lambda worker, key: None
        self.next_limits = None  # `state.next` of the settings

    # -- what runs where --

    def on(self, worker, key):
        shard, attempt = key
        here = self.present.setdefault(shard, set())
        if any(w != worker.name for w, _ in here):
            self.violations.append(f"ran_twice: {shard} starts on {worker.name} while on {sorted(here)}")
            self.record.write(f"VIOLATION {self.violations[-1]}")
        here.add((worker.name, attempt))
        self.record.write(f"worker {worker.name} on machine: {shard} try {attempt}")
        self.on_start(worker, key)

    def off(self, worker, key, why):
        self.present.get(key[0], set()).discard((worker.name, key[1]))
        self.record.write(f"worker {worker.name} off machine: {key[0]} try {key[1]} ({why})")

    # -- processes --

    async def start(self, machines):
        await self.store.start()
        self.cloud_port, _ = await serve(self.cloud)
        ports = free_ports(2 * len(self.nodes))
        for i, node in enumerate(self.nodes):
            node.port, node.peer_port = ports[2 * i], ports[2 * i + 1]
            node.store_port = await self.store.listen(node.name)
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as f:
            run = next(line for line in f if line.startswith("run")).split("=", 1)[1].strip().strip('"').split()
        for node in self.nodes:
            node.settings = os.path.join(self.logs.name, f"{node.name}.json")
            with open(node.settings, "w", encoding="utf-8") as f:
                json.dump(self.settings(node), f)
            node.command = [*run, node.settings]
            self.start_node(node)
        for i in range(machines):
            await self.add_worker(self.ZONES[i % len(self.ZONES)])

    def settings(self, node):
        return {
            "member": node.name,
            "domain": node.zone,
            "bind": f"{HOST}:{node.port}",
            "cluster_listen": f"{HOST}:{node.peer_port}",
            "others": [
                {"member": n.name, "domain": n.zone, "endpoint": f"{HOST}:{self.peer_route(node, n)}"}
                for n in self.nodes
                if n is not node
            ],
            "external": {"cloud": f"{HOST}:{self.cloud_port}", "state": f"{HOST}:{node.store_port}"},
            "facts": {
                "nodes": len(self.nodes),
                "zones": self.ZONES,
                "teams": self.teams,
                "objectives": [{"kind": "guarantee", "within_s": 10.0, "share": 0.85}],
                "workers": self.timings,
                "state": {**self.store.limits, **({"next": self.next_limits} if self.next_limits else {})},
                "cloud": {"rps": 2.0, "list_lag_s": 3.0},
                "resources": {"cpu_share": 0.12, "mem_mb": 104.0, "max_connections": 1200},
                "clock_off_ms": 5.0,
            },
        }

    def start_node(self, node):
        log = open(os.path.join(self.logs.name, f"{node.name}.log"), "a", encoding="utf-8")
        env = {**os.environ, "LOG_LEVEL": "debug" if os.environ.get("REVIEW_DEBUG") else "info"}
        node.process = subprocess.Popen(
            node.command, cwd=ROOT, stdout=log, stderr=log, env=env, preexec_fn=end_with_parent
        )
        log.close()
        self.record.write(f"node {node.name} started, process {node.process.pid}")

    def signal(self, node, number):
        self.record.write(f"node {node.name} gets {signal.Signals(number).name}")
        node.process.send_signal(number)
        if number == signal.SIGKILL:
            node.process.wait()

    def leader(self):
        row = self.store.value("lead")
        return next((n for n in self.nodes if row and n.name == row["node"]), None)

    async def wait_for(self, what, condition, timeout):
        """Waits for a condition; a case that cannot be set up ends with exit code 2."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {timeout} s: {what}")

    async def ready(self):
        """Waits until a node leads, all nodes are healthy and jobs that await others are taken."""

        async def healthy():
            for node in self.nodes:
                if (await Client(node.port).request("GET", "/up", timeout=1.0))[0] != 200:
                    return False
            return self.leader() is not None and self.store.value("level") is not None

        await self.wait_for("the controllers serve", healthy, 20)
        await asyncio.sleep(1.0)

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGKILL)
                node.process.wait()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.logs.name + "/.", keep], check=False)
        self.record.close()
        self.logs.cleanup()

    # -- machines --

    async def add_worker(self, zone, spot=False):
        worker = Worker(self, f"i-{len(self.workers) + 1:06d}", "alpe48", zone, spot)
        self.workers[worker.name] = worker
        await worker.start()
        worker.since = time.monotonic()
        return worker

    async def cloud(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        if parts.path == "/flavors":
            breed = {
                "sku": "alpe48",
                "cpus": 48,
                "accelerators": 4,
                "memGb": 288,
                "cacheGb": 80,
                "pullGbPerS": 0.6,
                "hourly": 10.1,
                "spotPrice": 2.92,
                "readyS": 45,
                "yards": self.ZONES,
            }
            return 200, {"breeds": [breed]}
        if parts.path == "/machines/release":
            for name in json.loads(body)["hosts"]:
                worker = self.workers.get(name)
                if worker is not None and not worker.gone:
                    worker.gone = True
                    worker.server.close()
                    for key, task in worker.tasks.items():
                        if task["phase"] in ("running", "saving"):
                            self.off(worker, key, "machine released")
                    self.record.write(f"cloud: {name} released")
            return 200, {}
        if method == "POST":
            return 503, {"error": "no capacity"}
        after = dict(urllib.parse.parse_qsl(parts.query)).get("after", "")
        hosts = [
            {
                "ref": w.name,
                "endpoint": f"{HOST}:{w.port}",
                "breed": w.breed,
                "yard": w.zone,
                "loaners": w.spot,
                "phase": "running",
                "ageS": round(time.monotonic() - w.since + 60, 1),
            }
            for name, w in sorted(self.workers.items())
            if name > after and not w.gone
        ]
        return 200, {"hosts": hosts, "more": False}

    # -- users --

    def job(self, ref, **fields):
        job = {
            "ref": ref,
            "lane": "toponimi-embed",
            "crew": "stradario",
            "shape": "sweep",
            "rank": "normal",
            "shards": 1,
            "cpus": 10.0,
            "accelerators": 1.0,
            "memGb": 54.0,
            "bundle": "img-01",
            "pullGb": 0.6,
            "breeds": ["alpe48"],
            "yard": None,
            "oneZone": False,
            "spread": False,
            "loaners": False,
            "guessS": 80.0,
            "markEveryS": 0.0,
            "markCostS": 0.0,
            "dueS": None,
            **fields,
        }
        self.jobs[ref] = job
        return job

    async def submit(self, client, job, who="user"):
        """Submits as a user does: repeated after 1 s or Retry-After, for up to 60 s. Returns the last status."""
        until = time.monotonic() + 60
        while True:
            status, answer, headers = await client.request("POST", "/api/jobs", job, 5.0)
            self.record.write(f"{who} submits {job['ref']} at port {client.port}: {status} {json.dumps(answer)}")
            if status in (200, 201, 400, 422) or time.monotonic() > until:
                return status
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", "1"))))

    async def cancel(self, client, ref, who="user"):
        until = time.monotonic() + 60
        while True:
            status, answer, headers = await client.request("POST", f"/api/jobs/{ref}/cancel", None, 5.0)
            self.record.write(f"{who} cancels {ref} at port {client.port}: {status} {json.dumps(answer)}")
            if status == 200 or time.monotonic() > until:
                return status, answer
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", "1"))))

    async def poll(self, client, ref, who="user"):
        status, answer, _ = await client.request("GET", f"/api/jobs/{ref}", None, 2.0)
        self.record.write(f"{who} polls {ref} at port {client.port}: {status} {json.dumps(answer)}")
        return status, answer


class CannotRun(Exception):
    pass


def main(case, record_path):
    """Runs `case(platform, trouble)`, which gives the broken rules. Exit code: 3 broken, 0 held, 2 could not run.
    (Python itself ends with 1 where it cannot begin.)"""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        platform = Platform(record_path)
        platform.record.write(f"trouble {'on' if trouble else 'off'}")
        code = 2
        try:
            broken = await asyncio.wait_for(case(platform, trouble), 117)
            for line in broken:
                platform.record.write(f"RULE BROKEN {line}")
                print(line)
            code = 3 if broken else 0
            platform.record.write("verdict: " + ("broken" if broken else "held"))
        except (Exception, asyncio.CancelledError) as e:  # whatever kept the case from being played, it shows no rule
            platform.record.write(f"could not run: {e!r}")
            print(f"could not run: {e!r}", file=sys.stderr)
        finally:
            platform.stop()
        os._exit(code)

    asyncio.run(run())
