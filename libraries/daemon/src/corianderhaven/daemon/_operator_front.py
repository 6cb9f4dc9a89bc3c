"""Routes for operators and their tools."""

import msgspec
from prometheus_client import generate_latest

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    Response,
    json_response,
    new_id,
)
from corianderhaven.config import document_schema, parse_document

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class ConfigProposal(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a proposed configuration.

    Attributes
    ----------
    base_revision : int
        Revision that the change was based on; 0 before the first.
    change_id : str
        Unique; the same id again gives the same result.
    """

    base_revision: int
    document: msgspec.Raw
    change_id: str = ""


class OperatorFront:
    """Registers the operators' routes.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon

    def register(self, router):
        """Add the routes."""
        router.add("GET", "/healthz", self._health)
        router.add("GET", "/readyz", self._ready)
        router.add("GET", "/metrics", self._metrics)
        routes = [
            ("GET", "/operators/config", self._config),
            ("POST", "/operators/config", self._propose),
            ("GET", "/operators/schema", self._schema),
            ("GET", "/operators/status", self._status),
            ("GET", "/operators/replicas", self._replicas),
            ("GET", "/operators/vms", self._vms),
            ("GET", "/operators/why/{subject}", self._why),
            ("POST", "/operators/drain", self._drain),
        ]
        for method, path, handler in routes:
            router.add(method, path, self._authenticated(handler))

    def operator_of(self, authorization):
        """Return the operator's name for an Authorization value, or None."""
        return self.daemon.operator_name(authorization)

    def _authenticated(self, handler):
        def handle(request):
            operator = self.operator_of(request.header("authorization"))
            if operator is None:
                raise CorianderhavenError(ErrorCode.UNAUTHORIZED, "missing or wrong operator key")
            return handler(request, operator)

        return handle

    def _health(self, request):
        return json_response({"status": "alive"})

    def _ready(self, request):
        reason = self.daemon.unready_reason()
        status = 503 if reason else 200
        return json_response(
            {"status": "not_ready" if reason else "ready", "reason": reason}, status
        )

    def _metrics(self, request):
        self.daemon.refresh_metrics()
        return Response(200, generate_latest(), {"Content-Type": METRICS_TYPE})

    def _config(self, request, operator):
        record = self.daemon.holder.record
        if record is None:
            raise CorianderhavenError(ErrorCode.NOT_FOUND, "no configuration is in force")
        return Response(200, record.encode(), {"Content-Type": "application/json"})

    def _propose(self, request, operator):
        proposal = request.json(ConfigProposal)
        document = parse_document(bytes(proposal.document))
        change_id = proposal.change_id or new_id("change")
        record = self.daemon.propose(document, proposal.base_revision, change_id, operator)
        return json_response({"revision": record.revision, "change_id": record.change_id})

    def _schema(self, request, operator):
        return json_response(document_schema())

    def _status(self, request, operator):
        return json_response(self.daemon.status())

    def _replicas(self, request, operator):
        return json_response({"replicas": self.daemon.describe_replicas()})

    def _vms(self, request, operator):
        return json_response({"vms": self.daemon.describe_vms()})

    def _why(self, request, operator):
        subject = request.parameters["subject"]
        return json_response({"decisions": self.daemon.decisions.find(subject)})

    def _drain(self, request, operator):
        self.daemon.decisions.record("drain_ordered", operator=operator)
        self.daemon.request_drain()
        return json_response({"status": "draining"}, 202)
