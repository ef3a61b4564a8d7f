"""Which processes of the system there are, from rows of the store."""

import dataclasses

import msgspec
import result

from _jasminewind import errors
from _jasminewind import members
from _jasminewind.messages import runs

# Table in which each process keeps one row under its name.
TABLE = "members"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownEndpoint:
    """The endpoint beside an agent, as it last announced itself.

    ``slowness`` is what the agent has learned of its run times, divided by
    the estimates.
    """

    record: runs.EndpointRecord
    address: members.Address
    is_draining: bool = False
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Registration:
    """Row of one process: where it accepts links.

    An agent keeps its endpoint there, so that its next process need not
    wait for the endpoint's next announcement.
    """

    role: members.Role
    host: str
    port: int
    endpoint: KnownEndpoint | None = None

    @property
    def address(self) -> members.Address:
        """Return the address for links."""
        return members.Address(self.host, self.port)


def encode(registration: Registration) -> bytes:
    """Return the value of a row."""
    return msgspec.json.encode(registration)


def decode(value: bytes) -> result.Result[Registration, errors.WireError]:
    """Return the process in a row."""
    try:
        return result.Ok(msgspec.json.decode(value, type=Registration))
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        return result.Err(errors.WireError(reason=f"malformed row: {e}"))


def entries(
    rows: dict[str, bytes], own: members.Address
) -> tuple[members.Address, ...]:
    """Return the addresses of all entries but the process itself."""
    found = set()
    for value in rows.values():
        decoded = decode(value)
        if decoded.is_err():
            continue
        registration = decoded.unwrap()
        if registration.role is members.Role.ENTRY:
            found.add(registration.address)
    return tuple(sorted(found - {own}))
