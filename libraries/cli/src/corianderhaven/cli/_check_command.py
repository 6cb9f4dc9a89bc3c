"""The ``corianderhaven config check`` command."""

import hashlib
from dataclasses import asdict
from pathlib import Path

import msgspec

from corianderhaven.common import CorianderhavenError, Finding, SettingsError, Severity
from corianderhaven.config import (
    compare_values,
    diff_documents,
    find_contradictions,
    parse_document,
)
from corianderhaven.fleet import check_config
from corianderhaven.hosting import decode_config, read_node_file

from ._client import OperatorClient
from ._config_commands import config_in_force
from ._output import EXIT_FAILURE, EXIT_INVALID, EXIT_OK, print_json

MAX_SHOWN_LENGTH = 60  # of a value in a line of text
KEY_DIGEST_LENGTH = 12  # enough to tell keys apart, and no help in guessing one


def check(
    document: str,
    *,
    against: str = "",
    operators: list[str] = (),
    key: str = "",
    node_settings: str = "",
    strict: bool = False,
    json: bool = False,
):
    """Check a configuration before it is sent; exits with 5 for errors.

    The file holds a document of this product or a configuration in the platform's form.

    :param document: path of the configuration
    :param against: path of the configuration in force, to show what differs
    :param operators: IP:port of the daemons' operator listeners, to compare with what is in force
    :param key: operator key
    :param node_settings: settings file of a daemon, with whose limits the configuration is compared
    :param strict: exit with 1 for warnings
    :param json: print JSON
    """
    findings, checked = _check_payload(_read(document), node_settings)
    changes = []
    if checked is not None and against:
        _, in_force = _check_payload(_read(against), "")
        changes = _differences(in_force, checked)
    elif checked is not None and operators:
        record = config_in_force(OperatorClient(list(operators), key).check())
        changes = _differences(record.document if record else None, checked)
    if json:
        print_json(
            {
                "findings": [asdict(finding) for finding in findings],
                "differences": [
                    {"path": c.path, "in_force": c.before, "proposed": c.after} for c in changes
                ],
            }
        )
    else:
        _print_text(document, findings, changes)
    return _exit_code(findings, strict)


def _exit_code(findings, strict):
    if any(finding.severity is Severity.ERROR for finding in findings):
        return EXIT_INVALID
    return EXIT_FAILURE if findings and strict else EXIT_OK


def _read(path):
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}")


def _check_payload(payload, node_settings):
    """Return the findings in a configuration of either form, and what it decodes to or None."""
    if _is_platform_form(payload):
        settings = read_node_file(node_settings) if node_settings else None
        try:
            config = decode_config(payload)
        except ValueError as error:
            return [Finding(Severity.ERROR, "$", "unreadable", str(error))], None
        return check_config(config, settings), config
    try:
        document = parse_document(payload)
    except CorianderhavenError as error:
        errors = [(e.path, e.message) for e in error.errors] or [("$", error.message)]
        return [Finding(Severity.ERROR, path, error.code.text, why) for path, why in errors], None
    return find_contradictions(document), document


def _is_platform_form(payload):
    """Return whether a configuration has the platform's form, which alone has routes."""
    try:
        raw = msgspec.json.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return isinstance(raw, dict) and "routes" in raw


def _differences(in_force, proposed):
    if type(in_force) is type(proposed) and not isinstance(proposed, msgspec.Struct):
        return compare_values(_without_secrets(in_force), _without_secrets(proposed))
    if in_force is not None and type(in_force) is not type(proposed):
        raise SettingsError("the two configurations have different forms")
    return diff_documents(in_force, proposed)


def _without_secrets(config):
    """Return a `FleetConfig` as a dict in which digests stand for the API keys."""
    value = asdict(config)
    for account in value["accounts"]:
        digests = (hashlib.sha256(key.encode()).hexdigest() for key in account["keys"])
        account["keys"] = sorted(digest[:KEY_DIGEST_LENGTH] for digest in digests)
    return value


def _print_text(name, findings, changes):
    for finding in findings:
        print(f"{finding.severity}: {finding.path}: {finding.message} ({finding.code})")
    for change in changes:
        print(f"differs: {change.path}: {_shown(change.before)} -> {_shown(change.after)}")
    if not findings:
        print(f"{name}: no errors or warnings")


def _shown(value):
    text = "absent" if value is None else str(value)
    return text if len(text) <= MAX_SHOWN_LENGTH else text[: MAX_SHOWN_LENGTH - 3] + "..."
