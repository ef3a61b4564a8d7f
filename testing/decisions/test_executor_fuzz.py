"""Stateful fuzzing of the keeper against a simple oracle."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from _jasminewind import errors
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions import executor as executors
from _jasminewind.messages import tasks
from testing import starts

NODE = members.NodeId("agent-1", 5)
COORDINATORS = (members.NodeId("agent-2", 7), members.NodeId("agent-3", 9))
MINION = members.Endpoint(
    name="minion-1",
    kind=members.EndpointKind.MINION,
    capacity=resources.Resources(slots=3.0),
    connections=4,
)
WORKER = members.Endpoint(
    name="worker-1",
    kind=members.EndpointKind.WORKER,
    capacity=resources.Resources(cores=4.0, memory_mb=100.0),
)
KEYS = 6
FAILURES = (None, *errors.EndpointFailure)


class KeeperMachine(stateful.RuleBasedStateMachine):
    """Two coordinators that repeat, reorder and lose messages.

    The oracle: a key starts at most once; a key that was refused or
    declared never seen has not started and never does; a key that ended
    has a result or a refusal until it is acknowledged; the endpoint is
    never given more than it can hold.
    """

    @stateful.initialize(endpoint=strategies.sampled_from((MINION, WORKER)))
    def begin(self, endpoint):
        """Make a keeper that serves."""
        self.endpoint = endpoint
        self.keeper = executors.TaskExecutor(node=NODE)
        self.now = core.Instant(0.0, starts.WALL_MS)
        self.begun = set()
        self.running = set()
        self.not_run = set()
        self.unacknowledged = set()
        self.asked = set()
        self.answered = set()
        self.keeper.on_announcement(endpoint, self.now)
        self.keeper.on_attached((), self.now)

    def item(self, index, **options):
        """Return one of a few starts, so that keys are repeated."""
        demand = resources.Resources(cores=1.0 + index % 2, memory_mb=20.0)
        return starts.task_start(
            index, demand=demand, is_long=index % 3 == 0, **options
        )

    def observe(self, actions):
        """Check every action against the oracle."""
        for action in actions:
            if isinstance(action, core.StartOnEndpoint):
                key = action.start.key
                assert key not in self.begun, "started twice"
                assert key not in self.not_run, "started after a refusal"
                self.begun.add(key)
                self.running.add(key)
            if isinstance(action, core.Send):
                self.observe_message(action.message)

    def observe_message(self, message):
        """Check what a coordinator is told."""
        if isinstance(message, tasks.TasksRefused):
            for refusal in message.refusals:
                self.say_not_run(refusal.key)
        if isinstance(message, tasks.TaskStatuses):
            for status in message.statuses:
                if status.standing is tasks.TaskState.NEVER_SEEN:
                    self.say_not_run(status.key)
                if status.standing is tasks.TaskState.RUNNING:
                    assert status.key in self.running
        if isinstance(message, tasks.TaskResults):
            for result in message.results:
                assert result.key in self.begun, "result of nothing"
                self.answered.add(result.key)

    def say_not_run(self, key):
        """Note that a coordinator was told that ``key`` was not run."""
        assert key not in self.begun, "said not run of what was started"
        self.not_run.add(key)
        self.answered.add(key)

    @stateful.rule(
        indexes=strategies.lists(
            strategies.integers(0, KEYS - 1), min_size=1, max_size=4
        ),
        sender=strategies.sampled_from(COORDINATORS),
        budget_s=strategies.sampled_from((0.0, 0.5, 30.0)),
        incarnation=strategies.sampled_from((5, 5, 5, 4)),
    )
    def start(self, indexes, sender, budget_s, incarnation):
        """Deliver a start, perhaps again and perhaps for another."""
        items = tuple(self.item(i, budget_s=budget_s) for i in indexes)
        self.asked.update(item.key for item in items)
        message = tasks.StartTasks(
            keeper=members.NodeId(NODE.name, incarnation),
            starts=items,
            config_version=1,
        )
        before = set(self.begun)
        self.observe(self.keeper.on_message(sender, message, self.now))
        if incarnation != NODE.incarnation:
            assert self.begun == before, "started for another incarnation"

    @stateful.rule(
        index=strategies.integers(0, KEYS - 1),
        sender=strategies.sampled_from(COORDINATORS),
    )
    def query(self, index, sender):
        """Ask for a key that may not have been seen."""
        message = tasks.QueryTasks(keeper=NODE, keys=(self.item(index).key,))
        self.observe(self.keeper.on_message(sender, message, self.now))

    @stateful.rule(index=strategies.integers(0, KEYS - 1))
    def stop(self, index):
        """Cancel a key that may not have been seen."""
        key = self.item(index).key
        message = tasks.StopTasks(keys=(key,))
        was_seen = key in self.begun or key in self.answered
        actions = self.keeper.on_message(COORDINATORS[0], message, self.now)
        self.observe(actions)
        if not was_seen:
            self.not_run.add(key)

    @stateful.precondition(lambda self: self.unacknowledged)
    @stateful.rule(choice=strategies.integers(0, KEYS))
    def acknowledge(self, choice):
        """Acknowledge a result, which may already be acknowledged."""
        keys = sorted(self.unacknowledged)
        key = keys[choice % len(keys)]
        message = tasks.ResultsAck(keys=(key, key))
        self.observe(
            self.keeper.on_message(COORDINATORS[0], message, self.now)
        )
        self.unacknowledged.discard(key)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        choice=strategies.integers(0, KEYS),
        failure=strategies.sampled_from(FAILURES),
    )
    def end(self, choice, failure):
        """End a running task, perhaps twice."""
        keys = sorted(self.running)
        key = keys[choice % len(keys)]
        self.running.discard(key)
        error = None
        if failure is not None:
            error = errors.EndpointError(failure=failure, reason="x")
        if failure in executors.NOT_STARTED_FAILURES:
            # The endpoint has proved that it was not started after all.
            self.begun.discard(key)
        else:
            self.unacknowledged.add(key)
        end = core.TaskEnd(key=key, run_s=0.1, payload="{}", error=error)
        actions = self.keeper.on_task_end(end, self.now)
        if failure in executors.NOT_STARTED_FAILURES:
            self.not_run.add(key)
        self.observe(actions)
        assert key in self.answered, "an end without an answer"
        self.observe(self.keeper.on_task_end(end, self.now))
        running = tuple(sorted(self.running))
        self.observe(self.keeper.on_attached(running, self.now))

    # Keys are remembered for 10 min; the oracle remembers them for good.
    @stateful.precondition(lambda self: self.now.mono_s < 500.0)
    @stateful.rule(
        seconds=strategies.sampled_from((0.1, 1.0, 4.0, 70.0)),
        announce=strategies.booleans(),
    )
    def pass_time(self, seconds, announce):
        """Let time pass, with or without a sign of life."""
        self.now = core.Instant(
            self.now.mono_s + seconds,
            self.now.wall_ms + int(seconds * 1000),
        )
        if announce:
            self.observe(self.keeper.on_announcement(self.endpoint, self.now))
        self.answered.difference_update(self.unacknowledged)
        self.observe(self.keeper.on_tick(self.now))
        if seconds >= 1.0:
            missing = self.unacknowledged - self.answered
            assert not missing, "a result was not sent again"
        self.answered.update(self.unacknowledged)

    @stateful.rule(drain=strategies.booleans())
    def drain(self, drain):
        """Drain or undrain."""
        change = self.keeper.undrain
        if drain:
            change = self.keeper.begin_drain
        self.observe(change(self.now))

    @stateful.rule(
        index=strategies.integers(0, KEYS - 1),
        used=strategies.floats(0.0, 10.0),
    )
    def measure(self, index, used):
        """Report usage of a task that may not run."""
        usage = core.Usage(
            key=self.item(index).key, cores=used, memory_mb=used
        )
        self.observe(self.keeper.on_usage((usage,), self.now))

    @stateful.invariant()
    def nothing_is_lost(self):
        """Every key that was asked for waits, runs or was answered."""
        if not hasattr(self, "keeper"):
            return
        waiting = {item.start.key for item in self.keeper.queue}
        known = waiting | self.running | self.answered | self.not_run
        assert self.asked <= known | self.begun

    @stateful.invariant()
    def endpoint_is_not_overloaded(self):
        """The endpoint runs no more tasks than it can hold."""
        if not hasattr(self, "keeper"):
            return
        assert set(self.keeper.running) == self.running
        assert len(self.keeper.queue) <= executors.QUEUE_LIMIT
        if self.endpoint is MINION:
            assert len(self.running) <= 3


KeeperMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
)
TestKeeperFuzz = KeeperMachine.TestCase
