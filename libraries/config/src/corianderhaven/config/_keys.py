"""Bearer keys, kept only as salted hashes."""

import hashlib
import hmac
import secrets

from ._models import KeyHash

SALT_BYTES = 16
SECRET_BYTES = 24


def _digest(salt, secret):
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def make_key(key_id, secret=None):
    """Return a new bearer key and its hash for the document.

    Parameters
    ----------
    key_id : str
        Public part.
    secret : str or None
        Random by default; a random secret needs no slow hash.

    Returns
    -------
    tuple of (str, KeyHash)
        The key that the caller keeps, and what the document keeps.
    """
    secret = secret or secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return f"{key_id}.{secret}", KeyHash(id=key_id, salt=salt, sha256=_digest(salt, secret))


def verify_secret(key_hash, secret):
    """Compare in constant time."""
    return hmac.compare_digest(_digest(key_hash.salt, secret), key_hash.sha256)


class KeyRing:
    """Finds the holder of a bearer key.

    Parameters
    ----------
    holders : list of Account or Operator
        With their key hashes.
    """

    def __init__(self, holders):
        self.holders = holders
        self.by_id = {key.id: (holder, key) for holder in holders for key in holder.keys}

    def authenticate(self, authorization):
        """Return the holder for an ``Authorization: Bearer`` value, or None."""
        scheme, _, key = (authorization or "").partition(" ")
        key_id, _, secret = key.strip().partition(".")
        found = self.by_id.get(key_id)
        if scheme.lower() != "bearer" or found is None:
            return None
        holder, key_hash = found
        return holder if verify_secret(key_hash, secret) else None
