#!/usr/bin/env python3
"""Checks the Markdown pages: links and named files exist, and lines are not too long.

    tools/check_docs.py [--root DIR]

Checks each *.md file outside journal/ that git tracks or would add:
- links to files resolve, including a `#heading` of a page;
- a path in backticks that begins with a project folder (src/, tests/, tools/, docs/, ...) exists; `*` is a wildcard;
- lines have at most 120 columns, except table rows and lines with a link or code span that cannot be wrapped.
In pages that describe the code (architecture.md, CONTRIBUTING.md, safety.md), both names of each `Class::function` in
backticks occur in the sources. Pages in docs/incidents/ are records, as in journal/: only their links are checked.

Prints one line per fault. Exit code 1 if there is a fault, 2 if the folder cannot be read.
"""
import argparse
import glob
import os
import re
import subprocess
import sys

WIDTH = 120
FOLDERS = ("src", "tests", "tools", "docs", "stand_ins", "scale", "bench", "deploy", ".ci")
RECORDS = "docs/incidents/"
NAMING_PAGES = ("docs/architecture.md", "CONTRIBUTING.md", "docs/safety.md")
CODE_FOLDERS = ("src", "stand_ins")

FENCE = re.compile(r"^\s*(```|~~~)")
CODE_SPAN = re.compile(r"`([^`]+)`")
LINK = re.compile(r"\[[^\]]*\]\(([^()\s]+)\)")
PATH = re.compile(r"^(?:%s)/[\w.*/-]*$" % "|".join(re.escape(f) for f in FOLDERS))
MEMBER = re.compile(r"\b([A-Z]\w*)::(\w+)")
LINE_COMMENT = re.compile(r"//.*$", re.MULTILINE)
WORD = re.compile(r"[A-Za-z_]\w*")


def git_files(root):
    done = subprocess.run(
        ["git", "-C", root, "ls-files", "--cached", "--others", "--exclude-standard"], capture_output=True, text=True
    )
    if done.returncode != 0:
        raise OSError(done.stderr.strip() or "git ls-files failed")
    return [name for name in done.stdout.splitlines() if os.path.isfile(os.path.join(root, name))]


def read(root, name):
    with open(os.path.join(root, name), encoding="utf-8") as file:
        return file.read()


def prose(text):
    """Yields (line number, line) outside fenced blocks; numbers begin at 1."""
    fenced = False
    for number, line in enumerate(text.split("\n"), 1):
        if FENCE.match(line):
            fenced = not fenced
        elif not fenced:
            yield number, line


def spans(text):
    """Yields (line number, content) of each code span; a span may continue on the next line."""
    fenced = False
    paragraph, first = [], 1
    for number, line in enumerate(text.split("\n") + [""], 1):
        fence = bool(FENCE.match(line))
        if fence:
            fenced = not fenced
        if fence or fenced or not line.strip() or line.startswith("    "):
            yield from spans_of(paragraph, first)
            paragraph, first = [], number + 1
        else:
            paragraph.append(line)


def spans_of(paragraph, first):
    whole = "\n".join(paragraph)
    for match in CODE_SPAN.finditer(whole):
        yield first + whole.count("\n", 0, match.start()), match.group(1)


def anchor(heading):
    """Returns GitHub's anchor of a heading: lower case, no punctuation, hyphens for spaces."""
    return re.sub(r"[^\w\- ]", "", heading.strip().lower()).replace(" ", "-")


def anchors(text):
    return {anchor(line.lstrip("#")) for _, line in prose(text) if re.match(r"#+ ", line)}


def link_faults(root, name, text):
    for number, line in prose(text):
        for target in LINK.findall(CODE_SPAN.sub("", line)):
            if re.match(r"[a-z][a-z0-9+.-]*:", target):
                continue
            path, _, heading = target.partition("#")
            resolved = (
                os.path.normpath(os.path.join(root, os.path.dirname(name), path)) if path else os.path.join(root, name)
            )
            if not os.path.exists(resolved):
                yield number, f"link to {target}: no such file"
            elif heading and resolved.endswith(".md") and heading not in anchors(read("", resolved)):
                yield number, f"link to {target}: no such heading"


def path_faults(root, text):
    for number, span in spans(text):
        for token in span.split():
            token = token.rstrip(".,;:")
            if PATH.match(token) and not glob.glob(os.path.join(root, token)):
                yield number, f"`{token}`: no such file"


def source_words(root, files):
    words = set()
    for name in files:
        if name.endswith((".hpp", ".cpp")) and name.startswith(tuple(f"{folder}/" for folder in CODE_FOLDERS)):
            words.update(WORD.findall(LINE_COMMENT.sub("", read(root, name))))
    return words


def member_faults(text, words):
    for number, span in spans(text):
        for owner, member in MEMBER.findall(span):
            missing = [word for word in (owner, member) if word not in words]
            if missing:
                yield number, f"`{owner}::{member}`: {' and '.join(missing)} not in the sources"


def breakable(line):
    """Returns whether the line can be wrapped: it has a space outside links and code spans."""
    masked = re.sub(r"`[^`]*`|\[[^\]]*\]\([^)]*\)", lambda m: "x" * len(m.group()), line)
    indent = len(line) - len(line.lstrip(" "))
    marker = re.match(r"(?:[-*]|\d+\.) ", masked[indent:])
    text = masked[indent:].removeprefix(marker.group()) if marker else masked[indent:]
    return " " in text.rstrip()


def width_faults(text):
    for number, line in enumerate(text.split("\n"), 1):
        if len(line) > WIDTH and not line.lstrip().startswith("|") and breakable(line):
            yield number, f"{len(line)} columns, at most {WIDTH}"


def check(root):
    files = git_files(root)
    words = source_words(root, files)
    faults = []
    for name in sorted(files):
        if not name.endswith(".md") or name.startswith("journal/"):
            continue
        text = read(root, name)
        found = list(link_faults(root, name, text))
        if not name.startswith(RECORDS):
            found += path_faults(root, text)
            found += width_faults(text)
        if name in NAMING_PAGES:
            found += member_faults(text, words)
        faults += [f"{name}:{number}: {message}" for number, message in sorted(found)]
    return faults


def main(argv):
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--root", default=os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    options = parser.parse_args(argv)
    try:
        faults = check(options.root)
    except (OSError, UnicodeDecodeError) as error:
        print(f"check_docs: {error}", file=sys.stderr)
        return 2
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
