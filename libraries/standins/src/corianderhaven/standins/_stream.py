"""Stream of generated tokens that can be resumed at any offset."""

import threading

import msgspec

from ._text import token_text


class Stream:
    """Tokens of one request, retained for some time after the reader disconnects.

    Parameters
    ----------
    stream_id : str
        ID chosen by the client.
    prompt_hash : str
        Hash of the prompt; the generated text is derived from it.
    start_offset : int
        Offset of the first token to generate; another replica generated the tokens before it.
    total_tokens : int
        Number of tokens in the complete answer.
    chat : bool
        Whether to use the chat completion format for chunks.
    """

    def __init__(
        self, stream_id, prompt_hash, start_offset, total_tokens, chat, model, priority, request_id
    ):
        self.stream_id = stream_id
        self.prompt_hash = prompt_hash
        self.start_offset = start_offset
        self.total_tokens = total_tokens
        self.chat = chat
        self.model = model
        self.priority = priority
        self.request_id = request_id
        self.generated = start_offset
        self.failed = False
        self.cancelled = False
        self.reader_id = 0
        self.detached_ms = None
        self.expires_ms = None
        self.ready_ms = 0.0
        self.changed = threading.Condition()

    @property
    def done(self):
        """Return whether all tokens have been generated."""
        return self.generated >= self.total_tokens

    def advance(self):
        """Generate one token."""
        with self.changed:
            self.generated += 1
            self.changed.notify_all()

    def fail(self):
        """Mark the stream as failed; readers then get no end marker."""
        with self.changed:
            self.failed = True
            self.changed.notify_all()

    def attach(self):
        """Make the caller the only reader and return its ID."""
        with self.changed:
            self.reader_id += 1
            self.detached_ms = None
            self.expires_ms = None
            self.changed.notify_all()
            return self.reader_id

    def chunk(self, index):
        """Return the server-sent event of token `index`."""
        return self._encode_event(
            index + 1, self._encode_chunk(token_text(self.prompt_hash, index), None)
        )

    def end_events(self):
        """Return the final chunk and the end marker."""
        return b"data: %s\n\ndata: [DONE]\n\n" % self._encode_chunk("", "stop")

    def _encode_event(self, offset, data):
        return b"id: %s/%d\ndata: %s\n\n" % (self.stream_id.encode(), offset, data)

    def _encode_chunk(self, text, finish_reason):
        choice = {"index": 0, "finish_reason": finish_reason}
        if self.chat:
            choice["delta"] = {"content": text} if finish_reason is None else {}
            id_prefix, object_kind = "chatcmpl-", "chat.completion.chunk"
        else:
            choice["text"] = text
            id_prefix, object_kind = "cmpl-", "text_completion"
        return msgspec.json.encode(
            {
                "id": id_prefix + self.request_id,
                "object": object_kind,
                "created": 0,
                "model": self.model,
                "choices": [choice],
            }
        )
