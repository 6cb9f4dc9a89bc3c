"""Events of a stream: whole ones only, each once, in order."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Cuts a byte stream into whole events and remembers the last id passed on."""

    def __init__(self, last_id=None):
        self.rest = b""
        self.last_id = last_id
        self.events = 0

    def feed(self, data):
        """Return the bytes of all events that are now whole."""
        data = self.rest + data
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
            self.events += 1
        if not end:
            self.rest = data
            return b""
        whole, self.rest = data[:end], data[end:]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def drop_rest(self):
        """Forget the beginning of an event that its endpoint did not finish."""
        self.rest = b""
