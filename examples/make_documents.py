"""Write the sample documents; their keys are for examples only."""

import hashlib
from pathlib import Path

import msgspec

from corianderhaven.config import KeyHash, encode_document, parse_document

FOLDER = Path(__file__).parent
SALT = "00112233445566778899aabbccddeeff"


def key_hash(key_id, secret):
    """Return the hash of an example key, with a fixed salt so that every run is identical."""
    digest = hashlib.sha256(bytes.fromhex(SALT) + secret.encode()).hexdigest()
    return msgspec.to_builtins(KeyHash(id=key_id, salt=SALT, sha256=digest))


def account(name, priority=5, weight=1.0, max_in_flight=64):
    """Return an account whose key is ``NAME-1.example``."""
    return {
        "name": name,
        "keys": [key_hash(f"{name}-1", "example")],
        "priority": priority,
        "weight": weight,
        "max_in_flight": max_in_flight,
    }


def ndiaye():
    """Return the sample document of the Ndiaye site."""
    return {
        "format": 1,
        "site": "ndiaye",
        "zones": ["plateau", "pikine", "rufisque"],
        "accounts": [account("day-team-a", 3), account("day-team-b", 3), account("office", 6)],
        "operators": [{"name": "operator", "keys": [key_hash("operator-1", "example")]}],
        "models": [{"name": "report-drafter", "versions": ["v1", "v2"], "adapters": ["covers"]}],
        "deployments": [
            {
                "name": "drafts",
                "model": "report-drafter",
                "version": "v1",
                "adapters": ["covers"],
                "members_per_replica": 4,
                "vms": {"label": "drafting"},
                "repair": {"group_downtime": 4.0, "stranded_accelerators": 0.5},
            }
        ],
        "services": [
            {
                "name": "tablet",
                "vms": {"label": "tablet"},
                "operations": [
                    {"name": "close-cover", "idempotent": False, "refuses_before_run": [503]},
                    {"name": "read-site", "idempotent": True, "refuses_before_run": [503]},
                ],
            }
        ],
    }


def divitek():
    """Return the sample document of the Divitek site."""
    return {
        "format": 1,
        "site": "divitek",
        "zones": ["sofia-1", "sofia-2", "sofia-3"],
        "accounts": [account("large-office", 5, 2.0, 96), account("small-office", 5)],
        "operators": [{"name": "operator", "keys": [key_hash("operator-1", "example")]}],
        "models": [{"name": "resolution-drafter", "versions": ["v1"]}],
        "deployments": [
            {
                "name": "drafts",
                "model": "resolution-drafter",
                "version": "v1",
                "members_per_replica": 4,
                "vms": {"label": "drafting"},
                "repair": {"group_downtime": 1.0, "stranded_accelerators": 2.0},
            }
        ],
        "services": [
            {
                "name": "vouchers",
                "vms": {"label": "ledger"},
                "operations": [
                    {"name": "issue", "idempotent": False, "refuses_before_run": [503]},
                    {"name": "status", "idempotent": True, "refuses_before_run": [503]},
                ],
            }
        ],
    }


if __name__ == "__main__":
    for document in (ndiaye(), divitek()):
        checked = parse_document(msgspec.json.encode(document))
        path = FOLDER / f"{checked.site}.json"
        path.write_bytes(encode_document(checked) + b"\n")
        print(f"wrote {path.name}")
