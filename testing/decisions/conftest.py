"""Coordinator fixtures with a fake clock and fake task executors."""

import dataclasses
import random

import pytest

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import members
from _jasminewind import resources
from _jasminewind import shards
from _jasminewind.decisions import coordinator
from _jasminewind.decisions import core
from _jasminewind.decisions import id_checks
from _jasminewind.messages import tasks
from _jasminewind.messages import work

START_WALL_MS = 1_796_000_000_000
ENTRY = members.NodeId("entry-1", 1)
OTHER_ENTRY = members.NodeId("entry-2", 1)
SELF = members.NodeId("agent-0", 1)
DOMAINS = ("fd-a", "fd-b", "fd-c")


class FakeOwnership:
    """Fake shard ownership whose id checks the test controls."""

    def __init__(self):
        self.kind = id_checks.IdCheckKind.ACCEPT
        self.interval = None
        self.wanted = []
        self.floor_ms = 0

    def check_id(self, work_id, now):
        """Return the check that the test set, ``EARLIER`` up to the floor."""
        del now
        if ids.time_ms(work_id) <= self.floor_ms:
            return id_checks.IdCheck(kind=id_checks.IdCheckKind.EARLIER)
        return id_checks.IdCheck(kind=self.kind, interval=self.interval)

    def raise_floor(self, shard, floor_ms):
        """Reject ids up to ``floor_ms`` as no longer on record."""
        del shard
        self.floor_ms = max(self.floor_ms, floor_ms)

    def extend_for(self, work_id, now):
        """Record the id that is above the ceiling."""
        del now
        self.wanted.append(work_id)
        return []

    def owned(self):
        """Return every shard of the default configuration."""
        return (0, 1, 2, 3)


class FakeExecutor:
    """Fake task executor that ends tasks only when the test does."""

    def __init__(self, member):
        self.member = member
        self.sequence = member.load.sequence
        self.running = {}
        self.done = {}
        self.tombstones = set()
        self.received = []
        self.stopped = []
        self.refuses = False

    @property
    def node(self):
        """Return the name and incarnation of this process."""
        return self.member.node

    def load(self):
        """Return a new report of the endpoint's load."""
        self.sequence += 1
        free = self.member.endpoint.capacity
        for start in self.running.values():
            free = free - start.task.demand
        return members.Load(
            sequence=self.sequence,
            free=free,
            free_long=free - self.member.endpoint.capacity.scaled(0.25),
            running=len(self.running),
        )

    def take(self, message):
        """Start tasks; return a message with refusals, or ``None``."""
        refused = []
        for start in message.starts:
            self.received.append(start.key)
            if self.refuses or start.key in self.tombstones:
                refused.append(start.key)
            else:
                self.running[start.key] = start
        if not refused:
            return None
        return tasks.TasksRefused(
            refusals=tuple(
                tasks.TaskRefusal(key=key, reason="full") for key in refused
            ),
            load=self.load(),
        )

    def end(self, key, *, run_s=0.1, error=None, used=None):
        """End one running task and return its results message."""
        del self.running[key]
        self.done[key] = tasks.TaskResult(
            key=key,
            run_s=run_s,
            payload="" if error else f'"{key.index}"',
            error=error,
            used=used,
        )
        return self.results(key)

    def results(self, *keys):
        """Return a message with the results of tasks that have ended."""
        return tasks.TaskResults(
            keeper=self.node,
            results=tuple(self.done[key] for key in keys),
            load=self.load(),
        )

    def answer(self, query):
        """Reply to a query and record tombstones for unknown tasks."""
        statuses = []
        for key in query.keys:
            standing = tasks.TaskState.NEVER_SEEN
            if key in self.done:
                standing = tasks.TaskState.DONE
            elif key in self.running:
                standing = tasks.TaskState.RUNNING
            else:
                self.tombstones.add(key)
            statuses.append(
                tasks.TaskStatus(
                    key=key, standing=standing, result=self.done.get(key)
                )
            )
        return tasks.TaskStatuses(keeper=self.node, statuses=tuple(statuses))


def make_member(name, endpoint, index, incarnation=1):
    """Return a serving member with an idle endpoint."""
    domain = DOMAINS[index % len(DOMAINS)]
    return members.Member(
        node=members.NodeId(name, incarnation),
        address=members.Address("127.0.0.1", 4000 + index),
        role=members.Role.AGENT,
        region="here",
        failure_domain=domain,
        # Each rack belongs to one failure domain.
        rack=f"{domain}-rack-{index // (2 * len(DOMAINS))}",
        state=members.State.SERVING,
        endpoint=endpoint,
        load=members.Load(
            sequence=1,
            free=endpoint.capacity,
            free_long=endpoint.capacity.scaled(0.75),
        ),
    )


def minion(name, *, slots=8):
    """Return a minion of the service that the tests use."""
    return members.Endpoint(
        name=f"{name}-endpoint",
        kind=members.EndpointKind.MINION,
        service="orders",
        capacity=resources.Resources(slots=slots),
        connections=64,
    )


def worker(name, *, cores=32.0, memory_mb=128_000.0):
    """Return a worker."""
    return members.Endpoint(
        name=f"{name}-endpoint",
        kind=members.EndpointKind.WORKER,
        capacity=resources.Resources(cores=cores, memory_mb=memory_mb),
    )


class Harness:
    """A coordinator with a fake clock and fake task executors.

    Messages to executors are collected in ``undelivered`` and are delivered
    only by :meth:`deliver`, so that a test can lose, repeat or reorder them.
    """

    def __init__(self, *, minions=3, workers=0, slots=8, cores=32.0):
        self.rng = random.Random(7)
        self.ownership = FakeOwnership()
        self.now = core.Instant(100.0, START_WALL_MS)
        self.coordinator = coordinator.Coordinator(
            member=make_member("agent-0", minion("agent-0"), 0),
            ownership=self.ownership,
            rng=random.Random(1),
        )
        self.executors = {}
        self.undelivered = []
        self.answers = []
        self.sent = []
        self.logs = []
        self.config = configuration.Configuration(
            version=1,
            teams=(
                configuration.Team(name="red"),
                configuration.Team(name="blue"),
            ),
            services=(configuration.Service(name="orders"),),
        )
        self.configure()
        for index in range(minions):
            name = f"minion-{index}"
            endpoint = minion(name, slots=slots)
            self.add_executor(make_member(name, endpoint, index))
        for index in range(workers):
            name = f"worker-{index}"
            endpoint = worker(name, cores=cores)
            self.add_executor(make_member(name, endpoint, index))
        self.announce()

    def configure(self, **changes):
        """Put a changed configuration in force."""
        self.config = dataclasses.replace(
            self.config, version=self.config.version + 1, **changes
        )
        self.run(self.coordinator.on_config(self.config, self.now))

    def add_executor(self, member):
        """Add an executor to the cell."""
        self.executors[member.node] = FakeExecutor(member)

    def announce(self, *, without=(), suspects=()):
        """Give the coordinator a view of the cell."""
        view = tuple(
            dataclasses.replace(
                each.member,
                load=each.load(),
                suspect=each.node.name in suspects,
            )
            for each in self.executors.values()
            if each.node.name not in without
        )
        self.run(self.coordinator.on_members(view, self.now))

    def run(self, actions):
        """Collect actions by kind: logs, answers, messages."""
        for action in actions:
            if isinstance(action, core.LogDecision):
                self.logs.append(action)
            elif isinstance(action.message, work.Answer):
                self.answers.append((action.to, action.message))
            elif isinstance(
                action.message,
                (tasks.StartTasks, tasks.StopTasks, tasks.QueryTasks),
            ):
                self.undelivered.append(action)
            else:
                self.sent.append(action)

    def receive(self, sender, message):
        """Deliver one message to the coordinator."""
        self.run(self.coordinator.on_message(sender, message, self.now))

    def advance(self, seconds, step_s=0.1):
        """Advance the clock in ticks."""
        end_s = self.now.mono_s + seconds
        while self.now.mono_s < end_s - 1e-9:
            mono_s = min(self.now.mono_s + step_s, end_s)
            wall_ms = START_WALL_MS + int((mono_s - 100.0) * 1000)
            self.now = core.Instant(mono_s, wall_ms)
            self.run(self.coordinator.on_tick(self.now))

    def new_id(self):
        """Return a new work id."""
        return ids.new(wall_ms=self.now.wall_ms, rng=self.rng)

    def submit(
        self,
        count=1,
        *,
        work_id=None,
        kind=work.WorkKind.REQUEST,
        team="red",
        budget_s=30.0,
        sender=ENTRY,
        join_only=False,
        **task_fields,
    ):
        """Submit work and return its id."""
        work_id = work_id or self.new_id()
        fields = {"service": "orders", "method": "quote", **task_fields}
        if kind == work.WorkKind.JOB:
            fields.setdefault("demand", resources.Resources(cores=1.0))
        message = work.Submit(
            work_id=work_id,
            kind=kind,
            team=team,
            tasks=tuple(
                work.Task(name=f"task-{index}", **fields)
                for index in range(count)
            ),
            budget_s=budget_s,
            config_version=1,
            join_only=join_only,
        )
        self.receive(sender, message)
        return work_id

    def deliver(self):
        """Deliver all pending messages to executors, in order."""
        pending, self.undelivered = self.undelivered, []
        for send in pending:
            executor = self.executors.get(send.to)
            if executor is None:
                continue
            if isinstance(send.message, tasks.StartTasks):
                refusal = executor.take(send.message)
                if refusal is not None:
                    self.receive(executor.node, refusal)
            elif isinstance(send.message, tasks.StopTasks):
                self.stop(executor, send.message)
            else:
                self.receive(executor.node, executor.answer(send.message))

    def stop(self, executor, message):
        """Stop tasks at an executor, which frees its slots at once."""
        error = errors.WorkError(
            code=errors.Code.CANCELED,
            outcome=errors.Outcome.FAILED_WHILE_RUNNING,
            reason="stopped",
        )
        for key in message.keys:
            executor.stopped.append(key)
            if key in executor.running:
                self.receive(executor.node, executor.end(key, error=error))

    def end_all(self, **kwargs):
        """End every running task on every executor."""
        for executor in list(self.executors.values()):
            for key in list(executor.running):
                if key in executor.running:
                    self.receive(executor.node, executor.end(key, **kwargs))

    def finish(self, rounds=1_000, **kwargs):
        """Deliver messages and end tasks until nothing is pending."""
        for _ in range(rounds):
            self.deliver()
            self.end_all(**kwargs)
            is_idle = not any(each.running for each in self.executors.values())
            if not self.undelivered and is_idle:
                return

    def running(self):
        """Return every running task key."""
        return [
            key for each in self.executors.values() for key in each.running
        ]

    def answer(self, work_id, to=ENTRY):
        """Return the only answer to an id, or None when there is none."""
        found = [
            answer
            for receiver, answer in self.answers
            if answer.work_id == work_id and receiver == to
        ]
        assert len(found) <= 1, f"{len(found)} answers to {work_id}"
        return found[0] if found else None


def failure(outcome, code=errors.Code.INTERNAL):
    """Return a work error with an outcome."""
    return errors.WorkError(code=code, outcome=outcome, reason="it failed")


def row_interval(owner):
    """Return an interval that another process owns."""
    return shards.Interval(
        epoch=3,
        owner=owner,
        address=members.Address("127.0.0.1", 5000),
        floor_ms=0,
        ceiling_ms=START_WALL_MS,
    )


@pytest.fixture
def harness():
    """Return a coordinator with three minions of 8 slots."""
    return Harness()


@pytest.fixture
def make_harness():
    """Return the class, for tests that need another set of executors."""
    return Harness
