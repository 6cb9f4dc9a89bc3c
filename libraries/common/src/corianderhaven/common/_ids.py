"""Identifiers and rank without agreement."""

import hashlib
import secrets

ID_BYTES = 8


def new_id(prefix):
    """Return a new random identifier such as ``req-3f9a…``."""
    return f"{prefix}-{secrets.token_hex(ID_BYTES)}"


def _weight(node, job):
    digest = hashlib.blake2b(f"{node}\0{job}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(nodes, job):
    """Sort `nodes` by their rendezvous weight for `job`, highest first.

    Parameters
    ----------
    nodes : iterable of str
        Candidate names.
    job : str
        Name of the job to rank them for.

    Returns
    -------
    list of str
        The same on every process that sees the same nodes.
    """
    return sorted(nodes, key=lambda node: (_weight(node, job), node), reverse=True)
