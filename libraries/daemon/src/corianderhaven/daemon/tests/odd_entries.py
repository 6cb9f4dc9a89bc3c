"""Entries of workers that name none to use, as another writer may leave them in the store."""

import msgspec

SOUND_ENTRY = {
    "service": "ledger",
    "address": "127.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
GROUP = {"name": "small.1.1", "epoch": 70_001, "rank": 0, "state": "open"}
DEPTH = 200_000
ODD_FIELDS = {
    "slots-0": {"slots": b"0"},
    "slots-30-digits": {"slots": b"1" + b"0" * 30},
    "slots-4000-digits": {"slots": b"9" * 4_000},
    "port-0": {"address": b'"127.0.0.9:0"'},
    "port-70000": {"address": b'"127.0.0.9:70000"'},
    "born-4000-digits": {"born": b"9" * 4_000},
    "sequence-4000-digits": {"sequence": b"9" * 4_000},
    "cold-infinite": {"cold_remaining_ms": b"1e400"},
    "domain-4000-digits": {"domain": b"9" * 4_000},
    "version-deep": {"version": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH},
    "staged-of-1-MB": {"staged": b"[" + b",".join([b'"m"'] * 200_000) + b"]"},
    "epoch-4000-digits": {"group": GROUP, "epoch": b"9" * 4_000},
    "rank-negative": {"group": GROUP, "rank": b"-1"},
    "surrogate": {"domain": b'"\\ud800"'},
}
ODD_BYTES = {
    "empty": b"",
    "not-utf-8": b'{"service": "\xff\xfe"}',
    "deep": b"[" * DEPTH + b"]" * DEPTH,
}
FORMS = sorted(ODD_FIELDS.keys() | ODD_BYTES.keys())
ODD_IDS = ["", "i\r\nx: y", "i-\u00e9", "i 1", "\U0001f600"]  # no header carries them unchanged


def encode_entry(entry, fields=()):
    """Return the bytes of an entry with raw JSON in place of some fields."""
    values = {name: msgspec.json.encode(value) for name, value in entry.items()}
    values.update(fields)
    return b"{" + b",".join(b'"%s":%s' % (k.encode(), v) for k, v in values.items()) + b"}"


def odd_entry(form, entry=SOUND_ENTRY):
    """Return the bytes of an odd entry, which differs from `entry` only in what is odd."""
    if form in ODD_BYTES:
        return ODD_BYTES[form]
    fields = dict(ODD_FIELDS[form])
    group = fields.pop("group", None)
    if group is not None:
        fields = {"group": encode_entry(group, fields)}
    return encode_entry(entry, fields)
