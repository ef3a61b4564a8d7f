"""Admission, queueing and at-most-once start of tasks on one endpoint."""

import collections
import collections.abc
import dataclasses

import msgspec

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import capacity
from _jasminewind.decisions import core
from _jasminewind.decisions import drain
from _jasminewind.decisions import results
from _jasminewind.decisions import throttling
from _jasminewind.decisions import tombstones
from _jasminewind.messages import tasks

# The queue only covers the round trip to the coordinators. In a longer queue
# tasks would wait behind a slow one while another endpoint is free.
QUEUE_LIMIT = 2
# Leaves a place for a short task, which may use slots that long tasks may not.
LONG_QUEUE_LIMIT = 1
# Daemons use the setting ``endpoint_lease_s`` instead.
ENDPOINT_LEASE_S = 3.0
COORDINATOR_IDLE_TIMEOUT_S = 10.0
LOAD_REPORT_INTERVAL_S = 1.0
# Used until the member list contains the coordinator; the node then sends on
# the link from which the coordinator's message came.
UNKNOWN_ADDRESS = members.Address("", 0)
NOT_STARTED_FAILURES = (
    errors.EndpointFailure.REFUSED,
    errors.EndpointFailure.STALE_GENERATION,
)


@dataclasses.dataclass
class QueuedTask:
    """A task that waits for capacity; its deadline is monotonic seconds."""

    start: tasks.TaskStart
    coordinator: members.NodeId
    demand: resources.Resources
    deadline_s: float


@dataclasses.dataclass
class RunningTask:
    """A task that runs on the endpoint.

    ``coordinator`` is ``None`` for a task that an earlier executor started,
    until a coordinator queries it.
    """

    key: tasks.TaskKey
    coordinator: members.NodeId | None
    started_s: float


@dataclasses.dataclass
class ReportedLoad:
    """The free capacity that was last reported to a coordinator."""

    last_contact_s: float
    sent_s: float
    free: resources.Resources = resources.NOTHING
    free_long: resources.Resources = resources.NOTHING


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A refused start and the coordinator that sent it."""

    coordinator: members.NodeId
    key: tasks.TaskKey
    reason: str


def work_error(error: errors.EndpointError) -> errors.WorkError:
    """Convert the error of a task that was started."""
    outcome = errors.Outcome.MAY_HAVE_RUN
    code = errors.Code.UNAVAILABLE
    if error.failure is errors.EndpointFailure.FAILED:
        outcome = errors.Outcome.FAILED_WHILE_RUNNING
        code = errors.Code.INTERNAL
    return errors.WorkError(code=code, outcome=outcome, reason=error.reason)


def task_result(end: core.TaskEnd) -> tasks.TaskResult:
    """Return the result to send to the coordinator for ``end``."""
    if end.error is not None:
        return tasks.TaskResult(
            key=end.key, run_s=end.run_s, error=work_error(end.error)
        )
    size = len(msgspec.json.encode(end.payload))
    if size > results.MAX_PAYLOAD_BYTES:
        error = errors.WorkError(
            code=errors.Code.INTERNAL,
            outcome=errors.Outcome.FAILED_WHILE_RUNNING,
            reason=(
                f"the task returned {size} bytes, but the limit is "
                f"{results.MAX_PAYLOAD_BYTES}; store large results and "
                "return their location"
            ),
        )
        return tasks.TaskResult(key=end.key, run_s=end.run_s, error=error)
    return tasks.TaskResult(key=end.key, run_s=end.run_s, payload=end.payload)


class TaskExecutor(core.StateMachine):
    """Manages the capacity of one endpoint and starts each task once.

    The messages and the decision log call it keeper.
    """

    def __init__(
        self,
        *,
        node: members.NodeId,
        endpoint_lease_s: float = ENDPOINT_LEASE_S,
    ) -> None:
        self.node = node
        self.endpoint_lease_s = endpoint_lease_s
        self.capacity = capacity.Capacity()
        self.queue: list[QueuedTask] = []
        self.running: dict[tasks.TaskKey, RunningTask] = {}
        self.results = results.ResultStore()
        self.refused_keys = tombstones.RecentKeys()
        self.finished_keys = tombstones.RecentKeys()
        self.drain = drain.new_drain_machine()
        self.drained_by_config: tuple[str, ...] = ()
        self.is_drained_locally = False
        self.is_attached = False
        self.last_announced_s: float | None = None
        self.now_s = 0.0
        self.last_short_wait_s = float("-inf")
        self.sequence = 0
        self.addresses: dict[members.NodeId, members.Address] = {}
        self.reported_loads: dict[members.NodeId, ReportedLoad] = {}

    # Events.

    def handles(self) -> collections.abc.Iterable[type]:
        """Return the message types that :meth:`on_message` takes."""
        return (
            tasks.StartTasks,
            tasks.StopTasks,
            tasks.QueryTasks,
            tasks.ResultsAck,
        )

    def on_message(
        self, sender: members.NodeId, message: object, now: core.Instant
    ) -> core.Actions:
        """Handle a message from a coordinator."""
        self.now_s = now.mono_s
        match message:
            case tasks.StartTasks():
                return self.on_start(sender, message, now)
            case tasks.StopTasks():
                return self.on_stop(sender, message, now)
            case tasks.QueryTasks():
                return self.on_query(sender, message, now)
            case tasks.ResultsAck():
                return self.on_ack(message, now)
        return []

    def on_announcement(
        self, endpoint: members.Endpoint, now: core.Instant
    ) -> core.Actions:
        """Renew the lease of the endpoint and update its capacity."""
        self.now_s = now.mono_s
        self.last_announced_s = now.mono_s
        if self.capacity.endpoint == endpoint:
            return []
        self.capacity.endpoint = endpoint
        return self.update_drain(now) + self.start_queued(now)

    def on_attached(
        self, running: tuple[tasks.TaskKey, ...], now: core.Instant
    ) -> core.Actions:
        """Accept starts from now on and adopt the tasks already running."""
        self.now_s = now.mono_s
        self.is_attached = True
        for key in running:
            if key in self.running or key in self.results.unacked:
                continue
            self.running[key] = RunningTask(
                key=key, coordinator=None, started_s=now.mono_s
            )
            # Its demand is unknown until the first usage report.
            self.capacity.allocate(key, capacity.DEFAULT_DEMAND, is_long=True)
        return self.start_queued(now)

    def on_task_end(
        self, end: core.TaskEnd, now: core.Instant
    ) -> core.Actions:
        """Free the allocation of the task and send its result."""
        self.now_s = now.mono_s
        run = self.running.pop(end.key, None)
        if run is None:
            return []
        self.capacity.release(end.key)
        if end.error is not None and end.error.failure in NOT_STARTED_FAILURES:
            return self.on_not_started(run, end.error, now)
        result = task_result(end)
        self.results.add(result, run.coordinator, now.mono_s)
        actions = self.start_queued(now)
        if run.coordinator is not None:
            actions.append(self.results_message(run.coordinator, (result,)))
        return actions

    def on_usage(
        self, usage: tuple[tasks.Usage, ...], now: core.Instant
    ) -> core.Actions:
        """Adjust the allocations of running tasks to their usage."""
        self.now_s = now.mono_s
        for item in usage:
            self.capacity.correct(item)
        return self.start_queued(now)

    def on_config(
        self, config: configuration.Configuration, now: core.Instant
    ) -> core.Actions:
        """Apply the policy and the drains set by operators."""
        self.now_s = now.mono_s
        self.capacity.policy = config.policy
        self.drained_by_config = config.drained
        return self.update_drain(now)

    def begin_drain(self, now: core.Instant) -> core.Actions:
        """Refuse new tasks at once and let running ones finish."""
        self.now_s = now.mono_s
        self.is_drained_locally = True
        return self.update_drain(now)

    def undrain(self, now: core.Instant) -> core.Actions:
        """Accept tasks again, unless the configuration drains the endpoint."""
        self.now_s = now.mono_s
        self.is_drained_locally = False
        return self.update_drain(now)

    def on_members(
        self, view: tuple[members.Member, ...], now: core.Instant
    ) -> core.Actions:
        """Update addresses; drop the results of replaced coordinators."""
        self.now_s = now.mono_s
        self.addresses = {member.node: member.address for member in view}
        for member in view:
            for key in self.results.keys_of_replaced(member.node):
                self.forget_result(key)
        return []

    def on_link_lost(
        self, peer: members.NodeId, now: core.Instant
    ) -> core.Actions:
        """Resend the results that may have been lost with the link."""
        self.now_s = now.mono_s
        return self.resend_results(now, coordinator=peer)

    def on_tick(self, now: core.Instant) -> core.Actions:
        """Run the periodic work: expiry, resends, throttling, load reports."""
        self.now_s = now.mono_s
        self.refused_keys.expire(now.mono_s)
        self.finished_keys.expire(now.mono_s)
        for key in self.results.expired(now.mono_s):
            self.forget_result(key)
        actions = self.reclassify(now)
        actions += self.start_queued(now)
        actions += self.unthrottle(now)
        actions += self.resend_results(now)
        actions += self.report_load(now)
        self.finish_drain()
        return actions

    def is_idle(self) -> bool:
        """Tell whether no task is queued, running or unacknowledged."""
        if self.queue or self.running:
            return False
        return not self.results.blocks_drain(self.now_s)

    def load(self) -> members.Load:
        """Return the load for a report, with the next sequence number."""
        self.sequence += 1
        free, free_long = self.free_capacity()
        return members.Load(
            sequence=self.sequence,
            free=free,
            free_long=free_long,
            running=len(self.running),
            queued=len(self.queue),
        )

    # Starts.

    def on_start(
        self,
        sender: members.NodeId,
        message: tasks.StartTasks,
        now: core.Instant,
    ) -> core.Actions:
        """Start, queue or refuse each task."""
        self.record_contact(sender, now)
        refusals = []
        actions: core.Actions = []
        for start in message.starts:
            if self.is_known(start.key):
                continue
            reason = self.refusal_reason(message.keeper, start)
            if reason:
                refusals.append(Refusal(sender, start.key, reason))
                continue
            self.queue.append(
                QueuedTask(
                    start=start,
                    coordinator=sender,
                    demand=self.capacity.demand_of(start),
                    deadline_s=now.mono_s + start.budget_s,
                )
            )
            actions += self.start_queued(now)
        return actions + self.refuse(refusals, now)

    def is_known(self, key: tasks.TaskKey) -> bool:
        """Tell whether the task is queued, running or finished."""
        if key in self.running or key in self.results.unacked:
            return True
        if any(item.start.key == key for item in self.queue):
            return True
        return self.finished_keys.contains(key)

    def refusal_reason(
        self, recipient: members.NodeId, start: tasks.TaskStart
    ) -> str:
        """Return why ``start`` is refused, empty if it is accepted."""
        if self.refused_keys.contains(start.key):
            return "the task was refused, stopped or declared lost before"
        if self.refused_keys.is_below_watermark(start.key):
            return "the task is older than the oldest recorded task key"
        if self.finished_keys.is_below_watermark(start.key):
            return "the task is older than the oldest recorded task key"
        if recipient != self.node:
            return f"the start is for {recipient}, but this is {self.node}"
        reason = self.unavailable_reason()
        if reason:
            return reason
        if start.budget_s <= 0:
            return "the deadline of the task has passed"
        pending_results = len(self.running) + len(self.queue)
        if self.results.is_full(pending_results):
            return "too many results await acknowledgement"
        return self.capacity_reason(start)

    def is_endpoint_alive(self) -> bool:
        """Tell whether the lease of the endpoint is valid."""
        if self.last_announced_s is None:
            return False
        return self.now_s - self.last_announced_s <= self.endpoint_lease_s

    def unavailable_reason(self) -> str:
        """Return why the endpoint accepts no start, empty if it does."""
        if self.drain.state() is not drain.DrainState.SERVING:
            return "the endpoint is drained or leaving"
        if self.last_announced_s is None or self.capacity.endpoint is None:
            return "the endpoint has not announced itself; check that it runs"
        if not self.is_endpoint_alive():
            return (
                "the endpoint has stopped announcing itself; "
                "check that it runs"
            )
        if not self.is_attached:
            return "this agent is not attached to its endpoint"
        return ""

    def capacity_reason(self, start: tasks.TaskStart) -> str:
        """Return why ``start`` can neither run nor queue, empty if it can."""
        demand = self.capacity.demand_of(start)
        if not self.capacity.can_ever_fit(demand):
            return "the task is larger than the endpoint"
        if self.can_start(demand, is_long=start.is_long):
            return ""
        if len(self.queue) >= QUEUE_LIMIT:
            return "the endpoint is busy and its queue is full"
        waiting_long = [item for item in self.queue if item.start.is_long]
        if start.is_long and len(waiting_long) >= LONG_QUEUE_LIMIT:
            return "the endpoint is busy and its queue for long work is full"
        endpoint = self.capacity.endpoint
        if endpoint is not None and self.capacity.is_minion:
            if len(self.running) + len(self.queue) >= endpoint.connections:
                return "all connections of the minion are in use"
        return ""

    def can_start(self, demand: resources.Resources, *, is_long: bool) -> bool:
        """Tell whether a new task can start without overtaking a queued one.

        Short tasks may overtake queued long tasks.
        """
        if any(is_long or not item.start.is_long for item in self.queue):
            return False
        return self.has_connection() and self.capacity.fits_now(
            demand, is_long=is_long
        )

    def has_connection(self) -> bool:
        """Tell whether a connection to the endpoint is available."""
        endpoint = self.capacity.endpoint
        if endpoint is None or not self.capacity.is_minion:
            return True
        return len(self.running) < endpoint.connections

    def start_queued(self, now: core.Instant) -> core.Actions:
        """Start the queued tasks that fit; refuse the expired ones."""
        endpoint_reason = self.unavailable_reason()
        refusals = []
        for item in list(self.queue):
            reason = endpoint_reason
            if item.deadline_s <= now.mono_s:
                reason = "the deadline of the task passed while it was queued"
            if reason:
                self.queue.remove(item)
                refusals.append(
                    Refusal(item.coordinator, item.start.key, reason)
                )
        actions = self.refuse(refusals, now)
        self.queue.sort(key=lambda item: item.start.is_long)
        while self.queue:
            item = self.queue[0]
            if not self.has_connection():
                break
            if not self.capacity.fits_now(
                item.demand, is_long=item.start.is_long
            ):
                commands = self.throttle_long(item, now)
                if not commands:
                    break
                actions += commands
                continue
            self.queue.pop(0)
            actions.append(self.start_task(item, now))
        return actions

    def start_task(
        self, item: QueuedTask, now: core.Instant
    ) -> core.StartOnEndpoint:
        """Record a running task and return the action that starts it."""
        start = dataclasses.replace(
            item.start, budget_s=item.deadline_s - now.mono_s
        )
        self.running[start.key] = RunningTask(
            key=start.key,
            coordinator=item.coordinator,
            started_s=now.mono_s,
        )
        self.capacity.allocate(start.key, item.demand, is_long=start.is_long)
        return core.StartOnEndpoint(start=start)

    def refuse(
        self, refusals: list[Refusal], now: core.Instant
    ) -> core.Actions:
        """Add tombstones for refused tasks and notify their coordinators."""
        grouped: dict[members.NodeId, list[tasks.TaskRefusal]]
        grouped = collections.defaultdict(list)
        actions: core.Actions = []
        for item in refusals:
            self.refused_keys.add(item.key, now.mono_s)
            grouped[item.coordinator].append(
                tasks.TaskRefusal(key=item.key, reason=item.reason)
            )
            actions.append(
                core.LogDecision(
                    kind="keeper.refuse",
                    work_id=item.key.work_id,
                    task=str(item.key.index),
                    reason=item.reason,
                )
            )
        for coordinator, group in grouped.items():
            message = tasks.TasksRefused(
                refusals=tuple(group), load=self.load_report_for(coordinator)
            )
            actions.append(self.send(coordinator, message))
        return actions

    def on_not_started(
        self,
        run: RunningTask,
        error: errors.EndpointError,
        now: core.Instant,
    ) -> core.Actions:
        """Handle a task that the endpoint proves not to have started.

        ``STALE_GENERATION`` means that another agent has attached to the
        worker, so this executor accepts no more starts.
        """
        actions: core.Actions = []
        if error.failure is errors.EndpointFailure.STALE_GENERATION:
            self.is_attached = False
            actions.append(
                core.LogDecision(kind="keeper.fenced", reason=error.reason)
            )
        if run.coordinator is not None:
            refusal = Refusal(run.coordinator, run.key, error.reason)
            actions += self.refuse([refusal], now)
        return actions + self.start_queued(now)

    # Stops, queries and acknowledgements.

    def on_stop(
        self,
        sender: members.NodeId,
        message: tasks.StopTasks,
        now: core.Instant,
    ) -> core.Actions:
        """Remove queued tasks and stop running ones.

        An unknown key gets a tombstone, because its start may still arrive
        on an older connection.
        """
        self.record_contact(sender, now)
        actions: core.Actions = []
        refusals = []
        for key in message.keys:
            if key in self.running:
                actions.append(
                    core.ControlTask(key=key, command=core.TaskCommand.STOP)
                )
                continue
            if self.drop_queued(key):
                refusals.append(
                    Refusal(sender, key, "stopped before it started")
                )
                continue
            if not self.is_known(key):
                self.refused_keys.add(key, now.mono_s)
        actions += self.refuse(refusals, now)
        return actions + self.start_queued(now)

    def drop_queued(self, key: tasks.TaskKey) -> bool:
        """Remove a task from the queue; tell whether it was queued."""
        for item in self.queue:
            if item.start.key == key:
                self.queue.remove(item)
                return True
        return False

    def on_query(
        self,
        sender: members.NodeId,
        message: tasks.QueryTasks,
        now: core.Instant,
    ) -> core.Actions:
        """Send the status of tasks; unknown ones get tombstones."""
        self.record_contact(sender, now)
        statuses = [
            self.task_status(sender, message.keeper, key, now)
            for key in message.keys
        ]
        # One result per message, so that each reply fits into a frame.
        with_result = [item for item in statuses if item.result is not None]
        without = tuple(item for item in statuses if item.result is None)
        parts = [(item,) for item in with_result]
        replies = ([without] if without else []) + parts
        return [
            self.send(
                sender,
                tasks.TaskStatuses(keeper=message.keeper, statuses=part),
            )
            for part in replies
        ]

    def task_status(
        self,
        sender: members.NodeId,
        recipient: members.NodeId,
        key: tasks.TaskKey,
        now: core.Instant,
    ) -> tasks.TaskStatus:
        """Return the status of one task for a query sent to ``recipient``."""
        unacked = self.results.unacked.get(key)
        if unacked is not None:
            unacked.coordinator = unacked.coordinator or sender
            return tasks.TaskStatus(
                key=key,
                standing=tasks.TaskState.DONE,
                result=unacked.result,
            )
        run = self.running.get(key)
        if run is not None:
            run.coordinator = run.coordinator or sender
        return tasks.TaskStatus(
            key=key, standing=self.task_state(recipient, key, now)
        )

    def task_state(
        self,
        recipient: members.NodeId,
        key: tasks.TaskKey,
        now: core.Instant,
    ) -> tasks.TaskState:
        """Return the state of a task without an unacknowledged result.

        An unknown key in a query to an earlier incarnation is ``UNKNOWN``,
        because that process may have started and finished the task.
        """
        if key in self.running:
            return tasks.TaskState.RUNNING
        if any(item.start.key == key for item in self.queue):
            return tasks.TaskState.QUEUED
        if self.finished_keys.contains(key):
            return tasks.TaskState.UNKNOWN
        if self.refused_keys.contains(key):
            return tasks.TaskState.NEVER_SEEN
        if recipient != self.node or self.finished_keys.is_below_watermark(
            key
        ):
            return tasks.TaskState.UNKNOWN
        self.refused_keys.add(key, now.mono_s)
        return tasks.TaskState.NEVER_SEEN

    def on_ack(
        self, message: tasks.ResultsAck, now: core.Instant
    ) -> core.Actions:
        """Drop the results that the coordinator has stored."""
        for key in message.keys:
            if self.results.remove(key):
                self.finished_keys.add(key, now.mono_s)
        return []

    def forget_result(self, key: tasks.TaskKey) -> None:
        """Drop a result for which no acknowledgement will arrive."""
        if self.results.remove(key):
            self.finished_keys.add(key, self.now_s)

    def resend_results(
        self,
        now: core.Instant,
        *,
        coordinator: members.NodeId | None = None,
    ) -> core.Actions:
        """Resend the unacknowledged results that are due."""
        due = self.results.due_for_resend(now.mono_s, coordinator=coordinator)
        return [
            self.results_message(node, part)
            for node, group in due.items()
            for part in results.batches(group)
        ]

    # Drain, long tasks and load.

    def update_drain(self, now: core.Instant) -> core.Actions:
        """Drain if an operator or this process requires it, else undrain."""
        should_drain = self.is_drained_locally or self.is_drained_by_operator()
        was_serving = self.drain.state() is drain.DrainState.SERVING
        if not should_drain:
            self.drain.cancel()
            return []
        if not was_serving:
            return []
        self.drain.begin()
        actions: core.Actions = [
            core.LogDecision(
                kind="keeper.drain",
                reason="the endpoint takes no new work",
            )
        ]
        actions += self.start_queued(now)
        actions += self.checkpoint_long()
        self.finish_drain()
        return actions

    def is_drained_by_operator(self) -> bool:
        """Tell whether the configuration drains this agent or endpoint."""
        endpoint = self.capacity.endpoint
        names = {self.node.name}
        if endpoint is not None:
            names.add(endpoint.name)
        return bool(names.intersection(self.drained_by_config))

    def finish_drain(self) -> None:
        """Finish the drain once no task is left."""
        if self.is_idle():
            self.drain.finish()

    def checkpoint_long(self) -> core.Actions:
        """Request a checkpoint of each long task, which keeps running."""
        if self.capacity.is_minion:
            return []
        return [
            core.ControlTask(key=key, command=core.TaskCommand.CHECKPOINT)
            for key, allocation in self.capacity.allocations.items()
            if allocation.is_long
        ]

    def reclassify(self, now: core.Instant) -> core.Actions:
        """Classify tasks as long once they exceed ``long_task_s``."""
        actions: core.Actions = []
        limit_s = self.capacity.policy.long_task_s
        for run in self.running.values():
            allocation = self.capacity.allocations[run.key]
            if allocation.is_long or now.mono_s - run.started_s < limit_s:
                continue
            allocation.is_long = True
            actions.append(
                core.LogDecision(
                    kind="keeper.reclassify",
                    work_id=run.key.work_id,
                    task=str(run.key.index),
                    choice="long",
                    reason=f"the task has run for more than {limit_s} s",
                )
            )
        return actions

    def throttle_long(
        self, item: QueuedTask, now: core.Instant
    ) -> core.Actions:
        """Throttle long tasks so that a short task can start."""
        if item.start.is_long or self.capacity.is_minion:
            return []
        self.last_short_wait_s = now.mono_s
        if not self.capacity.policy.separate_long_work:
            return []
        actions: core.Actions = []
        for key in throttling.tasks_to_throttle(self.capacity, item.demand):
            self.capacity.allocations[key].is_throttled = True
            actions.append(
                core.ControlTask(key=key, command=core.TaskCommand.THROTTLE)
            )
        return actions

    def unthrottle(self, now: core.Instant) -> core.Actions:
        """Unthrottle tasks once no short task waits."""
        if now.mono_s - self.last_short_wait_s < throttling.UNTHROTTLE_DELAY_S:
            return []
        actions: core.Actions = []
        for key in throttling.tasks_to_unthrottle(self.capacity):
            self.capacity.allocations[key].is_throttled = False
            actions.append(
                core.ControlTask(key=key, command=core.TaskCommand.UNTHROTTLE)
            )
        return actions

    def free_capacity(self) -> tuple[resources.Resources, resources.Resources]:
        """Return the free capacity for any task and for long tasks."""
        pending_results = len(self.running) + len(self.queue)
        if self.unavailable_reason() or self.results.is_full(pending_results):
            return resources.NOTHING, resources.NOTHING
        waiting = resources.NOTHING
        for item in self.queue:
            waiting = waiting + item.demand
        free = capacity.clamped(self.capacity.free() - waiting)
        free_long = capacity.clamped(self.capacity.free_long() - waiting)
        return free, free_long

    def record_contact(
        self, coordinator: members.NodeId, now: core.Instant
    ) -> None:
        """Record that ``coordinator`` has sent a message."""
        reported = self.reported_loads.get(coordinator)
        if reported is None:
            self.reported_loads[coordinator] = ReportedLoad(
                last_contact_s=now.mono_s, sent_s=float("-inf")
            )
        else:
            reported.last_contact_s = now.mono_s

    def report_load(self, now: core.Instant) -> core.Actions:
        """Report free capacity that differs from a coordinator's last report.

        A coordinator whose last report showed no capacity is told at once
        that there is some; other changes are reported once per second.
        Coordinators without recent contact get no reports.
        """
        cutoff_s = now.mono_s - COORDINATOR_IDLE_TIMEOUT_S
        actions: core.Actions = []
        free, free_long = self.free_capacity()
        for coordinator, reported in list(self.reported_loads.items()):
            if reported.last_contact_s < cutoff_s:
                del self.reported_loads[coordinator]
                continue
            if (reported.free, reported.free_long) == (free, free_long):
                continue
            newly_free = is_exhausted(reported.free) and not is_exhausted(free)
            if (
                not newly_free
                and now.mono_s - reported.sent_s < LOAD_REPORT_INTERVAL_S
            ):
                continue
            message = tasks.LoadReport(
                keeper=self.node, load=self.load_report_for(coordinator)
            )
            actions.append(self.send(coordinator, message))
        return actions

    # Messages.

    def load_report_for(self, coordinator: members.NodeId) -> members.Load:
        """Return the load and record it as reported to ``coordinator``."""
        load = self.load()
        reported = self.reported_loads.get(coordinator)
        if reported is not None:
            reported.sent_s = self.now_s
            reported.free = load.free
            reported.free_long = load.free_long
        return load

    def results_message(
        self,
        coordinator: members.NodeId,
        group: tuple[tasks.TaskResult, ...],
    ) -> core.Send:
        """Return a message with results and the current load."""
        message = tasks.TaskResults(
            keeper=self.node,
            results=group,
            load=self.load_report_for(coordinator),
        )
        return self.send(coordinator, message)

    def send(self, to: members.NodeId, message: object) -> core.Send:
        """Return the action that sends ``message`` to ``to``."""
        address = self.addresses.get(to, UNKNOWN_ADDRESS)
        return core.Send(to=to, address=address, message=message)


def is_exhausted(free: resources.Resources) -> bool:
    """Tell whether less than one slot and no share of a core is free."""
    return free.slots < 1.0 and free.cores <= 0.0
