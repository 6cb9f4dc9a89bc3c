"""Random identifiers and rendezvous hashing."""

import hashlib
import secrets

ID_BYTES = 8


def new_id(prefix):
    """Return a new random identifier such as ``req-3f9a…``."""
    return f"{prefix}-{secrets.token_hex(ID_BYTES)}"


def _weight(node, key):
    digest = hashlib.blake2b(f"{node}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(nodes, key):
    """Sort `nodes` by their rendezvous hash for `key`, highest first.

    Parameters
    ----------
    nodes : iterable of str
        Names of the candidate nodes.
    key : str
        Key to assign to a node.

    Returns
    -------
    list of str
        The same order in every process that passes the same nodes, without coordination.
    """
    return sorted(nodes, key=lambda node: (_weight(node, key), node), reverse=True)
