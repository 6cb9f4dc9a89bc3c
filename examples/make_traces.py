"""Generate the traces in this folder: requests, faults and expected outcomes."""

from pathlib import Path

from corianderhaven.cli import Expectation, PlannedFault, Workload, generate_trace, write_trace

FOLDER = Path(__file__).parent / "traces"
KEYS = {"day-team-a-1.example": 2.0, "day-team-b-1.example": 2.0, "office-1.example": 1.0}
SEED = 17


def make_workload(**changes):
    """Return the base workload of all traces with some fields replaced."""
    values = {
        "seed": SEED,
        "rate_per_s": 4.0,
        "duration_s": 7.0,
        "keys": KEYS,
        "daemons": 4,
        "tokens": 50,
    }
    return Workload(**{**values, **changes})


def traces():
    """Return the traces by name."""
    complete = Expectation(drafts_complete=1.0, refused=0.0)
    member_loss = [
        PlannedFault(2_500.0, "draft-plateau-2", "kill"),
        PlannedFault(5_500.0, "draft-plateau-2", "restore"),
    ]
    silent = [PlannedFault(t, "domain:plateau-fabric-1", "silence_existing") for t in (2e3, 5e3)]
    unreachable = [
        PlannedFault(2_000.0, "domain:pikine-fabric-1", "silent"),
        PlannedFault(6_000.0, "domain:pikine-fabric-1", "restore"),
    ]
    platform = [
        PlannedFault(1_000.0, "platform", "lose_answers", 0.4),
        PlannedFault(3_000.0, "platform", "down", True),
        PlannedFault(4_500.0, "platform", "down", False),
        PlannedFault(6_000.0, "tablet-plateau", "operation", "drop_after"),
        PlannedFault(8_000.0, "tablet-plateau", "operation", "none"),
        PlannedFault(8_000.0, "platform", "lose_answers", 0.0),
    ]
    operations = make_workload(
        rate_per_s=25.0, duration_s=9.0, operation_share=1.0, repeat_share=0.6
    )
    month_end = make_workload(
        rate_per_s=66.0,
        duration_s=6.0,
        keys={"day-team-a-1.example": 60.0, "day-team-b-1.example": 1.0, "office-1.example": 0.0},
    )
    small_served = Expectation(accounts_complete={"day-team-b-1": 1.0})
    return {
        "member-loss": generate_trace(make_workload(), complete, member_loss),
        "silent-connections": generate_trace(make_workload(), complete, silent),
        "dark-domain": generate_trace(make_workload(), complete, unreachable),
        "platform-outage": generate_trace(operations, Expectation(), platform),
        "month-end": generate_trace(month_end, small_served),
    }


if __name__ == "__main__":
    FOLDER.mkdir(exist_ok=True)
    for name, trace in traces().items():
        write_trace(FOLDER / f"{name}.jsonl", trace)
        print(f"wrote {name}.jsonl")
