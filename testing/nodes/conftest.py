"""Fixtures that run nodes with a fake clock and a fake table."""

import random

import msgspec
import pytest
import result
import structlog
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import testing as twisted_testing

from _jasminewind import configuration
from _jasminewind import members
from _jasminewind import timers
from _jasminewind.decisions import core
from _jasminewind.nodes import agent as agents
from _jasminewind.nodes import entry as entries
from _jasminewind.platform import client
from testing.decisions import fakes
from testing.decisions import fleet

MEMBER = members.Member(
    node=members.NodeId("agent-0", 1),
    address=members.Address("127.0.0.1", 7000),
    role=members.Role.AGENT,
    region="here",
    failure_domain="a",
    rack="a-1",
)


class Clock(twisted_testing.MemoryReactorClock):
    """A reactor without sockets whose clock the test advances."""

    def wall_ms(self):
        """Return the wall clock that matches the simulated time."""
        return fakes.START_MS + int(self.seconds() * 1000)

    def run(self, seconds):
        """Advance the clock in steps of a state machine's tick."""
        self.pump([0.1] * round(seconds / 0.1))


class Table(client.Table):
    """The platform's table interface over the fake table.

    With a ``clock``, reads are answered ``delay_s`` later.
    """

    def __init__(self):
        self.fake = fakes.FakeTable()
        self.clock = None
        self.delay_s = 0.05

    def read(self, keys, prefix):
        """Answer at once, or after the delay."""
        action = core.ReadTable(tag="", keys=keys, prefix=prefix)
        rows = result.Ok(self.fake.read(action).rows)
        if self.clock is None:
            return defer.succeed(rows)
        return task.deferLater(self.clock, self.delay_s, lambda: rows)

    def write(self, key, expected_version, value):
        """Answer at once."""
        reply = self.fake.write(
            core.WriteTable(
                tag="",
                key=key,
                expected_version=expected_version,
                value=value,
            )
        )
        if reply.error is not None:
            return defer.succeed(result.Err(reply.error))
        return defer.succeed(result.Ok(reply.version))


class DecisionLog:
    """Discards decisions."""

    def write(self, action):
        """Discard one decision."""

    def explain(self, work_id):
        """Return nothing."""
        del work_id
        return ()


@pytest.fixture
def clock():
    """Return a reactor without sockets."""
    return Clock()


@pytest.fixture
def agent(clock):
    """Return the only agent of a cell, with a configuration applied."""
    agent = agents.Agent(
        reactor=clock,
        timer_service=timers.TimerService(clock=clock, wall_ms=clock.wall_ms),
        member=MEMBER,
        seeds=(),
        table=Table(),
        decision_log=DecisionLog(),
        log=structlog.get_logger(),
        rng=random.Random(1),
        endpoint_lease_s=4.0,
    )
    agent.apply_config(configuration.Configuration(version=1, shard_count=2))
    return agent


@pytest.fixture
def entry(clock):
    """Return an entry whose table has a configuration it has not read."""
    table = Table()
    config = fleet.config(1, shard_count=1)
    table.fake.rows[configuration.CONFIG_KEY] = (
        1,
        msgspec.json.encode(config).decode(),
    )
    return entries.Entry(
        reactor=clock,
        timer_service=timers.TimerService(clock=clock, wall_ms=clock.wall_ms),
        member=fleet.entry_record(0),
        table=table,
        decision_log=DecisionLog(),
        log=structlog.get_logger(),
        rng=random.Random(1),
    )
