"""What the status of an endpoint's answer allows: whether it is an answer, and whose word it is."""

REFUSAL_STATUSES = (408, 421, 429, 503)  # they state that the request was not and won't be run
STATUSES_WITHOUT_EVENTS = (204, 205, 206)
PARTIAL_CONTENT = 206
SERVER_ERRORS = range(500, 600)


def is_whole_success(status, streaming, request):
    """Return whether a 2xx status may go with the whole answer to a request.

    Parameters
    ----------
    streaming : bool
        Whether the answer is a series of events.
    request : CallerRequest
    """
    if streaming:
        return status not in STATUSES_WITHOUT_EVENTS
    return status != PARTIAL_CONTENT or request.header("range") is not None


def is_final_error(status, stamped):
    """Return whether an endpoint's error may be the answer to a request that it may have run.

    Callers take a refusal's status as a promise that it has not. They don't come back after a 3xx
    or 4xx, which therefore has to be the endpoint's own.
    """
    if status in REFUSAL_STATUSES:
        return False
    return stamped or status in SERVER_ERRORS
