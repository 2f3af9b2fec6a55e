#!/usr/bin/env python3
"""Who was served: for each class, each team and each class within a team, from the controllers' logs.

    tools/served.py LOG... [--from S] [--until S] [--report FILE] [--json]

LOG: what the controllers wrote, `LOG_LEVEL=info` or `debug`, one file or several; lines may begin with seconds and a
node's name, else the time in the line counts. Jobs taken from --from to --until are counted, in seconds since the
first line (default: all). --report: a run's report (JSON with `targets`); what it says of each class by its loosest
aim is told beside, since users count from their first attempt and the log from the moment when a job was taken.

Columns: jobs taken; started (all tasks ran once); done; done within 1 and 1.5 times the deadline, of those that have
one; median and 95th of the wait until all tasks ran, s; GPU-seconds run (at `info` those of jobs that ended, at
`debug` of all); served: the least of started, done and done within 1.5 times the deadline. Less than half served is
marked, and ends the program with 1; unreadable input with 2.
"""
import argparse
import datetime
import json
import re
import sys
from collections import defaultdict

LINE = re.compile(r"^\s*(?:([\d.]+)\s+(\S+)\s+)?(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+)\S*\s+\S+\s+(.*)$")
# Each event in the form that controllers write now, and in the one that the logs of earlier versions have (journal/,
# incidents). Both have the same groups.
ACCEPTED = (
    re.compile(
        r"job accepted job=(\S+) tasks=(\d+) class=(\S+) team=(\S+) gpus=([\d.e+-]+) estimate_s=([\d.e+-]+)"
        r"(?: deadline_s=([\d.e+-]+))?"
    ),
    re.compile(
        r"job (\S+) taken: (\d+) tasks of (\S+), team (\S+), ([\d.]+) GPUs each, estimated ([\d.]+) s"
        r"(?:, due in ([\d.]+) s)?"
    ),
)
DONE = (
    re.compile(r"job done job=(\S+) after_s=([\d.]+)(?: task_run_s=([\d.]+))?"),
    re.compile(r"job (\S+) done after ([\d.]+) s(?:, its tasks ran ([\d.]+) s)?"),
)
ALL_RUN = (
    re.compile(r"job running job=(\S+) tasks=\d+ after_s=([\d.]+)"),
    re.compile(r"job (\S+) runs: all \d+ tasks began within ([\d.]+) s"),
)
RUNS = (re.compile(r"task running task=(\S+)/(\d+) "), re.compile(r"task (\S+)/(\d+) runs on "))
OFF = (
    re.compile(r"task (?:ended|released) task=(\S+)/(\d+) "),
    re.compile(r"task (\S+)/(\d+) (?:ended on|is off)"),
)
HALF = 0.5


class Job:
    def __init__(self, at, match):
        self.at = at
        self.tasks = int(match[2])
        self.lane, self.team = match[3], match[4]
        self.gpus = float(match[5])
        self.due_s = float(match[7]) if match[7] else None
        self.ran = set()
        self.started_s = self.done_s = None
        self.running = {}
        self.gpu_s = 0.0

    def runs(self, index, at):
        self.running[index] = at
        self.ran.add(index)
        if self.started_s is None and len(self.ran) == self.tasks:
            self.started_s = at - self.at

    def all_run(self, waited_s):
        if self.started_s is None:
            self.started_s = waited_s

    def ended(self, after_s, ran_s):
        self.done_s = after_s
        if self.started_s is None:  # its last start was told by a leader whose log is not here
            self.started_s = after_s
        if ran_s is not None and not self.ran:  # its tasks are not told one by one
            self.gpu_s = ran_s * self.gpus

    def off(self, index, at):
        began = self.running.pop(index, None)
        if began is not None:
            self.gpu_s += (at - began) * self.gpus


def match_any(patterns, text):
    """The first match of the patterns, or None."""
    return next((match for pattern in patterns if (match := pattern.match(text))), None)


def read(lines, jobs, clock):
    """Adds what the lines tell to `jobs`; `clock` remembers the first time of lines without seconds of their own."""
    for line in lines:
        m = LINE.match(line)
        if not m:
            continue
        if m[1] is not None:
            at = float(m[1])
        else:
            stamp = datetime.datetime.fromisoformat(m[3]).timestamp()
            at = stamp - clock.setdefault("first", stamp)
        text = m[4]
        if t := match_any(ACCEPTED, text):
            jobs.setdefault(t[1], Job(at, t))  # a later leader tells of it no second time, another log may
        elif t := match_any(RUNS, text):
            if t[1] in jobs:
                jobs[t[1]].runs(int(t[2]), at)
        elif t := match_any(OFF, text):
            if t[1] in jobs:
                jobs[t[1]].off(int(t[2]), at)
        elif t := match_any(ALL_RUN, text):
            if t[1] in jobs:
                jobs[t[1]].all_run(float(t[2]))
        elif t := match_any(DONE, text):
            if t[1] in jobs and jobs[t[1]].done_s is None:
                jobs[t[1]].ended(float(t[2]), float(t[3]) if t[3] else None)


def quantile(values, q):
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def figures(jobs):
    due = [j for j in jobs if j.due_s is not None]
    in_time = [sum(j.done_s is not None and j.done_s <= times * j.due_s for j in due) for times in (1.0, 1.5)]
    waits = [j.started_s for j in jobs if j.started_s is not None]
    out = {
        "taken": len(jobs),
        "started": len(waits) / len(jobs),
        "done": sum(j.done_s is not None for j in jobs) / len(jobs),
        "in_1x": in_time[0] / len(due) if due else None,
        "in_1.5x": in_time[1] / len(due) if due else None,
        "wait_median_s": quantile(waits, 0.5),
        "wait_95th_s": quantile(waits, 0.95),
        "gpu_s": sum(j.gpu_s for j in jobs),
    }
    out["served"] = min(v for v in (out["started"], out["done"], out["in_1.5x"]) if v is not None)
    return out


def table(jobs):
    groups = defaultdict(list)
    for job in jobs:
        groups[(job.lane, "")].append(job)
        groups[("", job.team)].append(job)
        groups[(job.lane, job.team)].append(job)
    return [{"class": lane, "team": team, **figures(group)} for (lane, team), group in sorted(groups.items())]


def loosest_aims(report):
    """For each class and kind of aim of a report the loosest one: (class, text, share)."""
    loosest = {}
    for t in report.get("targets", []):
        if "class" not in t or t.get("kind") not in ("wait", "finished", "deadline"):
            continue
        bound = t.get("within_s") or t.get("times") or 1.0
        key = (t["class"], t["kind"])
        if key not in loosest or bound > loosest[key][0]:
            loosest[key] = (bound, t["value"])
    return [(lane, f"{kind} {bound:g}", value) for (lane, kind), (bound, value) in sorted(loosest.items())]


def show(rows):
    print(
        f"{'class':18}{'team':18}{'taken':>6}{'start':>7}{'done':>7}{'1x':>7}{'1.5x':>7}"
        f"{'median':>8}{'95th':>8}{'GPU-s':>10}{'served':>8}"
    )
    for r in rows:
        cells = [f"{r[k]:.3f}" if r[k] is not None else "-" for k in ("started", "done", "in_1x", "in_1.5x")]
        waits = [f"{r[k]:.0f}" if r[k] is not None else "-" for k in ("wait_median_s", "wait_95th_s")]
        mark = "  LESS THAN HALF" if r["served"] < HALF else ""
        print(
            f"{r['class'] or 'all':18}{r['team'] or 'all':18}{r['taken']:>6}"
            + "".join(f"{c:>7}" for c in cells)
            + "".join(f"{w:>8}" for w in waits)
            + f"{r['gpu_s']:>10.0f}{r['served']:>8.3f}{mark}"
        )


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", nargs="+", metavar="LOG")
    parser.add_argument("--from", dest="since", type=float, default=float("-inf"), metavar="S")
    parser.add_argument("--until", type=float, default=float("inf"), metavar="S")
    parser.add_argument("--report", metavar="FILE")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    jobs, clock = {}, {}
    try:
        for name in args.logs:
            with open(name, encoding="utf-8", errors="replace") as lines:
                read(lines, jobs, clock)
        report = None
        if args.report:
            with open(args.report, encoding="utf-8") as f:
                report = json.load(f)
    except (OSError, ValueError) as e:
        print(f"served: {e}", file=sys.stderr)
        return 2
    counted = [j for j in jobs.values() if args.since <= j.at <= args.until]
    if not counted:
        print("served: no job was taken in these logs between --from and --until", file=sys.stderr)
        return 2
    rows = table(counted)
    aims = loosest_aims(report) if report else []
    if args.json:
        print(json.dumps({"rows": rows, "aims": aims}))
    else:
        show(rows)
        for lane, text, value in aims:
            print(f"by the report: {lane} {text}: {value:.3f}" + ("  LESS THAN HALF" if value < HALF else ""))
    return int(any(r["served"] < HALF for r in rows) or any(a[2] < HALF for a in aims))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
