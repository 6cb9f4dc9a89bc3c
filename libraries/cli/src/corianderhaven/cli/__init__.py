"""The corianderhaven command-line tool, and its load tests as a library."""

from ._load_command import LoadTest
from ._load_report import LoadReport
from ._load_trace import (
    Expectation,
    PlannedDraft,
    PlannedFault,
    PlannedOperation,
    Trace,
    Workload,
    generate_trace,
    read_trace,
    write_trace,
)
from ._main import main

__all__ = [
    "Expectation",
    "LoadReport",
    "LoadTest",
    "PlannedDraft",
    "PlannedFault",
    "PlannedOperation",
    "Trace",
    "Workload",
    "generate_trace",
    "main",
    "read_trace",
    "write_trace",
]
