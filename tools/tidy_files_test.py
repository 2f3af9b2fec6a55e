import contextlib
import io
import os
import tempfile
import unittest

import tidy_files

SOURCES = ["src/a.cpp", "scale/b.cpp", "scale/plans/c.cpp", "scaled/d.cpp", "tests/e_test.cpp"]


class Selection(unittest.TestCase):
    def run_with(self, pending, sources=SOURCES):
        out, err = io.StringIO(), io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            name = os.path.join(folder, "pending.txt")
            with open(name, "w", encoding="utf-8") as file:
                file.write(pending)
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                code = tidy_files.main([name], io.StringIO("\n".join(sources)))
        return code, out.getvalue().split(), err.getvalue()

    def test_no_entries_select_all_sources(self):
        self.assertEqual((0, SOURCES, ""), self.run_with("# nothing pending\n\n"))

    def test_a_file(self):
        self.assertEqual((0, SOURCES[1:], ""), self.run_with("src/a.cpp  # why\n"))

    def test_a_folder_is_not_a_prefix_of_a_name(self):
        self.assertEqual((0, ["src/a.cpp", "scaled/d.cpp", "tests/e_test.cpp"], ""), self.run_with("scale/\n"))

    def test_an_entry_that_matches_no_source(self):
        code, selected, errors = self.run_with("src/a.cpp\nsrc/gone.cpp\n")
        self.assertEqual((2, []), (code, selected))
        self.assertIn("'src/gone.cpp'", errors)
        self.assertNotIn("src/a.cpp", errors)

    def test_no_list(self):
        err = io.StringIO()
        with contextlib.redirect_stderr(err):
            self.assertEqual(2, tidy_files.main(["/nowhere/pending.txt"], io.StringIO("a.cpp")))
        self.assertIn("/nowhere/pending.txt", err.getvalue())


if __name__ == "__main__":
    unittest.main()
