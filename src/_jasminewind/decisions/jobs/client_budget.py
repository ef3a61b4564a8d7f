"""Memory and connections that all clients of a process share.

Clients are not trusted: each may keep a connection open that holds as much as
the limits of one request allow. What they hold is counted at its cost in
memory. When that is more than the budget, or a port has no connection left,
the clients to be ended are chosen here.
"""

import collections
import dataclasses
import typing

# Cost of an open connection: socket, transport, parser and timer. Measured:
# 4 KB; the rest is for what the allocator cannot reuse.
CONNECTION_BYTES = 8_192
# A client is stalled if it has neither sent nor read anything for this long.
STALLED_AFTER_S = 1.0
SIZE_CLASSES = 48

MB = 1 << 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shares:
    """Memory of all clients, and connections of each port."""

    memory_bytes: int = 32 * MB
    connections: int = 1_024
    # Connections of each port that is not for callers.
    other_connections: int = 32


class Sized:
    """Something that is kept by size, in classes of powers of two."""

    size_class = -1


T = typing.TypeVar("T", bound=Sized)


class SizeClasses(typing.Generic[T]):
    """Items by size class, in each class the one changed longest ago first.

    Every operation takes constant time.
    """

    def __init__(self) -> None:
        self.classes: list[collections.OrderedDict[T, None] | None] = [
            None
        ] * SIZE_CLASSES

    def put(self, item: T, size: int) -> None:
        """Add an item, or move it to the end of the class of its size."""
        number = min(size.bit_length(), SIZE_CLASSES - 1)
        if item.size_class != number:
            self.remove(item)
            item.size_class = number
        members = self.classes[number]
        if members is None:
            members = self.classes[number] = collections.OrderedDict()
        members[item] = None
        members.move_to_end(item)

    def remove(self, item: T) -> None:
        """Remove an item if it is there."""
        if item.size_class >= 0:
            members = self.classes[item.size_class]
            if members is not None:
                members.pop(item, None)
            item.size_class = -1

    def first_of_each(self) -> typing.Iterator[T]:
        """Yield the first item of each class, the largest class first."""
        for members in reversed(self.classes):
            if members:
                yield next(iter(members))


class Client(Sized):
    """One connection; ``owner`` is the object that ends it.

    A protected client has a request that was read completely. It is not ended
    before its response.
    """

    def __init__(self, owner: typing.Any, group: "Group") -> None:
        self.owner = owner
        self.group = group
        self.held_bytes = 0
        self.progress_s = 0.0
        self.is_protected = False
        self.is_open = True


class Group(Sized):
    """Connections from one address to one port.

    ``endable_bytes`` is what the listed clients hold, which may be ended. A
    protected one may still be listed.
    """

    def __init__(self, port: "Port", address: str) -> None:
        self.port = port
        self.address = address
        self.count = 0
        self.endable_bytes = 0
        self.clients: SizeClasses[Client] = SizeClasses()

    def victim(self, now_s: float) -> Client | None:
        """Return the client to end first, ``None`` if all are protected.

        Of the stalled ones with a part of a request, it is the one stalled
        longest of those that hold most; if there is none, it is the one that
        holds most.
        """
        self.unlist_protected()
        largest = None
        for client in self.clients.first_of_each():
            largest = largest or client
            if client.held_bytes <= CONNECTION_BYTES:
                break
            if now_s - client.progress_s >= STALLED_AFTER_S:
                return client
        return largest

    def unlist_protected(self) -> None:
        """Unlist protected clients that come first.

        It costs each request less than to unlist its client at once.
        """
        is_done = False
        while not is_done:
            is_done = True
            for client in self.clients.first_of_each():
                if client.is_protected:
                    self.unlist(client)
                    is_done = False

    def list(self, client: Client) -> None:
        """Add a client to those that may be ended."""
        if client.size_class < 0:
            self.clients.put(client, client.held_bytes)
            self.add_endable(client.held_bytes)

    def unlist(self, client: Client) -> None:
        """Remove a client from those that may be ended."""
        if client.size_class >= 0:
            self.clients.remove(client)
            self.add_endable(-client.held_bytes)

    def add_endable(self, added: int) -> None:
        """Add to what the listed clients hold."""
        self.endable_bytes += added
        if self.endable_bytes:
            self.port.endable.put(self, self.endable_bytes)
        else:
            self.port.endable.remove(self)


class Port:
    """Connections to one port, by address."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.count = 0
        self.groups: dict[str, Group] = {}
        self.endable: SizeClasses[Group] = SizeClasses()

    def heaviest(self) -> Group | None:
        """Return a group of those that hold most and may be ended."""
        return next(self.endable.first_of_each(), None)

    def victim(self, now_s: float) -> Client | None:
        """Return the client of the port to end first."""
        group = self.heaviest()
        while group is not None:
            found = group.victim(now_s)
            if found is not None:
                return found
            # All of its clients were protected and are unlisted now.
            group = self.heaviest()
        return None


class ClientBudget:
    """Counts what clients hold, and chooses those to be ended."""

    def __init__(self, shares: Shares) -> None:
        self.shares = shares
        self.held_bytes = 0
        self.ports: dict[str, Port] = {}

    def add_port(self, name: str, *, is_for_callers: bool) -> None:
        """Add a port with its share of the connections."""
        shares = self.shares
        self.ports[name] = Port(
            shares.connections if is_for_callers else shares.other_connections
        )

    def open_count(self) -> int:
        """Return the number of open connections."""
        return sum(port.count for port in self.ports.values())

    def make_room(self, port_name: str, now_s: float) -> Client | None:
        """Return the client to end for a new connection to a port, if any."""
        port = self.ports[port_name]
        if port.count < port.limit:
            return None
        victim = port.victim(now_s)
        if victim is not None:
            self.close(victim)
        return victim

    def has_room(self, port_name: str) -> bool:
        """Tell whether a port may have one more connection."""
        port = self.ports[port_name]
        return port.count < port.limit

    def open(
        self, owner: typing.Any, port_name: str, address: str, now_s: float
    ) -> Client:
        """Count a new connection."""
        port = self.ports[port_name]
        group = port.groups.get(address)
        if group is None:
            group = port.groups[address] = Group(port, address)
        port.count += 1
        group.count += 1
        client = Client(owner, group)
        self.set_held(client, CONNECTION_BYTES, now_s)
        return client

    def hold(
        self, client: Client, held_bytes: int, now_s: float
    ) -> list[Client]:
        """Set what a client holds beside its connection, as it progressed.

        Returns the clients to be ended, which may contain this one.
        """
        if not client.is_open:
            return []
        self.set_held(client, CONNECTION_BYTES + held_bytes, now_s)
        return self.reduce(now_s)

    def protect(self, client: Client) -> None:
        """Protect a client whose request was read completely."""
        client.is_protected = True

    def unprotect(
        self, client: Client, held_bytes: int, now_s: float
    ) -> list[Client]:
        """Count a client whose request has its response as any other."""
        if not client.is_open:
            return []
        if client.is_protected:
            client.is_protected = False
            client.group.list(client)
        return self.hold(client, held_bytes, now_s)

    def charge(
        self, client: Client, held_bytes: int, now_s: float
    ) -> tuple[bool, list[Client]]:
        """Set what the request of a protected client holds, if there is room.

        Returns whether there is, and the clients to be ended for it.
        """
        if not client.is_open:
            return False, []
        earlier = client.held_bytes
        self.set_held(client, CONNECTION_BYTES + held_bytes, now_s)
        ended = self.reduce(now_s)
        if self.held_bytes <= self.shares.memory_bytes:
            return True, ended
        self.set_held(client, earlier, now_s)
        return False, ended

    def reduce(self, now_s: float) -> list[Client]:
        """Close clients until the rest is within the budget."""
        ended: list[Client] = []
        while self.held_bytes > self.shares.memory_bytes:
            victims = [port.victim(now_s) for port in self.ports.values()]
            endable = [each for each in victims if each is not None]
            if not endable:
                break
            victim = max(endable, key=lambda each: each.group.endable_bytes)
            self.close(victim)
            ended.append(victim)
        return ended

    def close(self, client: Client) -> None:
        """Remove a connection."""
        if not client.is_open:
            return
        client.is_open = False
        group = client.group
        group.unlist(client)
        self.held_bytes -= client.held_bytes
        client.held_bytes = 0
        group.count -= 1
        group.port.count -= 1
        if not group.count:
            del group.port.groups[group.address]

    def set_held(self, client: Client, held_bytes: int, now_s: float) -> None:
        """Set the memory of a client."""
        added = held_bytes - client.held_bytes
        client.progress_s = now_s
        if added:
            client.held_bytes = held_bytes
            self.held_bytes += added
        if client.size_class < 0:
            if not client.is_protected:
                client.group.list(client)
            return
        client.group.clients.put(client, held_bytes)
        if added:
            client.group.add_endable(added)


def shares_of(
    *,
    memory_mb: float,
    descriptors: int,
    client_memory_mb: float = 0.0,
    client_connections: int = 0,
) -> Shares:
    """Return the shares of clients on a machine; 0 derives a share.

    A fifth of the memory is for clients: at rest a process has 51 MB, the
    allocator keeps up to a half more than what is counted, and an entry of
    160 MB needs the rest for its jobs, links and agents. Links,
    store and the other ports keep a third of the descriptors, at least 128 of
    them. Idle connections take at most a quarter of the memory of clients.
    """
    memory_bytes = int((client_memory_mb or memory_mb / 5) * MB)
    other = Shares().other_connections
    kept = min(max(descriptors // 3, 128), descriptors // 2)
    connections = client_connections or min(
        descriptors - kept, memory_bytes // 4 // CONNECTION_BYTES
    )
    return Shares(
        memory_bytes=memory_bytes,
        connections=max(connections, 8),
        other_connections=max(min(other, descriptors // 16), 4),
    )
