"""Service discovery: rows of the store that register each process."""

import dataclasses

import msgspec
import result

from _jasminewind import errors
from _jasminewind import members
from _jasminewind.messages import runs

# Each process has one row in this table, keyed by its name.
TABLE = "members"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownEndpoint:
    """The endpoint of an agent, as it last announced itself.

    ``slowness`` is the mean of run time divided by estimate that the agent
    has measured.
    """

    record: runs.EndpointRecord
    address: members.Address
    is_draining: bool = False
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Registration:
    """Row of one process: the address where it accepts links.

    An agent stores its endpoint as well, so that after a restart it need not
    wait for the next announcement of the endpoint.
    """

    role: members.Role
    host: str
    port: int
    endpoint: KnownEndpoint | None = None

    @property
    def address(self) -> members.Address:
        """Return the address where the process accepts links."""
        return members.Address(self.host, self.port)


def encode(registration: Registration) -> bytes:
    """Encode a registration as the value of a row."""
    return msgspec.json.encode(registration)


def decode(value: bytes) -> result.Result[Registration, errors.WireError]:
    """Decode the value of a row."""
    try:
        return result.Ok(msgspec.json.decode(value, type=Registration))
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        return result.Err(
            errors.WireError(reason=f"malformed registration: {e}")
        )


def entries(
    rows: dict[str, bytes], own: members.Address
) -> tuple[members.Address, ...]:
    """Return the addresses of all entries except ``own``."""
    found = set()
    for value in rows.values():
        decoded = decode(value)
        if decoded.is_err():
            continue
        registration = decoded.unwrap()
        if registration.role is members.Role.ENTRY:
            found.add(registration.address)
    return tuple(sorted(found - {own}))
