"""Assignment of agents and shards to cells, and hashes of views."""

import collections.abc

import xxhash

from _jasminewind import ids
from _jasminewind import members
from _jasminewind import shards

REPORTERS_PER_CELL = 2
HASH_MASK = (1 << 32) - 1


def cell_of(name: str, *, cell_count: int) -> int:
    """Return the cell of the agent called ``name``."""
    return xxhash.xxh64_intdigest(name.encode()) % max(1, cell_count)


def cell_of_shard(shard: int, *, cell_count: int) -> int:
    """Return the cell whose agents own ``shard``."""
    return shard % max(1, cell_count)


def reporters(
    cell: int, view: collections.abc.Iterable[members.Member]
) -> tuple[members.Member, ...]:
    """Return the members of ``view`` that report on ``cell``."""
    ranked = sorted(
        (m for m in view if not m.suspect),
        key=lambda m: ids.rank(f"cell/{cell}", m.node.name),
    )
    return tuple(ranked[:REPORTERS_PER_CELL])


def names_hash(nodes: collections.abc.Iterable[members.NodeId]) -> int:
    """Return a 32-bit hash of a set of incarnations, never 0."""
    total = 0
    for node in nodes:
        total ^= xxhash.xxh64_intdigest(str(node).encode())
    return (total & HASH_MASK) or 1


def record_hash(record: members.Member) -> int:
    """Return the contribution of a record to :func:`view_hash`."""
    text = f"{record.node}/{record.sequence}/{record.suspect}"
    return xxhash.xxh64_intdigest(text.encode()) & HASH_MASK


def row_hash(row: shards.ShardRow) -> int:
    """Return the contribution of a shard row to :func:`view_hash`."""
    text = (
        f"{row.shard}/{row.current.epoch}/{row.current.ceiling_ms}"
        f"/{row.closed}/{row.write_id}"
    )
    return xxhash.xxh64_intdigest(text.encode()) & HASH_MASK


def view_hash(
    records: collections.abc.Iterable[members.Member],
    rows: collections.abc.Iterable[shards.ShardRow],
) -> int:
    """Return the 32-bit hash of all that a reporter sends of its cell."""
    total = 0
    for record in records:
        total ^= record_hash(record)
    for row in rows:
        total ^= row_hash(row)
    return total


def is_newer_row(row: shards.ShardRow, than: shards.ShardRow | None) -> bool:
    """Return whether ``row`` replaces ``than`` for the same shard.

    Within one epoch the ceiling only rises, except that closing the row may
    lower it to the exact value.
    """
    if than is None:
        return True
    if row.current.epoch != than.current.epoch:
        return row.current.epoch > than.current.epoch
    if row.closed != than.closed:
        return row.closed
    bounds = (row.current.ceiling_ms, row.current.floor_ms)
    return bounds > (than.current.ceiling_ms, than.current.floor_ms)
