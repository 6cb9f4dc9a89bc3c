"""The ``corianderhaven`` commands status, replicas, vms, why and drain."""

from urllib.parse import quote

from ._client import OperatorClient
from ._output import EXIT_OK, print_json, print_table


def status(*, operators: list[str] = (), key: str = "", json: bool = False):
    """Show the state of a daemon and of the peers it knows.

    :param operators: IP:port of the daemons' operator listeners
    :param key: operator key
    :param json: print JSON
    """
    response = OperatorClient(list(operators), key).check().request("GET", "/operators/status")
    if json:
        print_json(response)
        return EXIT_OK
    own = {
        **response,
        "state": "ready" if response["ready"] else response["reason"],
        "heard_ms_ago": 0,
    }
    columns = ["daemon", "zone", "state", "revision", "heard_ms_ago"]
    print_table([own, *response["peers"]], columns)
    print(f"in flight: {response['in_flight']}, serves {', '.join(response['served_zones'])}")
    for zone, lease in response["leases"].items():
        print(f"placement lease of {zone}: {lease['state']}, token {lease['token']}")
    return EXIT_OK


def _show_table(operators, key, json, name, columns):
    """Print the rows of the response to ``GET /operators/NAME`` as a table or as JSON."""
    response = OperatorClient(list(operators), key).check().request("GET", f"/operators/{name}")
    if json:
        print_json(response)
    else:
        print_table(response[name], columns)
    return EXIT_OK


def replicas(*, operators: list[str] = (), key: str = "", json: bool = False):
    """Show the replicas, whether each is whole, and the state of its members.

    :param operators: IP:port of the daemons' operator listeners
    :param key: operator key
    :param json: print JSON
    """
    columns = ["replica", "zone", "version", "generation", "whole", "drain", "members"]
    return _show_table(operators, key, json, "replicas", columns)


def vms(*, operators: list[str] = (), key: str = "", json: bool = False):
    """Show the endpoint VMs in the zones that a daemon serves.

    :param operators: IP:port of the daemons' operator listeners
    :param key: operator key
    :param json: print JSON
    """
    columns = ["vm", "zone", "fabric_domain", "listed", "status", "replica", "age_ms"]
    return _show_table(operators, key, json, "vms", columns)


def why(subject: str, *, operators: list[str] = (), key: str = "", json: bool = False):
    """Show the decisions about a VM, replica or request, from all given daemons.

    :param subject: VM, replica or request id
    :param operators: IP:port of the daemons' operator listeners
    :param key: operator key
    :param json: print JSON
    """
    client = OperatorClient(list(operators), key).check()
    decisions = [
        {"daemon": address, **decision}
        for address in client.addresses
        for decision in client.request_from(
            address, "GET", f"/operators/why/{quote(subject, safe='')}"
        )["decisions"]
    ]
    decisions.sort(key=lambda decision: decision["at_ms"])
    if json:
        print_json(decisions)
        return EXIT_OK
    for decision in decisions:
        fields = {k: v for k, v in decision.items() if k not in ("at_ms", "event")}
        print(decision["at_ms"], decision["event"], fields)
    return EXIT_OK


def drain(*, operators: list[str] = (), key: str = "", json: bool = False):
    """Drain the given daemons: they finish the requests in flight, then exit.

    :param operators: IP:port of the daemons to drain
    :param key: operator key
    :param json: print JSON
    """
    client = OperatorClient(list(operators), key).check()
    responses = {
        address: client.request_from(address, "POST", "/operators/drain", {})
        for address in client.addresses
    }
    if json:
        print_json(responses)
    else:
        for address in responses:
            print(f"{address}: draining")
    return EXIT_OK
