"""Entry point of the corianderhaven-soak program."""

import asyncio
import json
import signal
import tempfile
from pathlib import Path
from typing import Literal

from corianderhaven.common import SettingsError, check_positive, run_program

from ._soak_run import SoakRun

S_PER_MINUTE = 60.0
MAX_PROCESSES = 100  # each takes about 45 MB


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    minutes: float = 0.5,
    processes: int = 4,
    logs: str = "",
    faults: bool = True,
    other_build: str = "",
    pauses: Literal["none", "mixed", "only"] = "mixed",
):
    """Inject seeded random faults into real daemons; exits with 1 if an invariant was violated.

    :param seed: first seed
    :param seeds: number of seeds, which run one after the other
    :param minutes: time during which faults are injected, for each seed
    :param processes: number of daemons
    :param logs: folder for the daemons' logs; by default they are deleted
    :param faults: whether to inject faults; without, the usage of each daemon shows what grows
    :param other_build: folder with the installed packages of another build, as the deploy file's
        build leaves them; daemons of both run side by side and replace each other
    :param pauses: whether workers also stand still for a while: not at all, among the other faults
        of the seed and after them, or without any other fault
    """
    check_positive("minutes", minutes)
    check_positive("seeds", seeds)
    if not 1 <= processes <= MAX_PROCESSES:
        raise SettingsError(f"processes must be from 1 to {MAX_PROCESSES}, not {processes}")
    if other_build and not (Path(other_build) / "corianderhaven" / "daemon").is_dir():
        raise SettingsError(f"other_build holds no packages: {other_build!r}")
    failed = []
    for seed_number in range(seed, seed + seeds):
        report = _run_seed(seed_number, minutes, processes, logs, faults, other_build, pauses)
        print(json.dumps(report.as_dict()), flush=True)
        if report.breaches:
            failed.append(seed_number)
    print(f"seeds with violated invariants: {failed}")
    print(f"{seeds - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


def _run_seed(seed_number, minutes, processes, logs, faults, other_build, pauses):
    with tempfile.TemporaryDirectory() as scratch:
        folder = scratch
        if logs:
            folder = str(Path(logs) / f"seed-{seed_number}")
            Path(folder).mkdir(parents=True, exist_ok=True)
        seconds = minutes * S_PER_MINUTE
        soak_run = SoakRun(seed_number, seconds, processes, folder, faults, other_build, pauses)
        return asyncio.run(_run(soak_run))


async def _run(soak_run):
    # Without this handler the daemons would outlive a run that is stopped with SIGTERM.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await soak_run.run()


def main(arguments=None):
    """Run the program and return its exit code."""
    return run_program(soak, "CORIANDERHAVEN_SOAK_", arguments)
