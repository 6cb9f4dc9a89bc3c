"""``corianderhaven status``, ``replicas``, ``vms``, ``why`` and ``drain``."""

from urllib.parse import quote

from ._client import OperatorClient
from ._output import EXIT_OK, print_json, print_table


def status(*, operators: list[str] = (), key: str = "", json: bool = False):
    """Show the state of a daemon and of the peers it knows.

    :param operators: IP:port of daemons' operators' listeners
    :param key: operator key
    :param json: print JSON
    """
    answer = OperatorClient(list(operators), key).start().json("GET", "/operators/status")
    if json:
        print_json(answer)
        return EXIT_OK
    own = {**answer, "state": "ready" if answer["ready"] else answer["reason"], "heard_ms_ago": 0}
    columns = ["daemon", "zone", "state", "revision", "heard_ms_ago"]
    print_table([own, *answer["peers"]], columns)
    print(f"in flight: {answer['in_flight']}, serves {', '.join(answer['served_zones'])}")
    for zone, lease in answer["leases"].items():
        print(f"placement lease of {zone}: {lease['state']}, token {lease['token']}")
    return EXIT_OK


def _show_table(operators, key, json, name, columns):
    """Print the rows that a daemon gives under ``/operators/NAME``."""
    answer = OperatorClient(list(operators), key).start().json("GET", f"/operators/{name}")
    if json:
        print_json(answer)
    else:
        print_table(answer[name], columns)
    return EXIT_OK


def replicas(*, operators: list[str] = (), key: str = "", json: bool = False):
    """Show replicas: whole or not, and the state of each member.

    :param operators: IP:port of daemons' operators' listeners
    :param key: operator key
    :param json: print JSON
    """
    columns = ["replica", "zone", "version", "generation", "whole", "drain", "members"]
    return _show_table(operators, key, json, "replicas", columns)


def vms(*, operators: list[str] = (), key: str = "", json: bool = False):
    """Show the endpoint VMs of the zones that a daemon serves.

    :param operators: IP:port of daemons' operators' listeners
    :param key: operator key
    :param json: print JSON
    """
    columns = ["vm", "zone", "fabric_domain", "listed", "status", "replica", "age_ms"]
    return _show_table(operators, key, json, "vms", columns)


def why(subject: str, *, operators: list[str] = (), key: str = "", json: bool = False):
    """Show the decisions that name a VM, replica or request, from all given daemons.

    :param subject: VM, replica or request id
    :param operators: IP:port of daemons' operators' listeners
    :param key: operator key
    :param json: print JSON
    """
    client = OperatorClient(list(operators), key).start()
    decisions = [
        {"daemon": address, **decision}
        for address in client.addresses
        for decision in client.at(address, "GET", f"/operators/why/{quote(subject, safe='')}")[
            "decisions"
        ]
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
    """Drain the daemons given: they finish what is in flight, then exit.

    :param operators: IP:port of the daemons to drain
    :param key: operator key
    :param json: print JSON
    """
    client = OperatorClient(list(operators), key).start()
    answers = {
        address: client.at(address, "POST", "/operators/drain", {}) for address in client.addresses
    }
    if json:
        print_json(answers)
    else:
        for address in answers:
            print(f"{address}: draining")
    return EXIT_OK
