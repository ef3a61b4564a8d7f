"""Tests of what an entry says of a submission that it refuses itself."""

import random

import pytest
from twisted.internet import task

from _jasminewind.api import server
from _jasminewind.decisions import core
from _jasminewind.messages import tasks
from testing.api import conftest as api_conftest
from testing.decisions import conftest as coordinators
from testing.nodes import test_entry


class Chain:
    """An entry with its API, and the coordinator that owns every id."""

    def __init__(self, entry):
        self.entry = entry
        self.owner = coordinators.Harness()
        api = server.ApiServer(
            backend=entry, clock=task.Clock(), rng=random.Random(1)
        )
        self.site = api.site(reactor=task.Clock())
        test_entry.report_owner(entry)
        entry.handlers[core.Send] = self.deliver

    def deliver(self, machine, action):
        """Deliver a message of the entry, and the replies to it."""
        del machine
        self.owner.receive(coordinators.ENTRY, action.message)
        replies, self.owner.sent = self.owner.sent, []
        for reply in replies:
            self.entry.link_message(test_entry.OWNER.node, reply.message)

    def call(self, work_id, method):
        """Call a method of the service through the entry."""
        connection = api_conftest.Connection(self.site)
        connection.post(
            "/jasminewind.v1.RequestService/Call",
            {
                "id": work_id,
                "team": "millers",
                "service": "orders",
                "method": method,
            },
        )
        return connection.response


@pytest.fixture
def chain(entry, clock):
    """Return a ready entry and its only owner."""
    chain = Chain(entry)
    while not entry.is_ready().ready:
        clock.advance(0.01)
    return chain


def test_a_refused_id_does_not_run_when_a_copy_arrives_late(chain):
    """Guards against NOT_RUN for an id that is under way elsewhere.

    A caller whose connection broke sends its request again to an entry that
    refuses it. The copy at the first entry reaches the owner afterwards.
    """
    work_id = chain.owner.new_id()
    refused = chain.call(work_id, "no-such-method")
    assert refused.json["details"][0]["debug"]["outcome"] == "NOT_RUN"
    chain.owner.submit(work_id=work_id, sender=coordinators.OTHER_ENTRY)
    starts = [
        send
        for send in chain.owner.undelivered
        if isinstance(send.message, tasks.StartTasks)
    ]
    assert starts == []
