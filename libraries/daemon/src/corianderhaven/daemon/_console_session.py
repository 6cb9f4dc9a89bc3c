"""Sessions of the console: signed, without state, valid at any daemon of the site."""

import hashlib
import hmac
from http.cookies import CookieError, SimpleCookie

SESSION_COOKIE = "corianderhaven_session"
SESSION_MS = 8 * 3600 * 1000
FORM_PURPOSE = "form"
SESSION_PURPOSE = "session"


class SessionSigner:
    """Makes and checks session and form tokens.

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
        expires = self.clock.wall_ms() + SESSION_MS
        place = f"{operator}:{expires}"
        return f"{place}:{self._mac(SESSION_PURPOSE, place)}"

    def operator_of(self, cookie_header):
        """Return (operator, session) of a Cookie header, or (None, "")."""
        try:
            morsel = SimpleCookie(cookie_header or "").get(SESSION_COOKIE)
        except CookieError:
            return None, ""
        session = morsel.value if morsel else ""
        place, _, mac = session.rpartition(":")
        operator, _, expires = place.partition(":")
        expected = self._mac(SESSION_PURPOSE, place)
        if not hmac.compare_digest(expected.encode(), mac.encode()) or not expires.isdigit():
            return None, ""
        if int(expires) < self.clock.wall_ms():
            return None, ""
        return operator, session

    def form_token(self, session):
        """Return the token that forms of a session carry."""
        return self._mac(FORM_PURPOSE, session)

    def form_token_matches(self, session, token):
        """Return whether a form was made for this session."""
        return hmac.compare_digest(self.form_token(session).encode(), token.encode())

    def _mac(self, purpose, text):
        message = f"{purpose}\0{text}".encode()
        return hmac.new(self.secret.encode(), message, hashlib.sha256).hexdigest()
