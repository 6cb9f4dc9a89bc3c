"""The document as it is stored and spread: with a revision and a change id."""

import msgspec

from ._models import Document


class ConfigRecord(msgspec.Struct, kw_only=True):
    """A document in force.

    Attributes
    ----------
    revision : int
        Raised by one with each accepted change; a daemon adopts only higher ones.
    change_id : str
        Unique per proposal, so that a proposer can find its own change after a lost answer.
    operator : str
        Who proposed it.
    document : Document
    recent_changes : list of str
        Change ids of the latest revisions, this one included.
    """

    revision: int
    change_id: str
    operator: str
    document: Document
    recent_changes: list[str] = []

    def encode(self):
        """Return the record as JSON bytes."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, payload):
        """Return the record from JSON bytes."""
        return msgspec.json.decode(payload, type=cls)


def encode_document(document):
    """Return the document as indented JSON bytes."""
    return msgspec.json.format(msgspec.json.encode(document), indent=2)


def document_schema():
    """Return the JSON Schema of the document."""
    return msgspec.json.schema(Document)
