"""What requests and answers say, apart from how a platform spells it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass
class RequestMetadata:
    """What a caller's headers say.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt, under which endpoints see it too.
    deadline_ms : float or None
        How long the caller will wait.
    prompt_tokens, max_output_tokens : int
        Size of the prompt, and the most tokens wanted.
    length_hint : int or None
        The caller's guess at the answer's tokens.
    last_event_id : str or None
        Event after which the caller resumes a stream.
    """

    request_id: str
    key: str | None = None
    deadline_ms: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    length_hint: int | None = None
    last_event_id: str | None = None


@dataclass
class AttemptMetadata:
    """What one send to an endpoint says beside the caller's own headers."""

    endpoint_id: str
    account: str | None
    deadline_ms: float
    priority: int | None = None
    last_event_id: str | None = None


@dataclass
class ResponseMetadata:
    """What an endpoint's answer says.

    Parameters
    ----------
    request_id : str or None
        The id of the request that it answers.
    stamped : bool
        Whether it bears the endpoint's signature.
    misdirected : bool
        Whether the endpoint says that it is not the one, or not in the state, that was meant.
    not_run : bool
        Whether it states that the request was not run.
    load : tuple of int or None
        Running and waiting requests and slots.
    """

    request_id: str | None
    stamped: bool
    misdirected: bool
    not_run: bool
    load: tuple | None = None


class WireFormat(ABC):
    """Reads and writes the headers of a platform."""

    @abstractmethod
    def read_request(self, request):
        """Return the `RequestMetadata` of a `CallerRequest`."""

    @abstractmethod
    def endpoint_headers(self, request, send):
        """Return the headers of a send, from the caller's and `AttemptMetadata`."""

    @abstractmethod
    def read_response(self, head):
        """Return the `ResponseMetadata` of a `ResponseHead`."""

    @abstractmethod
    def caller_headers(self, head):
        """Return the headers of an endpoint's answer that the caller gets."""
