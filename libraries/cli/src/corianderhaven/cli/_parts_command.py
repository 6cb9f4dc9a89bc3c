"""The ``corianderhaven parts`` command."""

from corianderhaven.common import JsonClient, SettingsError, check_address

from ._output import EXIT_OK, print_json, print_table

TIMEOUT_MS = 15_000.0
PARTS_PATH = "/operators/parts"
COLUMNS = ["part", "verdict", "ends", "last_end_age_ms", "proven_with"]


def parts(*, peer: str = "", clear: str = "", json: bool = False):
    """Show the parts of prompts under which endpoints ended, or clear one in the whole fleet.

    :param peer: IP:port at which a daemon on the users' platform answers its peers
    :param clear: id of a part that may be sent to endpoints again
    :param json: print JSON
    """
    if not peer:
        raise SettingsError("peer is missing: give --peer or CORIANDERHAVEN_PEER")
    check_address("peer", peer)
    client = JsonClient(peer, TIMEOUT_MS)
    try:
        if clear:
            response = client.json("POST", PARTS_PATH, {"part": clear})
        else:
            response = client.json("GET", PARTS_PATH)
    finally:
        client.close()
    if json:
        print_json(response)
    else:
        print_table(response["parts"], COLUMNS)
    return EXIT_OK
