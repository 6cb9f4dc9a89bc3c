"""One generation of a stand-in engine, resumable at any offset."""

import threading

import msgspec

from ._text import token_text


class Stream:
    """Tokens of one request, kept for a while after the reader has gone.

    Parameters
    ----------
    stream_id : str
        Chosen by the client.
    tag : str
        Hash of the prompt, from which the text is made.
    first : int
        Offset of the first token to generate; tokens before it were generated elsewhere.
    last : int
        Number of tokens of the whole answer.
    chat : bool
        Whether chunks are chat chunks.
    """

    def __init__(self, stream_id, tag, first, last, chat, model, priority, request_id):
        self.stream_id = stream_id
        self.tag = tag
        self.first = first
        self.last = last
        self.chat = chat
        self.model = model
        self.priority = priority
        self.request_id = request_id
        self.generated = first
        self.failed = False
        self.cancelled = False
        self.reader = 0
        self.detached_ms = None
        self.expires_ms = None
        self.ready_ms = 0.0
        self.changed = threading.Condition()

    @property
    def done(self):
        """Return whether all tokens are generated."""
        return self.generated >= self.last

    def advance(self):
        """Generate one token."""
        with self.changed:
            self.generated += 1
            self.changed.notify_all()

    def fail(self):
        """End the stream without its end marker."""
        with self.changed:
            self.failed = True
            self.changed.notify_all()

    def attach(self):
        """Make the caller the only reader; returns its number."""
        with self.changed:
            self.reader += 1
            self.detached_ms = None
            self.expires_ms = None
            self.changed.notify_all()
            return self.reader

    def chunk(self, index):
        """Return the event of token `index`."""
        return self._event(index + 1, self._data(token_text(self.tag, index), None))

    def end_events(self):
        """Return the finishing chunk and the end marker."""
        return b"data: %s\n\ndata: [DONE]\n\n" % self._data("", "stop")

    def _event(self, offset, data):
        return b"id: %s/%d\ndata: %s\n\n" % (self.stream_id.encode(), offset, data)

    def _data(self, text, finish_reason):
        choice = {"index": 0, "finish_reason": finish_reason}
        if self.chat:
            choice["delta"] = {"content": text} if finish_reason is None else {}
            prefix, kind = "chatcmpl-", "chat.completion.chunk"
        else:
            choice["text"] = text
            prefix, kind = "cmpl-", "text_completion"
        return msgspec.json.encode(
            {
                "id": prefix + self.request_id,
                "object": kind,
                "created": 0,
                "model": self.model,
                "choices": [choice],
            }
        )
