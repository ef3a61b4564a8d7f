"""Base of every process: runs state machines over links and timers."""

import collections.abc
import typing

from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import timers
from _jasminewind.decisions import core
from _jasminewind.messages import links as link_messages
from _jasminewind.wire import links

METRICS_PERIOD_S = 5.0
Handler = collections.abc.Callable[[core.StateMachine, typing.Any], None]


class DecisionLog(typing.Protocol):
    """Sink of the decision log, implemented by :class:`logs.DecisionLog`."""

    def write(self, action: core.LogDecision) -> None:
        """Log one decision."""

    def explain(self, work_id: str) -> tuple[str, ...]:
        """Return the decisions on one work id as JSON, oldest first."""
        ...


class LinkedNode(links.LinkOwner):
    """Feeds messages and timer ticks to state machines, and runs actions.

    A subclass adds its state machines with :meth:`add_state_machine` and
    handlers of the actions that only it can execute to ``handlers``.
    """

    # How many wasted messages one of a type counts as.
    WASTED_MESSAGES: collections.abc.Mapping[type, int] = {}

    def __init__(
        self,
        *,
        reactor: typing.Any,
        timer_service: timers.TimerService,
        member: members.Member,
        decision_log: DecisionLog,
        log: typing.Any,
        meter: metrics.Meter = metrics.NO_METER,
        timeouts: links.LinkTimeouts = links.LinkTimeouts(),
    ) -> None:
        self.reactor = reactor
        self.meter = meter
        self.reported_bytes_sent = 0
        self.timers = timer_service
        self.member = member
        self.decision_log = decision_log
        self.log = log
        self.state_machines: list[core.StateMachine] = []
        self.machines_by_type: dict[type, list[core.StateMachine]] = {}
        self.subscriptions: list[timers.Subscription] = []
        self.links = links.Links(
            reactor=reactor,
            timer_service=timer_service,
            hello=link_messages.Hello(
                protocol_version=link_messages.PROTOCOL_VERSION,
                sender=member.node,
                address=member.address,
                role=member.role,
                accepts_compression=True,
            ),
            owner=self,
            timeouts=timeouts,
        )
        self.handlers: dict[type, Handler] = {
            core.Send: self._send,
            core.Probe: self._probe,
            core.LogDecision: self._log,
        }
        self.subscriptions.append(
            timer_service.every(METRICS_PERIOD_S, self.record_metrics)
        )

    def record_metrics(self, now: core.Instant) -> None:
        """Record the link metrics; called periodically."""
        del now
        self.meter.record(metrics.LINKS, len(self.links.open_connections))
        sent = self.links.traffic()[1]
        self.meter.add(metrics.BYTES_SENT, sent - self.reported_bytes_sent)
        self.reported_bytes_sent = sent

    def add_state_machine(self, machine: core.StateMachine) -> None:
        """Register ``machine`` for its message types and its ticks."""
        self.state_machines.append(machine)
        for kind in machine.handles():
            self.machines_by_type.setdefault(kind, []).append(machine)
        self.subscriptions.append(
            self.timers.every(
                machine.TICK_S,
                lambda now: self.perform(machine, machine.on_tick(now)),
            )
        )

    def perform(
        self, machine: core.StateMachine, actions: core.Actions
    ) -> None:
        """Execute the actions that ``machine`` returned, in order.

        One that fails does not keep the others from being executed.
        """
        self.links.begin_batch()
        try:
            for action in actions:
                try:
                    self.handlers[type(action)](machine, action)
                except Exception as error:
                    self.on_unexpected_error(type(action).__name__, error)
        finally:
            self.links.end_batch()

    def handle_event(
        self,
        machine: core.StateMachine,
        event: str,
        decide: collections.abc.Callable[[], core.Actions],
    ) -> None:
        """Let a state machine decide on an event, and execute its actions.

        An unexpected exception is logged and counted. It ends neither the
        process nor the link, on which other work depends.
        """
        try:
            self.perform(machine, decide())
        except Exception as error:
            self.on_unexpected_error(event, error)

    def on_unexpected_error(self, event: str, error: Exception) -> None:
        """Log and count an exception of this program."""
        self.meter.add(metrics.UNEXPECTED_ERRORS)
        self.log.error(
            "unexpected exception; please report it",
            during=event,
            exc_info=error,
        )

    def link_message(self, sender: members.NodeId, message: object) -> None:
        """Dispatch a message to the state machines that handle its type."""
        now = self.timers.now()
        for machine in self.machines_by_type.get(type(message), ()):
            self.handle_event(
                machine,
                f"{type(message).__name__} of {sender}",
                lambda: machine.on_message(sender, message, now),
            )

    def link_lost(self, peer: members.NodeId) -> None:
        """Notify every state machine that a link was lost."""
        now = self.timers.now()
        for machine in self.state_machines:
            self.handle_event(
                machine,
                f"lost link to {peer}",
                lambda: machine.on_link_lost(peer, now),
            )

    def send_failed(self, peer: members.NodeId, message: object) -> None:
        """Notify every state machine that a message was not sent."""
        now = self.timers.now()
        for machine in self.state_machines:
            self.handle_event(
                machine,
                f"{type(message).__name__} not sent to {peer}",
                lambda: machine.on_send_failed(peer, message, now),
            )

    def notify_view_change(self, view: tuple[members.Member, ...]) -> None:
        """Notify every state machine of a changed membership view."""
        now = self.timers.now()
        for machine in self.state_machines:
            self.perform(machine, machine.on_members(view, now))

    def stop_timers(self) -> None:
        """Cancel every periodic timer."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.subscriptions.clear()

    def _send(self, machine: core.StateMachine, action: core.Send) -> None:
        del machine
        if action.to == self.member.node:
            # Deferred to a later reactor turn, so that a state machine is
            # not re-entered while its actions are executed.
            self.timers.after(
                0, lambda now: self.link_message(action.to, action.message)
            )
            return
        kind = type(action.message)
        self.meter.add(metrics.MESSAGES_SENT, type=kind.__name__)
        wasted = self.WASTED_MESSAGES.get(kind)
        if wasted:
            self.meter.add(metrics.MESSAGES_WASTED, wasted, type=kind.__name__)
        self.links.send(action.to, action.address, action.message)

    def _probe(self, machine: core.StateMachine, action: core.Probe) -> None:
        def on_reply(reply: core.ProbeReply) -> None:
            self.perform(machine, machine.on_probe(reply, self.timers.now()))

        self.links.probe(action.to, action.address).addCallback(on_reply)

    def report_failure(self, failure: typing.Any) -> None:
        """Log an unexpected exception with its traceback."""
        self.log.error(
            "unexpected exception; please report it",
            error=repr(failure.value),
            traceback=failure.getTraceback(),
        )

    def _log(
        self, machine: core.StateMachine, action: core.LogDecision
    ) -> None:
        del machine
        self.decision_log.write(action)
