"""State that a daemon takes over from a peer when it starts, or is behind."""

import msgspec

from ._digests import LimitRecord

STATE_PATH = "/peer/state"


class PeerState(msgspec.Struct):
    """What a daemon knows and the store may have lost in a restore.

    Parameters
    ----------
    config : bytes
        Configuration in force, as the operator wrote it.
    departed : dict of str to (int, int, bool)
        Former or leaving endpoints: start time in ms, number of the last entry, and whether the
        endpoint said that it leaves.
    limits : dict of str to LimitRecord
        Limits that endpoints have named, by endpoint id.
    """

    config: bytes = b""
    config_version: int = 0
    departed: dict[str, tuple[int, int, bool]] = {}
    limits: dict[str, LimitRecord] = {}


def decode_state(body):
    """Return the `PeerState` in `body`; raises ValueError if it can't be decoded."""
    try:
        return msgspec.json.decode(body, type=PeerState)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None
