"""Callers of a load test: each sends one request and records its result."""

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
MAX_CONNECTIONS_PER_DRAFT = 4


@dataclass
class DraftResult:
    """Result of one draft, as its caller observed it.

    Attributes
    ----------
    outcome : str
        ``complete``, ``wrong`` (tokens are missing, duplicated or belong to another request),
        ``not_run``, ``unknown``, ``failed`` or ``lost`` (the connection broke).
    first_token_ms : float or None
        Measured from the planned arrival, so that a delay in the load generator counts too.
    gaps_ms : list of float
        Times between consecutive tokens.
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
    """Result of one operation, as its caller observed it."""

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
        IP:port of the daemons' caller listeners.
    planned : PlannedDraft
    due_s : float
        Monotonic time of the planned arrival.
    """

    def __init__(self, addresses, planned, due_s):
        self.addresses = addresses
        self.planned = planned
        self.due_s = due_s
        self.result = DraftResult(planned.key)
        self.token_texts = []
        self.last_event_id = ""
        self.last_token_s = None
        self.received_done = False
        self.error = None

    def run(self):
        """Send the request, reconnecting if planned, and return the `DraftResult`."""
        connections = MAX_CONNECTIONS_PER_DRAFT if self.planned.reconnect else 1
        for attempt in range(connections):
            try:
                self._send(attempt)
            except (TransportError, *NETWORK_ERRORS):
                continue
            if self.received_done or self.error is not None:
                break
        self._set_outcome()
        self.result.total_ms = (time.monotonic() - self.due_s) * 1000
        return self.result

    def _send(self, attempt):
        index = (self.planned.daemon + attempt) % len(self.addresses)
        headers = {
            "Authorization": f"Bearer {self.planned.key}",
            "Content-Type": "application/json",
        }
        if self.last_event_id:
            headers["Last-Event-ID"] = self.last_event_id
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
            self._read_stream(response)
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

    def _read_stream(self, response):
        pending = b""
        for chunk_bytes in response.stream(None):
            now = time.monotonic()
            *events, pending = (pending + chunk_bytes).split(b"\n\n")
            tokens = sum(self._process_event(event) for event in events)
            if tokens:
                self._record_token_times(now, tokens)

    def _process_event(self, event):
        """Process one server-sent event; returns whether it held a token."""
        id_line, _, data = event.rpartition(b"data: ")
        if data == b"[DONE]":
            self.received_done = True
            return False
        chunk = _CHUNK_DECODER.decode(data)
        if chunk.error is not None:
            self.error = chunk.error
            return False
        text = chunk.choices[0].get("delta", {}).get("content", "")
        if id_line.startswith(b"id: "):
            self.last_event_id = id_line[4:].strip().decode()
        if text:
            self.token_texts.append(text)
        return bool(text)

    def _record_token_times(self, now, tokens):
        if self.last_token_s is None:
            self.result.first_token_ms = (now - self.due_s) * 1000
        else:
            gap = (now - self.last_token_s) * 1000 / tokens
            self.result.gaps_ms += [gap] * tokens
        self.last_token_s = now

    def _set_outcome(self):
        self.result.tokens = len(self.token_texts)
        if self.error is not None:
            self.result.outcome = self.error.get("outcome", "failed")
            self.result.code = self.error.get("code", "")
        elif self.received_done:
            prompt = f"user: {self.planned.prompt}\n"
            is_correct = "".join(self.token_texts) == expected_text(prompt, self.planned.tokens)
            self.result.outcome = "complete" if is_correct else "wrong"


def run_operation(addresses, planned):
    """Send one operation; returns its `OperationResult`."""
    headers = {"Authorization": f"Bearer {planned.key}"}
    if planned.idempotency_key:
        headers["Idempotency-Key"] = planned.idempotency_key
    started = time.monotonic()
    path = f"/v1/services/{planned.service}/{planned.operation}"
    address = addresses[planned.daemon % len(addresses)]
    client = JsonClient(address, READ_TIMEOUT_MS, headers)
    outcome, code = "lost", ""
    try:
        response = client.call("POST", path, {"operation_id": planned.operation_id})
        if response.status == 200:
            outcome = "complete"
        else:
            error = response.json()["error"]
            outcome, code = error["outcome"], error["code"]
    except (TransportError, msgspec.DecodeError, KeyError):
        pass
    finally:
        client.close()
    took_ms = (time.monotonic() - started) * 1000
    return OperationResult(planned.key, planned.operation_id, outcome, code, took_ms)
