"""Stateless signed sessions of the console, valid at every daemon of the site."""

import hashlib
import hmac
from http.cookies import CookieError, SimpleCookie

SESSION_COOKIE = "corianderhaven_session"
SESSION_LIFETIME_MS = 8 * 3600 * 1000
FORM_PURPOSE = "form"
SESSION_PURPOSE = "session"


class SessionSigner:
    """Creates and verifies session and form tokens.

    Parameters
    ----------
    secret : str
        Shared by all daemons of the site.
    clock : Clock
    """

    def __init__(self, secret, clock):
        self.secret = secret
        self.clock = clock

    def new_session(self, operator):
        """Return the cookie value of a new session."""
        expires_ms = self.clock.wall_ms() + SESSION_LIFETIME_MS
        payload = f"{operator}:{expires_ms}"
        return f"{payload}:{self._mac(SESSION_PURPOSE, payload)}"

    def operator_of(self, cookie_header):
        """Return (operator, session) of a Cookie header, or (None, "") if it is not valid."""
        try:
            morsel = SimpleCookie(cookie_header or "").get(SESSION_COOKIE)
        except CookieError:
            return None, ""
        session = morsel.value if morsel else ""
        payload, _, mac = session.rpartition(":")
        operator, _, expires_ms = payload.partition(":")
        expected = self._mac(SESSION_PURPOSE, payload)
        if not hmac.compare_digest(expected.encode(), mac.encode()) or not expires_ms.isdigit():
            return None, ""
        if int(expires_ms) < self.clock.wall_ms():
            return None, ""
        return operator, session

    def form_token(self, session):
        """Return the token that the forms of a session contain."""
        return self._mac(FORM_PURPOSE, session)

    def form_token_matches(self, session, token):
        """Return whether a form was created for this session."""
        return hmac.compare_digest(self.form_token(session).encode(), token.encode())

    def _mac(self, purpose, text):
        message = f"{purpose}\0{text}".encode()
        return hmac.new(self.secret.encode(), message, hashlib.sha256).hexdigest()
