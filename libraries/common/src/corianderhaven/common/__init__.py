"""Clocks, exceptions with error codes, logging, identifiers, and HTTP clients and servers."""

from ._async_client import AsyncHttpClient, ClientConnection, ResponseHead
from ._async_connection import CONNECTION_HEADERS, ConnectionLostError
from ._async_server import AsyncHttpServer
from ._background import PeriodicThread
from ._caller_request import CallerDisconnectedError, CallerRequest, ServerLimits
from ._clock import MS_PER_S, Clock, ManualClock
from ._connection_budgets import connection_budgets
from ._findings import Finding, Severity
from ._http_client import (
    NETWORK_ERRORS,
    TIMEOUT_ERRORS,
    ClientResponse,
    JsonClient,
    TransportError,
    open_connection,
    read_body,
    receive_response,
    set_source_ip,
)
from ._http_server import (
    HttpServer,
    Request,
    Response,
    Router,
    json_response,
    set_kernel_timeout,
)
from ._ids import new_id, rendezvous_order
from ._log_writer import LogWriter
from ._logging import DecisionLog, configure_logging, configure_queued_logging
from ._server_connection import ServerConnection
from ._settings import check_address, check_positive, run_program
from .exceptions import CorianderhavenError, ErrorCode, FieldError, Outcome, SettingsError

__all__ = [
    "AsyncHttpClient",
    "AsyncHttpServer",
    "CallerDisconnectedError",
    "CallerRequest",
    "CONNECTION_HEADERS",
    "ClientConnection",
    "Clock",
    "ConnectionLostError",
    "CorianderhavenError",
    "DecisionLog",
    "ErrorCode",
    "ClientResponse",
    "FieldError",
    "Finding",
    "Severity",
    "HttpServer",
    "JsonClient",
    "LogWriter",
    "MS_PER_S",
    "NETWORK_ERRORS",
    "TIMEOUT_ERRORS",
    "ManualClock",
    "Outcome",
    "PeriodicThread",
    "Request",
    "Response",
    "ResponseHead",
    "Router",
    "ServerConnection",
    "ServerLimits",
    "SettingsError",
    "TransportError",
    "check_address",
    "check_positive",
    "configure_queued_logging",
    "configure_logging",
    "connection_budgets",
    "json_response",
    "new_id",
    "open_connection",
    "read_body",
    "receive_response",
    "rendezvous_order",
    "run_program",
    "set_kernel_timeout",
    "set_source_ip",
]
