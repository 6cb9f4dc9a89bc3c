"""Signed HTTP exchanges between daemons."""

import hashlib
import hmac
import threading

import msgspec

from corianderhaven.common import JsonClient

SIGNATURE_HEADER = "X-Corianderhaven-Signature"
SIGNATURE_BYTES = 16


def peer_signature(secret, method, path, body):
    """Return the truncated HMAC-SHA256 of a peer message in hexadecimal.

    Parameters
    ----------
    secret : str
        Shared by all daemons of the site.
    method, path : str
    body : bytes
    """
    mac = hmac.new(secret.encode(), digestmod=hashlib.sha256)
    for part in (method.encode(), b"\n", path.encode(), b"\n", body):
        mac.update(part)
    return mac.hexdigest()[: 2 * SIGNATURE_BYTES]


def verify_peer_signature(secret, request):
    """Return whether a `Request` was signed with the shared secret."""
    expected = peer_signature(secret, request.method, request.path, request.body)
    return hmac.compare_digest(expected, request.header(SIGNATURE_HEADER.lower(), ""))


class PeerTransport:
    """Persistent connections to peers, one client per address.

    Parameters
    ----------
    secret : str
    timeout_ms : float
        Time limit of each exchange.
    """

    def __init__(self, secret, timeout_ms=800.0):
        self.secret = secret
        self.timeout_ms = timeout_ms
        self.clients = {}
        self.lock = threading.Lock()
        self.messages = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def call(self, address, method, path, body=None):
        """Send one signed message and return the `ClientResponse`; raises `TransportError`."""
        payload = b"" if body is None else msgspec.json.encode(body)
        signature = peer_signature(self.secret, method, path, payload)
        exchange = self._client(address).call(method, path, body, {SIGNATURE_HEADER: signature})
        with self.lock:
            self.messages += 1
            self.bytes_sent += len(payload)
            self.bytes_received += len(exchange.body)
        return exchange

    def count_served(self, received, sent):
        """Count a message received from a peer and the bytes of its response."""
        with self.lock:
            self.messages += 1
            self.bytes_received += received
            self.bytes_sent += sent

    def close(self):
        """Close all connections."""
        with self.lock:
            clients, self.clients = self.clients, {}
        for client in clients.values():
            client.close()

    def _client(self, address):
        with self.lock:
            if address not in self.clients:
                self.clients[address] = JsonClient(address, self.timeout_ms)
            return self.clients[address]
