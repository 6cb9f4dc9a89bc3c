"""The ``corianderhaven config`` commands: validate, apply, show, diff, schema, key."""

import time
from pathlib import Path

import msgspec

from corianderhaven.common import CorianderhavenError, SettingsError, TransportError, new_id
from corianderhaven.config import (
    ConfigRecord,
    diff_documents,
    document_schema,
    encode_document,
    make_key,
    parse_document,
)

from ._client import OperatorClient
from ._output import EXIT_FAILURE, EXIT_OK, print_json

WAIT_POLL_S = 0.05


def _read_document(path):
    try:
        payload = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}")
    return parse_document(payload)


def config_in_force(client):
    """Return the `ConfigRecord` in force, or None if there is none."""
    try:
        response = client.request("GET", "/operators/config")
    except CorianderhavenError as error:
        if error.code.text == "not_found":
            return None
        raise
    return msgspec.convert(response, ConfigRecord)


def validate(document: str, *, json: bool = False):
    """Validate a document without a daemon.

    :param document: path of a JSON document
    :param json: print JSON
    """
    new_document = _read_document(document)
    result = {
        "valid": True,
        "site": new_document.site,
        "deployments": len(new_document.deployments),
    }
    print_json(result) if json else print(f"{document}: valid")
    return EXIT_OK


def apply(
    document: str,
    *,
    operators: list[str] = (),
    key: str = "",
    base_revision: int = -1,
    change_id: str = "",
    wait: bool = False,
    wait_ms: int = 10000,
    json: bool = False,
):
    """Make a document the configuration in force.

    :param document: path of a JSON document
    :param operators: IP:port of the daemons' operator listeners
    :param key: operator key
    :param base_revision: revision that the change is based on; default: the one in force
    :param change_id: id of an earlier change with unknown outcome, to repeat it
    :param wait: return only when the document is in force at every live daemon
    :param wait_ms: maximum time to wait
    :param json: print JSON
    """
    new_document = _read_document(document)
    client = OperatorClient(list(operators), key).check()
    if base_revision < 0:
        record = config_in_force(client)
        base_revision = record.revision if record else 0
    body = {
        "base_revision": base_revision,
        "change_id": change_id or new_id("change"),
        "document": new_document,
    }
    started = time.monotonic()
    response = client.request("POST", "/operators/config", body)
    behind = _wait_in_force(client, response["revision"], wait_ms) if wait else []
    response["took_ms"] = round((time.monotonic() - started) * 1000, 1)
    response["behind"] = behind
    if json:
        print_json(response)
    else:
        print(f"revision {response['revision']} accepted in {response['took_ms']} ms")
        for name in behind:
            print(f"not in force at {name}")
    return EXIT_FAILURE if behind else EXIT_OK


def _wait_in_force(client, revision, wait_ms):
    """Wait until all live daemons report `revision`; returns the names of those that do not."""
    deadline = time.monotonic() + wait_ms / 1000
    while True:
        behind = _daemons_behind(client, revision)
        if not behind or time.monotonic() > deadline:
            return behind
        time.sleep(WAIT_POLL_S)


def _daemons_behind(client, revision):
    status = client.request("GET", "/operators/status")
    behind = [] if status["revision"] >= revision else [status["daemon"]]
    for peer in status["peers"]:
        if peer["state"] == "dead":
            continue
        try:
            peer_status = client.request_from(peer["address"], "GET", "/operators/status")
        except (TransportError, CorianderhavenError):
            behind.append(peer["daemon"])
            continue
        if peer_status["revision"] < revision:
            behind.append(peer["daemon"])
    return behind


def show(*, operators: list[str] = (), key: str = "", json: bool = False):
    """Print the document in force.

    :param operators: IP:port of the daemons' operator listeners
    :param key: operator key
    :param json: print the whole record as JSON
    """
    record = config_in_force(OperatorClient(list(operators), key).check())
    if record is None:
        raise SettingsError("no configuration is in force")
    if json:
        print_json(record)
    else:
        print(f"# revision {record.revision}, change {record.change_id} by {record.operator}")
        print(encode_document(record.document).decode())
    return EXIT_OK


def diff(document: str, *, operators: list[str] = (), key: str = "", json: bool = False):
    """Print the differences between the document in force and a file.

    :param document: path of a JSON document
    :param operators: IP:port of the daemons' operator listeners
    :param key: operator key
    :param json: print JSON
    """
    new_document = _read_document(document)
    record = config_in_force(OperatorClient(list(operators), key).check())
    changes = diff_documents(record.document if record else None, new_document)
    if json:
        print_json([{"path": c.path, "in_force": c.before, "proposed": c.after} for c in changes])
    else:
        for change in changes:
            print(f"{change.path}: {change.before} -> {change.after}")
    return EXIT_OK


def schema(*, json: bool = True):
    """Print the JSON Schema of the document.

    :param json: ignored; the output is always JSON
    """
    print_json(document_schema())
    return EXIT_OK


def make_bearer_key(key_id: str, *, json: bool = False):
    """Generate a bearer key; the document holds only its hash.

    :param key_id: public id, the first part of the key
    :param json: print JSON
    """
    key, key_hash = make_key(key_id)
    if json:
        print_json({"key": key, "hash": key_hash})
    else:
        print(f"key (keep it secret): {key}")
        print(f"for the document: {msgspec.json.encode(key_hash).decode()}")
    return EXIT_OK
