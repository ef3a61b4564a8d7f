"""HTTP client of the platform's transactional table."""

import typing

import result
from twisted.internet import defer

from _jasminewind import errors
from _jasminewind.decisions import core
from _jasminewind.platform import client
from _jasminewind.platform import http
from _jasminewind.platform import protocol

# A synced write takes several ms. A table that takes longer than this counts
# as down, and the outcome of the write as unknown.
TIMEOUT_S = 2.0
MAX_CONNECTIONS = 4
TABLE_FAILURES = {
    http.CallFailure.CONFLICT: errors.TableFailure.CONFLICT,
    http.CallFailure.NOT_SENT: errors.TableFailure.NOT_SENT,
    http.CallFailure.REFUSED: errors.TableFailure.NOT_SENT,
}


def table_error(error: http.CallError) -> errors.TableError:
    """Translate the error of a call."""
    return errors.TableError(
        failure=TABLE_FAILURES.get(error.failure, errors.TableFailure.UNKNOWN),
        reason=error.reason,
    )


class HttpTable(client.Table):
    """Client of the table; it never retries.

    After an unknown outcome the caller reads the row and compares its
    ``write_id``.
    """

    def __init__(
        self,
        *,
        reactor: typing.Any,
        host: str,
        port: int,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self.timeout_s = timeout_s
        self.http_client = http.JsonClient(
            reactor=reactor, host=host, port=port, connections=MAX_CONNECTIONS
        )

    def read(
        self, keys: tuple[str, ...], prefix: str
    ) -> defer.Deferred[
        result.Result[tuple[core.TableRow, ...], errors.TableError]
    ]:
        """Return the named rows and all rows whose key has ``prefix``."""
        response = self.http_client.post(
            protocol.TABLE_READ_PATH,
            protocol.TableRead(keys=keys, prefix=prefix),
            protocol.TableRows,
            timeout_s=self.timeout_s,
        )
        return response.addCallback(
            lambda reply: reply.map(lambda rows: rows.rows).map_err(
                table_error
            )
        )

    def write(
        self, key: str, expected_version: int, value: str | None
    ) -> defer.Deferred[result.Result[int, errors.TableError]]:
        """Compare-and-set one row; return its new version."""
        response = self.http_client.post(
            protocol.TABLE_WRITE_PATH,
            protocol.TableWrite(
                key=key, expected_version=expected_version, value=value
            ),
            protocol.TableWritten,
            timeout_s=self.timeout_s,
        )
        return response.addCallback(
            lambda reply: reply.map(lambda written: written.version).map_err(
                table_error
            )
        )

    def close(self) -> defer.Deferred[None]:
        """Close idle connections."""
        return self.http_client.close()
