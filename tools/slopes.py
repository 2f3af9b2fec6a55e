#!/usr/bin/python3
"""Fits a line to the results of each benchmark of bench/slopes_bench.cpp and prints a table of the slopes.

    tools/slopes.py target/bench/bench/martenwall_slopes [--filter REGEX] [--json FILE]
    tools/slopes.py --from FILE

Requires Debian's python3-numpy and therefore Debian's Python. The first form runs the program and writes its results to
FILE; the second reads such a file. A benchmark's argument is the amount. The fitted value is its counter `bytes` if
that is above 0, otherwise its time in microseconds (median of three repetitions). Columns: cost per unit (slope), fixed
cost (intercept), the largest deviation of a point from the line as a fraction of the largest point, and the points. A
benchmark with fewer than four amounts is an error (exit code 2).
"""
import argparse
import json
import subprocess
import sys
from collections import defaultdict

import numpy

MIN_POINTS = 4


class NotEnoughPoints(Exception):
    pass


def points(report):
    """Returns the unit and a list of (amount, cost) for each benchmark."""
    out = defaultdict(lambda: ["us", []])
    for run in report["benchmarks"]:
        if run.get("aggregate_name") != "median":
            continue
        name, amount = run["run_name"].split("/")[:2]
        size = run.get("bytes", 0)
        if size > 0:
            out[name][0] = "bytes"
        out[name][1].append((float(amount), float(size if size > 0 else run["real_time"])))
    return out


def fit(name, unit, pairs):
    if len(pairs) < MIN_POINTS:
        raise NotEnoughPoints(f"{name}: {len(pairs)} amounts, at least {MIN_POINTS} are needed")
    x, y = (numpy.array(column) for column in zip(*pairs))
    slope, base = numpy.polyfit(x, y, 1)
    deviation = float(numpy.max(numpy.abs(y - (slope * x + base))) / max(float(numpy.max(y)), 1e-12))
    return {
        "name": name,
        "unit": unit,
        "slope": float(slope),
        "base": float(base),
        "deviation": deviation,
        "points": pairs,
    }


def number(value):
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def table(rows):
    lines = [
        "| cost | unit | one more | without any | largest deviation | measured (amount: cost) |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for r in rows:
        measured = ", ".join(f"{number(x)}: {number(y)}" for x, y in r["points"])
        lines.append(
            f"| {r['name']} | {r['unit']} | {number(r['slope'])} | {number(r['base'])} | {r['deviation']:.1%} | "
            f"{measured} |"
        )
    return "\n".join(lines)


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("program", nargs="?")
    parser.add_argument("--filter", default=".*")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--from", dest="source", metavar="FILE")
    args = parser.parse_args(argv)
    if bool(args.program) == bool(args.source):
        parser.error("either a program or --from FILE")
    try:
        if args.source:
            with open(args.source, encoding="utf-8") as f:
                report = json.load(f)
        else:
            done = subprocess.run(
                [args.program, f"--benchmark_filter={args.filter}", "--benchmark_format=json"],
                stdout=subprocess.PIPE,
                check=True,
            )
            report = json.loads(done.stdout)
            if args.json:
                with open(args.json, "w", encoding="utf-8") as f:
                    json.dump(report, f)
        rows = [fit(name, unit, pairs) for name, (unit, pairs) in points(report).items()]
    except (OSError, ValueError, KeyError, subprocess.CalledProcessError, NotEnoughPoints) as e:
        print(f"slopes: {e}", file=sys.stderr)
        return 2
    print(table(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
