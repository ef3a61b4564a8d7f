"""Agent process for jobs: executes their tasks on its endpoint."""

import abc
import collections.abc
import dataclasses
import typing

from twisted.internet import defer

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import endpoint_selection
from _jasminewind.decisions.jobs import executor
from _jasminewind.decisions.jobs import registry
from _jasminewind.nodes import job_node


class EndpointClient(abc.ABC):
    """Client of one endpoint; every call is sent at most once."""

    @abc.abstractmethod
    async def start(self, action: actions.CallStart) -> actions.CallReply:
        """Start a run."""

    @abc.abstractmethod
    async def stop(self, action: actions.CallStop) -> actions.CallReply:
        """Stop a run."""

    @abc.abstractmethod
    async def renew(self, action: actions.CallRenew) -> actions.RenewReply:
        """Renew the lease of the runs and read their state."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close idle connections."""


# The usual slowness is compared with the stored one at this period, and stored
# if it changed by more than this share: single estimates are off by 40%, so
# the median of ten or more varies by less while the speed is constant.
SLOWNESS_CHECK_PERIOD_S = 2.0
MIN_SLOWNESS_CHANGE = 0.2


Connect = collections.abc.Callable[[members.Address], EndpointClient]
OnEndpoint = collections.abc.Callable[[registry.KnownEndpoint | None], None]
# The names of the configured services, ``None`` if they cannot be read.
ReadServices = collections.abc.Callable[
    [],
    collections.abc.Coroutine[typing.Any, typing.Any, frozenset[str] | None],
]


class JobAgent(job_node.JobNode):
    """Executes the runs that entries order on one endpoint."""

    def __init__(
        self,
        *,
        connect: Connect,
        on_endpoint: OnEndpoint,
        read_services: ReadServices,
        early_moves: bool = True,
        started_s: float | None = None,
        **options: typing.Any,
    ) -> None:
        """Create clients with ``connect``; ``on_endpoint`` stores changes.

        The process began at ``started_s``, or now. With ``early_moves``, runs
        that would end after a draining endpoint has left are stopped at once.
        """
        super().__init__(**options)
        self.connect = connect
        self.on_endpoint = on_endpoint
        self.read_services = read_services
        self.endpoint: registry.KnownEndpoint | None = None
        # False once the endpoint has announced itself.
        self.may_restore = True
        # Name of the last endpoint that has left.
        self.left_endpoint = ""
        self.executor = executor.RunExecutor(
            agent=self.member.node.name,
            started_s=(
                self.timers.now().mono_s if started_s is None else started_s
            ),
            meter=self.meter,
            early_moves=early_moves,
        )
        self.selection = endpoint_selection.EndpointSelection(
            run_executor=self.executor
        )
        self.client: EndpointClient | None = None
        self.endpoint_address = members.NO_ADDRESS
        self.handlers[actions.CallStart] = self.start
        self.handlers[actions.CallStop] = self.stop_run
        self.handlers[actions.CallRenew] = self.renew
        self.handlers[endpoint_selection.Identify] = self.identify
        self.handlers[endpoint_selection.ReadServices] = self.check_services
        self.handlers[endpoint_selection.UseEndpoint] = self.use_endpoint
        self.add_state_machine(self.executor)
        self.add_state_machine(self.selection)
        self.subscriptions.append(
            self.timers.every(SLOWNESS_CHECK_PERIOD_S, self.store_slowness)
        )

    def set_members(self, rows: dict[str, bytes]) -> None:
        """Update the entries from the rows of registered processes."""
        self.update_registry(rows)
        self.executor.set_entries(self.registry.entries(), self.timers.now())

    def on_registered(self, *, is_first: bool) -> None:
        """Learn that this agent is registered, or was before."""
        self.executor.on_registered(is_first=is_first)

    def restore(self, row: bytes) -> None:
        """Resume the endpoint of this agent's previous process.

        ``row`` is its registration. An endpoint that has announced itself
        meanwhile goes first.
        """
        self.on_registered(is_first=False)
        if not self.may_restore:
            return
        registration = registry.decode(row)
        if registration.is_err():
            self.log.warning(
                "unreadable registration of the previous process",
                reason=registration.unwrap_err().reason,
            )
            return
        endpoint = registration.unwrap().endpoint
        if endpoint is None or endpoint.is_draining:
            return
        if endpoint.record.name == self.left_endpoint:
            return
        self.endpoint = endpoint
        self.connect_to(endpoint.address)
        self.selection.trust_service(endpoint.record.service)
        now = self.timers.now()
        self.executor.speed.restore(endpoint.slowness)
        self.perform(
            self.executor, self.executor.restore_endpoint(endpoint.record, now)
        )

    def connect_to(self, address: members.Address) -> None:
        """Replace the client if the address of the endpoint changed."""
        if self.client is not None and address == self.endpoint_address:
            return
        if self.client is not None:
            self.client.close()
        self.endpoint_address = address
        self.client = self.connect(address)

    def store_endpoint(
        self, announcement: endpoint_selection.Announcement
    ) -> None:
        """Store the endpoint if its record, address or state changed."""
        endpoint = registry.KnownEndpoint(
            record=announcement.record,
            address=announcement.address,
            is_draining=announcement.is_draining,
            slowness=self.endpoint.slowness if self.endpoint else 1.0,
        )
        if endpoint != self.endpoint:
            self.endpoint = endpoint
            self.on_endpoint(endpoint)

    def store_slowness(self, now: core.Instant) -> None:
        """Store the measured slowness if it changed enough."""
        del now
        endpoint = self.endpoint
        learned = self.executor.speed.learned()
        if endpoint is None or learned is None:
            return
        if abs(learned / endpoint.slowness - 1.0) > MIN_SLOWNESS_CHANGE:
            self.endpoint = dataclasses.replace(endpoint, slowness=learned)
            self.on_endpoint(self.endpoint)

    # Reports of the endpoint

    def on_announcement(
        self, announcement: endpoint_selection.Announcement
    ) -> None:
        """Handle an announcement, which anybody may have sent."""
        now = self.timers.now()
        self.perform(
            self.selection, self.selection.on_announcement(announcement, now)
        )

    def on_endpoint_left(self, name: str) -> None:
        """Handle the endpoint's notice that it will exit.

        The next process of this agent must not restore it.
        """
        self.left_endpoint = name
        if self.endpoint is not None and self.endpoint.record.name == name:
            self.endpoint = None
            self.on_endpoint(None)
        now = self.timers.now()
        self.selection.on_endpoint_left(name)
        self.perform(self.executor, self.executor.on_endpoint_left(name, now))

    # Shutdown

    def begin_shutdown(self) -> None:
        """Refuse new runs and let running ones finish."""
        now = self.timers.now()
        self.perform(self.executor, self.executor.begin_shutdown(now))

    def is_idle(self) -> bool:
        """Return whether the process can exit without losing a run."""
        return self.executor.is_idle()

    def stop(self) -> None:
        """Close every link."""
        self.stop_timers()
        self.links.stop()

    # Actions

    def use_endpoint(
        self,
        machine: core.StateMachine,
        action: endpoint_selection.UseEndpoint,
    ) -> None:
        """Use the endpoint of an announcement."""
        del machine
        announcement = action.announcement
        self.may_restore = False
        self.connect_to(announcement.address)
        self.store_endpoint(announcement)
        self.perform(
            self.executor,
            self.executor.on_announcement(
                announcement.record,
                clock_ms=announcement.clock_ms,
                is_draining=announcement.is_draining,
                drain_remaining_s=announcement.drain_remaining_s,
                now=self.timers.now(),
            ),
        )

    def identify(
        self, machine: core.StateMachine, action: endpoint_selection.Identify
    ) -> None:
        """Read the state of an announced endpoint, to learn who answers."""
        del machine
        announcement = action.announcement
        client = self.connect(announcement.address)
        # It renews nothing and acknowledges no end.
        read = actions.CallRenew(
            endpoint=announcement.record,
            fencing_token=0,
            deadline_ms=0,
            last_end=0,
            wait_s=0.0,
        )

        def on_reply(
            reply: actions.RenewReply, now: core.Instant
        ) -> core.Actions:
            client.close()
            return self.selection.on_identity(announcement, reply, now)

        self.forward_reply(self.selection, client.renew(read), on_reply)

    def check_services(
        self,
        machine: core.StateMachine,
        action: endpoint_selection.ReadServices,
    ) -> None:
        """Read the names of the configured services."""
        del machine, action
        self.forward_reply(
            self.selection, self.read_services(), self.selection.on_services
        )

    def start(
        self, machine: core.StateMachine, action: actions.CallStart
    ) -> None:
        """Start a run on the endpoint."""
        del machine
        if self.client is None:
            return
        key = action.order.key
        self.forward_reply(
            self.executor,
            self.client.start(action),
            lambda reply, now: self.executor.on_start_reply(key, reply, now),
        )

    def stop_run(
        self, machine: core.StateMachine, action: actions.CallStop
    ) -> None:
        """Stop a run on the endpoint."""
        del machine
        if self.client is None:
            return
        self.forward_reply(
            self.executor,
            self.client.stop(action),
            lambda reply, now: self.executor.on_stop_reply(
                action.key, reply, now
            ),
        )

    def renew(
        self, machine: core.StateMachine, action: actions.CallRenew
    ) -> None:
        """Renew the lease of the runs on the endpoint."""
        del machine
        if self.client is None:
            return
        self.forward_reply(
            self.executor,
            self.client.renew(action),
            lambda reply, now: self.executor.on_renew_reply(
                action, reply, now
            ),
        )

    def forward_reply(
        self,
        machine: core.StateMachine,
        call: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
        handle_reply: collections.abc.Callable[
            [typing.Any, core.Instant], core.Actions
        ],
    ) -> None:
        """Pass the reply of a call to a state machine by ``handle_reply``."""

        def on_reply(reply: typing.Any) -> None:
            self.perform(machine, handle_reply(reply, self.timers.now()))

        deferred = defer.ensureDeferred(call)
        deferred.addCallback(on_reply)
        deferred.addErrback(self.report_failure)
