"""Client of the platform's VM list over HTTP."""

import msgspec

from corianderhaven.common import CorianderhavenError, ErrorCode, JsonClient, TransportError

from ._base import BaseVmList, Vm


class _VmListResponse(msgspec.Struct):
    vms: list[Vm]


class HttpVmList(BaseVmList):
    """Client of ``GET /vms``.

    Parameters
    ----------
    address : str
        ``IP:port``.
    timeout_ms : float
        Time limit of each call.
    """

    def __init__(self, address, timeout_ms=1500.0):
        self.address = address
        self.timeout_ms = timeout_ms
        self.client = JsonClient(address, timeout_ms)

    def read(self):
        """Return the list of `Vm`."""
        try:
            exchange = self.client.call("GET", "/vms")
            return msgspec.json.decode(exchange.body, type=_VmListResponse).vms
        except (TransportError, msgspec.DecodeError) as error:
            message = f"VM list: {error}"
            raise CorianderhavenError(ErrorCode.PLATFORM_UNAVAILABLE, message) from None

    def close(self):
        """Close the connections."""
        self.client.close()
