#!/usr/bin/env python3
"""Prints the sources that clang-tidy checks: the given ones except those that do not pass yet.

    git ls-files '*.cpp' | tools/tidy_files.py .ci/tidy-pending.txt

PENDING has one file or folder per line; `#` begins a comment. An entry that matches no source is an error, so that the
list is updated when sources are moved or removed. Exit code 2 for such an entry or a list that cannot be read.
"""
import argparse
import sys


def entries(lines):
    stripped = (line.split("#", 1)[0].strip() for line in lines)
    return [line.rstrip("/") for line in stripped if line]


def covers(entry, source):
    return source == entry or source.startswith(entry + "/")


def select(sources, pending):
    """Returns the sources to check and the entries that match no source."""
    selected = [source for source in sources if not any(covers(entry, source) for entry in pending)]
    unmatched = [entry for entry in pending if not any(covers(entry, source) for source in sources)]
    return selected, unmatched


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
    selected, unmatched = select(stdin.read().split(), pending)
    for entry in unmatched:
        print(f"tidy_files: {options.pending}: no source under '{entry}'; remove the line", file=sys.stderr)
    if unmatched:
        return 2
    print("\n".join(selected))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], sys.stdin))
