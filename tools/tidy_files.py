#!/usr/bin/env python3
"""Prints which sources clang-tidy is to look at: all that it is given, without those that do not pass yet.

    git ls-files '*.cpp' | tools/tidy_files.py .ci/tidy-pending.txt

PENDING: a file or folder a line, `#` begins a comment. An entry that leaves nothing out is an error, so that the list
is cleared up as sources pass, move or go. Exit code 2 for such an entry or a list that cannot be read.
"""
import argparse
import sys


def entries(lines):
    stripped = (line.split("#", 1)[0].strip() for line in lines)
    return [line.rstrip("/") for line in stripped if line]


def covers(entry, source):
    return source == entry or source.startswith(entry + "/")


def select(sources, pending):
    """The sources to look at, and the entries that leave nothing out."""
    kept = [source for source in sources if not any(covers(entry, source) for entry in pending)]
    idle = [entry for entry in pending if not any(covers(entry, source) for source in sources)]
    return kept, idle


def main(argv, stdin):
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("pending")
    options = parser.parse_args(argv)
    try:
        with open(options.pending, encoding="utf-8") as file:
            pending = entries(file)
    except OSError as error:
        print(f"tidy_files: {error}", file=sys.stderr)
        return 2
    kept, idle = select(stdin.read().split(), pending)
    for entry in idle:
        print(f"tidy_files: {options.pending}: no source under '{entry}'; take the line out", file=sys.stderr)
    if idle:
        return 2
    print("\n".join(kept))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], sys.stdin))
