"""Tests of the registration of entries in the platform's table."""

import msgspec
import pytest

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions import entry_registry
from testing.decisions import fakes

DEPTH = 100_000
ADDRESS = members.Address("10.0.0.2", 7_000)


def row(name, value):
    """Return a row of the table."""
    return core.TableRow(
        key=entry_registry.KEY_PREFIX + name, version=1, value=value
    )


def registration(address):
    """Return the value of an entry's row."""
    contact = members.Contact(
        node=members.NodeId("entry-1", 1), address=address
    )
    value = entry_registry.EntryRow(contact=contact, beat=1)
    return msgspec.json.encode(value).decode()


@pytest.mark.parametrize(
    "value",
    [
        "[" * DEPTH + "]" * DEPTH,
        '{"x": ' + "[" * DEPTH + "]" * DEPTH + "}",
        "{",
        registration(members.Address("10.0.0.3", 70_000)),
        registration(members.Address("10.0.0.3", 0)),
        registration(members.Address("entry.example", 7_000)),
    ],
    ids=["nested", "nested field", "cut", "port", "port 0", "host name"],
)
def test_a_row_of_another_writer_does_not_hide_the_others(value):
    """Guards against an entry that stops following the registered ones."""
    member = members.Member(
        node=members.NodeId("entry-0", 1),
        address=members.Address("10.0.0.1", 7_000),
        role=members.Role.ENTRY,
        region="here",
        failure_domain="a",
        rack="",
    )
    registry = entry_registry.Registry(member=member, tag="test")
    rows = (row("a", value), row("entry-1", registration(ADDRESS)))
    registry.on_read(rows, core.Instant(1.0, fakes.START_MS))
    found = {contact.node.name for contact in registry.contacts()}
    assert found == {"entry-0", "entry-1"}
