"""One attempt of a request at an endpoint."""

KEPT_HEAD_TIMEOUT_MS = 400.0  # several times the time of a plain service's answer


class Attempt:
    """One attempt of a request at an endpoint, and the connection that it uses.

    Parameters
    ----------
    context : RequestContext
    endpoint : Endpoint
    opening : OpeningPhase
        Phase in which the end of the endpoint would tell against the request.
    replaces : Attempt or None
        Silent attempt that stays open meanwhile.
    priority : int or None
        Priority at the endpoint.
    head_timeout_ms : float
        Time after which a kept connection that brought no answer may have been dropped.

    Attributes
    ----------
    head : ResponseHead or None
    body : bytes or None
        Whole body of an answer that isn't streamed.
    data : bytes
        Beginning of a streamed body that was read before it could be forwarded.
    ended : bool
        Whether the end of a streamed body was read before it could be forwarded.
    events : int
        Events of this attempt.
    failure : str or None
        Why the connection failed.
    sent : bool
        Whether any byte of the request may have reached the endpoint.
    denied : bool
        Whether the request was held back as the endpoint may get none any more.
    superseded : bool
        Whether another attempt goes on in its place.
    on_head : callable
        Called when the head of a successful answer was read.
    on_silence : callable
        Called when the answer is overdue, to look for a replacement.
    on_progress : callable
        Called when the endpoint has sent something.
    yields : callable
        Returns whether what the endpoint sends is left to a replacement that has been sent.
    """

    def __init__(
        self,
        context,
        endpoint,
        opening,
        replaces=None,
        priority=None,
        head_timeout_ms=KEPT_HEAD_TIMEOUT_MS,
    ):
        self.context = context
        self.endpoint = endpoint
        self.opening = opening
        self.replaces = replaces
        self.priority = priority
        self.head_timeout_ms = head_timeout_ms
        self.connection = None
        self.stream = None
        self.sent_ms = 0.0
        self.on_kept_connection = False
        self.head = None
        self.body = None
        self.data = b""
        self.ended = False
        self.events = 0
        self.ended_with_connection = False
        self.failure = None
        self.sent = False
        self.denied = False
        self.superseded = False
        self.on_head = lambda: None
        self.on_silence = lambda: None
        self.on_progress = lambda: None
        self.yields = lambda: False

    def mark_kept(self, kept, sent_ms):
        """Set whether the request waits on a kept connection, and when it was sent."""
        self.sent_ms = sent_ms
        self.on_kept_connection = kept
        if self.stream is not None:
            self.stream.on_kept_connection, self.stream.sent_ms = kept, sent_ms

    def supersede(self):
        """Close the connection, as another attempt goes on."""
        self.superseded = True
        self.close()

    def release(self):
        """Return the connection, which then stays open."""
        connection, self.connection = self.connection, None
        return connection

    def drop_answer(self):
        """Free what was read of the answer.

        The request and its attempts refer to each other, so that they last until the next garbage
        collection, and a large answer with them.
        """
        self.body = None
        self.data = b""

    def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
