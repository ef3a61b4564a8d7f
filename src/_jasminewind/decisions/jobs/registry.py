"""Service discovery: rows of the store that register each process."""

import collections.abc
import dataclasses

import msgspec
import result

from _jasminewind import errors
from _jasminewind import json_input
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions.jobs import speed
from _jasminewind.messages import runs

# Each entry has one row in this table, keyed by its name.
TABLE = "members"
# Each agent has one row in this table, keyed by its name. Only the next
# process of the agent reads it, so that a change of one endpoint is not
# delivered to the whole fleet.
AGENT_TABLE = "agents"
# Latest Unix time of a start that is believed: the year 2286.
MAX_TIME_MS = 10**13
# Limits on what is restored of an endpoint.
MAX_NAME_CHARS = 200
MAX_LABELS = 100
MAX_AMOUNT = 10**12


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownEndpoint:
    """The endpoint of an agent, as it last announced itself.

    ``slowness`` is the usual run time divided by expected time that the agent
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
    wait for the next announcement of the endpoint. ``started_ms`` is the Unix
    time of the start of the process.
    """

    role: members.Role
    host: str
    port: int
    endpoint: KnownEndpoint | None = None
    started_ms: int = 0

    @property
    def address(self) -> members.Address:
        """Return the address where the process accepts links."""
        return members.Address(self.host, self.port)


@dataclasses.dataclass(frozen=True, order=True)
class EntryAddress:
    """Name and address of a registered entry."""

    name: str
    address: members.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnusableRow:
    """A row that registers no process, and why."""

    name: str
    reason: str


def encode(registration: Registration) -> bytes:
    """Encode a registration as the value of a row."""
    return msgspec.json.encode(registration)


def decode(value: bytes) -> result.Result[Registration, errors.WireError]:
    """Decode the value of a row, which any process may have written."""
    return json_input.decode(value, Registration).and_then(check)


def check(
    registration: Registration,
) -> result.Result[Registration, errors.WireError]:
    """Return the registration, or which value of it cannot be used."""
    mistake = find_mistake(registration)
    if mistake:
        return result.Err(errors.WireError(reason=mistake))
    return result.Ok(registration)


def find_mistake(registration: Registration) -> str:
    """Return which value cannot be used, empty if all can."""
    if not members.is_valid_address(registration.address):
        return f"no process can listen at {registration.address}"
    if not 0 <= registration.started_ms <= MAX_TIME_MS:
        return "started_ms is out of range"
    endpoint = registration.endpoint
    return "" if endpoint is None else find_endpoint_mistake(endpoint)


def find_endpoint_mistake(endpoint: KnownEndpoint) -> str:
    """Return which value cannot be used, empty if all can."""
    record = endpoint.record
    if not members.is_valid_address(endpoint.address):
        return f"no endpoint can listen at {endpoint.address}"
    if not speed.MIN_SLOWNESS <= endpoint.slowness <= speed.MAX_SLOWNESS:
        return "slowness is out of range"
    if not 0 <= record.born_ms <= MAX_TIME_MS:
        return "born_ms is out of range"
    amounts = (getattr(record.capacity, each) for each in resources.FIELDS)
    if not all(0 <= amount <= MAX_AMOUNT for amount in amounts):
        return "capacity is out of range"
    names = (record.name, record.service, record.failure_domain)
    if any(len(each) > MAX_NAME_CHARS for each in (*names, *record.labels)):
        return "a name is too long"
    if len(record.labels) > MAX_LABELS:
        return "there are too many labels"
    return "" if record.name else "the endpoint has no name"


class EntryRegistry:
    """The entries that the rows of the table register.

    Each row is decoded when it changes. A row that cannot be used is passed
    over and does not affect the others.
    """

    def __init__(self, own: members.Address) -> None:
        """Leave out the entry at the address ``own``."""
        self.own = own
        self.values: dict[str, bytes] = {}
        self.registrations: dict[str, Registration] = {}

    def update(
        self, rows: collections.abc.Mapping[str, bytes]
    ) -> list[UnusableRow]:
        """Read the changed rows; return those that cannot be used."""
        unusable = []
        for name in [name for name in self.values if name not in rows]:
            del self.values[name]
            self.registrations.pop(name, None)
        for name, value in rows.items():
            if self.values.get(name) == value:
                continue
            self.values[name] = value
            decoded = decode(value)
            if decoded.is_ok():
                self.registrations[name] = decoded.unwrap()
            else:
                self.registrations.pop(name, None)
                unusable.append(
                    UnusableRow(name=name, reason=decoded.unwrap_err().reason)
                )
        return unusable

    def entries(self) -> tuple[EntryAddress, ...]:
        """Return all registered entries except the own one.

        A replaced machine may leave the row of another name with its address;
        the process that started last is used.
        """
        by_address: dict[members.Address, tuple[int, str]] = {}
        for name, registration in self.registrations.items():
            if registration.role is members.Role.ENTRY:
                address = registration.address
                started = (registration.started_ms, name)
                by_address[address] = max(
                    started, by_address.get(address, (0, ""))
                )
        by_address.pop(self.own, None)
        return tuple(
            sorted(
                EntryAddress(name, address)
                for address, (_, name) in by_address.items()
            )
        )
