"""Base of the entries and agents for jobs."""

import typing

from _jasminewind import errors
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import odd_input
from _jasminewind.decisions.jobs import registry
from _jasminewind.nodes import linked_node
from _jasminewind.wire import links

# Agents send heartbeats to entries every 0.2 s, and every 0.4 s to idle ones,
# so a healthy link between them is never silent for ``ping_after_s``.
LINK_TIMEOUTS = links.LinkTimeouts(
    connect_timeout_s=0.8,
    handshake_timeout_s=0.8,
    ping_after_s=0.5,
    ping_timeout_s=0.4,
    check_period_s=0.2,
)
MAX_LOGGED_CHARS = 200


class JobNode(linked_node.LinkedNode):
    """A process that finds the entries by the rows which register them."""

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(timeouts=LINK_TIMEOUTS, **options)
        self.registry = registry.EntryRegistry(self.member.address)
        self.odd = odd_input.OddInput(self.meter)

    def link_unreadable(
        self, peer: members.NodeId, error: errors.WireError
    ) -> bool:
        """Pass a message over: all of them are repeated until confirmed."""
        self.odd.report("message", str(peer), error.reason)
        return True

    def update_registry(self, rows: dict[str, bytes]) -> None:
        """Read the rows of registered processes; log unusable ones."""
        for row in self.registry.update(rows):
            self.meter.add(metrics.UNUSABLE_ROWS)
            self.log.warning(
                "row passed over; it registers no process",
                key=row.name[:MAX_LOGGED_CHARS],
                reason=row.reason[:MAX_LOGGED_CHARS],
            )
