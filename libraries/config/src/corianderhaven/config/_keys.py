"""Bearer keys, stored only as salted hashes."""

import hashlib
import hmac
import secrets

from ._models import KeyHash

SALT_BYTES = 16
SECRET_BYTES = 24


def _hash_secret(salt, secret):
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def make_key(key_id, secret=None):
    """Create a bearer key and its hash.

    Parameters
    ----------
    key_id : str
        Public part of the key.
    secret : str or None
        Secret part of the key; random by default. A random secret needs no slow hash.

    Returns
    -------
    tuple of (str, KeyHash)
        The key for the caller and the hash for the document.
    """
    secret = secret or secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return f"{key_id}.{secret}", KeyHash(id=key_id, salt=salt, sha256=_hash_secret(salt, secret))


def verify_secret(key_hash, secret):
    """Check `secret` against `key_hash` in constant time."""
    return hmac.compare_digest(_hash_secret(key_hash.salt, secret), key_hash.sha256)


class KeyRing:
    """Authenticates bearer keys of client accounts or operators.

    Parameters
    ----------
    holders : list of Account or Operator
        Owners of the keys.
    """

    def __init__(self, holders):
        self.holders = holders
        self.by_id = {key.id: (holder, key) for holder in holders for key in holder.keys}

    def authenticate(self, authorization):
        """Return the holder of the key in an ``Authorization`` header value, or None."""
        scheme, _, key = (authorization or "").partition(" ")
        key_id, _, secret = key.strip().partition(".")
        found = self.by_id.get(key_id)
        if scheme.lower() != "bearer" or found is None:
            return None
        holder, key_hash = found
        return holder if verify_secret(key_hash, secret) else None
