"""The operators' interface of a daemon, from the command line."""

from corianderhaven.common import JsonClient, SettingsError, TransportError, check_address

TIMEOUT_MS = 15_000.0


class OperatorClient:
    """Calls the first daemon that answers.

    Parameters
    ----------
    addresses : list of str
        Operators' listeners.
    key : str
        Operator key.
    """

    def __init__(self, addresses, key):
        self.addresses = addresses
        self.key = key

    def start(self):
        """Check the settings; raises `SettingsError`."""
        if not self.addresses:
            raise SettingsError(
                "operators is missing: give --operators or CORIANDERHAVEN_OPERATORS"
            )
        for address in self.addresses:
            check_address("operators", address)
        if not self.key:
            raise SettingsError("key: give --key or CORIANDERHAVEN_KEY")
        return self

    def json(self, method, path, body=None):
        """Return the decoded answer of the first daemon that can be reached."""
        for address in self.addresses:
            try:
                return self.at(address, method, path, body)
            except TransportError as error:
                last = error
        raise SettingsError(f"no daemon answers at {', '.join(self.addresses)}: {last}")

    def at(self, address, method, path, body=None):
        """Return the decoded answer of one daemon."""
        client = JsonClient(address, TIMEOUT_MS, {"Authorization": f"Bearer {self.key}"})
        try:
            return client.json(method, path, body)
        finally:
            client.close()
