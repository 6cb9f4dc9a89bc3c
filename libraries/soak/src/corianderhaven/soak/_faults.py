"""Generates a fault schedule from a seed."""

import random
from dataclasses import dataclass

MAX_GAP_S = 1.2  # shorter than most faults last, so that faults overlap
# From shorter than a request timeout to longer than a lease.
MIN_DURATION_S, MAX_DURATION_S = 0.2, 3.0
FAULT_WEIGHTS = {
    "daemon_kill": 4,
    "daemon_pause": 3,
    "daemon_drain": 3,
    "all_daemons_kill": 1,
    "store_away": 3,
    "store_slow": 2,
    "store_lost_answers": 2,
    "store_forgets": 2,
    "store_restored": 2,
    "store_link_reset": 2,
    "store_link_silent": 2,
    "store_link_cut": 3,
    "store_link_one_way": 2,
    "worker_gone": 5,
    "worker_link_reset": 3,
    "worker_link_silent": 2,
    "worker_link_delay": 2,
    "worker_misbehaves": 6,
    "worker_leaves": 3,
    "worker_says_leaving": 2,
    "caller_links_reset": 2,
    "config_change": 5,
    "prompt_part_crashes_engines": 2,
    "request_crashes_workers": 2,
    "worker_names_limit": 3,
}

# Drawn apart from the others, so that these stay the same for a seed.
PARTITION_GAP_S = 5.0
PARTITION_KIND = "daemon_loses_endpoints"
BUILD_CHANGE_GAP_S = 2.0
BUILD_CHANGE_KIND = "daemon_changes_build"
CONFIG_CHANGE_KIND = "config_change"
PAUSE_KIND = "workers_pause"
PAUSE_GAP_S = 0.6
MIXED_PAUSE_GAP_S = 3.0  # among other faults, so that most of these also act without a pause
MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 2.0
LONG_PAUSE_SHARE = 0.1
MIN_LONG_PAUSE_S, MAX_LONG_PAUSE_S = 4.0, 5.0  # longer than callers and routes wait
MODEL_DROP_KIND = "model_dropped"
MODEL_DROP_GAP_S = 1.5  # so that some fall into pauses, and some between them
CONFIG_CHANGE_SHARE = 0.7  # of the pauses
CONFIG_CHANGE_LEAD_S = 0.8


@dataclass(frozen=True)
class Fault:
    """One scheduled fault.

    Parameters
    ----------
    at_s : float
        Start time in seconds since the start of the run.
    duration_s : float
        How long the fault lasts; not used by faults that take effect at once.
    selector : float
        From 0 to 1: selects the target among those that the fault can apply to.
    """

    kind: str
    at_s: float
    duration_s: float
    selector: float


def plan_faults(seed, seconds):
    """Return the faults of a run of `seconds`, sorted by time; the same for the same seed."""
    rng = random.Random(seed)
    kinds, weights = list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values())
    faults, at_s = [], 0.0
    while True:
        at_s += rng.uniform(0.05, MAX_GAP_S)
        if at_s >= seconds:
            return sorted(faults + _plan_partitions(seed, seconds), key=lambda f: f.at_s)
        kind = rng.choices(kinds, weights)[0]
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        faults.append(Fault(kind, round(at_s, 3), round(duration_s, 3), rng.random()))


def plan_build_changes(seed, seconds):
    """Return the replacements of daemons by the other build, sorted by time."""
    rng = random.Random(f"builds {seed}")
    faults, at_s = [], 0.0
    while (at_s := at_s + rng.uniform(0.05, 2 * BUILD_CHANGE_GAP_S)) < seconds:
        faults.append(Fault(BUILD_CHANGE_KIND, round(at_s, 3), 0.0, rng.random()))
    return faults


def plan_worker_pauses(seed, seconds, mean_gap_s=PAUSE_GAP_S):
    """Return pauses of workers, most of them beside a change of configuration, sorted by time.

    A pause begins after the end of the one before it.
    """
    rng = random.Random(f"pauses {seed} {mean_gap_s}")
    faults, at_s = [], 0.0
    while (at_s := at_s + rng.uniform(0.05, 2 * mean_gap_s)) < seconds:
        duration_s = rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        if rng.random() < LONG_PAUSE_SHARE:
            duration_s = rng.uniform(MIN_LONG_PAUSE_S, MAX_LONG_PAUSE_S)
        faults.append(Fault(PAUSE_KIND, round(at_s, 3), round(duration_s, 3), rng.random()))
        if rng.random() < CONFIG_CHANGE_SHARE:
            changed_s = max(0.0, at_s - rng.uniform(0.0, CONFIG_CHANGE_LEAD_S))
            faults.append(Fault(CONFIG_CHANGE_KIND, round(changed_s, 3), 0.0, 0.0))
        at_s += duration_s
    return sorted(faults, key=lambda f: f.at_s)


def plan_model_drops(seed, seconds):
    """Return the times in which the configuration doesn't name a model, one after the other."""
    rng = random.Random(f"models {seed}")
    faults, at_s = [], 0.0
    while (at_s := at_s + rng.uniform(0.05, 2 * MODEL_DROP_GAP_S)) < seconds:
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        faults.append(Fault(MODEL_DROP_KIND, round(at_s, 3), round(duration_s, 3), rng.random()))
        at_s += duration_s
    return faults


def _plan_partitions(seed, seconds):
    """Return the partitions of daemons from the endpoints."""
    rng = random.Random(f"partitions {seed}")
    faults, at_s = [], 0.0
    while (at_s := at_s + rng.uniform(0.05, 2 * PARTITION_GAP_S)) < seconds:
        duration_s = rng.uniform(MIN_DURATION_S, 2 * MAX_DURATION_S)
        faults.append(Fault(PARTITION_KIND, round(at_s, 3), round(duration_s, 3), rng.random()))
    return faults
