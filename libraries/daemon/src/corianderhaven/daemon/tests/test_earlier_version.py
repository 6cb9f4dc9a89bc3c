"""Tests of what daemons of an earlier version send and keep in the store.

The messages were recorded between daemons of commit f9608a4. While a site is upgraded, daemons of
both versions read each other's, so what an earlier one knows keeps its place and meaning.
"""

import json
from pathlib import Path

import msgspec
import pytest

import corianderhaven.fleet.tests
from corianderhaven.fleet import PeerMessage
from corianderhaven.fleet._peer_exchange import DaemonRecord
from corianderhaven.fleet._peer_state import decode_state
from corianderhaven.fleet._permit_issuer import PermitReply, PermitRequest
from corianderhaven.gateway._forwarding import ForwardingDaemon

FOLDER = Path(next(iter(corianderhaven.fleet.tests.__path__)))
RECORDED = json.loads((FOLDER / "messages_f9608a4.json").read_text())
MESSAGES = [
    *((PeerMessage, text) for text in RECORDED["digests"]),
    *((PermitRequest, text) for text in RECORDED["permit_requests"]),
    *((PermitReply, text) for text in RECORDED["permit_replies"]),
    (ForwardingDaemon, RECORDED["forwarding"]),
    (DaemonRecord, RECORDED["store"]["corianderhaven/daemons/edge-a-1"]),
]


def assert_contains(new, old):
    """Check that a decoder which knows only the fields in `old` reads the same from `new`."""
    if isinstance(old, dict):
        assert new.keys() >= old.keys()
        for key, value in old.items():
            assert_contains(new[key], value)
    elif isinstance(old, list):
        assert len(new) >= len(old)
        for new_value, old_value in zip(new, old, strict=False):
            assert_contains(new_value, old_value)
    else:
        assert new == old


@pytest.mark.parametrize(("kind", "text"), MESSAGES)
def test_message_of_an_earlier_version_is_read_and_written_alike(kind, text):
    message = msgspec.json.decode(text, type=kind)
    assert_contains(json.loads(msgspec.json.encode(message)), json.loads(text))


def test_recorded_digests_hold_feeds_and_requests_for_them():
    """So that the test above covers them."""
    messages = [msgspec.json.decode(text, type=PeerMessage) for text in RECORDED["digests"]]
    feeds = [m.feed for m in messages if m.feed is not None]
    assert {feed.full for feed in feeds} == {True, False}
    assert all(feed.contents and feed.store_position == (0, 0) for feed in feeds)
    assert any(m.feed_request is not None for m in messages)


def test_state_of_an_earlier_version_is_read():
    state = decode_state(RECORDED["state"].encode())
    assert state.config_version == 3
    assert state.config
