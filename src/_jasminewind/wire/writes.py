"""Writes to TCP connections that do not wait for the reactor."""

import typing

from twisted.internet import tcp


def write_at_once(transport: typing.Any, data: bytes) -> None:
    """Write what the socket takes now, and the rest when it is ready.

    ``transport.write`` alone waits for the next turn of the reactor, at the
    cost of that turn and of two more system calls.
    """
    if may_write(transport):
        written = transport.writeSomeData(data)
        # Otherwise the connection is lost, which the reactor will report.
        if isinstance(written, int):
            data = data[written:]
    if data:
        transport.write(data)


def may_write(transport: typing.Any) -> bool:
    """Tell whether nothing that was written before is still waiting."""
    if not isinstance(transport, tcp.Connection):
        return False
    is_open = bool(transport.connected) and not transport.disconnecting
    # twisted has no public name for the second half of its buffer.
    has_buffered = bool(transport._tempDataBuffer) or (
        transport.offset < len(transport.dataBuffer)
    )
    return is_open and not has_buffered


def unsent_bytes(transport: typing.Any) -> int:
    """Return the size of what was written and still waits."""
    if not isinstance(transport, tcp.Connection):
        return 0
    return (
        len(transport.dataBuffer) - transport.offset + transport._tempDataLen
    )
