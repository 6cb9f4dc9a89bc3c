"""Configuration record: a document with its revision and change id."""

import msgspec

from ._models import Document


class ConfigRecord(msgspec.Struct, kw_only=True):
    """A configuration document as stored and as exchanged between daemons.

    Attributes
    ----------
    revision : int
        Incremented with each accepted change; a daemon adopts only higher revisions.
    change_id : str
        Unique per proposal, so that a proposer can find its change after a lost response.
    operator : str
        Name of the operator that proposed the change.
    document : Document
    recent_changes : list of str
        Change ids of the most recent revisions, including this one.
    """

    revision: int
    change_id: str
    operator: str
    document: Document
    recent_changes: list[str] = []

    def encode(self):
        """Encode the record as JSON bytes."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, payload):
        """Decode a record from JSON bytes."""
        return msgspec.json.decode(payload, type=cls)


def encode_document(document):
    """Encode the document as indented JSON bytes."""
    return msgspec.json.format(msgspec.json.encode(document), indent=2)


def document_schema():
    """Return the JSON Schema of the document."""
    return msgspec.json.schema(Document)
