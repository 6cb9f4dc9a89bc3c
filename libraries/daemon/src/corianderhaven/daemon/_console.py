"""Web console for operators: configuration forms and a live status page."""

from functools import partial
from urllib.parse import parse_qsl

import msgspec
from jinja2 import Environment, PackageLoader, select_autoescape

from corianderhaven.common import CorianderhavenError, ErrorCode, Response, new_id
from corianderhaven.config import diff_documents, parse_document

from ._console_forms import add_item, document_form, errors_without_field, read_form, remove_item
from ._console_session import SESSION_COOKIE, SESSION_LIFETIME_MS, SessionSigner

MAX_FORM_FIELDS = 20_000
HTML_HEADERS = {
    "Content-Type": "text/html; charset=utf-8",
    "Cache-Control": "no-store",
    "Content-Security-Policy": "default-src 'none'; style-src 'unsafe-inline'; "
    "form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    "X-Content-Type-Options": "nosniff",
    "Referrer-Policy": "same-origin",
}


class Console:
    """Registers and serves the console's pages.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.signer = SessionSigner(daemon.settings.secret, daemon.clock)
        self.environment = Environment(
            loader=PackageLoader("corianderhaven.daemon"),
            autoescape=select_autoescape(default=True),
            trim_blocks=True,
            lstrip_blocks=True,
        )

    def register(self, router):
        """Add the routes to a `Router`."""
        router.add("GET", "/console/login", self._login_page)
        router.add("POST", "/console/login", self._login)
        router.add("GET", "/console", partial(self._require_session, self._live_page))
        router.add("GET", "/console/config", partial(self._require_session, self._config_page))
        router.add("POST", "/console/config", partial(self._require_session, self._submit_config))
        router.add("POST", "/console/logout", partial(self._require_session, self._logout))

    def _render(self, template, http_status=200, headers=None, **values):
        text = self.environment.get_template(template).render(
            daemon=self.daemon.peer_info, revision=self.daemon.holder.revision, **values
        )
        return Response(http_status, text.encode(), {**HTML_HEADERS, **(headers or {})})

    def _login_page(self, request):
        return self._render("login.html", operator=None, error="")

    def _login(self, request):
        self._check_origin(request)
        key = _form_values(request).get("key", "").strip()
        operator = self.daemon.operator_name(f"Bearer {key}")
        if operator is None:
            return self._render("login.html", 401, operator=None, error="This key is not valid.")
        cookie = (
            f"{SESSION_COOKIE}={self.signer.new_session(operator)}; Path=/console; HttpOnly; "
            f"SameSite=Strict; Max-Age={SESSION_LIFETIME_MS // 1000}"
        )
        return Response(303, b"", {"Location": "/console", "Set-Cookie": cookie})

    def _logout(self, request, operator, session):
        cookie = f"{SESSION_COOKIE}=; Path=/console; Max-Age=0"
        return Response(303, b"", {"Location": "/console/login", "Set-Cookie": cookie})

    def _require_session(self, handler, request):
        """Require a session and, for a POST request, the form token of that session."""
        operator, session = self.signer.operator_of(request.header("cookie"))
        if operator is None:
            return Response(303, b"", {"Location": "/console/login"})
        if request.method == "POST":
            self._check_origin(request)
            token = _form_values(request).get("form_token", "")
            if not self.signer.form_token_matches(session, token):
                raise CorianderhavenError(ErrorCode.FORBIDDEN, "not sent by a form of this session")
        return handler(request, operator, session)

    def _check_origin(self, request):
        """Reject a form that a page of another origin has submitted."""
        origin = request.header("origin")
        host = request.header("host")
        if origin not in (None, f"http://{host}", f"https://{host}"):
            raise CorianderhavenError(ErrorCode.FORBIDDEN, "cross-site form")

    def _live_page(self, request, operator, session):
        status = self.daemon.status()
        return self._render(
            "live.html",
            operator=operator,
            form_token=self.signer.form_token(session),
            status=status,
            replicas=self.daemon.describe_replicas(),
            vms=self.daemon.describe_vms(),
            accounts=self.daemon.load_tracker.requests_by_account(),
        )

    def _config_page(self, request, operator, session):
        record = self.daemon.holder.record
        raw = msgspec.to_builtins(record.document) if record else {"format": 1}
        return self._form_page(operator, session, raw, self.daemon.holder.revision, [])

    def _form_page(self, operator, session, raw, base_revision, errors, status=200):
        fields = document_form(raw, errors)
        return self._render(
            "config.html",
            status,
            operator=operator,
            form_token=self.signer.form_token(session),
            fields=fields,
            base_revision=base_revision,
            errors=errors,
            other_errors=errors_without_field(fields, errors),
        )

    def _submit_config(self, request, operator, session):
        values = _form_values(request)
        base_revision = _parse_revision(values.get("base_revision", "0"))
        action, _, argument = values.get("action", "review").partition(":")
        if action == "confirm":
            raw = _decode_document(values.get("document", ""))
            change_id = values.get("change_id") or new_id("change")
            return self._confirm(operator, session, raw, base_revision, change_id)
        raw = read_form(values)
        if action == "add":
            add_item(raw, argument)
            return self._form_page(operator, session, raw, base_revision, [])
        if action == "remove":
            remove_item(raw, argument)
            return self._form_page(operator, session, raw, base_revision, [])
        return self._review_page(operator, session, raw, base_revision)

    def _review_page(self, operator, session, raw, base_revision, conflict=None):
        """Show the changes against the configuration in force and ask for confirmation."""
        try:
            document = parse_document(msgspec.json.encode(raw))
        except CorianderhavenError as error:
            return self._form_page(operator, session, raw, base_revision, error.errors, 422)
        return self._render(
            "review.html",
            409 if conflict else 200,
            operator=operator,
            form_token=self.signer.form_token(session),
            changes=diff_documents(self.daemon.holder.document, document),
            document=msgspec.json.encode(document).decode(),
            base_revision=self.daemon.holder.revision if conflict else base_revision,
            change_id=new_id("change"),
            conflict=conflict,
        )

    def _confirm(self, operator, session, raw, base_revision, change_id):
        try:
            document = parse_document(msgspec.json.encode(raw))
            record = self.daemon.propose(document, base_revision, change_id, operator)
        except CorianderhavenError as error:
            if error.code is ErrorCode.REVISION_CONFLICT:
                return self._review_page(operator, session, raw, base_revision, error)
            if error.errors:
                return self._form_page(operator, session, raw, base_revision, error.errors, 422)
            return self._render(
                "failed.html",
                error.code.status,
                operator=operator,
                form_token=self.signer.form_token(session),
                error=error,
            )
        location = f"/console?accepted={record.revision}"
        return Response(303, b"", {"Location": location})


def _parse_revision(text):
    try:
        return int(text)
    except ValueError:
        message = "base_revision must be a whole number"
        raise CorianderhavenError(ErrorCode.INVALID_REQUEST, message) from None


def _decode_document(text):
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise CorianderhavenError(ErrorCode.MALFORMED_JSON, str(error)) from None


def _form_values(request):
    try:
        pairs = parse_qsl(
            request.body.decode(), keep_blank_values=True, max_num_fields=MAX_FORM_FIELDS
        )
    except (UnicodeDecodeError, ValueError) as error:
        raise CorianderhavenError(ErrorCode.INVALID_REQUEST, f"not a form: {error}") from None
    return dict(pairs)
