"""State that a daemon takes over from a peer when it starts, or is behind."""

import functools
import zlib

import msgspec

from ._digests import LimitRecord
from ._evacuations import EvacuationRecord

STATE_PATH = "/peer/state"
COMPRESSION_LEVEL = 1  # the text of a configuration shrinks well at any level
MAX_CONFIG_BYTES = 16 << 20  # several times what the store takes


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
    evacuations : dict of str to EvacuationRecord
        State of zones that are or were evacuated, by zone.
    """

    config: bytes = b""
    config_version: int = 0
    departed: dict[str, tuple[int, int, bool]] = {}
    limits: dict[str, LimitRecord] = {}
    evacuations: dict[str, EvacuationRecord] = {}


class _PackedState(msgspec.Struct):
    """A `PeerState` as sent, with its configuration compressed."""

    packed_config: bytes
    config_version: int = 0
    departed: dict[str, tuple[int, int, bool]] = {}
    limits: dict[str, LimitRecord] = {}
    evacuations: dict[str, EvacuationRecord] = {}


def encode_state(state):
    """Return the bytes of a `PeerState`."""
    return msgspec.json.encode(
        _PackedState(
            _pack(state.config),
            state.config_version,
            state.departed,
            state.limits,
            state.evacuations,
        )
    )


def decode_state(body):
    """Return the `PeerState` in `body`; raises ValueError if it can't be decoded."""
    try:
        packed = msgspec.json.decode(body, type=_PackedState)
        config = _unpack(packed.packed_config)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, zlib.error) as error:
        raise ValueError(str(error)) from None
    return PeerState(
        config, packed.config_version, packed.departed, packed.limits, packed.evacuations
    )


@functools.lru_cache(maxsize=1)
def _pack(config):
    """Compress a configuration, once for all daemons that ask for it at the same time."""
    return zlib.compress(config, COMPRESSION_LEVEL)


def _unpack(packed):
    decompressor = zlib.decompressobj()
    config = decompressor.decompress(packed, MAX_CONFIG_BYTES)
    if not decompressor.eof:
        raise ValueError("configuration cut short or too large")
    return config
