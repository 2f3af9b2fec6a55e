import contextlib
import io
import json
import os
import tempfile
import unittest

import slopes


def run_of(name, amount, real_time, size=0):
    return {
        "run_name": f"{name}/{amount}/iterations:3/repeats:3/manual_time",
        "aggregate_name": "median",
        "real_time": real_time,
        "bytes": size,
    }


def run(report):
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "report")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(report, f)
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = slopes.main(["--from", path])
        return code, out.getvalue()


class SlopesTest(unittest.TestCase):
    def test_fit_of_a_line_and_its_deviation(self):
        pairs = [(100.0, 250.0), (200.0, 450.0), (300.0, 650.0), (400.0, 850.0)]
        row = slopes.fit("x", "us", pairs)
        self.assertAlmostEqual(2, row["slope"])
        self.assertAlmostEqual(50, row["base"])
        self.assertLess(row["deviation"], 1e-9)
        bent = slopes.fit("x", "us", pairs[:3] + [(400.0, 1850.0)])
        self.assertGreater(bent["deviation"], 0.1)

    def test_bytes_are_fitted_if_present(self):
        runs = [run_of("time", n, 3 * n + 10) for n in (1, 2, 4, 8)]
        runs += [run_of("size", n, 5, 100 * n) for n in (1, 2, 4, 8)]
        runs.append({**run_of("time", 1, 999), "aggregate_name": "mean"})
        code, out = run({"benchmarks": runs})
        self.assertEqual(0, code)
        self.assertIn("| time | us | 3 | 10 |", out)
        self.assertIn("| size | bytes | 100 |", out)

    def test_too_few_amounts_are_an_error(self):
        code, out = run({"benchmarks": [run_of("time", n, n) for n in (1, 2, 4)]})
        self.assertEqual(2, code)
        self.assertIn("time: 3 amounts", out)


if __name__ == "__main__":
    unittest.main()
