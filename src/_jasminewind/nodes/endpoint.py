"""Connection of an agent to the endpoint beside it."""

import dataclasses
import typing

import result

from _jasminewind import announcements
from _jasminewind import errors
from _jasminewind import members
from _jasminewind.decisions import core
from _jasminewind.decisions import executor as executors
from _jasminewind.messages import tasks
from _jasminewind.nodes import node as nodes
from _jasminewind.platform import client
from _jasminewind.platform import minions
from _jasminewind.platform import workers

ATTACH_RETRY_S = 1.0


class EndpointConnection:
    """Attaches to the announced endpoint and forwards tasks to it."""

    def __init__(
        self, *, node: nodes.Node, executor: executors.TaskExecutor
    ) -> None:
        self.node = node
        self.executor = executor
        self.announcement: announcements.Announcement | None = None
        self.client: client.EndpointClient | None = None
        self.is_attached = False
        self.is_stopped = False

    def advertised(self) -> members.Endpoint | None:
        """Return the endpoint, or None before its first announcement."""
        if self.announcement is None:
            return None
        return self.announcement.endpoint()

    def on_announcement(
        self, announcement: announcements.Announcement
    ) -> None:
        """Handle a periodic announcement; attach to a changed endpoint."""
        if self.is_stopped:
            return
        now = self.node.timers.now()
        endpoint = announcement.endpoint()
        if not self._is_same(announcement):
            self.announcement = announcement
            self._replace_client(announcement)
        actions = self.executor.on_announcement(endpoint, now)
        self.node.perform(self.executor, actions)

    def start(self, machine: core.StateMachine, action: typing.Any) -> None:
        """Execute a ``StartOnEndpoint`` action."""
        del machine
        start: tasks.TaskStart = action.start
        if self.client is None:
            self.node.timers.after(
                0, lambda now: self._report_not_started(start)
            )
            return
        self.client.start(start)

    def control(self, machine: core.StateMachine, action: typing.Any) -> None:
        """Execute a ``ControlTask`` action."""
        del machine
        if self.client is not None:
            self.client.control(action.key, action.command)

    def stop(self) -> None:
        """Detach from the endpoint."""
        self.is_stopped = True
        if self.client is not None:
            self.client.detach()

    def _is_same(self, announcement: announcements.Announcement) -> bool:
        known = self.announcement
        if known is None or self.client is None:
            return False
        # A changed capacity alone needs no new client.
        return dataclasses.replace(
            known, capacity=announcement.capacity
        ) == dataclasses.replace(announcement)

    def _replace_client(
        self, announcement: announcements.Announcement
    ) -> None:
        if self.client is not None:
            self.client.detach()
        self.is_attached = False
        self.client = self._new_client(announcement)
        self._attach(self.client)

    def _new_client(
        self, announcement: announcements.Announcement
    ) -> client.EndpointClient:
        member = self.node.member
        if announcement.kind is members.EndpointKind.MINION:
            return minions.HttpMinion(
                reactor=self.node.reactor,
                host=member.address.host,
                port=announcement.port,
                connections=announcement.connections,
            )
        return workers.HttpWorker(
            reactor=self.node.reactor,
            host=member.address.host,
            port=announcement.port,
            holder=member.node.name,
            incarnation=member.node.incarnation,
        )

    def _attach(self, endpoint: client.EndpointClient) -> None:
        attaching = endpoint.attach(self._on_task_end, self._on_usage)
        attaching.addCallback(self._on_attached, endpoint)
        attaching.addErrback(self.node.report_failure)

    def _on_attached(
        self,
        outcome: result.Result[
            tuple[tasks.TaskKey, ...], errors.EndpointError
        ],
        endpoint: client.EndpointClient,
    ) -> None:
        if endpoint is not self.client or self.is_stopped:
            return
        if isinstance(outcome, result.Err):
            self.node.log.warning(
                "cannot attach to the endpoint; trying again",
                reason=outcome.err_value.reason,
                retry_s=ATTACH_RETRY_S,
            )
            self.node.timers.after(
                ATTACH_RETRY_S, lambda now: self._retry(endpoint)
            )
            return
        self.is_attached = True
        now = self.node.timers.now()
        actions = self.executor.on_attached(outcome.ok_value, now)
        self.node.perform(self.executor, actions)

    def _retry(self, endpoint: client.EndpointClient) -> None:
        if endpoint is self.client and not self.is_stopped:
            self._attach(endpoint)

    def _on_task_end(self, end: core.TaskEnd) -> None:
        now = self.node.timers.now()
        self.node.perform(self.executor, self.executor.on_task_end(end, now))

    def _on_usage(self, usage: tuple[tasks.Usage, ...]) -> None:
        now = self.node.timers.now()
        self.node.perform(self.executor, self.executor.on_usage(usage, now))

    def _report_not_started(self, start: tasks.TaskStart) -> None:
        error = errors.EndpointError(
            failure=errors.EndpointFailure.REFUSED,
            reason="no endpoint has announced itself to this agent",
        )
        self._on_task_end(core.TaskEnd(key=start.key, run_s=0.0, error=error))
