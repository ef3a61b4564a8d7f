"""The agent that runs the tasks of jobs on the endpoint beside it."""

import abc
import collections.abc
import dataclasses
import typing

from twisted.internet import defer

from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions.jobs import actions
from _jasminewind.decisions.jobs import executor
from _jasminewind.decisions.jobs import registry
from _jasminewind.messages import runs
from _jasminewind.nodes import job_entry
from _jasminewind.nodes import node


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """What an endpoint says of itself.

    ``clock_ms`` is its own steady clock. ``sequence`` rises with each
    announcement of one life, so that a late one can be told.
    """

    record: runs.EndpointRecord
    address: members.Address
    sequence: int
    clock_ms: int
    is_draining: bool


class EndpointCalls(abc.ABC):
    """Calls to one endpoint; each is sent once."""

    @abc.abstractmethod
    async def start(self, action: actions.CallStart) -> actions.CallReply:
        """Start a run."""

    @abc.abstractmethod
    async def stop(self, action: actions.CallStop) -> actions.CallReply:
        """Stop a run."""

    @abc.abstractmethod
    async def renew(self, action: actions.CallRenew) -> actions.RenewReply:
        """Renew the lease and read the state."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close idle connections."""


# How often the learned slowness is compared with the stored one, and the
# change from which on it is stored: single estimates are off by 40%, so that
# the mean of ten or more moves by less while nothing changes.
SLOWNESS_CHECK_S = 2.0
SLOWNESS_CHANGE = 0.2


Connect = collections.abc.Callable[[members.Address], EndpointCalls]
OnEndpoint = collections.abc.Callable[[registry.KnownEndpoint], None]


class JobAgent(node.LinkedNode):
    """Runs what entries order, on one endpoint."""

    def __init__(
        self,
        *,
        connect: Connect,
        on_endpoint: OnEndpoint,
        **options: typing.Any,
    ) -> None:
        """Call the endpoint by ``connect``; ``options`` are the node's."""
        super().__init__(probing=job_entry.PROBING, **options)
        self.connect = connect
        self.on_endpoint = on_endpoint
        self.known: registry.KnownEndpoint | None = None
        self.executor = executor.RunExecutor(meter=self.meter)
        self.calls: EndpointCalls | None = None
        self.address = members.NO_ADDRESS
        self.latest: Announcement | None = None
        self.handlers[actions.CallStart] = self.start
        self.handlers[actions.CallStop] = self.stop_run
        self.handlers[actions.CallRenew] = self.renew
        self.add_state_machine(self.executor)
        self.subscriptions.append(
            self.timers.every(SLOWNESS_CHECK_S, self.remember_slowness)
        )

    def set_members(self, rows: dict[str, bytes]) -> None:
        """Take the rows of the processes of the system."""
        self.executor.set_entries(registry.entries(rows, self.member.address))
        own = rows.get(self.member.node.name)
        if own is not None and self.latest is None and self.known is None:
            registration = registry.decode(own)
            if registration.is_ok():
                self.recall(registration.unwrap().endpoint)

    def recall(self, known: registry.KnownEndpoint | None) -> None:
        """Go on with the endpoint of an earlier process of this agent."""
        if known is None or known.is_draining:
            return
        self.known = known
        self.reach(known.address)
        now = self.timers.now()
        self.executor.restore_slowness(known.slowness)
        self.perform(
            self.executor, self.executor.restore_endpoint(known.record, now)
        )

    def reach(self, address: members.Address) -> None:
        """Call the endpoint at this address from now on."""
        if self.calls is not None and address == self.address:
            return
        if self.calls is not None:
            self.calls.close()
        self.address = address
        self.calls = self.connect(address)

    def remember(self, announcement: Announcement) -> None:
        """Have the endpoint stored when anything about it has changed."""
        known = registry.KnownEndpoint(
            record=announcement.record,
            address=announcement.address,
            is_draining=announcement.is_draining,
            slowness=self.known.slowness if self.known else 1.0,
        )
        if known != self.known:
            self.known = known
            self.on_endpoint(known)

    def remember_slowness(self, now: core.Instant) -> None:
        """Have the learned slowness stored when it has changed."""
        del now
        known = self.known
        learned = self.executor.learned_slowness()
        if known is None or learned is None:
            return
        if abs(learned / known.slowness - 1.0) > SLOWNESS_CHANGE:
            self.known = dataclasses.replace(known, slowness=learned)
            self.on_endpoint(self.known)

    # What the endpoint says

    def endpoint_announced(self, announcement: Announcement) -> None:
        """Take an announcement, unless it arrives late."""
        if self.is_late(announcement):
            return
        self.latest = announcement
        self.reach(announcement.address)
        self.remember(announcement)
        self.perform(
            self.executor,
            self.executor.on_announcement(
                announcement.record,
                clock_ms=announcement.clock_ms,
                is_draining=announcement.is_draining,
                now=self.timers.now(),
            ),
        )

    def is_late(self, announcement: Announcement) -> bool:
        """Tell whether a newer announcement has arrived before."""
        latest = self.latest
        if latest is None:
            return False
        record = announcement.record
        if record.born_ms != latest.record.born_ms:
            return record.born_ms < latest.record.born_ms
        if record.name != latest.record.name:
            return False
        return announcement.sequence <= latest.sequence

    def endpoint_left(self, name: str) -> None:
        """Take the endpoint's word that it ends now."""
        now = self.timers.now()
        self.perform(self.executor, self.executor.on_endpoint_left(name, now))

    # Shutdown

    def begin_shutdown(self) -> None:
        """Take no new runs, and let those that run end."""
        now = self.timers.now()
        self.perform(self.executor, self.executor.begin_shutdown(now))

    def is_idle(self) -> bool:
        """Tell whether nothing would be cut short."""
        return self.executor.is_idle()

    def stop(self) -> None:
        """Close every link."""
        self.stop_timers()
        self.links.stop()

    # Actions

    def start(
        self, machine: core.StateMachine, action: actions.CallStart
    ) -> None:
        """Start a run on the endpoint."""
        del machine
        if self.calls is None:
            return
        key = action.order.key
        self.finish(
            self.calls.start(action),
            lambda reply, now: self.executor.on_start_reply(key, reply, now),
        )

    def stop_run(
        self, machine: core.StateMachine, action: actions.CallStop
    ) -> None:
        """Stop a run on the endpoint."""
        del machine
        if self.calls is None:
            return
        self.finish(
            self.calls.stop(action),
            lambda reply, now: self.executor.on_stop_reply(
                action.key, reply, now
            ),
        )

    def renew(
        self, machine: core.StateMachine, action: actions.CallRenew
    ) -> None:
        """Renew the lease of the endpoint's runs."""
        del machine
        if self.calls is None:
            return
        self.finish(
            self.calls.renew(action),
            lambda reply, now: self.executor.on_renew_reply(
                action, reply, now
            ),
        )

    def finish(
        self,
        calling: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
        take: collections.abc.Callable[
            [typing.Any, core.Instant], core.Actions
        ],
    ) -> None:
        """Pass the reply of a call to the keeper by ``take``."""

        def answered(reply: typing.Any) -> None:
            self.perform(self.executor, take(reply, self.timers.now()))

        deferred = defer.ensureDeferred(calling)
        deferred.addCallback(answered)
        deferred.addErrback(self.report_failure)
