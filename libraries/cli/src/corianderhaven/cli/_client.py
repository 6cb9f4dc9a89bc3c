"""Client for the operator API of the daemons."""

from corianderhaven.common import JsonClient, SettingsError, TransportError, check_address

TIMEOUT_MS = 15_000.0


class OperatorClient:
    """Sends each request to the first daemon that can be reached.

    Parameters
    ----------
    addresses : list of str
        IP:port of the daemons' operator listeners.
    key : str
        Operator key.
    """

    def __init__(self, addresses, key):
        self.addresses = addresses
        self.key = key

    def check(self):
        """Return the client if its settings are valid, else raise `SettingsError`."""
        if not self.addresses:
            raise SettingsError(
                "operators is missing: give --operators or CORIANDERHAVEN_OPERATORS"
            )
        for address in self.addresses:
            check_address("operators", address)
        if not self.key:
            raise SettingsError("key: give --key or CORIANDERHAVEN_KEY")
        return self

    def request(self, method, path, body=None):
        """Return the decoded JSON response of the first daemon that can be reached."""
        for address in self.addresses:
            try:
                return self.request_from(address, method, path, body)
            except TransportError as error:
                last_error = error
        raise SettingsError(
            f"no daemon could be reached at {', '.join(self.addresses)}: {last_error}"
        )

    def request_from(self, address, method, path, body=None):
        """Return the decoded JSON response of the daemon at `address`."""
        client = JsonClient(address, TIMEOUT_MS, {"Authorization": f"Bearer {self.key}"})
        try:
            return client.json(method, path, body)
        finally:
            client.close()
