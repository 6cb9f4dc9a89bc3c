"""The one place that decides what is known about an attempt.

References
----------
"What is safe to retry": the operation kind is declared, never read off the HTTP verb, and
neither a status code nor ``Retry-After`` alone proves that an operation was not run.
"""

import enum
import http.client
from dataclasses import dataclass


class AttemptStage(enum.Enum):
    """How far an attempt got before it ended."""

    NOT_CONNECTED = "not_connected"
    SENT = "sent"
    ANSWERED = "answered"


class Verdict(enum.Enum):
    """What is known about the effect of an attempt."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class AttemptEvidence:
    """What was seen of an attempt.

    Attributes
    ----------
    stage : AttemptStage
        ``SENT`` as soon as one byte may have left the socket.
    status : int or None
        Status of the endpoint's answer.
    """

    stage: AttemptStage
    status: int | None = None


def classify_attempt(evidence, refuses_before_run):
    """Decide what is known about an attempt.

    Parameters
    ----------
    evidence : AttemptEvidence
    refuses_before_run : collection of int
        Statuses that the endpoint's contract defines as sent before execution.

    Returns
    -------
    Verdict
        ``NOT_RUN`` only with proof: nothing left the socket, or the contract says so.
    """
    if evidence.stage is AttemptStage.NOT_CONNECTED:
        return Verdict.NOT_RUN
    if evidence.stage is AttemptStage.SENT:
        return Verdict.UNKNOWN
    if evidence.status in refuses_before_run:
        return Verdict.NOT_RUN
    if evidence.status >= http.client.INTERNAL_SERVER_ERROR:
        return Verdict.UNKNOWN
    return Verdict.ANSWERED


def may_retry(verdict, idempotent):
    """Return whether another attempt can do no harm.

    Parameters
    ----------
    verdict : Verdict
    idempotent : bool
        As the document declares the operation.
    """
    if verdict is Verdict.NOT_RUN:
        return True
    return verdict is Verdict.UNKNOWN and idempotent
