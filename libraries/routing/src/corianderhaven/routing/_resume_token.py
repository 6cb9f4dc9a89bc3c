"""Event ids that are resume tokens."""

import hashlib
import hmac
from dataclasses import dataclass

from corianderhaven.common import CorianderhavenError, ErrorCode

MAC_BYTES = 12
STREAM_SEPARATOR = "~"


@dataclass(frozen=True)
class ResumePoint:
    """Where a stream goes on.

    Attributes
    ----------
    stream_id : str
        Chosen by a daemon: zone, replica, generation and a random part.
    offset : int
        Tokens that the caller already has.
    """

    stream_id: str
    offset: int

    @property
    def zone(self):
        """Return the availability zone of the stream."""
        return self.stream_id.split(STREAM_SEPARATOR)[0]

    @property
    def replica_id(self):
        """Return the replica that the stream runs on."""
        return self.stream_id.split(STREAM_SEPARATOR)[1]

    @property
    def generation(self):
        """Return the replica's generation."""
        return int(self.stream_id.split(STREAM_SEPARATOR)[2])


class StreamSigner:
    """Signs the event ids of one stream for one account and request body."""

    def __init__(self, keyed_hash, stream_id):
        self.keyed_hash = keyed_hash
        self.prefix = stream_id.encode() + b"/"

    def event_id(self, offset):
        """Return the event id at `offset`, as bytes."""
        position = self.prefix + b"%d" % offset
        mac = self.keyed_hash.copy()
        mac.update(position)
        return position + b"/" + mac.hexdigest().encode()


class ResumeTokens:
    """Makes and checks event ids; any daemon with the site's secret can check them.

    Parameters
    ----------
    secret : str
        Shared by all daemons of the site.
    """

    def __init__(self, secret):
        self.secret = secret

    def signer(self, stream_id, account, body_digest):
        """Return a `StreamSigner`."""
        return StreamSigner(self._keyed_hash(account, body_digest), stream_id)

    def check(self, token, account, body_digest):
        """Return the `ResumePoint` of a token.

        Raises
        ------
        CorianderhavenError
            For a token of another account, another body, or of no daemon of this site.
        """
        invalid = CorianderhavenError(
            ErrorCode.RESUME_TOKEN_INVALID, "Last-Event-ID is not valid for this account and body"
        )
        parts = token.split("/")
        if len(parts) != 3 or not parts[1].isdigit() or not token.isascii():
            raise invalid
        stream_id, offset, mac = parts
        signer = self.signer(stream_id, account, body_digest)
        expected = signer.event_id(int(offset)).rpartition(b"/")[2]
        if not hmac.compare_digest(expected, mac.encode()):
            raise invalid
        if stream_id.count(STREAM_SEPARATOR) != 3:
            raise invalid
        return ResumePoint(stream_id, int(offset))

    def _keyed_hash(self, account, body_digest):
        key = hashlib.blake2b(self.secret.encode(), digest_size=32).digest()
        keyed_hash = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
        keyed_hash.update(f"{account}\0{body_digest}\0".encode())
        return keyed_hash
