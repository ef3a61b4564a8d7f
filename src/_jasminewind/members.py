"""Records by which processes describe themselves to each other."""

import dataclasses
import enum
import ipaddress

from _jasminewind import resources


class Role(enum.StrEnum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


class State(enum.StrEnum):
    """Life-cycle state that a process announces."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class EndpointKind(enum.StrEnum):
    """Kind of the endpoint beside an agent."""

    MINION = "minion"
    WORKER = "worker"


@dataclasses.dataclass(frozen=True, order=True)
class NodeId:
    """A process: its configured name and its incarnation.

    The incarnation is the Unix time of its start in milliseconds, so a
    replacement with the same name has a higher one.
    """

    name: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.name}#{self.incarnation}"


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """IP address and TCP port on which a process accepts links."""

    host: str
    port: int


def is_valid_host(text: str) -> bool:
    """Tell whether a text is an IP address, no wildcard or multicast."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)


def is_valid_port(port: int) -> bool:
    """Tell whether a process can listen at a TCP port."""
    return 0 < port < 65_536


def is_valid_address(address: Address) -> bool:
    """Tell whether a process can listen at an address."""
    return is_valid_host(address.host) and is_valid_port(address.port)


# Receiver at a seed address, whose name is unknown before its Hello: the link
# is selected by the address alone.
UNNAMED = NodeId("", 0)
# Unknown address: the message is sent on an open link to its receiver, and is
# reported as failed if there is none.
NO_ADDRESS = Address("", 0)


@dataclasses.dataclass(frozen=True, order=True, kw_only=True)
class Contact:
    """A process and its address."""

    node: NodeId
    address: Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class Endpoint:
    """An endpoint as it announced itself to its agent.

    ``service`` is empty for a worker; ``connections`` is 0 for a worker.
    """

    name: str
    kind: EndpointKind
    service: str = ""
    capacity: resources.Resources = resources.NOTHING
    connections: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Load of an endpoint, as its agent's task executor reports it.

    ``sequence`` increases with every report of one incarnation, so that a
    receiver can discard reports that arrive out of order. ``free_long`` is
    what long tasks may use of the free capacity.
    """

    sequence: int = 0
    free: resources.Resources = resources.NOTHING
    free_long: resources.Resources = resources.NOTHING
    running: int = 0
    queued: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """Record by which a process describes itself.

    ``sequence`` increases with every change, except of ``load`` and
    ``config_version``. ``suspect`` is set by a receiver in its own view: the
    process is silent and gets no new work.
    """

    node: NodeId
    address: Address
    role: Role
    region: str
    failure_domain: str
    rack: str
    state: State = State.JOINING
    endpoint: Endpoint | None = None
    load: Load = Load()
    shards: tuple[int, ...] = ()
    config_version: int = 0
    sequence: int = 0
    suspect: bool = False
