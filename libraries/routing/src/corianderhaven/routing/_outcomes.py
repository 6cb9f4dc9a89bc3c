"""Classification of attempts and rules for safe retries.

Whether an operation is idempotent is declared in the configuration, not inferred from the
HTTP method. Neither a status code nor ``Retry-After`` alone proves that an operation was not
run.
"""

import enum
import http.client
from dataclasses import dataclass


class AttemptStage(enum.Enum):
    """Last stage that an attempt reached."""

    NOT_CONNECTED = "not_connected"
    SENT = "sent"
    ANSWERED = "answered"


class Verdict(enum.Enum):
    """Whether an attempt has run the operation."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class AttemptEvidence:
    """Observations from which an attempt is classified.

    Attributes
    ----------
    stage : AttemptStage
        ``SENT`` as soon as a byte may have been sent.
    status : int or None
        Status of the endpoint's response.
    """

    stage: AttemptStage
    status: int | None = None


def classify_attempt(evidence, refuses_before_run):
    """Return whether an attempt has run the operation.

    Parameters
    ----------
    evidence : AttemptEvidence
    refuses_before_run : collection of int
        Statuses that, by its contract, the endpoint returns only before execution.

    Returns
    -------
    Verdict
        ``NOT_RUN`` only if that is certain: the connection was never established, or the
        endpoint's contract defines the status so.
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
    """Return whether another attempt is safe.

    Parameters
    ----------
    verdict : Verdict
    idempotent : bool
        Whether the configuration declares the operation as idempotent.
    """
    if verdict is Verdict.NOT_RUN:
        return True
    return verdict is Verdict.UNKNOWN and idempotent
