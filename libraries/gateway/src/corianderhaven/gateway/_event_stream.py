"""Splitting of a byte stream into server-sent events."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Splits a byte stream into complete events and keeps the id of the last complete one."""

    def __init__(self, last_event_id=None):
        self.partial = b""
        self.last_event_id = last_event_id
        self.event_count = 0

    def feed(self, data):
        """Return the bytes of all events completed by `data`."""
        data = self.partial + data
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
            self.event_count += 1
        if not end:
            self.partial = data
            return b""
        complete, self.partial = data[:end], data[end:]
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1")
        return complete

    def discard_partial(self):
        """Discard an event that its endpoint did not complete."""
        self.partial = b""
