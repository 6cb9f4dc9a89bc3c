"""OpenAI-compatible completion format: request bodies, events and responses."""

from typing import Annotated

import msgspec

from corianderhaven.common import CorianderhavenError, ErrorCode, FieldError
from corianderhaven.routing import chunk_finish_reason, chunk_text

DEFAULT_MAX_TOKENS = 64
MAX_PROMPT_CHARACTERS = 1_000_000
END_EVENT = b"data: [DONE]\n\n"


class TextPart(msgspec.Struct):
    """A text part of a message's content."""

    type: str
    text: str = ""


class Message(msgspec.Struct):
    """A chat message."""

    role: str
    content: str | list[TextPart] | None = None


class ContinueFrom(msgspec.Struct):
    """The part of a draft that a daemon of another zone has already delivered."""

    text: str
    tokens: Annotated[int, msgspec.Meta(ge=0)]


class DraftBody(msgspec.Struct):
    """The fields of a completion request that the daemon reads; others are passed on."""

    model: str
    messages: list[Message] | None = None
    prompt: str | None = None
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None
    n: int = 1
    continue_from: ContinueFrom | None = None

    def prompt_text(self):
        """Return the prompt as a single string."""
        if self.prompt is not None:
            return self.prompt
        return "".join(f"{m.role}: {_content_text(m.content)}\n" for m in self.messages)

    def token_limit(self):
        """Return the number of tokens requested."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


def _content_text(content):
    if isinstance(content, list):
        return "".join(part.text for part in content)
    return content or ""


def check_body(body, chat):
    """Raise a `CorianderhavenError` with the path of each unsupported or missing field."""
    errors = []
    if chat and not body.messages:
        errors.append(FieldError("$.messages", "must not be empty"))
    if not chat and body.prompt is None:
        errors.append(FieldError("$.prompt", "must be a string"))
    if body.n != 1:
        errors.append(FieldError("$.n", "only 1 is served"))
    if errors:
        message = "; ".join(f"{error.path}: {error.message}" for error in errors)
        raise CorianderhavenError(ErrorCode.INVALID_REQUEST, message, errors=errors)


def format_events(events, signer):
    """Encode events for a caller; the id of an event with tokens is a resume token."""
    return b"".join(
        b"data: %s\n\n" % event.data
        if event.offset is None
        else b"id: %s\ndata: %s\n\n" % (signer.event_id(event.offset), event.data)
        for event in events
    )


def format_peer_events(events, stream_id):
    """Encode events for a daemon of another zone.

    The id of an event with tokens consists of the stream id and the offset, without a signature.
    """
    prefix = (stream_id or "").encode()
    return b"".join(
        b"data: %s\n\n" % event.data
        if event.offset is None
        else b"id: %s/%d\ndata: %s\n\n" % (prefix, event.offset, event.data)
        for event in events
    )


def format_error_event(error):
    """Encode the event that ends a stream which cannot be completed."""
    return b"data: %s\n\n" % msgspec.json.encode(error.to_body())


def completion_response(events, request_id, model, chat):
    """Return the body of a response that is not streamed.

    Parameters
    ----------
    events : list of DraftEvent
    request_id, model : str
    chat : bool
    """
    text = "".join(chunk_text(event.data) for event in events)
    tokens = max((event.offset for event in events if event.offset is not None), default=0)
    reasons = [chunk_finish_reason(event.data) for event in events if event.offset is None]
    choice = {"index": 0, "finish_reason": next(filter(None, reasons), "stop"), "logprobs": None}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": ("chatcmpl-" if chat else "cmpl-") + request_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": {"prompt_tokens": 0, "completion_tokens": tokens, "total_tokens": tokens},
    }
