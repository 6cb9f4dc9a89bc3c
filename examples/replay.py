"""Replay recorded traces on a local site; exit non-zero if an expected outcome is missed."""

import sys
from pathlib import Path

from demonstration import start_site

from corianderhaven.cli import LoadTest, read_trace

FOLDER = Path(__file__).parent / "traces"


def replay(path):
    """Replay one trace on a new site and return its `LoadReport`."""
    site = start_site([])
    try:
        callers = [daemon.callers for daemon in site.daemons]
        return LoadTest(callers, list(site.control_addresses.values()), read_trace(path)).run()
    finally:
        site.close()


def main(names):
    """Replay the named traces, or all by default; return the exit code."""
    paths = [Path(name) for name in names] or sorted(FOLDER.glob("*.jsonl"))
    missed = 0
    for path in paths:
        report = replay(path)
        all_accounts = report.accounts["all"]
        ended = all_accounts.outcomes or {"operations served once": report.operations.served_once}
        print(f"{'MISS' if report.misses else 'ok  '} {path.stem}: {ended}")
        for miss in report.misses:
            print(f"     {miss}")
        missed += bool(report.misses)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
