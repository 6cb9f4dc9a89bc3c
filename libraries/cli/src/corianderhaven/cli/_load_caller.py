"""Callers of an experiment: each sends one request and notes what it sees."""

import time
from dataclasses import dataclass, field

import msgspec

from corianderhaven.common import (
    NETWORK_ERRORS,
    JsonClient,
    TransportError,
    open_connection,
)
from corianderhaven.standins import expected_text

CONNECT_TIMEOUT_MS = 2_000.0
READ_TIMEOUT_MS = 130_000.0
MAX_CONNECTIONS_OF_DRAFT = 4


@dataclass
class DraftResult:
    """What the caller of a draft saw.

    Attributes
    ----------
    outcome : str
        ``complete``, ``wrong`` (a token missing, doubled or another's), ``not_run``,
        ``unknown``, ``failed`` or ``lost`` (the connection broke).
    first_token_ms : float or None
        Since the planned arrival, so that a late start of the tool counts as waiting.
    gaps_ms : list of float
        Times between tokens.
    """

    key: str
    outcome: str = "lost"
    code: str = ""
    first_token_ms: float | None = None
    total_ms: float = 0.0
    tokens: int = 0
    gaps_ms: list = field(default_factory=list)


@dataclass
class OperationResult:
    """What the caller of an operation saw."""

    key: str
    operation_id: str
    outcome: str
    code: str = ""
    took_ms: float = 0.0


class _Chunk(msgspec.Struct):
    choices: list[dict] = []
    error: dict | None = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class DraftCaller:
    """Sends one draft and reads its stream.

    Parameters
    ----------
    addresses : list of str
        Callers' listeners.
    planned : PlannedDraft
    due_s : float
        Monotonic time at which the request was due.
    """

    def __init__(self, addresses, planned, due_s):
        self.addresses = addresses
        self.planned = planned
        self.due_s = due_s
        self.result = DraftResult(planned.key)
        self.texts = []
        self.last_id = ""
        self.last_token_s = None
        self.ended = False
        self.error = None

    def run(self):
        """Return the `DraftResult`."""
        connections = MAX_CONNECTIONS_OF_DRAFT if self.planned.reconnect else 1
        for attempt in range(connections):
            try:
                self._connect(attempt)
            except (TransportError, *NETWORK_ERRORS):
                continue
            if self.ended or self.error is not None:
                break
        self._judge()
        self.result.total_ms = (time.monotonic() - self.due_s) * 1000
        return self.result

    def _connect(self, attempt):
        index = (self.planned.daemon + attempt) % len(self.addresses)
        headers = {
            "Authorization": f"Bearer {self.planned.key}",
            "Content-Type": "application/json",
        }
        if self.last_id:
            headers["Last-Event-ID"] = self.last_id
        connection = open_connection(self.addresses[index], CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS)
        try:
            connection.request(
                "POST",
                "/v1/chat/completions",
                body=self._body(),
                headers=headers,
                preload_content=False,
            )
            response = connection.getresponse()
            if response.status != 200:
                self.error = msgspec.json.decode(response.read()).get("error", {})
                return
            self._read(response)
        finally:
            connection.close()

    def _body(self):
        messages = [{"role": "user", "content": self.planned.prompt}]
        return msgspec.json.encode(
            {
                "model": self.planned.model,
                "messages": messages,
                "max_tokens": self.planned.tokens,
                "stream": True,
            }
        )

    def _read(self, response):
        pending = b""
        for part in response.stream(None):
            now = time.monotonic()
            *blocks, pending = (pending + part).split(b"\n\n")
            tokens = sum(self._take(block) for block in blocks)
            if tokens:
                self._note_times(now, tokens)

    def _take(self, block):
        """Take in one event; returns whether it held a token."""
        identifier, _, data = block.rpartition(b"data: ")
        if data == b"[DONE]":
            self.ended = True
            return False
        chunk = _CHUNK_DECODER.decode(data)
        if chunk.error is not None:
            self.error = chunk.error
            return False
        text = chunk.choices[0].get("delta", {}).get("content", "")
        if identifier.startswith(b"id: "):
            self.last_id = identifier[4:].strip().decode()
        if text:
            self.texts.append(text)
        return bool(text)

    def _note_times(self, now, tokens):
        if self.last_token_s is None:
            self.result.first_token_ms = (now - self.due_s) * 1000
        else:
            gap = (now - self.last_token_s) * 1000 / tokens
            self.result.gaps_ms += [gap] * tokens
        self.last_token_s = now

    def _judge(self):
        self.result.tokens = len(self.texts)
        if self.error is not None:
            self.result.outcome = self.error.get("outcome", "failed")
            self.result.code = self.error.get("code", "")
        elif self.ended:
            prompt = f"user: {self.planned.prompt}\n"
            right = "".join(self.texts) == expected_text(prompt, self.planned.tokens)
            self.result.outcome = "complete" if right else "wrong"


def run_operation(addresses, planned):
    """Send one operation and return its `OperationResult`."""
    headers = {"Authorization": f"Bearer {planned.key}"}
    if planned.idempotency_key:
        headers["Idempotency-Key"] = planned.idempotency_key
    started = time.monotonic()
    path = f"/v1/services/{planned.service}/{planned.operation}"
    address = addresses[planned.daemon % len(addresses)]
    client = JsonClient(address, READ_TIMEOUT_MS, headers)
    outcome, code = "lost", ""
    try:
        exchange = client.call("POST", path, {"operation_id": planned.operation_id})
        if exchange.status == 200:
            outcome = "complete"
        else:
            error = exchange.json()["error"]
            outcome, code = error["outcome"], error["code"]
    except (TransportError, msgspec.DecodeError, KeyError):
        pass
    finally:
        client.close()
    took_ms = (time.monotonic() - started) * 1000
    return OperationResult(planned.key, planned.operation_id, outcome, code, took_ms)
