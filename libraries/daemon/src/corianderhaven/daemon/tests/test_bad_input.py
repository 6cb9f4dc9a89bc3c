"""Property tests: random bodies and headers cause no server error and no change."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import open_connection

KEY = "day-team-a-1.example"
OPERATOR_KEY = "operator-1.example"
NAMES = ["model", "messages", "prompt", "n", "x"]
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "prompt", "n", "x"]), inner, max_size=4
        )
    ),
    max_leaves=8,
)
BODIES = st.binary(max_size=60) | VALUES.map(msgspec.json.encode)
HEADER_TEXT = st.text(alphabet=st.characters(min_codepoint=32, max_codepoint=126), max_size=40)
SETTINGS = settings(max_examples=120, derandomize=True, deadline=None)


def request_status(address, method, path, body, headers):
    connection = open_connection(address, 2000, 10000)
    try:
        connection.request(method, path, body=body, headers=headers)
        return connection.getresponse().status
    finally:
        connection.close()


@SETTINGS
@given(
    path=st.sampled_from(
        ["/v1/chat/completions", "/v1/completions", "/v1/services/tablet/close-cover", "/v1/x"]
    ),
    body=BODIES,
    name=st.sampled_from(["Idempotency-Key", "Last-Event-ID", "X-Request-Id", "Authorization"]),
    value=HEADER_TEXT,
)
def test_random_caller_requests_cause_no_server_error(shared_site, path, body, name, value):
    daemon = shared_site.daemons[0]
    headers = {"Authorization": f"Bearer {KEY}", name: value}
    status = request_status(daemon.callers_server.address, "POST", path, body, headers)
    assert status < 500


@SETTINGS
@given(
    body=BODIES
    | st.builds(
        lambda base, document: msgspec.json.encode({"base_revision": base, "document": document}),
        st.integers(-5, 5) | st.text(max_size=3),
        VALUES,
    )
)
def test_random_operator_bodies_are_rejected(shared_site, body):
    daemon = shared_site.daemons[0]
    before = daemon.holder.record
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    status = request_status(daemon.peer_info.address, "POST", "/operators/config", body, headers)
    assert 400 <= status < 500
    assert daemon.holder.record is before
