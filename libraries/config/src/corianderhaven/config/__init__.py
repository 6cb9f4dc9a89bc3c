"""The configuration document: data models, validation, bearer keys and changes."""

from ._checks import check_document, parse_document
from ._contradictions import find_contradictions
from ._diff import Change, compare_values, diff_documents
from ._keys import KeyRing, make_key, verify_secret
from ._models import (
    Account,
    Deployment,
    Document,
    EngineContract,
    Floor,
    KeyHash,
    Limits,
    Model,
    Operation,
    Operator,
    RepairWeights,
    Service,
    VmSelector,
)
from ._record import ConfigRecord, document_schema, encode_document

__all__ = [
    "Account",
    "Change",
    "ConfigRecord",
    "Deployment",
    "Document",
    "EngineContract",
    "Floor",
    "KeyHash",
    "KeyRing",
    "Limits",
    "Model",
    "Operation",
    "Operator",
    "RepairWeights",
    "Service",
    "VmSelector",
    "check_document",
    "compare_values",
    "find_contradictions",
    "diff_documents",
    "document_schema",
    "encode_document",
    "make_key",
    "parse_document",
    "verify_secret",
]
