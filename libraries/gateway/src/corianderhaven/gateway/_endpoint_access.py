"""Whether an endpoint may get a request from this daemon now; performs no I/O.

Addresses the load that moves at once when the operator evacuates a zone: waiting requests, retries,
resumed streams, replacements and requests on kept connections must all go elsewhere. Every path
asks here, so that none is forgotten.
"""

from corianderhaven.scheduling import Refusal

ZONE_EVACUATED = "zone evacuated"
# An evacuation lasts for seconds at least, and the endpoints are cold when it ends.
EVACUATED_RETRY_AFTER_MS = 2_000.0


class EndpointAccess:
    """Decides which endpoints may get requests.

    Parameters
    ----------
    evacuations : Evacuations or None
        None if no zone is ever evacuated.
    """

    def __init__(self, evacuations=None):
        self.evacuations = evacuations

    @property
    def version(self):
        """Rises when endpoints are denied or allowed."""
        return self.evacuations.version if self.evacuations is not None else 0

    @property
    def denies_any(self):
        """Whether any endpoint may be denied."""
        return self.evacuations is not None and bool(self.evacuations.zones)

    def refusal(self, endpoint):
        """Return why an endpoint may get no request, or None if it may."""
        if self.denies_any and self.evacuations.is_evacuated(endpoint.zone):
            return ZONE_EVACUATED
        return None

    def allowed(self, endpoints):
        """Return those of some endpoints that may get requests."""
        if not self.denies_any:
            return endpoints
        return [e for e in endpoints if self.refusal(e) is None]

    def refusal_of_all(self, endpoints):
        """Return the `Refusal` of requests for some endpoints if there are any, and all are denied.

        Such requests can't be served until the operator ends an evacuation.
        """
        if not self.denies_any:
            return None
        reasons = [self.refusal(e) for e in endpoints]
        if not reasons or None in reasons:
            return None
        return Refusal(reasons[0], EVACUATED_RETRY_AFTER_MS)
