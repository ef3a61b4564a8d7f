"""Encodes and creates rows of the ownership table, chooses successors."""

import collections.abc
import dataclasses

import msgspec

from _jasminewind import ids
from _jasminewind import members
from _jasminewind import shards

MAX_SUCCESSORS = 2
MAX_EARLIER_INTERVALS = 8
FIRST_FLOOR_MS = 10 * 60 * 1000
# Promises go at most this far above the ceiling in the row. A claim of an
# orphaned shard, whose owner and successors are gone, starts that far above
# it, so it does not depend on a clock.
ORPHAN_SPAN_MS = 15 * 60 * 1000
AHEAD_LIMIT_MS = 30 * 1000
RELEASE_AHEAD_MS = 60 * 1000


def encode(row: shards.ShardRow) -> str:
    """Return the JSON text of ``row``."""
    return msgspec.json.encode(row).decode()


def decode(text: str) -> shards.ShardRow:
    """Return the row; raise ``json_input.MALFORMED`` if it is none."""
    return msgspec.json.decode(text, type=shards.ShardRow)


def highest_possible_ceiling(row: shards.ShardRow) -> int:
    """Return the highest id time that the row's owner can have accepted.

    Without successors there are no promises, so the owner stays at the
    ceiling in the row. The result is never below the floor, because earlier
    intervals reach up to it.
    """
    if row.closed:
        return row.current.ceiling_ms
    reach = row.current.ceiling_ms
    if row.successors:
        reach += ORPHAN_SPAN_MS
    return max(reach, row.current.floor_ms)


def next_row(
    row: shards.ShardRow,
    *,
    owner: members.Member,
    floor_ms: int,
    ceiling_ms: int,
    successors: tuple[shards.Successor, ...],
    write_id: str,
) -> shards.ShardRow:
    """Return the row of the epoch after ``row``, owned by ``owner``."""
    ended = dataclasses.replace(row.current, ceiling_ms=floor_ms)
    return shards.ShardRow(
        shard=row.shard,
        current=shards.Interval(
            epoch=row.current.epoch + 1,
            owner=owner.node,
            address=owner.address,
            floor_ms=floor_ms,
            ceiling_ms=ceiling_ms,
        ),
        successors=successors,
        earlier=(ended, *row.earlier)[:MAX_EARLIER_INTERVALS],
        write_id=write_id,
    )


def first_row(
    shard: int,
    *,
    owner: members.Member,
    wall_ms: int,
    successors: tuple[shards.Successor, ...],
    write_id: str,
) -> shards.ShardRow:
    """Return the first row of a shard that never had an owner."""
    floor_ms = wall_ms - FIRST_FLOOR_MS
    return shards.ShardRow(
        shard=shard,
        current=shards.Interval(
            epoch=1,
            owner=owner.node,
            address=owner.address,
            floor_ms=floor_ms,
            ceiling_ms=floor_ms,
        ),
        successors=successors,
        write_id=write_id,
    )


def owner_and_successors(row: shards.ShardRow) -> tuple[shards.Successor, ...]:
    """Return the owner and the successors of ``row``."""
    owner = shards.Successor(
        node=row.current.owner, address=row.current.address
    )
    return (owner, *row.successors)


def may_coordinate(member: members.Member) -> bool:
    """Return whether ``member`` may become an owner or a successor."""
    return member.role is members.Role.AGENT and member.state not in (
        members.State.LEAVING,
        members.State.DRAINING,
    )


def choose_successors(
    shard: int,
    *,
    owner: members.Member,
    view: collections.abc.Iterable[members.Member],
    keep: collections.abc.Container[members.NodeId] = (),
    avoid: collections.abc.Container[members.NodeId] = (),
    prefer: members.NodeId | None = None,
) -> tuple[shards.Successor, ...]:
    """Return up to ``MAX_SUCCESSORS`` members in separate failure domains.

    ``prefer`` comes first, then members in an unused failure domain, in an
    unused rack and in ``keep``, then the lowest rendezvous rank. Members in
    ``avoid`` are never chosen.
    """
    candidates = [
        member
        for member in view
        if may_coordinate(member)
        and member.node.name != owner.node.name
        and member.node not in avoid
    ]
    domains = {owner.failure_domain}
    racks = {owner.rack}
    chosen: list[members.Member] = []

    def sort_key(member: members.Member) -> tuple[bool, bool, bool, bool, int]:
        return (
            member.node != prefer,
            member.failure_domain in domains,
            member.rack in racks,
            member.node not in keep,
            ids.rank(shards.row_key(shard), member.node.name),
        )

    while candidates and len(chosen) < MAX_SUCCESSORS:
        best = min(candidates, key=sort_key)
        candidates.remove(best)
        chosen.append(best)
        domains.add(best.failure_domain)
        racks.add(best.rack)
    return tuple(
        shards.Successor(node=member.node, address=member.address)
        for member in chosen
    )
