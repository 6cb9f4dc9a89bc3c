"""The corianderhaven-soak program."""

import asyncio
import json
import signal
import tempfile
from pathlib import Path

from corianderhaven.common import SettingsError, check_positive, run_program

from ._soak import Soak

S_PER_MINUTE = 60.0
MOST_PROCESSES = 100  # each takes some 45 MB


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    minutes: float = 0.5,
    processes: int = 4,
    logs: str = "",
    faults: bool = True,
):
    """Play seeded random faults against real daemons; exits 1 at the first broken promise.

    :param seed: first seed
    :param seeds: how many seeds to play, one after the other
    :param minutes: time in which faults come, for each seed
    :param processes: number of daemons
    :param logs: folder for the daemons' logs; by default they are dropped
    :param faults: whether any fault comes; without, the usage of each daemon shows what grows
    """
    check_positive("minutes", minutes)
    check_positive("seeds", seeds)
    if not 1 <= processes <= MOST_PROCESSES:
        raise SettingsError(f"processes must be from 1 to {MOST_PROCESSES}, not {processes}")
    failed = []
    for number in range(seed, seed + seeds):
        report = _play(number, minutes, processes, logs, faults)
        print(json.dumps(report.as_dict()), flush=True)
        if report.breaches:
            failed.append(number)
    print(f"seeds with a broken promise: {failed}")
    print(f"{seeds - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


def _play(number, minutes, processes, logs, faults):
    with tempfile.TemporaryDirectory() as scratch:
        folder = scratch
        if logs:
            folder = str(Path(logs) / f"seed-{number}")
            Path(folder).mkdir(parents=True, exist_ok=True)
        seconds = minutes * S_PER_MINUTE
        return asyncio.run(_run(Soak(number, seconds, processes, folder, faults)))


async def _run(soak_of_seed):
    # Without this the daemons would outlive a soak that is told to end.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await soak_of_seed.run()


def main(arguments=None):
    """Run the program and return its exit code."""
    return run_program(soak, "CORIANDERHAVEN_SOAK_", arguments)
