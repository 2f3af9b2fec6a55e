import contextlib
import io
import os
import subprocess
import tempfile
import unittest

import check_docs


class Pages(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = folder.name
        subprocess.run(["git", "init", "-q", self.root], check=True)
        self.write("src/core/leader.hpp", "class Leader {\n  void renew();  // was: prolong\n};\n")
        self.write("docs/safety.md", "# Why\n\n## One leader, and others\n")

    def write(self, name, text):
        path = os.path.join(self.root, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)

    def faults(self, text, name="docs/page.md"):
        self.write(name, text)
        return check_docs.check(self.root)

    def test_a_page_without_fault(self):
        self.assertEqual(
            [], self.faults("[why](safety.md#one-leader-and-others), `src/core/leader.hpp`, `src/core/`\n")
        )

    def test_links(self):
        self.assertEqual(["docs/page.md:3: link to gone.md: no such file"], self.faults("a\n\n[b](gone.md)\n"))
        self.assertEqual(
            ["docs/page.md:1: link to safety.md#two: no such heading"],
            self.faults("[b](safety.md#two) [c](https://x.y)\n"),
        )
        self.assertEqual([], self.faults("[up](../docs/safety.md), [here](#own)\n\n# Own\n"))
        self.assertEqual(["docs/page.md:1: link to #other: no such heading"], self.faults("[here](#other)\n"))

    def test_code_is_not_searched_for_links(self):
        self.assertEqual([], self.faults("`[b](gone.md)`\n\n```\n[b](gone.md)\n```\n"))

    def test_paths(self):
        self.assertEqual(
            ["docs/page.md:2: `src/core/follower.hpp`: no such file"], self.faults("a\n`src/core/follower.hpp`\n")
        )
        self.assertEqual([], self.faults("`src/core/leader.*` `src/*/leader.hpp`, `q/src/x`, `src/core/leader.hpp`.\n"))
        self.assertEqual(["docs/page.md:1: `src/core/l*.cpp`: no such file"], self.faults("`src/core/l*.cpp`\n"))

    def test_paths_within_a_command_and_across_lines(self):
        self.assertEqual(
            ["docs/page.md:1: `tools/x.py`: no such file"], self.faults("`tools/x.py src/core/leader.hpp`\n")
        )
        self.assertEqual(["docs/page.md:1: `tools/x.py`: no such file"], self.faults("`run\ntools/x.py`\n"))

    def test_members_on_pages_that_describe_the_code(self):
        page = "docs/architecture.md"
        self.assertEqual([], self.faults("`Leader::renew`, `Leader::renew()`\n", page))
        self.assertEqual(
            ["docs/architecture.md:1: `Leader::resign`: resign not in the sources"],
            self.faults("`Leader::resign`\n", page),
        )
        self.assertEqual(
            ["docs/architecture.md:1: `Chief::renew`: Chief not in the sources"], self.faults("`Chief::renew`\n", page)
        )

    def test_words_of_comments_are_not_names_of_the_sources(self):
        self.assertEqual(
            ["CONTRIBUTING.md:1: `Leader::prolong`: prolong not in the sources"],
            self.faults("`Leader::prolong`\n", "CONTRIBUTING.md"),
        )

    def test_other_pages_may_name_removed_members(self):
        self.assertEqual([], self.faults("`Leader::resign`\n"))

    def test_width(self):
        self.assertEqual([], self.faults("a" * 60 + " " + "b" * 59 + "\n"))
        self.assertEqual(["docs/page.md:1: 121 columns, at most 120"], self.faults("a" * 60 + " " + "b" * 60 + "\n"))
        self.assertEqual(["docs/page.md:2: 125 columns, at most 120"], self.faults("\n    " + "a " * 60 + "b\n"))

    def test_lines_that_cannot_be_wrapped_may_be_wide(self):
        self.assertEqual([], self.faults("| " + "a " * 100 + "|\n"))
        self.assertEqual([], self.faults("- [" + "a " * 100 + "](safety.md)\n"))
        self.assertEqual([], self.faults("- `" + "a " * 100 + "`\n"))

    def test_records(self):
        self.assertEqual([], self.faults("`src/gone.cpp` " + "a " * 100 + "\n", "docs/incidents/one.md"))
        self.assertEqual(
            ["docs/incidents/one.md:1: link to gone.md: no such file"],
            self.faults("[a](gone.md)\n", "docs/incidents/one.md"),
        )

    def test_the_journal_is_not_checked(self):
        self.assertEqual([], self.faults("[a](gone.md)\n", "journal/one.md"))

    def test_exit_codes(self):
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            self.assertEqual(0, check_docs.main(["--root", self.root]))
            self.write("docs/page.md", "[a](gone.md)\n")
            self.assertEqual(1, check_docs.main(["--root", self.root]))
            self.assertEqual(2, check_docs.main(["--root", os.path.join(self.root, "none")]))
        self.assertIn("docs/page.md:1: link to gone.md: no such file\n", out.getvalue())


if __name__ == "__main__":
    unittest.main()
