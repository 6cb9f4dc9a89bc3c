"""Splitting of a byte stream into server-sent events."""

import re

from corianderhaven.common import ConnectionLostError

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
EVENT_DATA = re.compile(rb"^data:", re.MULTILINE)
MAX_EVENT_BYTES = 1 << 18
MAX_EVENT_ID_BYTES = 1 << 10  # it is sent in a header of requests that go on with the stream
MAX_OVERLAP_BYTES = 3  # of the longest end of an event, all but its last byte may come before


class EventTooLargeError(Exception):
    """An event, its id, or what precedes the first event with data, is too large."""


class EventSplitter:
    """Splits a byte stream into complete events and keeps the id of the last complete one.

    Attributes
    ----------
    event_count : int
        Complete events.
    data_event_count : int
        Complete events that carry data; comments, for example, carry none.
    """

    def __init__(self, last_event_id=None):
        self.partial = bytearray()
        self.last_event_id = last_event_id
        self.event_count = 0
        self.data_event_count = 0

    def feed(self, data):
        """Return the bytes of all events completed by `data`.

        Raises
        ------
        EventTooLargeError
            If an event does not end, or its id is too long.
        """
        searched = max(0, len(self.partial) - MAX_OVERLAP_BYTES)
        self.partial += data
        end = 0
        for match in EVENT_END.finditer(self.partial, searched):
            if EVENT_DATA.search(self.partial, end, match.end()):
                self.data_event_count += 1
            end = match.end()
            self.event_count += 1
        if len(self.partial) - end > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"event above {MAX_EVENT_BYTES} bytes")
        if not end:
            return b""
        complete, self.partial = bytes(self.partial[:end]), self.partial[end:]
        ids = EVENT_ID.findall(complete)
        if ids:
            self._set_last_event_id(ids[-1])
        return complete

    def _set_last_event_id(self, event_id):
        if len(event_id) > MAX_EVENT_ID_BYTES:
            raise EventTooLargeError(f"event id above {MAX_EVENT_ID_BYTES} bytes")
        self.last_event_id = event_id.decode("latin-1")

    def discard_partial(self):
        """Discard an event that its endpoint did not complete."""
        self.partial = bytearray()


async def read_to_first_event(connection, head, last_event_id):
    """Read an answer up to its first event with data, before it is known whether it is needed.

    Parameters
    ----------
    connection : ClientConnection
    head : ResponseHead
    last_event_id : str or None

    Returns
    -------
    data : bytes
    ended : bool
        Whether the answer has ended, without such an event.

    Raises
    ------
    ConnectionLostError
        If the answer breaks off.
    EventTooLargeError
        If the event doesn't come. Comments may precede it, but not without end.
    """
    splitter = EventSplitter(last_event_id)
    data = bytearray()
    while not splitter.data_event_count:
        if len(data) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"no event within {MAX_EVENT_BYTES} bytes")
        chunk = await connection.read_chunk()
        if chunk is None:
            if splitter.partial or head.ends_with_connection:
                raise ConnectionLostError("ended before an event")
            return bytes(data), True
        data += chunk
        splitter.feed(chunk)
    return bytes(data), False
