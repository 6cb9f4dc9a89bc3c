"""HTTP routes for other daemons; every request is signed with the site's secret."""

import msgspec

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    Response,
    json_response,
)
from corianderhaven.config import ConfigRecord
from corianderhaven.membership import FactMessage, verify_peer_signature
from corianderhaven.routing import OperationRequest, ResumePoint

from ._caller_routes import DRAFT_PATHS, operation_response
from ._draft_handler import DraftHandler

JSON_HEADERS = {"Content-Type": "application/json"}


class PeerRoutes:
    """Registers the peer routes.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.drafts = DraftHandler(daemon)

    def register(self, router):
        """Add the routes to a `Router`."""
        routes = [
            ("POST", "/peer/heartbeat", self._receive_heartbeat),
            ("GET", "/peer/facts", self._get_facts),
            ("POST", "/peer/facts", self._receive_facts),
            ("GET", "/peer/config", self._get_config),
            ("POST", "/peer/config", self._receive_config),
            ("GET", "/peer/vms", self._list_vms),
            ("GET", "/peer/claims/{claim_id}", self._get_claim),
            ("GET", "/peer/v1/streams/{stream_id}", self._continue_stream),
            ("POST", "/peer/v1/services/{service}/{operation}", self._run_operation),
            *(("POST", "/peer" + path, self._create_draft) for path in DRAFT_PATHS),
        ]
        for method, path, handler in routes:
            router.add(method, path, self._require_signature(handler))

    def _require_signature(self, handler):
        def handle(request):
            if not verify_peer_signature(self.daemon.settings.secret, request):
                raise CorianderhavenError(ErrorCode.FORBIDDEN, "not signed by a daemon")
            return handler(request)

        return handle

    def _receive_heartbeat(self, request):
        reply = msgspec.json.encode(self.daemon.heartbeater.handle_digest(request.body))
        self.daemon.transport.count_served(len(request.body), len(reply))
        return Response(200, reply, dict(JSON_HEADERS))

    def _get_facts(self, request):
        return json_response(self.daemon.heartbeater.own_facts())

    def _receive_facts(self, request):
        message = msgspec.json.decode(request.body, type=FactMessage)
        self.daemon.heartbeater.receive_facts(message)
        return json_response({})

    def _get_config(self, request):
        record = self.daemon.holder.record
        if record is None:
            raise CorianderhavenError(ErrorCode.NOT_FOUND, "no configuration is in force")
        return Response(200, record.encode(), dict(JSON_HEADERS))

    def _receive_config(self, request):
        self.daemon.holder.adopt(ConfigRecord.decode(request.body), "peer")
        return json_response({"revision": self.daemon.holder.revision})

    def _list_vms(self, request):
        return json_response(self.daemon.directory.snapshot())

    def _get_claim(self, request):
        claim = self.daemon.claims.local_claims.get(request.parameters["claim_id"])
        if claim is None:
            raise CorianderhavenError(ErrorCode.NOT_FOUND, "no such claim here")
        return Response(200, claim.encode(), dict(JSON_HEADERS))

    def _forwarded_account(self, request):
        """Return the account that the forwarding daemon has authenticated."""
        name = request.header("x-corianderhaven-account")
        document = self.daemon.holder.document
        accounts = document.accounts if document else []
        account = next((a for a in accounts if a.name == name), None)
        if account is None:
            raise CorianderhavenError(ErrorCode.NOT_READY, "account not known here yet")
        return account

    def _create_draft(self, request):
        path = request.path.removeprefix("/peer")
        return self.drafts.serve_peer(request, self._forwarded_account(request), path)

    def _continue_stream(self, request):
        offset = int(request.query.partition("offset=")[2] or 0)
        resume = ResumePoint(request.parameters["stream_id"], offset)
        return self.drafts.serve_peer_stream(request, self._forwarded_account(request), resume)

    def _run_operation(self, request):
        account = self._forwarded_account(request)
        names = request.parameters
        for service in self.daemon.holder.document.services:
            for operation in service.operations:
                if (service.name, operation.name) == (names["service"], names["operation"]):
                    key = request.header("idempotency-key")
                    forwarded = OperationRequest(
                        request.request_id, account, service, operation, request.body, key, 1
                    )
                    return operation_response(self.daemon.operations.run(forwarded))
        raise CorianderhavenError(ErrorCode.UNKNOWN_OPERATION, "operation not known here yet")
