"""Tests of links that are still connecting, without sockets."""

from twisted.internet import testing as twisted_testing

from _jasminewind import members
from _jasminewind import timers
from _jasminewind.messages import links as link_messages
from _jasminewind.wire import links


class Owner(links.LinkOwner):
    """Ignores what the links report."""

    def link_message(self, sender, message):
        """Ignore a message."""

    def link_lost(self, peer):
        """Ignore a lost link."""

    def send_failed(self, peer, message):
        """Ignore a message that was not sent."""


def test_stop_while_a_connection_is_attempted():
    """Guards against a graceful shutdown that hangs.

    A connection in progress has no transport that could be closed.
    """
    reactor = twisted_testing.MemoryReactorClock()
    node = members.NodeId("agent-0", 1)
    address = members.Address("127.0.0.1", 10_000)
    opened = links.Links(
        reactor=reactor,
        timer_service=timers.TimerService(clock=reactor, wall_ms=lambda: 0),
        hello=link_messages.Hello(
            protocol_version=link_messages.PROTOCOL_VERSION,
            sender=node,
            address=address,
            role=members.Role.AGENT,
        ),
        owner=Owner(),
    )
    peer = members.NodeId("agent-1", 1)
    opened.send(peer, address, link_messages.Ping(nonce=1))
    assert opened.open_connections
    opened.stop()
    assert opened.is_stopping
