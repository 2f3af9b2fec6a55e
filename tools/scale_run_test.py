"""Runs the smallest plan of the scale run: real controllers and stand-ins over loopback.

MARTENWALL_BUILD: the build directory.
"""
import contextlib
import io
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest

import scale_run

BUILD = os.environ["MARTENWALL_BUILD"]
TINY = f"{scale_run.ROOT}/scale/plans/tiny.toml"


def stand_ins_of(folder):
    """Returns the command lines of the processes of the run whose files are in `folder`."""
    listing = subprocess.run(["ps", "-eo", "args"], stdout=subprocess.PIPE, text=True, check=True).stdout
    return [line for line in listing.splitlines() if folder in line and "scale_run.py" not in line]


class ScaleRunTest(unittest.TestCase):
    def setUp(self):
        self.dir = tempfile.TemporaryDirectory()
        self.addCleanup(self.dir.cleanup)
        self.folder = self.dir.name

    def run_plan(self, plan):
        report = f"{self.folder}/report.json"
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = scale_run.main([plan, "--build", BUILD, "--report", report, "--logs", f"{self.folder}/logs"])
        self.assertTrue(os.path.exists(report), out.getvalue())
        with open(report, encoding="utf-8") as f:
            return code, json.load(f)["cells"]["cell"]

    def test_no_rule_is_violated_when_the_leader_is_killed_and_a_zone_is_partitioned(self):
        code, cell = self.run_plan(TINY)
        self.assertEqual((0, [], []), (code, cell["breaches"], cell["ended_by_itself"]))
        self.assertEqual(["kill_leader"], [kind for _, kind, _ in cell["killed"]])
        changes = cell["configuration"]
        self.assertGreater(changes["versions"], 15)
        self.assertGreater(changes["measured"], 15)
        self.assertGreater(cell["tasks_started"], 200)
        for job_class in cell["classes"].values():
            self.assertEqual(job_class["jobs"], job_class["done"] + job_class["cancelled"])

    def test_a_violation_that_workers_observe_is_reported(self):
        with open(TINY, encoding="utf-8") as f:
            text = f.read().split("[[event]]")[0].replace("arrivals_s = 20.0", "arrivals_s = 6.0")
        # The rule checker applies limits that are not configured in any controller.
        text += '[[event]]\nat_s = 0.0\nkind = "limits"\nteams = [{ name = "red", cpus_max = 1.0 }]\n'
        text = text.replace('[[classes]]\nname = "batch"', '[[classes]]\nname = "batch"\nat_start = 4')
        text = text.replace("run_median_s = 4.0", "run_median_s = 20.0\nrun_most_s = 40.0")
        text = text.replace("arrivals_s = 6.0", "arrivals_s = 14.0")
        plan = f"{self.folder}/planted.toml"
        with open(plan, "w", encoding="utf-8") as f:
            f.write(text)
        tomllib.loads(text)
        code, cell = self.run_plan(plan)
        self.assertEqual(1, code)
        self.assertTrue(any(" quota " in breach for breach in cell["breaches"]), cell["breaches"])

    def test_an_interrupted_run_leaves_no_process(self):
        logs = f"{self.folder}/logs"
        run = subprocess.Popen(
            [sys.executable, scale_run.__file__, TINY, "--build", BUILD, "--logs", logs],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        deadline = time.monotonic() + 30
        while len(stand_ins_of(logs)) < 5 and time.monotonic() < deadline:
            time.sleep(0.1)
        self.assertEqual(5, len(stand_ins_of(logs)), "three controllers, a store and a field")
        run.send_signal(signal.SIGINT)
        run.wait(timeout=30)
        self.assertEqual([], stand_ins_of(logs))

    def test_an_unreadable_plan_is_named(self):
        out = io.StringIO()
        with contextlib.redirect_stderr(out):
            self.assertEqual(2, scale_run.main([f"{self.folder}/absent.toml"]))
        self.assertIn("absent.toml", out.getvalue())


if __name__ == "__main__":
    unittest.main()
