"""Tests of work ids."""

import random

import pytest

from _jasminewind import ids


def test_new_id_keeps_its_creation_time():
    """Guards against ids that lose the creation time they are checked by."""
    work_id = ids.new(wall_ms=1_796_000_000_123, rng=random.Random(1))
    assert ids.parse(work_id).unwrap() == work_id
    assert ids.time_ms(work_id) == 1_796_000_000_123


@pytest.mark.parametrize(
    "text", ["", "PO-1234", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", None]
)
def test_other_ids_are_refused_with_advice(text):
    """Guards against accepting work whose id has no creation time."""
    error = ids.parse(text).unwrap_err()
    assert "jasminewind new-id" in error.reason


def test_shards_spread_evenly():
    """Guards against a hash that sends most work to one coordinator."""
    rng = random.Random(2)
    counts = [0] * 4
    for _ in range(4_000):
        work_id = ids.new(wall_ms=1_796_000_000_000, rng=rng)
        counts[ids.shard_of(work_id, shard_count=4)] += 1
    assert min(counts) > 900
