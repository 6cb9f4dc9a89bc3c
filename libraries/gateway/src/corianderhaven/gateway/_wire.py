"""Platform-independent metadata of requests and responses, and the interface to its encoding."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ._crash_evidence import caller_part


@dataclass
class RequestMetadata:
    """Metadata from the headers of a caller's request.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt; endpoints receive the same id.
    deadline_ms : float or None
        How long the caller will wait.
    prompt_tokens, max_output_tokens : int
        Length of the prompt, and the limit on generated tokens.
    length_hint : int or None
        The caller's estimate of the answer's length in tokens.
    last_event_id : str or None
        Event after which the caller resumes a stream.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may hold as well.
    whole_part : str
        Id that stands for the request as a whole, the same whenever it comes again.
    """

    request_id: str
    key: str | None = None
    deadline_ms: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    length_hint: int | None = None
    last_event_id: str | None = None
    shared_parts: tuple = ()
    whole_part: str = ""

    @property
    def blamed_parts(self):
        """Return the parts that may be to blame if an endpoint ends under the request."""
        parts = tuple(map(caller_part, self.shared_parts))
        return (*parts, self.whole_part) if self.whole_part else parts


@dataclass
class AttemptMetadata:
    """Metadata that the gateway adds to one attempt at an endpoint."""

    endpoint_id: str
    account: str | None
    deadline_ms: float
    priority: int | None = None
    last_event_id: str | None = None


@dataclass
class ResponseMetadata:
    """Metadata from the headers of an endpoint's response.

    Parameters
    ----------
    request_id : str or None
        The id of the request that it answers.
    stamped : bool
        Whether it carries the endpoint's stamp.
    misdirected : bool
        Whether the endpoint reports that it is not the expected one, or not in the expected
        state.
    not_run : bool
        Whether the endpoint states that it did not execute the request.
    load : tuple of int or None
        Running requests, waiting requests and slots.
    leaving : bool
        Whether the endpoint says that it leaves.
    retry_after_ms : float or None
        How long the endpoint, which refused the request, wants no other from this daemon.
    endpoint_id : str or None
        The endpoint that answers, if it says so.
    limit_per_s : float or None
        Requests per second that the endpoint takes from all daemons together; NaN if it names a
        limit that can't be read, None if it names none.
    cold_ms : float
        Time for which the endpoint says that it is still cold.
    """

    request_id: str | None
    stamped: bool
    misdirected: bool
    not_run: bool
    load: tuple | None = None
    leaving: bool = False
    retry_after_ms: float | None = None
    endpoint_id: str | None = None
    limit_per_s: float | None = None
    cold_ms: float = 0.0


class WireFormat(ABC):
    """Reads and writes the headers of a platform."""

    @abstractmethod
    def read_request(self, request):
        """Return the `RequestMetadata` of a `CallerRequest`."""

    @abstractmethod
    def endpoint_headers(self, request, attempt):
        """Return the headers of an attempt, from the caller's and its `AttemptMetadata`."""

    @abstractmethod
    def read_response(self, head):
        """Return the `ResponseMetadata` of a `ResponseHead`."""

    @abstractmethod
    def caller_headers(self, head):
        """Return the headers of an endpoint's response that are forwarded to the caller."""
