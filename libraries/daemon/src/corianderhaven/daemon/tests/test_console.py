"""Tests of the web console over HTTP."""

import re
from html import unescape
from urllib.parse import urlencode

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from corianderhaven.common import open_connection

OPERATOR_KEY = "operator-1.example"
FORM = "application/x-www-form-urlencoded"
INPUT = re.compile(
    r"<input([^>]*)>|<textarea([^>]*)>([^<]*)</textarea>|<select([^>]*)>(.*?)</select>"
)
ATTRIBUTE = re.compile(r'(\w+)="([^"]*)"')


class Browser:
    """HTTP client that keeps the session cookie."""

    def __init__(self, daemon):
        self.address = daemon.peer_info.address
        self.cookie = ""

    def send(self, method, path, values=None, **headers):
        connection = open_connection(self.address, 2000, 10000)
        body = urlencode(values) if values is not None else None
        sent = {"Content-Type": FORM, "Cookie": self.cookie, **headers}
        connection.request(method, path, body=body, headers=sent)
        response = connection.getresponse()
        text = response.data.decode()
        if "Set-Cookie" in response.headers:
            self.cookie = response.headers["Set-Cookie"].partition(";")[0]
        connection.close()
        return response.status, text

    def sign_in(self):
        assert self.send("POST", "/console/login", {"key": OPERATOR_KEY})[0] == 303
        return self


def form_values(text):
    """Return the input values of the configuration or review form."""
    form = text[text.index('action="/console/config"') :]
    values = {}
    for match in INPUT.finditer(form):
        head, area_head, area, select_head, options = match.groups()
        attributes = dict(ATTRIBUTE.findall(head or area_head or select_head))
        if "name" not in attributes:
            continue
        value = attributes.get("value", "")
        if area is not None:
            value = area
        if options is not None:
            value = re.search(r"<option selected>([^<]*)", options)[1]
        if attributes.get("type") == "checkbox" and " checked" not in head:
            continue
        values[attributes["name"]] = unescape(value)
    return values


@pytest.fixture
def browser(shared_site):
    return Browser(shared_site.daemons[0])


def test_sign_in_is_required(browser):
    assert browser.send("GET", "/console")[0] == 303
    assert browser.send("POST", "/console/login", {"key": "operator-1.wrong"})[0] == 401
    browser.sign_in()
    status, text = browser.send("GET", "/console")
    assert status == 200
    assert "whole" in text


def test_session_is_valid_at_another_daemon_and_cannot_be_forged(shared_site, browser):
    browser.sign_in()
    browser.address = shared_site.daemons[1].peer_info.address
    assert browser.send("GET", "/console")[0] == 200
    browser.cookie = browser.cookie[:-1] + ("0" if browser.cookie[-1] != "0" else "1")
    assert browser.send("GET", "/console")[0] == 303


def test_cross_site_form_is_rejected(browser):
    browser.sign_in()
    values = form_values(browser.send("GET", "/console/config")[1])
    origin = {"Origin": "http://elsewhere.example"}
    assert browser.send("POST", "/console/config", values, **origin)[0] == 403
    assert browser.send("POST", "/console/login", {"key": OPERATOR_KEY}, Origin="null")[0] == 403
    values["form_token"] = "0" * 64
    assert browser.send("POST", "/console/config", values)[0] == 403


def test_unchanged_form_yields_the_document_in_force(shared_site, browser):
    browser.sign_in()
    values = form_values(browser.send("GET", "/console/config")[1])
    status, text = browser.send("POST", "/console/config", {**values, "action": "review"})
    assert (status, "Nothing differs" in text) == (200, True)


def test_change_is_in_force_after_review_and_confirmation(shared_site, browser):
    browser.sign_in()
    values = form_values(browser.send("GET", "/console/config")[1])
    values["accounts.0.max_in_flight"] = "55"
    status, text = browser.send("POST", "/console/config", {**values, "action": "review"})
    assert "$.accounts[day-team-a].max_in_flight" in text
    confirmed = {**form_values(text), "action": "confirm"}
    before = shared_site.daemons[0].holder.revision
    assert browser.send("POST", "/console/config", confirmed)[0] == 303
    assert shared_site.daemons[0].holder.revision == before + 1
    assert shared_site.daemons[0].holder.document.accounts[0].max_in_flight == 55


def test_conflict_shows_both_values(shared_site, browser):
    browser.sign_in()
    values = form_values(browser.send("GET", "/console/config")[1])
    other = Browser(shared_site.daemons[1]).sign_in()
    for client, limit in ((other, "41"), (browser, "42")):
        edited = {**values, "accounts.1.max_in_flight": limit, "action": "review"}
        edited["form_token"] = form_values(client.send("GET", "/console/config")[1])["form_token"]
        status, text = client.send("POST", "/console/config", edited)
        confirmed = {**form_values(text), "action": "confirm"}
        status, text = client.send("POST", "/console/config", confirmed)
    assert status == 409
    assert "<td>41</td><td>42</td>" in text


def test_errors_are_shown_beside_their_fields(browser):
    browser.sign_in()
    values = form_values(browser.send("GET", "/console/config")[1])
    values["accounts.0.max_in_flight"] = "none"
    values["deployments.0.model"] = "No Model"
    status, text = browser.send("POST", "/console/config", {**values, "action": "review"})
    assert status == 422
    assert 'id="accounts.0.max_in_flight-error"' in text
    assert 'id="deployments.0.model-error"' in text


def test_confirming_an_invalid_document_is_rejected(browser):
    browser.sign_in()
    values = form_values(browser.send("GET", "/console/config")[1])
    invalid = {"form_token": values["form_token"], "action": "confirm"}
    assert browser.send("POST", "/console/config", invalid)[0] == 400
    assert browser.send("POST", "/console/config", {**invalid, "document": "{}"})[0] == 422


def test_list_items_are_added_and_removed(browser):
    browser.sign_in()
    values = form_values(browser.send("GET", "/console/config")[1])
    status, text = browser.send("POST", "/console/config", {**values, "action": "add:models"})
    assert (status, "models.1.name" in text) == (200, True)
    added = form_values(text)
    status, text = browser.send("POST", "/console/config", {**added, "action": "remove:models.1"})
    assert (status, "models.1.name" in text) == (200, False)


@settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    changed=st.dictionaries(
        st.sampled_from(
            [
                "format",
                "zones",
                "accounts.0.name",
                "accounts.0.weight",
                "deployments.0.vms.label",
                "deployments.7.name",
                "services.0.operations.0.refuses_before_run",
                "weight_store_loads",
                "base_revision",
            ]
        ),
        st.text(alphabet="a1-. ×\n<\"'", max_size=6),
        min_size=1,
    ),
    action=st.sampled_from(["review", "add:zones.0", "remove:accounts.x", "add:", "remove:", "?"]),
)
def test_arbitrary_form_values_cause_no_server_error(shared_site, changed, action):
    browser = Browser(shared_site.daemons[0]).sign_in()
    values = form_values(browser.send("GET", "/console/config")[1])
    before = shared_site.daemons[0].holder.revision
    status, _ = browser.send("POST", "/console/config", {**values, **changed, "action": action})
    assert status < 500
    assert shared_site.daemons[0].holder.revision == before
