"""What the status of an endpoint's answer allows: whose word an error is."""

REFUSAL_STATUSES = (408, 421, 429, 503)  # they state that the request was not and won't be run
SERVER_ERRORS = range(500, 600)


def is_final_error(status, stamped):
    """Return whether an endpoint's error may be the answer to a request that it may have run.

    Callers take a refusal's status as a promise that it has not. They don't come back after a 3xx
    or 4xx, which therefore has to be the endpoint's own.
    """
    if status in REFUSAL_STATUSES:
        return False
    return stamped or status in SERVER_ERRORS
