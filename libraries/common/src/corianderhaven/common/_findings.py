"""Findings of a check of a configuration."""

from dataclasses import dataclass
from enum import StrEnum


class Severity(StrEnum):
    """Weight of a finding: an error is refused or can't work, a warning works but surprises."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Finding:
    """Something in a configuration that is wrong or has no effect.

    Attributes
    ----------
    path : str
        Place in the configuration, for example ``$.routes[drafts].timeout_ms``.
    code : str
        Stable name of the kind of finding.
    message : str
        What is wrong, and why it matters.
    """

    severity: Severity
    path: str
    code: str
    message: str
