"""The agent: keeper of the endpoint beside it, and coordinator."""

import dataclasses
import random
import typing

from _jasminewind import announcements
from _jasminewind import members
from _jasminewind import settings as settings_module
from _jasminewind import timers
from _jasminewind.decisions import configuration
from _jasminewind.decisions import coordinator
from _jasminewind.decisions import core
from _jasminewind.decisions import keeper
from _jasminewind.decisions import membership
from _jasminewind.decisions import ownership
from _jasminewind.nodes import endpoint
from _jasminewind.nodes import node
from _jasminewind.platform import client

REFRESH_PERIOD_S = 0.2
ATTACH_RETRY_S = 1.0


class Agent(node.Node):
    """The small process beside an endpoint."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        timer_service: timers.TimerService,
        member: members.Member,
        seeds: tuple[members.Address, ...],
        table: client.Table,
        log_decision: node.DecisionSink,
        log: typing.Any,
        rng: random.Random,
    ) -> None:
        super().__init__(
            reactor=reactor,
            timer_service=timer_service,
            member=member,
            table=table,
            log_decision=log_decision,
            log=log,
        )
        self.keeper = keeper.Keeper(node=member.node)
        self.membership = membership.Membership(
            member=member, seeds=seeds, rng=rng
        )
        self.config_sync = configuration.AgentConfig(member=member, rng=rng)
        self.ownership = ownership.Ownership(member=member, rng=rng)
        self.coordinator = coordinator.Coordinator(
            member=member, ownership=self.ownership, rng=rng
        )
        self.endpoint = endpoint.EndpointTask(
            node=self, keeper_decision=self.keeper
        )
        self.shared_view: tuple[members.Member, ...] = ()
        self.is_leaving = False
        self.handlers[core.StartOnEndpoint] = self.endpoint.start
        self.handlers[core.OrderOnEndpoint] = self.endpoint.order
        for decision in (
            self.config_sync,
            self.membership,
            self.ownership,
            self.coordinator,
            self.keeper,
        ):
            self.add(decision)
        self.ticks.append(timer_service.every(REFRESH_PERIOD_S, self._refresh))

    def announce(self, announcement: announcements.Announcement) -> None:
        """Handle the periodic announcement of the endpoint."""
        self.endpoint.announced(announcement)

    def leave(self) -> None:
        """Handle the word of the endpoint that it is leaving."""
        now = self.timers.now()
        self.perform(self.keeper, self.keeper.begin_drain(now))
        self._refresh(now)

    def begin_shutdown(self) -> None:
        """Take no new work and hand the shards over."""
        if self.is_leaving:
            return
        self.is_leaving = True
        now = self.timers.now()
        self.perform(self.keeper, self.keeper.begin_drain(now))
        self.perform(self.ownership, self.ownership.begin_leave(now))
        self.perform(self.membership, self.membership.begin_leave(now))
        self._refresh(now)

    def is_idle(self) -> bool:
        """Tell whether a shutdown would cut nothing short."""
        return (
            self.keeper.is_idle()
            and not self.coordinator.has_work()
            and self.ownership.has_left()
        )

    def is_ready(self) -> bool:
        """Tell whether the agent takes work."""
        return (
            not self.is_leaving
            and self.config_sync.current().version > 0
            and self.endpoint.is_attached
        )

    def stop(self) -> None:
        """Close every socket."""
        self.stop_ticks()
        self.endpoint.stop()
        self.links.stop()

    def _refresh(self, now: core.Instant) -> None:
        record = dataclasses.replace(
            self.membership.member,
            state=self._state(),
            endpoint=self.endpoint.description,
            load=self.keeper.load(),
            shards=self.ownership.owned(),
            config_version=self.config_sync.current().version,
        )
        self.perform(self.membership, self.membership.update_self(record, now))
        view = self.membership.view()
        if view != self.shared_view:
            self.shared_view = view
            self.share_view(view)

    def _state(self) -> members.State:
        if self.is_leaving:
            return members.State.LEAVING
        if self.keeper.is_draining():
            return members.State.DRAINING
        if self.endpoint.is_attached:
            return members.State.SERVING
        return members.State.JOINING


def member_from_settings(
    settings: settings_module.Settings, *, wall_ms: int
) -> members.Member:
    """Return the record that a process announces about itself at start."""
    return members.Member(
        node=members.NodeId(settings.name, wall_ms),
        address=members.Address(settings.host, settings.port),
        role=members.Role(settings.role),
        region=settings.region,
        failure_domain=settings.failure_domain,
        rack=settings.rack,
    )
