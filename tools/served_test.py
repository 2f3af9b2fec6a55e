import contextlib
import io
import json
import os
import tempfile
import unittest

import served

LOG = """\
   10.0 stall-1 2026-09-21T14:13:30.476 info job job-000001 taken: 2 tasks of scan, team red, 1.000000 GPUs each, \
estimated 30.0 s, due in 70.0 s
   10.0 stall-1 2026-09-21T14:13:30.476 info job job-000002 taken: 1 tasks of train, team blue, 4.000000 GPUs each, \
estimated 30.0 s
   12.0 stall-1 2026-09-21T14:13:32.476 info task job-000001/0 runs on i-1, 0.1 s after its placement
   20.0 stall-1 2026-09-21T14:13:40.476 info task job-000002/0 runs on i-2, 0.1 s after its placement
   30.0 stall-1 2026-09-21T14:13:50.476 info task job-000001/1 runs on i-1, 0.1 s after its placement
   50.0 stall-1 2026-09-21T14:14:10.476 info task job-000002/0 ended on i-2: done
   50.0 stall-1 2026-09-21T14:14:10.476 info job job-000002 done after 40.0 s
   60.0 stall-1 2026-09-21T14:14:20.476 info task job-000001/0 ended on i-1: done
  101.0 stall-1 2026-09-21T14:15:01.476 info task job-000001/1 ended on i-1: done
  101.0 stall-1 2026-09-21T14:15:01.476 info job job-000001 done after 91.0 s
   11.0 stall-1 2026-09-21T14:13:31.476 info job job-000003 taken: 1 tasks of scan, team blue, 1.000000 GPUs each, \
estimated 30.0 s, due in 70.0 s
"""


# Log of the same kind at level `info`, which has no lines for single tasks.
INFO_LOG = """\
   10.0 stall-1 2026-09-21T14:13:30.476 info job job-000001 taken: 2 tasks of scan, team red, 1.500000 GPUs each, \
estimated 30.0 s, due in 70.0 s
   30.0 stall-1 2026-09-21T14:13:50.476 info job job-000001 runs: all 2 tasks began within 20.0 s
  101.0 stall-1 2026-09-21T14:15:01.476 info job job-000001 done after 91.0 s, its tasks ran 119.0 s
"""


# The logs above have the format of earlier versions, which logs in journal/ and of incidents have.
EARLIER_LOG, EARLIER_INFO_LOG = LOG, INFO_LOG
LOG = """\
   10.0 stall-1 2026-09-21T14:13:30.476 info job accepted job=job-000001 tasks=2 class=scan team=red \
gpus=1 estimate_s=30 deadline_s=70
   10.0 stall-1 2026-09-21T14:13:30.476 info job accepted job=job-000002 tasks=1 class=train team=blue \
gpus=4 estimate_s=30
   12.0 stall-1 2026-09-21T14:13:32.476 info task running task=job-000001/0 machine=i-1 after_s=0.100
   20.0 stall-1 2026-09-21T14:13:40.476 info task running task=job-000002/0 machine=i-2 after_s=0.100
   30.0 stall-1 2026-09-21T14:13:50.476 info task running task=job-000001/1 machine=i-1 after_s=0.100
   50.0 stall-1 2026-09-21T14:14:10.476 info task ended task=job-000002/0 machine=i-2 cause=done
   50.0 stall-1 2026-09-21T14:14:10.476 info job done job=job-000002 after_s=40.000 task_run_s=30.000
   60.0 stall-1 2026-09-21T14:14:20.476 info task ended task=job-000001/0 machine=i-1 cause=done
  101.0 stall-1 2026-09-21T14:15:01.476 info task released task=job-000001/1 machine=i-1 reason=lease_expired
  101.0 stall-1 2026-09-21T14:15:01.476 info job done job=job-000001 after_s=91.000 task_run_s=119.000
   11.0 stall-1 2026-09-21T14:13:31.476 info job accepted job=job-000003 tasks=1 class=scan team=blue \
gpus=1 estimate_s=30 deadline_s=70
"""
INFO_LOG = """\
   10.0 stall-1 2026-09-21T14:13:30.476 info job accepted job=job-000001 tasks=2 class=scan team=red \
gpus=1.5 estimate_s=30 deadline_s=70
   30.0 stall-1 2026-09-21T14:13:50.476 info job running job=job-000001 tasks=2 after_s=20.000
  101.0 stall-1 2026-09-21T14:15:01.476 info job done job=job-000001 after_s=91.000 task_run_s=119.000
"""


def run(*argv):
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        code = served.main(list(argv))
    return code, out.getvalue()


class ServedTest(unittest.TestCase):
    text = LOG
    info_text = INFO_LOG

    def setUp(self):
        self.dir = tempfile.TemporaryDirectory()
        self.addCleanup(self.dir.cleanup)
        self.log = self.file("log", self.text)

    def file(self, name, text):
        path = os.path.join(self.dir.name, name)
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        return path

    def rows(self, *argv):
        code, out = run(self.log, "--json", *argv)
        return code, {(r["class"], r["team"]): r for r in json.loads(out)["rows"]}

    def test_rows_by_class_by_team_and_by_both(self):
        code, rows = self.rows()
        self.assertEqual(
            {
                ("scan", ""),
                ("train", ""),
                ("", "red"),
                ("", "blue"),
                ("scan", "red"),
                ("scan", "blue"),
                ("train", "blue"),
            },
            set(rows),
        )
        scan = rows["scan", "red"]
        self.assertEqual((1, 0.0, 1.0), (scan["taken"], scan["in_1x"], scan["in_1.5x"]))
        self.assertEqual(20.0, scan["wait_median_s"])
        self.assertEqual(48 + 71, scan["gpu_s"])
        self.assertEqual(120, rows["train", "blue"]["gpu_s"])
        self.assertIsNone(rows["train", "blue"]["in_1x"])
        self.assertEqual(0.0, rows["scan", "blue"]["served"])
        self.assertEqual(1, code, "a class and team with nothing served must give exit code 1")

    def test_jobs_without_lines_for_single_tasks(self):
        code, out = run(self.file("info", self.info_text), "--json")
        self.assertEqual(0, code)
        scan = {(r["class"], r["team"]): r for r in json.loads(out)["rows"]}["scan", "red"]
        self.assertEqual((1.0, 1.0, 20.0), (scan["started"], scan["done"], scan["wait_median_s"]))
        self.assertEqual(119 * 1.5, scan["gpu_s"])

    def test_only_jobs_of_the_given_period_are_counted(self):
        code, rows = self.rows("--until", "10.5")
        self.assertEqual(0, code)
        self.assertNotIn(("scan", "blue"), rows)

    def test_a_report_is_evaluated_by_the_loosest_target(self):
        report = self.file(
            "report",
            json.dumps(
                {
                    "targets": [
                        {"kind": "deadline", "class": "scan", "times": 1.0, "value": 0.2},
                        {"kind": "deadline", "class": "scan", "times": 1.5, "value": 0.6},
                        {"kind": "price", "value": 0.1},
                    ]
                }
            ),
        )
        code, out = run(self.log, "--until", "10.5", "--report", report)
        self.assertEqual(0, code)
        self.assertIn("scan deadline 1.5: 0.600", out)

    def test_unreadable_input_is_named(self):
        self.assertEqual(2, run(self.file("empty", ""))[0])
        code, out = run(os.path.join(self.dir.name, "absent"))
        self.assertEqual(2, code)
        self.assertIn("absent", out)
        self.assertEqual(2, run(self.log, "--report", self.file("bad", "{"))[0])


class EarlierLogsTest(ServedTest):
    text = EARLIER_LOG
    info_text = EARLIER_INFO_LOG


if __name__ == "__main__":
    unittest.main()
