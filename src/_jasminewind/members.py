"""Processes of the system as other processes know them."""

import dataclasses
import enum

from _jasminewind import resources


class Role(enum.StrEnum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


class State(enum.StrEnum):
    """Life cycle of a process, as it announces it."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


class EndpointKind(enum.StrEnum):
    """What stands beside an agent."""

    MINION = "minion"
    WORKER = "worker"


@dataclasses.dataclass(frozen=True, order=True)
class NodeId:
    """A process: its configured name and its incarnation.

    The incarnation is the wall time of its start in milliseconds, so that
    a replacement under the same name has a higher one.
    """

    name: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.name}#{self.incarnation}"


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """IP number and TCP port on which a process accepts links."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Endpoint:
    """An endpoint as it announced itself.

    ``service`` is empty for a worker; ``connections`` is 0 for a worker.
    """

    name: str
    kind: EndpointKind
    service: str = ""
    capacity: resources.Resources = resources.NOTHING
    connections: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What a keeper reports of its endpoint.

    ``sequence`` rises with every report of one keeper incarnation, so that
    a receiver can drop a report that arrives late.
    """

    sequence: int = 0
    free: resources.Resources = resources.NOTHING
    free_long: resources.Resources = resources.NOTHING
    running: int = 0
    queued: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """Record that a process announces about itself.

    ``suspect`` is not announced: the view of a receiver sets it while the
    member is silent, and such a member gets no new work.
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
