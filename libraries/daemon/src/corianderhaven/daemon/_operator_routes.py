"""HTTP routes for operators and their tools."""

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

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class ConfigProposal(msgspec.Struct, forbid_unknown_fields=True):
    """Request body that proposes a configuration.

    Attributes
    ----------
    base_revision : int
        Revision that the change is based on; 0 if there is none yet.
    change_id : str
        Unique id of the change; proposing the same id again returns the same result.
    """

    base_revision: int
    document: msgspec.Raw
    change_id: str = ""


class OperatorRoutes:
    """Registers the operators' routes.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon

    def register(self, router):
        """Add the routes to a `Router`."""
        router.add("GET", "/healthz", self._get_health)
        router.add("GET", "/readyz", self._get_readiness)
        router.add("GET", "/metrics", self._get_metrics)
        routes = [
            ("GET", "/operators/config", self._get_config),
            ("POST", "/operators/config", self._propose_config),
            ("GET", "/operators/schema", self._get_schema),
            ("GET", "/operators/status", self._get_status),
            ("GET", "/operators/replicas", self._list_replicas),
            ("GET", "/operators/vms", self._list_vms),
            ("GET", "/operators/why/{subject}", self._find_decisions),
            ("POST", "/operators/drain", self._start_drain),
        ]
        for method, path, handler in routes:
            router.add(method, path, self._require_operator(handler))

    def operator_name(self, authorization):
        """Return the name of the operator whose key is in an Authorization header, or None."""
        return self.daemon.operator_name(authorization)

    def _require_operator(self, handler):
        def handle(request):
            operator = self.operator_name(request.header("authorization"))
            if operator is None:
                raise CorianderhavenError(ErrorCode.UNAUTHORIZED, "missing or wrong operator key")
            return handler(request, operator)

        return handle

    def _get_health(self, request):
        return json_response({"status": "alive"})

    def _get_readiness(self, request):
        reason = self.daemon.unready_reason()
        status = 503 if reason else 200
        return json_response(
            {"status": "not_ready" if reason else "ready", "reason": reason}, status
        )

    def _get_metrics(self, request):
        self.daemon.refresh_metrics()
        return Response(200, generate_latest(), {"Content-Type": METRICS_CONTENT_TYPE})

    def _get_config(self, request, operator):
        record = self.daemon.holder.record
        if record is None:
            raise CorianderhavenError(ErrorCode.NOT_FOUND, "no configuration is in force")
        return Response(200, record.encode(), {"Content-Type": "application/json"})

    def _propose_config(self, request, operator):
        proposal = request.json(ConfigProposal)
        document = parse_document(bytes(proposal.document))
        change_id = proposal.change_id or new_id("change")
        record = self.daemon.propose(document, proposal.base_revision, change_id, operator)
        return json_response({"revision": record.revision, "change_id": record.change_id})

    def _get_schema(self, request, operator):
        return json_response(document_schema())

    def _get_status(self, request, operator):
        return json_response(self.daemon.status())

    def _list_replicas(self, request, operator):
        return json_response({"replicas": self.daemon.describe_replicas()})

    def _list_vms(self, request, operator):
        return json_response({"vms": self.daemon.describe_vms()})

    def _find_decisions(self, request, operator):
        subject = request.parameters["subject"]
        return json_response({"decisions": self.daemon.decisions.find(subject)})

    def _start_drain(self, request, operator):
        self.daemon.decisions.record("drain_ordered", operator=operator)
        self.daemon.request_drain()
        return json_response({"status": "draining"}, 202)
