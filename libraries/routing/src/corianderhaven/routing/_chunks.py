"""Parsing of completion chunks in the format of the public API."""

import itertools

import msgspec


class _ChunkDelta(msgspec.Struct):
    content: str | None = None


class _ChunkChoice(msgspec.Struct):
    text: str | None = None
    delta: _ChunkDelta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_ChunkChoice] = []


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


def chunk_text(data):
    """Return the text of a chunk."""
    choices = _CHUNK_DECODER.decode(data).choices
    if not choices:
        return ""
    choice = choices[0]
    return choice.text or (choice.delta.content if choice.delta else None) or ""


def chunk_finish_reason(data):
    """Return the finish reason of a chunk, or None."""
    choices = _CHUNK_DECODER.decode(data).choices
    return next(itertools.chain((c.finish_reason for c in choices), [None]))
