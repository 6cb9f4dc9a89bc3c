"""Tests of document validation, bearer keys and document changes."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import CorianderhavenError, ErrorCode
from corianderhaven.config import KeyRing, diff_documents, make_key, parse_document
from corianderhaven.config._models import Account


def sample_document():
    return {
        "format": 1,
        "site": "dakar",
        "zones": ["plateau", "pikine"],
        "accounts": [{"name": "team-a"}],
        "models": [{"name": "report", "versions": ["v1"]}],
        "deployments": [
            {
                "name": "drafts",
                "model": "report",
                "version": "v1",
                "members_per_replica": 4,
                "vms": {"label": "drafting"},
            }
        ],
        "services": [
            {
                "name": "covers",
                "vms": {"label": "covers"},
                "operations": [{"name": "close", "idempotent": False}],
            }
        ],
    }


def parse_error(raw):
    with pytest.raises(CorianderhavenError) as caught:
        parse_document(msgspec.json.encode(raw))
    return caught.value


def test_valid_document_is_parsed():
    assert (
        parse_document(msgspec.json.encode(sample_document())).deployments[0].members_per_replica
        == 4
    )


def test_all_errors_are_collected_with_paths():
    raw = sample_document()
    raw["deployments"][0]["model"] = "absent"
    raw["deployments"][0]["accounts"] = ["nobody"]
    raw["services"][0]["vms"]["zones"] = ["mars"]
    paths = {error.path for error in parse_error(raw).errors}
    assert paths == {
        "$.deployments[0].model",
        "$.deployments[0].accounts[0]",
        "$.services[0].vms.zones[0]",
    }


def test_type_errors_of_several_items_are_collected():
    raw = sample_document()
    raw["accounts"].append({"name": "Bad Name"})
    raw["deployments"][0]["members_per_replica"] = 0
    raw["surprise"] = 1
    paths = {error.path for error in parse_error(raw).errors}
    assert paths == {"$.accounts[1].name", "$.deployments[0].members_per_replica", "$.surprise"}


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.recursive(
        st.none() | st.integers() | st.text(),
        lambda s: (
            st.lists(s)
            | st.dictionaries(
                st.sampled_from(["format", "site", "zones", "deployments", "name", "x"]), s
            )
        ),
        max_leaves=12,
    )
)
def test_arbitrary_json_is_rejected_with_errors(raw):
    error = parse_error(raw)
    assert error.code is ErrorCode.INVALID_DOCUMENT
    assert error.errors


@settings(max_examples=50, derandomize=True, deadline=None)
@given(st.binary(max_size=40))
def test_arbitrary_bytes_are_rejected(payload):
    with pytest.raises(CorianderhavenError):
        parse_document(payload)


def test_changes_match_named_list_items():
    before = parse_document(msgspec.json.encode(sample_document()))
    raw = sample_document()
    raw["accounts"].insert(0, {"name": "team-b"})
    raw["deployments"][0]["priority"] = 1
    changes = diff_documents(before, parse_document(msgspec.json.encode(raw)))
    assert {change.path for change in changes} == {
        "$.accounts[team-b]",
        "$.deployments[drafts].priority",
    }


def test_key_ring_authenticates_only_valid_keys():
    key, key_hash = make_key("team-a-1")
    key_ring = KeyRing([Account(name="team-a", keys=[key_hash])])
    assert key_ring.authenticate(f"Bearer {key}").name == "team-a"
    assert key_ring.authenticate(f"Bearer {key}x") is None
    assert key_ring.authenticate("Basic abc") is None
    assert key_ring.authenticate(None) is None
