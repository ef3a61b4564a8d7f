"""Agent process: executes tasks on its endpoint and coordinates shards."""

import dataclasses
import random
import typing

from _jasminewind import announcements
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import settings
from _jasminewind import timers
from _jasminewind.decisions import agent_config_sync
from _jasminewind.decisions import coordinator
from _jasminewind.decisions import core
from _jasminewind.decisions import drain
from _jasminewind.decisions import executor
from _jasminewind.decisions import membership
from _jasminewind.decisions import ownership
from _jasminewind.messages import membership as membership_messages
from _jasminewind.messages import tasks
from _jasminewind.messages import work
from _jasminewind.nodes import endpoint
from _jasminewind.nodes import linked_node
from _jasminewind.nodes import node
from _jasminewind.platform import client

REFRESH_PERIOD_S = 0.2
# A leaving agent accepts late ids of its intervals for this long, because no
# other process may start them. An entry may hold a submission for 1.5 s.
LATE_SUBMISSION_GRACE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentStatus:
    """Status of an agent, as served to operators.

    ``bytes_in``, ``bytes_out`` and ``messages`` (sent, by type) count the
    traffic on links since the start. ``unneeded_results`` counts results of
    attempts that the coordinator no longer tracked, such as duplicates.
    """

    node: str
    state: members.State
    config_version: int
    is_fresh: bool
    member_count: int
    shards: tuple[int, ...]
    coordinator: coordinator.CoordinatorStatus
    load: members.Load
    bytes_in: int
    bytes_out: int
    messages: dict[str, int]
    unneeded_results: int


class Agent(node.Node):
    """Runs beside an endpoint: executor, coordinator and shard owner."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        timer_service: timers.TimerService,
        member: members.Member,
        seeds: tuple[members.Address, ...],
        table: client.Table,
        decision_log: linked_node.DecisionLog,
        log: typing.Any,
        rng: random.Random,
        endpoint_lease_s: float = executor.ENDPOINT_LEASE_S,
        meter: metrics.Meter = metrics.NO_METER,
    ) -> None:
        super().__init__(
            reactor=reactor,
            timer_service=timer_service,
            member=member,
            table=table,
            decision_log=decision_log,
            log=log,
            meter=meter,
        )
        self.executor = executor.TaskExecutor(
            node=member.node, endpoint_lease_s=endpoint_lease_s
        )
        self.membership = membership.Membership(
            member=member, seeds=seeds, rng=rng
        )
        self.config_sync = agent_config_sync.AgentConfigSync(
            member=member, rng=rng
        )
        self.ownership = ownership.Ownership(member=member, rng=rng)
        self.coordinator = coordinator.Coordinator(
            member=member,
            ownership=self.ownership,
            rng=rng,
            freshness=self.config_sync,
            meter=meter,
        )
        self.endpoint = endpoint.EndpointConnection(
            node=self, executor=self.executor
        )
        self.notified_view: tuple[members.Member, ...] = ()
        self.is_leaving = False
        self.leaving_since_s = 0.0
        self.is_handing_over = False
        self.unneeded_results = 0
        self.handlers[core.StartOnEndpoint] = self.endpoint.start
        self.handlers[core.ControlTask] = self.endpoint.control
        for machine in (
            self.config_sync,
            self.membership,
            self.ownership,
            self.coordinator,
            self.executor,
        ):
            self.add_state_machine(machine)
        self.subscriptions.append(
            timer_service.every(REFRESH_PERIOD_S, self.refresh)
        )

    @classmethod
    def from_settings(
        cls, process_settings: settings.Settings, **options: typing.Any
    ) -> "Agent":
        """Create an agent from settings and the remaining arguments."""
        seeds = tuple(
            members.Address(seed.host, seed.port)
            for seed in process_settings.seeds
        )
        return cls(
            seeds=seeds,
            endpoint_lease_s=process_settings.endpoint_lease_s,
            **options,
        )

    def link_message(self, sender: members.NodeId, message: object) -> None:
        """Handle a message; sync if its sender has a newer configuration."""
        now = self.timers.now()
        if isinstance(message, work.Submit | tasks.StartTasks):
            actions = self.config_sync.on_version_seen(
                sender, message.config_version, now
            )
            self.perform(self.config_sync, actions)
        if isinstance(message, work.ExplainRequest):
            self.links.send(
                sender, members.NO_ADDRESS, self.explanation(message)
            )
            return
        if isinstance(message, tasks.TaskResults):
            tracked = self.coordinator.dispatcher.attempts
            self.unneeded_results += sum(
                1
                for task_result in message.results
                if task_result.key not in tracked
            )
        super().link_message(sender, message)
        if isinstance(message, membership_messages.Leave):
            # A leaving process must not be chosen as a successor.
            self.notify_if_view_changed()

    def explanation(self, request: work.ExplainRequest) -> work.ExplainReply:
        """Return the decisions on a work id that this process kept."""
        return work.ExplainReply(
            work_id=request.work_id,
            query_id=request.query_id,
            entries=self.decision_log.explain(request.work_id),
        )

    def on_announcement(
        self, announcement: announcements.Announcement
    ) -> None:
        """Handle a periodic announcement of the endpoint."""
        self.endpoint.on_announcement(announcement)

    def on_endpoint_leave(self) -> None:
        """Drain the executor, because the endpoint is shutting down."""
        now = self.timers.now()
        self.perform(self.executor, self.executor.begin_drain(now))
        self.refresh(now)

    def begin_shutdown(self) -> None:
        """Refuse new work and transfer the shards."""
        if self.is_leaving:
            return
        self.is_leaving = True
        now = self.timers.now()
        self.leaving_since_s = now.mono_s
        self.perform(self.executor, self.executor.begin_drain(now))
        self.perform(self.ownership, self.ownership.begin_leave(now))
        self.perform(self.membership, self.membership.begin_leave(now))
        self.refresh(now)

    def is_idle(self) -> bool:
        """Return whether the agent can exit without losing work."""
        return (
            self.executor.is_idle()
            and not self.coordinator.has_work()
            and self.is_handing_over
            and self.ownership.has_left()
        )

    def unready_reason(self) -> str:
        """Return why the readiness check fails, empty if it passes."""
        if self.is_leaving:
            return "the agent is shutting down"
        if self.config_sync.current().version == 0:
            return "no configuration is known yet"
        if not self.endpoint.is_attached:
            return "no endpoint has announced itself"
        if not self.executor.is_endpoint_alive():
            return "the endpoint has stopped announcing itself"
        return ""

    def status(self) -> AgentStatus:
        """Return the status of this agent."""
        bytes_in, bytes_out = self.links.traffic()
        return AgentStatus(
            node=str(self.member.node),
            state=self.state(),
            config_version=self.config_sync.current().version,
            is_fresh=self.config_sync.is_fresh(self.timers.now()),
            member_count=len(self.membership.view()),
            shards=self.ownership.owned(),
            coordinator=self.coordinator.status(),
            load=self.executor.load(),
            bytes_in=bytes_in,
            bytes_out=bytes_out,
            messages=self.links.sent_counts(),
            unneeded_results=self.unneeded_results,
        )

    def stop(self) -> None:
        """Close every socket."""
        self.perform(
            self.membership, self.membership.end_leave(self.timers.now())
        )
        self.stop_timers()
        self.endpoint.stop()
        self.links.stop()

    def refresh(self, now: core.Instant) -> None:
        """Update this member's record and notify of a changed view."""
        record = dataclasses.replace(
            self.membership.member,
            state=self.state(),
            endpoint=self.endpoint.advertised(),
            load=self.load_to_announce(),
            shards=self.ownership.owned(),
            config_version=self.config_sync.current().version,
        )
        self.perform(self.membership, self.membership.update_self(record, now))
        self.hand_over_answers(now)
        self.ownership.entries = {
            entry.node: entry.address for entry in self.membership.contacts()
        }
        for row in self.ownership.announced_rows():
            self.membership.merge_row(row)
        self.notify_if_view_changed()

    def notify_if_view_changed(self) -> None:
        """Notify every state machine if the membership view changed."""
        view = self.membership.view()
        if view != self.notified_view:
            self.notified_view = view
            self.notify_view_change(view)

    def hand_over_answers(self, now: core.Instant) -> None:
        """Send finished answers to the new owners once no work is left."""
        if not self.is_leaving or self.is_handing_over:
            return
        left_s = now.mono_s - self.leaving_since_s
        if left_s < LATE_SUBMISSION_GRACE_S:
            if self.ownership.holds_intervals():
                return
        if self.coordinator.has_work():
            return
        if not self.ownership.has_transferred_shards():
            return
        self.is_handing_over = True
        answers = self.coordinator.close()
        self.perform(self.ownership, self.ownership.hand_over(answers, now))

    def record_metrics(self, now: core.Instant) -> None:
        """Record the link metrics and the gauges of this agent."""
        super().record_metrics(now)
        coordinator_status = self.coordinator.status()
        load = self.executor.load()
        self.meter.record(metrics.QUEUED, coordinator_status.tasks_waiting)
        self.meter.record(metrics.RUNNING, load.running)
        self.meter.record(metrics.MEMBERS, len(self.membership.view()))
        self.meter.record(metrics.SHARDS_OWNED, len(self.ownership.owned()))
        config = self.config_sync.current()
        self.meter.record(metrics.CONFIG_VERSION, config.version)
        if config.version > 0:
            age_s = now.mono_s - self.config_sync.confirmed_s
            self.meter.record(metrics.CONFIG_AGE, age_s)

    def load_to_announce(self) -> members.Load:
        """Return the current load; reuse the announced record if equal.

        A new record has a new sequence, which would change the view.
        """
        announced = self.membership.member.load
        load = self.executor.load()
        comparable = dataclasses.replace(load, sequence=announced.sequence)
        return announced if comparable == announced else load

    def state(self) -> members.State:
        """Return the member state that this process announces."""
        if self.is_leaving:
            return members.State.LEAVING
        if self.executor.drain.state() is not drain.DrainState.SERVING:
            return members.State.DRAINING
        if self.endpoint.is_attached and self.executor.is_endpoint_alive():
            return members.State.SERVING
        return members.State.JOINING
