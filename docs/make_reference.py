"""Writes docs/reference.md from the code: codes, settings, document, metrics, log events."""

import inspect
import re
import sys
from pathlib import Path

from prometheus_client import REGISTRY

from corianderhaven.common import ErrorCode
from corianderhaven.config import document_schema
from corianderhaven.daemon._main import serve

ROOT = Path(__file__).parent.parent
TARGET = ROOT / "docs" / "reference.md"
EVENT_PATTERN = re.compile(r'(?:\.record\(|_record_change\()\s*(?:plan,\s*)?"([a-z_]+)"')
REMOVED_PATTERN = re.compile(r'_remove\(plan, replica, "([a-z_]+)"')


def error_rows():
    """Return one row per error code."""
    return [f"| `{code.text}` | {code.status} |" for code in ErrorCode]


def setting_rows():
    """Return one row per daemon setting."""
    text = inspect.getdoc(serve)
    descriptions = dict(re.findall(r":param (\w+): (.+)", text))
    return [
        f"| `--{name.replace('_', '-')}` | `CORIANDERHAVEN_{name.upper()}` | "
        f"`{parameter.default!r}` | {descriptions[name]} |"
        for name, parameter in inspect.signature(serve).parameters.items()
    ]


def document_rows():
    """Return one row per field of each model of the document."""
    rows = []
    for model, schema in document_schema()["$defs"].items():
        for name, field in schema.get("properties", {}).items():
            required = "yes" if name in schema.get("required", ()) else ""
            rows.append(f"| {model} | `{name}` | {_kind(field)} | {required} |")
    return rows


def _kind(field):
    if "$ref" in field:
        return field["$ref"].rpartition("/")[2]
    if "anyOf" in field:
        return " or ".join(_kind(option) for option in field["anyOf"])
    if field.get("type") == "array":
        return f"list of {_kind(field['items'])}"
    limits = [f"≥ {field['minimum']}"] if "minimum" in field else []
    limits += [f"≤ {field['maximum']}"] if "maximum" in field else []
    kind = field.get("type") or f"one of {field.get('enum')}"
    return " ".join([kind, *limits])


def metric_rows():
    """Return one row per metric of the daemon."""
    return [
        f"| `{metric.name}` | {metric.type} | {metric.documentation} |"
        for metric in sorted(REGISTRY.collect(), key=lambda metric: metric.name)
        if metric.name.startswith("corianderhaven_")
    ]


def event_rows():
    """Return one row per log event, with the module that records it."""
    found = set()
    for path in sorted(ROOT.glob("libraries/*/src/corianderhaven/*/_*.py")):
        text = path.read_text()
        for pattern in (EVENT_PATTERN, REMOVED_PATTERN):
            found |= {(event, path.stem.strip("_")) for event in pattern.findall(text)}
    return [f"| `{event}` | {module} |" for event, module in sorted(found)]


def reference():
    """Return the text of the page."""
    parts = [
        "# Reference",
        "",
        "Made by `docs/make_reference.py`; a test fails when it is out of date.",
        "",
        *_table("Error codes", "code | status", error_rows()),
        *_table(
            "Settings of corianderhavend", "flag | variable | default | meaning", setting_rows()
        ),
        *_table("Document", "model | field | type | required", document_rows()),
        *_table("Metrics", "name | type | meaning", metric_rows()),
        *_table("Log events", "event | module", event_rows()),
    ]
    return "\n".join(parts).rstrip() + "\n"


def _table(title, heading, rows):
    ruler = "|".join("---" for _ in heading.split("|"))
    return [f"## {title}", "", f"| {heading} |", f"|{ruler}|", *rows, ""]


if __name__ == "__main__":
    if "--check" in sys.argv:
        sys.exit(TARGET.read_text() != reference())
    TARGET.write_text(reference())
