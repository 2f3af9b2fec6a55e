#!/usr/bin/python3
"""Runs a plan (TOML) with real controllers and stand-ins in real time, all as processes on this machine.

    tools/scale_run.py PLAN.toml [--scale F] [--calm] [--build DIR] [--report FILE.json] [--plot FILE.png] [--logs DIR]

--scale multiplies the machines, the teams (their number if the plan gives `copies`, otherwise their limits) and the
jobs by F (default 1). --calm leaves out all events of the plan.

A plan has one or more cells. Each cell consists of controllers (the program of deploy/service.toml), a state service
and one process with the hollow workers, the cloud, the users and the checker of PROTOCOL's rules
(`martenwall_stand_in`, -DMARTENWALL_SCALE=ON). All processes communicate over 127.0.0.1. For each cell the report
contains the throughput, quantiles of the start delay by class, CPU time and memory of each process as counted by the
kernel, bytes per worker, changes of the state service per task start, and rule violations.

Exit code: 0 on success; 1 if a rule was violated, a controller exited unexpectedly or jobs remained open; 2 if the plan
is invalid or cannot be run on this machine. Ctrl-C ends all processes; they are also killed if this program dies.

A plan's [properties] override those of deploy/run.properties. Times in a plan are seconds from the first submission.
Plans are in scale/plans/. Requires Debian's python3-numpy and, for --plot, python3-matplotlib.
"""
import argparse
import ctypes
import datetime
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
import tomllib
import urllib.error
import urllib.request

import numpy

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TICKS = os.sysconf("SC_CLK_TCK")
PR_SET_PDEATHSIG = 1
CONTROLLER_START_S = 3  # a restarted controller has read the configuration after this time
FIRST_PORT, PORT_BLOCKS, PORTS_PER_RUN = 10000, 300, 64
QUANTILES = (0.5, 0.9, 0.99)
STAND_IN_EVENTS = ("cut_zone", "restart_workers", "limits")
RUNNER_EVENTS = ("kill_leader", "kill_controller", "kill_all", "configure")
# Matches the log lines of both formats: a run may mix controller versions.
IN_FORCE = re.compile(r"^(\S+) info configuration (?:version (\d+) in force|in force version=(\d+))")
APPLIED = re.compile(r"^applied: version (\d+)")


class PlanError(Exception):
    pass


def die_with_parent():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Ports:
    """Allocates free ports of 127.0.0.1 below the kernel's ephemeral range, so that no outgoing connection uses one.
    A run keeps the first port of its block bound, so that concurrent runs use different blocks."""

    def __init__(self):
        for block in range(PORT_BLOCKS):
            self.next = FIRST_PORT + block * PORTS_PER_RUN
            self.lock = socket.socket()
            try:
                self.lock.bind(("127.0.0.1", self.next))
                return
            except OSError:
                self.lock.close()
        raise PlanError("no free ports")

    def allocate(self):
        while True:
            self.next += 1
            with socket.socket() as s:
                try:
                    s.bind(("127.0.0.1", self.next))
                except OSError:
                    continue
            return f"127.0.0.1:{self.next}"


def get(address, path):
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response:
            return json.load(response)
    except (urllib.error.URLError, OSError, ValueError):
        return None


class ConfigurationChanges:
    """Applies configuration changes with the operators' command and measures when each controller has them in force."""

    def __init__(self, program, nodes):
        self.program, self.nodes = program, nodes
        self.running = []  # (began, child, patch to retry at another node if this one does not answer)
        self.began = {}  # time of the command, by version
        self.outcomes = {}
        self.sent = 0

    def apply(self, patch, folder, retry=False):
        path = f"{folder}/patch-{self.sent}.json"
        with open(path, "w", encoding="utf-8") as f:
            json.dump(patch, f)
        node = self.nodes[self.sent % len(self.nodes)]
        self.sent += 1
        child = subprocess.Popen(
            [self.program, "config", "apply", path, "--node", node],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            preexec_fn=die_with_parent,
        )
        self.running.append((time.time(), child, (patch, folder) if retry else None))

    def collect(self):
        for began, child, retry_args in [r for r in self.running if r[1].poll() is not None]:
            self.running.remove((began, child, retry_args))
            text = child.stdout.read().strip()
            applied = APPLIED.match(text)
            if applied:
                self.began[int(applied[1])] = began
            elif retry_args:
                self.apply(*retry_args, retry=True)
            outcome = "applied" if applied else re.sub(r"127\.\S+", "NODE", text)
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def end(self):
        for _, child, _ in self.running:
            child.kill()
            child.wait()

    def report(self, controllers, downtimes):
        """Reports the seconds from the start of the command to the log line of that version, or a later one, at each
        controller that ran without interruption in between; `downtimes` has (from, to) by controller."""
        delays = []
        for c in controllers:
            lines = []
            with open(c.log, encoding="utf-8", errors="replace") as log:
                for line in log:
                    if m := IN_FORCE.match(line):
                        lines.append((datetime.datetime.fromisoformat(m[1]).timestamp(), int(m[2] or m[3])))
            for version, began in self.began.items():
                when = next((at for at, v in lines if v >= version and at >= began - 0.01), None)
                was_down = any(began < to and (when is None or when > start) for start, to in downtimes.get(c.name, []))
                if when is not None and not was_down:
                    delays.append(when - began)
        return {
            "outcomes": self.outcomes,
            "versions": len(self.began),
            "in_force_s": quantiles(delays),
            "measured": len(delays),
        }


class Process:
    """A child process with its CPU time and peak memory over all restarts."""

    def __init__(self, name, command, log):
        self.name, self.command, self.log = name, command, log
        self.cpu_before = 0.0
        self.peak_mb = 0.0
        self.cpu = []  # cumulative CPU seconds, sampled once a second
        self.child = None
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL, preexec_fn=die_with_parent
            )

    def running(self):
        return self.child is not None and self.child.poll() is None

    def cpu_s(self):
        try:
            with open(f"/proc/{self.child.pid}/stat", encoding="ascii") as f:
                fields = f.read().rsplit(") ", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / TICKS
        except (OSError, IndexError):
            return 0.0

    def sample(self):
        if not self.running():
            return
        self.cpu.append(self.cpu_before + self.cpu_s())
        try:
            with open(f"/proc/{self.child.pid}/status", encoding="ascii") as f:
                peak = next((line for line in f if line.startswith("VmHWM")), "VmHWM: 0 kB")
            self.peak_mb = max(self.peak_mb, int(peak.split()[1]) / 1024)
        except OSError:
            pass

    def end(self):
        if self.running():
            self.cpu_before += self.cpu_s()
            self.child.kill()
            self.child.wait()


def expanded(plan, scale, calm):
    """Returns the plan multiplied by `scale`, with each team that has `copies` expanded to that many teams."""
    plan = json.loads(json.dumps(plan))
    teams = []
    for team in plan["teams"]:
        limits = {k: v for k, v in team.items() if k not in ("name", "copies")}
        if "copies" in team:  # scales the number of teams, not their limits: the largest gang has to fit
            copies = max(1, round(team["copies"] * scale))
            teams += [{"name": f"{team['name']}-{i:02d}", **limits} for i in range(copies)]
        else:
            teams.append({"name": team["name"], **{k: v * scale for k, v in limits.items()}})
    plan["teams"] = teams
    for machines in plan["machines"]:
        for key in ("count", "spare"):
            machines[key] = round(machines.get(key, 0) * scale)
    for job_class in plan["classes"]:
        job_class["per_second"] *= scale
        job_class["at_start"] = round(job_class.get("at_start", 0) * scale)
    if calm:
        plan["event"] = []
    return plan


def merged(cell, plan):
    """Returns the plan of a cell: the common plan, overridden by the keys of the cell."""
    result = {key: value for key, value in plan.items() if key != "cell"}
    result.update(cell)
    return result


class Cell:
    def __init__(self, name, plan, build, folder, ports):
        self.name, self.plan, self.folder = name, plan, folder
        self.events = sorted(plan.get("event", []), key=lambda e: e["at_s"])
        for e in self.events:
            if e["kind"] not in STAND_IN_EVENTS + RUNNER_EVENTS:
                raise PlanError(f"event: unknown kind '{e['kind']}'")
        self.runner_events = [e for e in self.events if e["kind"] in RUNNER_EVENTS]
        self.restarts = []  # (time, process)
        self.killed = []
        self.ended_by_itself = []
        state, self.control, cloud = ports.allocate(), ports.allocate(), ports.allocate()
        users = [ports.allocate() for _ in range(plan["controllers"])]
        links = [ports.allocate() for _ in range(plan["controllers"])]
        names = [f"{name}-{i}" for i in range(plan["controllers"])]
        store = {**plan["state"], "listen": state, "control": self.control}
        store["value_bytes"] = int(store.pop("value_kb") * 1024)
        self.changes = ConfigurationChanges(f"{build}/martenwall", links)
        self.downtimes = {}
        self.store = Process(
            "store",
            [f"{build}/scale/martenwall_stand_in", "store", self.write("store.json", store)],
            f"{folder}/store.log",
        )
        run = shlex.split(service_line("run"))
        run[0] = f"{build}/martenwall"
        if "properties" in plan:
            at = run.index("--properties") + 1
            run[at] = self.properties(run[at], plan["properties"])
        self.controllers = []
        for i, node in enumerate(names):
            others = [
                {"member": n, "domain": self.zone(k), "endpoint": links[k]} for k, n in enumerate(names) if k != i
            ]
            settings = {
                "member": node,
                "domain": self.zone(i),
                "bind": users[i],
                "cluster_listen": links[i],
                "others": others,
                "external": {"cloud": cloud, "state": state},
                "facts": self.facts(),
            }
            command = [*run, self.write(f"{node}.json", settings)]
            self.controllers.append(Process(node, command, f"{folder}/{node}.log"))
        field = {
            key: plan[key] for key in ("workers", "flavors", "zones", "machines", "teams", "classes", "arrivals_s")
        }
        field.update({key: plan[key] for key in ("begin_s", "drain_s", "seed") if key in plan})
        self.result = f"{folder}/result.json"
        field.update(
            {
                "cloud_listen": cloud,
                "result": self.result,
                "controllers": [{"name": n, "users": u} for n, u in zip(names, users)],
                "events": [e for e in self.events if e["kind"] in STAND_IN_EVENTS],
            }
        )
        self.field = Process(
            "field",
            [f"{build}/scale/martenwall_stand_in", "field", self.write("field.json", field)],
            f"{folder}/field.log",
        )

    def write(self, name, value):
        path = f"{self.folder}/{name}"
        with open(path, "w", encoding="utf-8") as f:
            json.dump(value, f)
        return path

    def properties(self, deployed, overrides):
        """Writes the deployed properties, overridden by those of the plan, and returns the path of the new file."""
        path = f"{self.folder}/run.properties"
        with open(f"{ROOT}/{deployed}", encoding="utf-8") as f:
            lines = [line for line in f.read().splitlines() if line.split("=")[0].strip() not in overrides]
        with open(path, "w", encoding="utf-8") as f:
            f.write("\n".join([*lines, *(f"{name} = {value}" for name, value in overrides.items())]) + "\n")
        return path

    def zone(self, i):
        return self.plan["zones"][i % len(self.plan["zones"])]

    def facts(self):
        plan = self.plan
        objectives = [
            {"kind": "wait", "class": c["name"], "within_s": c["begin_within_s"], "share": 0.9}
            for c in plan["classes"]
            if "begin_within_s" in c
        ]
        state = {key: plan["state"][key] for key in ("value_kb",)}
        state.update(
            {
                "rps": plan["state"]["requests_per_s"],
                "write_rps": plan["state"]["changes_per_s"],
                "txn_ops": plan["state"]["txn_changes"],
            }
        )
        return {
            "nodes": plan["controllers"],
            "zones": plan["zones"],
            "teams": plan["teams"],
            "objectives": objectives,
            "workers": plan["workers"],
            "state": state,
            "cloud": plan.get("cloud", {"rps": 10.0, "list_lag_s": 3.0}),
            "resources": {"cpu_share": 1.0, "mem_mb": 188.0, "max_connections": plan.get("max_connections", 4000)},
            "clock_off_ms": 5.0,
        }

    def processes(self):
        return [self.store, *self.controllers, self.field]

    def leader(self):
        row = get(self.control, "/store/lead")
        name = row["data"]["node"] if row else None
        return next((c for c in self.controllers if c.name == name and c.running()), None)

    def configure(self, event, now_s):
        """Applies the due changes: one, or `per_second` for `for_s` seconds, each with a new value of `property`."""
        if "patch" in event:
            self.changes.apply(event["patch"], self.folder, retry=True)
            return
        due = min(now_s - event["at_s"], event["for_s"]) * event["per_second"]
        while event.setdefault("sent", 0) < due:
            event["sent"] += 1
            self.changes.apply({"properties": {event["property"]: 0.01 + 1e-6 * self.changes.sent}}, self.folder)
        if now_s < event["at_s"] + event["for_s"]:
            self.runner_events.append(event)

    def step(self, now_s):
        self.changes.collect()
        self.runner_events.sort(key=lambda e: e["at_s"])
        for event in [e for e in self.runner_events if e["at_s"] <= now_s]:
            self.runner_events.remove(event)
            if event["kind"] == "configure":
                self.configure(event, now_s)
                continue
            victims = self.victims(event)
            for process in victims:
                process.end()
                self.killed.append((round(now_s, 1), event["kind"], process.name))
                restart_delay_s = event.get("back_after_s", 8.0)
                self.restarts.append((now_s + restart_delay_s, process))
                self.downtimes.setdefault(process.name, []).append(
                    (time.time(), time.time() + restart_delay_s + CONTROLLER_START_S)
                )
        for when, process in [r for r in self.restarts if r[0] <= now_s]:
            self.restarts.remove((when, process))
            process.start()
        waiting = [p for _, p in self.restarts]
        for process in [self.store, *self.controllers]:
            if not process.running() and process not in waiting and process.name not in self.ended_by_itself:
                self.ended_by_itself.append(process.name)

    def victims(self, event):
        if event["kind"] == "kill_all":
            return list(self.controllers)
        if event["kind"] == "kill_leader":
            leader = self.leader()
            return [leader] if leader else []
        return [self.controllers[event["controller"]]]

    def end(self):
        self.changes.end()
        for process in self.processes():
            process.end()


def service_line(name):
    with open(f"{ROOT}/deploy/service.toml", "rb") as f:
        return tomllib.load(f)[name]


def quantiles(values):
    if not values:
        return None
    return {f"p{q * 100:g}": round(float(numpy.quantile(values, q)), 3) for q in QUANTILES} | {
        "max": round(float(max(values)), 3)
    }


def process_figures(process, length_s):
    steps = numpy.diff(process.cpu) if len(process.cpu) > 1 else numpy.array([0.0])
    return {
        "cpu_s": round(process.cpu[-1] if process.cpu else 0.0, 2),
        "core_mean": round((process.cpu[-1] if process.cpu else 0.0) / max(length_s, 1e-9), 4),
        "core_peak": round(float(steps.max()), 3),
        "peak_mb": round(process.peak_mb, 1),
    }


def cell_report(cell, counters, length_s):
    with open(cell.result, encoding="utf-8") as f:
        result = json.load(f)
    starts = numpy.array(result["starts_a_second"])
    workers, started = result["workers"], max(1, result["started"])
    worker_seconds = max(1.0, workers["machines"] * length_s)
    payload = workers["report_bytes"] + workers["answer_bytes"] + workers["command_bytes"]
    classes = {}
    for name, c in result["classes"].items():
        classes[name] = {k: c[k] for k in ("jobs", "tasks", "begun", "done", "cancelled")}
        classes[name]["begin_delay_s"] = quantiles(c["begin_delay_s"])
    return {
        "breaches": result["breaches"],
        "ended_by_itself": cell.ended_by_itself,
        "open_jobs": result["open_jobs"],
        "killed": cell.killed,
        "length_s": round(length_s, 1),
        "machines": workers["machines"],
        "tasks_started": result["started"],
        "starts_a_second": quantiles([float(s) for s in starts if s > 0]),
        "most_on_machines": max(result["on_machines"], default=0),
        "classes": classes,
        "submit_s": quantiles(result["submit_s"]),
        "errors": result["errors"],
        "polls": result["polls"],
        "lost_to_lease": workers["lost_to_lease"],
        "worker_bytes_a_second": round(payload / worker_seconds, 1),
        "worker_busiest_bytes_in_a_second": workers["busiest_bytes_in_a_second"],
        "reports_a_second": round(workers["reports"] / length_s, 1),
        "store": counters,
        "changes_a_start": round((counters or {}).get("changes", 0) / started, 4),
        "cloud_calls": result["cloud_calls"],
        "longest_tick_s": result["longest_tick_s"],
        "controllers": {c.name: process_figures(c, length_s) for c in cell.controllers},
        "stand_ins": {p.name: process_figures(p, length_s) for p in (cell.store, cell.field)},
        "log_bytes": {c.name: os.path.getsize(c.log) for c in cell.controllers},
        "configuration": cell.changes.report(cell.controllers, cell.downtimes) if cell.changes.sent else None,
        "series": {"starts_a_second": result["starts_a_second"], "on_machines": result["on_machines"]},
    }


def plot(report, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (top, bottom) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    for name, cell in report["cells"].items():
        top.plot(cell["series"]["starts_a_second"], label=name, linewidth=0.8)
        bottom.plot(cell["series"]["on_machines"], label=name)
    top.set_ylabel("task starts a second")
    bottom.set_ylabel("tasks on machines")
    bottom.set_xlabel("seconds since the stand-ins began")
    top.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def summary(report):
    lines = []
    for name, c in report["cells"].items():
        verdict = "no rule broken" if not c["breaches"] else f"RULES BROKEN: {c['breaches']}"
        if c["ended_by_itself"]:
            verdict += f"; ENDED BY THEMSELVES: {c['ended_by_itself']}"
        if c["open_jobs"]:
            verdict += f"; {c['open_jobs']} JOBS LEFT OPEN"
        lines.append(
            f"{name}: {verdict}; {c['machines']} machines, {c['tasks_started']} tasks started, starts a second "
            f"{c['starts_a_second']}, at most {c['most_on_machines']} on machines"
        )
        for label, k in c["classes"].items():
            lines.append(
                f"  {label}: {k['jobs']} jobs, {k['begun']} begun, {k['done']} done; begin delay {k['begin_delay_s']}"
            )
        lines.append(
            f"  submissions {c['submit_s']} s; errors {c['errors']}; store {c['changes_a_start']} changes a start"
        )
        if c["configuration"]:
            lines.append(f"  configuration: {c['configuration']}")
        for who, p in {**c["controllers"], **c["stand_ins"]}.items():
            lines.append(f"  {who}: {p['core_mean']} of a core, peak {p['core_peak']}, {p['peak_mb']} MB")
    return "\n".join(lines)


def run_cells(plan, build, folder):
    ports = Ports()
    cells = []

    def stop(*_):
        for cell in cells:
            cell.end()
        sys.exit(130)

    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGTERM, stop)
    try:
        for spec in plan.get("cell", [{"name": "cell"}]):
            os.makedirs(f"{folder}/{spec['name']}")
            cells.append(Cell(spec["name"], merged(spec, plan), build, f"{folder}/{spec['name']}", ports))
        began = time.monotonic()
        first_submission = {}
        counters = {}
        while any(cell.field.running() for cell in cells):
            time.sleep(0.25)
            now = time.monotonic()
            for cell in cells:
                if not cell.field.running():
                    continue
                if int(now - began) > len(cell.store.cpu):
                    for process in cell.processes():
                        process.sample()
                    counters[cell.name] = get(cell.control, "/counters") or counters.get(cell.name)
                if cell.name not in first_submission and counters.get(cell.name) and first_job(cell):
                    first_submission[cell.name] = now
                if cell.name in first_submission:
                    cell.step(now - first_submission[cell.name])
        length_s = time.monotonic() - began
        failed = [c.name for c in cells if c.field.child.returncode not in (0, 1)]
        if failed:
            raise PlanError(f"the stand-ins of {', '.join(failed)} failed: see {folder}")
        return {"cells": {c.name: cell_report(c, counters.get(c.name), length_s) for c in cells}}
    finally:
        for cell in cells:
            cell.end()


def first_job(cell):
    page = get(cell.control, "/store?prefix=j/&page=1")
    return bool(page and page["rows"])


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("plan")
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--calm", action="store_true")
    parser.add_argument("--build", default=f"{ROOT}/target/scale")
    parser.add_argument("--report", metavar="FILE")
    parser.add_argument("--plot", metavar="FILE")
    parser.add_argument("--logs", metavar="DIR", help="keep the logs and files of the processes in DIR")
    args = parser.parse_args(argv)
    try:
        with open(args.plan, "rb") as f:
            plan = expanded(tomllib.load(f), args.scale, args.calm)
        with tempfile.TemporaryDirectory() as temporary:
            folder = args.logs or temporary
            os.makedirs(folder, exist_ok=True)
            report = run_cells(plan, os.path.abspath(args.build), folder)
    except (OSError, tomllib.TOMLDecodeError, KeyError, PlanError) as e:
        print(f"scale_run: {type(e).__name__}: {e}", file=sys.stderr)
        return 2
    if args.report:
        with open(args.report, "w", encoding="utf-8") as f:
            json.dump(report, f, indent=1)
    if args.plot:
        plot(report, args.plot)
    print(summary(report))
    failed = any(c["breaches"] or c["ended_by_itself"] or c["open_jobs"] for c in report["cells"].values())
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
