#!/usr/bin/env python3
"""Reports from the controllers' logs how well each class, each team and each class within a team was served.

    tools/served.py LOG... [--from S] [--until S] [--report FILE] [--json]

LOG: one or more log files of controllers with `LOG_LEVEL=info` or `debug`. A line may begin with seconds and a node
name; otherwise the timestamp in the line is used. Only jobs accepted between --from and --until are counted, in seconds
since the first line (default: all). --report: a run's report (JSON with `targets`); its value for the loosest target of
each class is printed as well, because users measure from their first attempt and the log from the acceptance of a job.

Columns: jobs accepted; started (each task has run); done; done within 1 and 1.5 times the deadline, of jobs with a
deadline; median and 95th percentile of the wait in seconds until each task has run; GPU-seconds used (with `info` only
of jobs that ended, with `debug` of all); served: the minimum of started, done and done within 1.5 times the deadline.

Rows with less than half served are marked. Exit code 1 if there is such a row, 2 if the input cannot be read.
"""
import argparse
import datetime
import json
import re
import sys
from collections import defaultdict

LINE = re.compile(r"^\s*(?:([\d.]+)\s+(\S+)\s+)?(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+)\S*\s+\S+\s+(.*)$")
# Each event has two patterns with the same groups: the current log format, and the format of earlier versions, which
# logs in journal/ and of incidents have.
JOB_ACCEPTED = (
    re.compile(
        r"job accepted job=(\S+) tasks=(\d+) class=(\S+) team=(\S+) gpus=([\d.e+-]+) estimate_s=([\d.e+-]+)"
        r"(?: deadline_s=([\d.e+-]+))?"
    ),
    re.compile(
        r"job (\S+) taken: (\d+) tasks of (\S+), team (\S+), ([\d.]+) GPUs each, estimated ([\d.]+) s"
        r"(?:, due in ([\d.]+) s)?"
    ),
)
JOB_DONE = (
    re.compile(r"job done job=(\S+) after_s=([\d.]+)(?: task_run_s=([\d.]+))?"),
    re.compile(r"job (\S+) done after ([\d.]+) s(?:, its tasks ran ([\d.]+) s)?"),
)
JOB_RUNNING = (
    re.compile(r"job running job=(\S+) tasks=\d+ after_s=([\d.]+)"),
    re.compile(r"job (\S+) runs: all \d+ tasks began within ([\d.]+) s"),
)
TASK_RUNNING = (re.compile(r"task running task=(\S+)/(\d+) "), re.compile(r"task (\S+)/(\d+) runs on "))
TASK_ENDED = (
    re.compile(r"task (?:ended|released) task=(\S+)/(\d+) "),
    re.compile(r"task (\S+)/(\d+) (?:ended on|is off)"),
)
MIN_SERVED = 0.5


class Job:
    def __init__(self, at, match):
        self.at = at
        self.tasks = int(match[2])
        self.job_class, self.team = match[3], match[4]
        self.gpus = float(match[5])
        self.deadline_s = float(match[7]) if match[7] else None
        self.tasks_seen_running = set()
        self.started_s = self.done_s = None
        self.running = {}
        self.gpu_s = 0.0

    def on_task_running(self, index, at):
        self.running[index] = at
        self.tasks_seen_running.add(index)
        if self.started_s is None and len(self.tasks_seen_running) == self.tasks:
            self.started_s = at - self.at

    def on_job_running(self, wait_s):
        if self.started_s is None:
            self.started_s = wait_s

    def on_job_done(self, after_s, task_run_s):
        self.done_s = after_s
        if self.started_s is None:  # the last start was logged by a leader whose log was not given
            self.started_s = after_s
        if task_run_s is not None and not self.tasks_seen_running:  # at level info, single tasks are not logged
            self.gpu_s = task_run_s * self.gpus

    def on_task_ended(self, index, at):
        began = self.running.pop(index, None)
        if began is not None:
            self.gpu_s += (at - began) * self.gpus


def match_any(patterns, text):
    """The first match of the patterns, or None."""
    return next((match for pattern in patterns if (match := pattern.match(text))), None)


def read(lines, jobs, clock):
    """Adds the events of the lines to `jobs`; `clock` keeps the first timestamp of lines without leading seconds."""
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
        if t := match_any(JOB_ACCEPTED, text):
            jobs.setdefault(t[1], Job(at, t))  # logged once per job, but several logs may contain the line
        elif t := match_any(TASK_RUNNING, text):
            if t[1] in jobs:
                jobs[t[1]].on_task_running(int(t[2]), at)
        elif t := match_any(TASK_ENDED, text):
            if t[1] in jobs:
                jobs[t[1]].on_task_ended(int(t[2]), at)
        elif t := match_any(JOB_RUNNING, text):
            if t[1] in jobs:
                jobs[t[1]].on_job_running(float(t[2]))
        elif t := match_any(JOB_DONE, text):
            if t[1] in jobs and jobs[t[1]].done_s is None:
                jobs[t[1]].on_job_done(float(t[2]), float(t[3]) if t[3] else None)


def quantile(values, q):
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def figures(jobs):
    due = [j for j in jobs if j.deadline_s is not None]
    in_time = [sum(j.done_s is not None and j.done_s <= times * j.deadline_s for j in due) for times in (1.0, 1.5)]
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
        groups[(job.job_class, "")].append(job)
        groups[("", job.team)].append(job)
        groups[(job.job_class, job.team)].append(job)
    return [{"class": job_class, "team": team, **figures(group)} for (job_class, team), group in sorted(groups.items())]


def loosest_targets(report):
    """Returns the loosest target of each class and kind in a report, as (class, text, share)."""
    loosest = {}
    for t in report.get("targets", []):
        if "class" not in t or t.get("kind") not in ("wait", "finished", "deadline"):
            continue
        bound = t.get("within_s") or t.get("times") or 1.0
        key = (t["class"], t["kind"])
        if key not in loosest or bound > loosest[key][0]:
            loosest[key] = (bound, t["value"])
    return [(job_class, f"{kind} {bound:g}", value) for (job_class, kind), (bound, value) in sorted(loosest.items())]


def show(rows):
    print(
        f"{'class':18}{'team':18}{'taken':>6}{'start':>7}{'done':>7}{'1x':>7}{'1.5x':>7}"
        f"{'median':>8}{'95th':>8}{'GPU-s':>10}{'served':>8}"
    )
    for r in rows:
        cells = [f"{r[k]:.3f}" if r[k] is not None else "-" for k in ("started", "done", "in_1x", "in_1.5x")]
        waits = [f"{r[k]:.0f}" if r[k] is not None else "-" for k in ("wait_median_s", "wait_95th_s")]
        mark = "  LESS THAN HALF" if r["served"] < MIN_SERVED else ""
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
        print("served: these logs have no job accepted between --from and --until", file=sys.stderr)
        return 2
    rows = table(counted)
    targets = loosest_targets(report) if report else []
    if args.json:
        print(json.dumps({"rows": rows, "aims": targets}))
    else:
        show(rows)
        for job_class, text, value in targets:
            print(
                f"by the report: {job_class} {text}: {value:.3f}" + ("  LESS THAN HALF" if value < MIN_SERVED else "")
            )
    return int(any(r["served"] < MIN_SERVED for r in rows) or any(a[2] < MIN_SERVED for a in targets))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
