"""Blocking Connect client of the command line.

It uses :mod:`http.client`, because a command makes a few blocking calls
and exits: importing treq and twisted takes longer than most calls.
Requests are never retried here.
"""

import http.client
import json
import typing
import urllib.parse

from _jasminewind.cli import outcomes

CONNECT_TIMEOUT_S = 5.0
# The entry answers at the deadline; allows for the transfer of the answer.
RESPONSE_MARGIN_S = 5.0
DEFAULT_ENTRY = "http://127.0.0.1:7480"
MAX_REASON_CHARS = 300

Body = dict[str, typing.Any]


class Client:
    """Calls the API of one entry."""

    def __init__(self, entry: str) -> None:
        try:
            url = urllib.parse.urlsplit(entry)
            port = url.port
        except ValueError:
            raise invalid_entry_url(entry) from None
        if url.scheme not in ("http", "https") or not url.hostname:
            raise invalid_entry_url(entry)
        self.entry = entry
        self.is_secure = url.scheme == "https"
        self.host = url.hostname
        self.port = port or (443 if self.is_secure else 80)

    def connect(self) -> http.client.HTTPConnection:
        """Open a connection without sending a request."""
        connection_class = (
            http.client.HTTPSConnection
            if self.is_secure
            else http.client.HTTPConnection
        )
        connection = connection_class(
            self.host, self.port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except (OSError, UnicodeError) as e:
            raise outcomes.CommandError(
                outcomes.ExitCode.UNREACHABLE,
                f"cannot reach the entry {self.entry}: "
                f"{describe_failure(e)}; nothing was sent; check --entry or "
                "JASMINEWIND_ENTRY, and that the entry is running",
            ) from None
        return connection

    def call(
        self,
        method: str,
        body: Body,
        *,
        timeout_s: float,
        hint: str = "",
        is_first: bool = False,
    ) -> Body:
        """Call ``Service/Method`` and return the response body.

        ``hint`` tells the user what to do if the response is lost. Without
        it the call is read-only, and a lost response counts as unreachable.
        ``is_first`` is set when no earlier call had the id in ``body``.
        """
        connection = self.connect()
        try:
            assert connection.sock is not None
            connection.sock.settimeout(timeout_s + RESPONSE_MARGIN_S)
            connection.request(
                "POST",
                f"/jasminewind.v1.{method}",
                json.dumps(body).encode(),
                {
                    "Content-Type": "application/json",
                    "Connect-Protocol-Version": "1",
                },
            )
            response = connection.getresponse()
            status = response.status
            text = response.read()
        except (OSError, http.client.HTTPException) as e:
            raise lost_response(
                self.entry, describe_failure(e), hint
            ) from None
        finally:
            connection.close()
        return self.parse_response(status, text, hint, is_first=is_first)

    def parse_response(
        self, status: int, text: bytes, hint: str, *, is_first: bool = False
    ) -> Body:
        """Return the response body, or raise the error that it reports."""
        try:
            body = json.loads(text)
        except ValueError:
            body = None
        if status == 200 and isinstance(body, dict):
            return body
        if not isinstance(body, dict) or "code" not in body:
            raise lost_response(
                self.entry,
                f"HTTP status {status}, body is neither a result nor an error",
                hint,
            )
        message = str(body.get("message", ""))
        if is_first and outcomes.is_not_run_if_first(body):
            message += "; this id is new, so nothing was run"
        raise outcomes.CommandError(
            outcomes.exit_code(body, is_first=is_first),
            f"{body['code']}: {message}",
            body,
        )


def invalid_entry_url(entry: str) -> outcomes.CommandError:
    """Return the error for an entry address that is not an HTTP URL."""
    return outcomes.bad_input(
        f"{entry!r} is not the URL of an entry; use --entry "
        "http://host:port or set JASMINEWIND_ENTRY"
    )


def describe_failure(error: Exception) -> str:
    """Return a one-line description of a connection error."""
    if isinstance(error, TimeoutError):
        return "timed out"
    if isinstance(error, OSError) and error.strerror:
        return error.strerror
    return (str(error) or type(error).__name__)[:MAX_REASON_CHARS]


def lost_response(entry: str, text: str, hint: str) -> outcomes.CommandError:
    """Return the error for a call whose response was not received."""
    if hint:
        return outcomes.CommandError(
            outcomes.ExitCode.MAY_HAVE_RUN,
            f"no valid response from the entry {entry} ({text}); {hint}",
        )
    return outcomes.CommandError(
        outcomes.ExitCode.UNREACHABLE,
        f"no valid response from the entry {entry} ({text}); run the command "
        "again",
    )
