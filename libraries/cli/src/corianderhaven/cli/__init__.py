"""The corianderhaven command-line tool, and its experiments as functions."""

from ._load_command import Experiment
from ._load_report import LoadReport
from ._load_trace import (
    Expectation,
    Mix,
    PlannedDraft,
    PlannedFault,
    PlannedOperation,
    Trace,
    generate_trace,
    read_trace,
    write_trace,
)
from ._main import main

__all__ = [
    "Expectation",
    "Experiment",
    "LoadReport",
    "Mix",
    "PlannedDraft",
    "PlannedFault",
    "PlannedOperation",
    "Trace",
    "generate_trace",
    "main",
    "read_trace",
    "write_trace",
]
