"""Tests that generated pages and sample documents are up to date."""

import importlib
import subprocess
import sys
from pathlib import Path

import msgspec

from corianderhaven.config import encode_document, parse_document

ROOT = Path(__file__).parents[6]


def test_reference_is_current():
    command = [sys.executable, str(ROOT / "docs" / "make_reference.py"), "--check"]
    assert subprocess.run(command, check=False).returncode == 0, "run make reference"


def test_sample_documents_are_current(monkeypatch):
    monkeypatch.syspath_prepend(str(ROOT / "examples"))
    make_documents = importlib.import_module("make_documents")
    for raw in (make_documents.ndiaye(), make_documents.divitek()):
        document = parse_document(msgspec.json.encode(raw))
        path = ROOT / "examples" / f"{document.site}.json"
        assert path.read_bytes() == encode_document(document) + b"\n"
