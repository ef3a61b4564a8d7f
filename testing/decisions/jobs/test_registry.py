"""Tests of the rows by which processes find the entries."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from _jasminewind import members
from _jasminewind.decisions.jobs import registry

OWN = members.Address("10.0.0.1", 7_000)
ENTRY = registry.Registration(
    role=members.Role.ENTRY, host="10.0.0.2", port=7_000, started_ms=5
)
FOUND = registry.EntryAddress("entry-1", members.Address("10.0.0.2", 7_000))
FIELDS = json.loads(registry.encode(ENTRY))
DEPTH = 100_000
RECORD = {
    "name": "i-1",
    "born_ms": 1,
    "service": "orders",
    "failure_domain": "a",
    "capacity": {"cores": 1.0},
}
ODD_VALUES = {
    "nested": b'{"role":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "nested in an unknown field": (
        json.dumps(FIELDS).encode()[:-1]
        + b', "x": '
        + b"[" * DEPTH
        + b"]" * DEPTH
        + b"}"
    ),
    "cut": registry.encode(ENTRY)[:20],
    "not UTF-8": b'{"role": "\xff"}',
    "another type": b"[1]",
    "large number": json.dumps({**FIELDS, "started_ms": 10**400}).encode(),
    "late start": json.dumps({**FIELDS, "started_ms": 10**30}).encode(),
    "port": json.dumps({**FIELDS, "port": 70_000}).encode(),
    "port 0": json.dumps({**FIELDS, "port": 0}).encode(),
    "host name": json.dumps({**FIELDS, "host": "entry.example"}).encode(),
    "no host": json.dumps({**FIELDS, "host": ""}).encode(),
    "no port": b'{"role": "entry", "host": "10.0.0.2"}',
    "role": json.dumps({**FIELDS, "role": "clerk"}).encode(),
    "endpoint": json.dumps(
        {
            **FIELDS,
            "endpoint": {
                "record": RECORD,
                "address": {"host": "10.0.0.3", "port": 99_999},
            },
        }
    ).encode(),
}


@pytest.fixture
def entries():
    """Return a registry of entries that has read nothing."""
    return registry.EntryRegistry(OWN)


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_a_row_that_cannot_be_used_does_not_affect_the_others(entries, value):
    """Guards against processes that stop following the list of entries."""
    rows = {"a": value, "entry-1": registry.encode(ENTRY), "z": value}
    unusable = entries.update(rows)
    assert entries.entries() == (FOUND,)
    assert [row.name for row in unusable] == ["a", "z"]
    assert all(row.reason for row in unusable)


def test_an_unusable_row_is_reported_when_it_changes(entries):
    """Guards against a log line for each row at each change of another."""
    rows = {"a": b"{", "entry-1": registry.encode(ENTRY)}
    assert len(entries.update(rows)) == 1
    assert not entries.update({**rows, "entry-2": registry.encode(ENTRY)})
    assert len(entries.update({**rows, "a": b"["})) == 1


def test_an_entry_whose_row_becomes_unusable_is_forgotten(entries):
    """Guards against links to where no entry is registered any more."""
    entries.update({"entry-1": registry.encode(ENTRY)})
    entries.update({"entry-1": b"{"})
    assert entries.entries() == ()


def test_a_removed_row_is_forgotten(entries):
    """Guards against entries that are used after they were removed."""
    entries.update({"entry-1": registry.encode(ENTRY)})
    entries.update({})
    assert entries.entries() == ()
    entries.update({"entry-1": registry.encode(ENTRY)})
    assert entries.entries() == (FOUND,)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
        strategies.sampled_from([*FIELDS, "address", "record", "x"]),
        inner,
        max_size=4,
    ),
)


@hypothesis.given(
    changes=strategies.dictionaries(
        strategies.sampled_from([*FIELDS, "x"]), JSON, max_size=4
    ),
    cut=strategies.integers(0, 400),
)
def test_rows_of_another_writer_fuzz(changes, cut):
    """Guards against an exception in every process that reads the table."""
    entries = registry.EntryRegistry(OWN)
    text = json.dumps({**FIELDS, **changes}).encode()
    rows = {
        "a": text,
        "b": text[:cut],
        "entry-1": registry.encode(ENTRY),
    }
    entries.update(rows)
    assert FOUND in entries.entries() or "a" in entries.registrations
    for found in entries.entries():
        assert members.is_valid_address(found.address)
