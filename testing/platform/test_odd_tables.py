"""A system whose tables have odd rows, before its start or while it runs."""

import json

import pytest

from _jasminewind.decisions.jobs import registry
from testing import reactor
from testing.decisions.jobs import test_registry
from testing.platform import fake_platform
from testing.platform import odd_values
from testing.platform import test_entry_and_agent
from testing.platform import test_odd_input

JOB_PATH = test_entry_and_agent.JOB_PATH
CONFIGURATION = fake_platform.CONFIGURATION
NESTED = odd_values.NESTED.encode()
# Rows as the store lists them.
ODD_ROWS = [
    None,
    5,
    [],
    {"key": 5},
    {"key": "x", "value": 5},
    {"key": "x", "value": "*", "version-number": 1},
    {"key": "x", "value": "e30=", "version-number": 10**400},
    {"key": "x", "deleted": "yes"},
]
ODD_CONFIGURATIONS = [
    b"",
    b"{not json",
    b"[]",
    b"\xff",
    NESTED,
    b'{"version": 99, "routes": ' + NESTED + b"}",
    b'{"version": "99", "routes": []}',
    b'{"version": 1e400, "routes": []}',
    json.dumps({**CONFIGURATION, "version": 10**400}).encode(),
    json.dumps({**CONFIGURATION, "version": -1}).encode(),
    json.dumps({"version": 99}).encode(),
    json.dumps({"version": 99, "routes": None}).encode(),
]
ODD_REGISTRATIONS = [
    *test_registry.ODD_VALUES.values(),
    *(
        json.dumps(
            odd_values.replace(
                json.loads(registry.encode(test_odd_input.REGISTRATION)),
                path,
                value,
            )
        ).encode()
        for path, value in (
            (("endpoint", "slowness"), 0),
            (("endpoint", "record", "born_ms"), 10**30),
            (("endpoint", "record", "capacity", "cores"), -1),
            (("endpoint", "record", "labels"), ["a" * 201]),
            (("endpoint", "address", "port"), 70_000),
        )
    ),
]
VALUES = {
    "members": ODD_REGISTRATIONS,
    "agents": ODD_REGISTRATIONS,
    "op": ODD_CONFIGURATIONS,
}


class OddStore(fake_platform.FakeStore):
    """Store that lists ``odd`` rows in each page of some tables."""

    def __init__(self, clock):
        super().__init__(clock)
        self.odd = {}

    def page(self, table, after):
        """Add the odd rows before and after the others."""
        body = json.loads(super().page(table, after))
        odd = self.odd.get(table, [])
        body["rows"] = [*odd, *body["rows"], *odd]
        return json.dumps(body).encode()


async def serve(system):
    """Submit a job; return its status, and the processes' odd events."""
    status, _ = await system.call(
        b"POST", "callers", JOB_PATH, fake_platform.JOB
    )
    failures = [
        name
        for started in system.daemons
        for name in started.meter.text().decode().splitlines()
        if name.startswith("jasminewind_errors_unexpected_total")
        and not name.endswith(" 0.0")
    ]
    return status, failures


async def change_configuration(system, version):
    """Write a configuration, and wait until the entry has applied it."""
    value = json.dumps({**CONFIGURATION, "version": version}).encode()
    system.store.put("op", "config", value)
    entry = system.daemons[0].node
    await reactor.until(lambda: entry.config.version == version)


async def follow_members(system):
    """Register another entry, and wait until both processes know it."""
    value = registry.encode(test_registry.ENTRY)
    system.store.put("members", "entry-9", value)
    for started in system.daemons:
        known = started.node.registry
        await reactor.until(
            lambda known=known: test_registry.FOUND.address
            in [each.address for each in known.entries()]
        )


@pytest.mark.parametrize("table", VALUES)
@pytest.mark.parametrize("is_early", [True, False])
@pytest.mark.parametrize("kind", ["rows", "values"])
def test_odd_rows_of_a_table_do_not_disturb_a_system(table, is_early, kind):
    """Guards against a process that does not start, or stops following.

    After the odd rows another entry and another configuration are taken note
    of, and a job is run.
    """

    def plant(store):
        if kind == "rows":
            store.odd[table] = ODD_ROWS
            store.put(table, "x", b"{}")
            return
        for number, value in enumerate(VALUES[table]):
            store.put(table, f"odd-{number:02}", value)
            if table == "agents":
                store.put(table, "agent-1", value)

    async def run():
        system = test_entry_and_agent.LocalSystem()
        system.store = OddStore(reactor.reactor)
        try:
            if is_early:
                plant(system.store)
            await system.start()
            await system.wait_until_ready()
            if not is_early:
                plant(system.store)
                await reactor.sleep(0.1)
            await change_configuration(system, 40)
            served = await serve(system)
            await follow_members(system)
            return served
        finally:
            system.stop()

    assert reactor.run(run) == (200, [])


@pytest.mark.parametrize("is_early", [True, False])
def test_an_odd_configuration_leaves_the_last_one_in_force(is_early):
    """Guards against an entry that ends, or has no queues any more.

    Each odd configuration takes the place of the row of the earlier one.
    """

    async def run():
        system = test_entry_and_agent.LocalSystem()
        try:
            store = system.store
            if is_early:
                store.put("op", "config", ODD_CONFIGURATIONS[0])
            await system.start()
            if is_early:
                for value in ODD_CONFIGURATIONS:
                    store.put("op", "config", value)
                    await reactor.sleep(0.02)
                refused, _ = await serve(system)
                assert refused == 503
            await system.wait_until_ready()
            for value in ODD_CONFIGURATIONS:
                store.put("op", "config", value)
                await reactor.sleep(0.02)
            served = await serve(system)
            version = system.daemons[0].node.config.version
            await change_configuration(system, 41)
            return served, version
        finally:
            system.stop()

    assert reactor.run(run) == ((200, []), CONFIGURATION["version"])


@pytest.mark.parametrize(
    "value", ODD_REGISTRATIONS, ids=lambda value: str(value[:30])
)
def test_an_agent_starts_with_any_row_of_its_predecessor(value):
    """Guards against an agent that does not serve for what it restores."""

    async def run():
        system = test_entry_and_agent.LocalSystem()
        try:
            system.store.put("agents", "agent-1", value)
            await system.start()
            await reactor.sleep(0.1)
            restored = system.daemons[1].node.executor.endpoint
            await system.wait_until_ready()
            return restored, await serve(system)
        finally:
            system.stop()

    assert reactor.run(run) == (None, (200, []))
