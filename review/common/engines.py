"""Groups of model workers: the project's stand-in site with the heartbeat of the pages."""

import asyncio

from harness import HEARTBEAT_S

from corianderhaven.standins import HostedModel, HostingSite
from corianderhaven.standins import _hosting_site as hosting_site

hosting_site.HEARTBEAT_MS = HEARTBEAT_S * 1000
hosting_site.ENTRY_LIFETIME_MS = 3 * hosting_site.HEARTBEAT_MS
TOKENS_PER_EVENT = 5


class EngineSite(HostingSite):
    """A stream has as many events as its request's output tokens need; one every `token_ms`."""

    def __init__(self, record, zones, domain_size, models, event_ms, speed=10.0):
        super().__init__(zones, domain_size, models, token_ms=event_ms, speed=speed)
        self.record = record

    def _engine_service(self):
        service = super()._engine_service()
        service["engine"]["step_ms"] = self.token_ms / TOKENS_PER_EVENT
        service["engine"]["usual"] = {"prompt": 674, "answer": 175}
        return service

    def _record_run(self, worker, request):
        super()._record_run(worker, request)
        self.record.note(f"run {self.runs[-1].request_id} at {worker.id}")

    async def _stream_events(self, worker, request, caller):
        tokens = int(request.header("corianderhaven-token-count").partition(",")[2])
        first = int(request.header("last-event-id") or 0) + 1
        headers = [
            *self._response_headers(worker, request),
            (b"content-type", b"text/event-stream"),
        ]
        await caller.send_head(200, headers)
        for number in range(first, tokens // TOKENS_PER_EVENT + 1):
            while not self.engines.accepts_requests(worker.engine):
                if self.engines.state(worker.engine) in (None, "broken"):
                    caller.close()
                    return
                await asyncio.sleep(0.01)
            await caller.send_chunk(b"id: %d\ndata: token-%d\n\n" % (number, number))
            await asyncio.sleep(self.token_ms / 1000)
        await caller.send_end()


def model(name, size, load_s, warm_s, share):
    """Return a model; its times are those of the sheet in s."""
    return HostedModel(name, size, load_s * 1000, warm_s * 1000, share)


def is_served(site, name):
    """Return whether a model has an open group."""
    return any(
        e.group and e.group.model == name and site.engines.state(e) == "open"
        for e in site.engines.engines.values()
    )
