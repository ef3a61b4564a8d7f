"""Tests of the keeper."""

import dataclasses

import pytest

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import core
from _jasminewind.decisions import executor as executors
from _jasminewind.messages import tasks
from testing import starts

NODE = members.NodeId("agent-1", 5)
COORDINATOR = members.NodeId("agent-2", 7)
OTHER = members.NodeId("agent-3", 7)
MINION = members.Endpoint(
    name="minion-1",
    kind=members.EndpointKind.MINION,
    service="hutch-orders",
    capacity=resources.Resources(slots=8.0),
    connections=64,
)
WORKER = members.Endpoint(
    name="worker-1",
    kind=members.EndpointKind.WORKER,
    capacity=resources.Resources(
        cores=8.0, memory_mb=1000.0, accelerators=1.0
    ),
)


def at(mono_s):
    """Return the instant at ``mono_s``."""
    return core.Instant(mono_s, starts.WALL_MS + int(mono_s * 1000))


def cores(amount, memory_mb=10.0):
    """Return a demand of cores and memory."""
    return resources.Resources(cores=amount, memory_mb=memory_mb)


class Bench:
    """A keeper and what it asked for."""

    def __init__(self, endpoint):
        self.keeper = executors.TaskExecutor(node=NODE)
        self.endpoint = endpoint
        self.now = at(100.0)
        self.announce()
        self.keeper.on_attached((), self.now)

    def announce(self):
        """Let the endpoint announce itself."""
        return self.keeper.on_announcement(self.endpoint, self.now)

    def pass_time(self, seconds, *, announce=True):
        """Move the clock and tick; the endpoint stays alive."""
        self.now = at(self.now.mono_s + seconds)
        actions = self.announce() if announce else []
        return actions + self.keeper.on_tick(self.now)

    def send(self, message, sender=COORDINATOR):
        """Give a message to the keeper."""
        return self.keeper.on_message(sender, message, self.now)

    def start(self, *items, keeper=NODE, sender=COORDINATOR):
        """Ask for starts."""
        message = tasks.StartTasks(
            keeper=keeper, starts=items, config_version=1
        )
        return self.send(message, sender)

    def end(self, key, error=None, payload="{}"):
        """Let a task end on the endpoint."""
        end = core.TaskEnd(key=key, run_s=0.1, payload=payload, error=error)
        return self.keeper.on_task_end(end, self.now)

    def query(self, *keys, keeper=NODE):
        """Query tasks and return their standings."""
        actions = self.send(tasks.QueryTasks(keeper=keeper, keys=keys))
        return {
            status.key: status
            for reply in sent(actions, tasks.TaskStatuses)
            for status in reply.statuses
        }

    def fill(self, count, **options):
        """Start ``count`` tasks and return them."""
        items = [
            starts.task_start(1000, index=index, **options)
            for index in range(count)
        ]
        assert started(self.start(*items)) == [item.key for item in items]
        return items


def sent(actions, kind):
    """Return the messages of a type among ``actions``."""
    return [
        action.message
        for action in actions
        if isinstance(action, core.Send) and isinstance(action.message, kind)
    ]


def started(actions):
    """Return the keys that the endpoint was asked to start."""
    return [
        action.start.key
        for action in actions
        if isinstance(action, core.StartOnEndpoint)
    ]


def orders(actions):
    """Return the orders given to the endpoint."""
    return [
        (action.key, action.command)
        for action in actions
        if isinstance(action, core.ControlTask)
    ]


def refused(actions):
    """Return the refused keys."""
    return [
        refusal.key
        for message in sent(actions, tasks.TasksRefused)
        for refusal in message.refusals
    ]


@pytest.fixture
def minion():
    """A keeper of a minion that serves."""
    return Bench(MINION)


@pytest.fixture
def worker():
    """A keeper of a worker that serves."""
    return Bench(WORKER)


# Start once.


def test_repeated_start_is_ignored(minion):
    """Guards against a task that starts twice when a start is repeated."""
    item = starts.task_start(1)
    assert started(minion.start(item, item)) == [item.key]
    assert minion.start(item) == []
    minion.end(item.key)
    assert minion.start(item) == []
    minion.send(tasks.ResultsAck(keys=(item.key,)))
    assert minion.start(item) == []


def test_repeated_start_of_a_queued_task_is_ignored(minion):
    """Guards against a task that waits twice and so starts twice."""
    running = minion.fill(8)
    item = starts.task_start(1)
    minion.start(item)
    minion.start(item)
    begun = []
    for done in running:
        begun += started(minion.end(done.key))
    assert begun == [item.key]


def test_refused_key_stays_refused(minion):
    """Guards against a start that runs after it was reported not run."""
    items = minion.fill(8)
    minion.start(starts.task_start(2), starts.task_start(3))
    late = starts.task_start(4)
    assert refused(minion.start(late)) == [late.key]
    for item in items:
        minion.end(item.key)
    again = minion.start(late)
    assert started(again) == []
    assert refused(again) == [late.key]


def test_tombstone_refuses_a_late_start(minion):
    """Guards against a start that was delayed past its query."""
    item = starts.task_start(1)
    status = minion.query(item.key)[item.key]
    assert status.standing is tasks.TaskState.NEVER_SEEN
    minion.pass_time(599.0)
    late = minion.start(item)
    assert started(late) == []
    assert refused(late) == [item.key]


def test_stop_before_start_refuses_the_start(minion):
    """Guards against a cancelled task whose start arrives late."""
    item = starts.task_start(1)
    minion.send(tasks.StopTasks(keys=(item.key,)))
    assert refused(minion.start(item)) == [item.key]


def test_finished_task_is_never_called_never_seen(minion):
    """Guards against a second attempt at a task that ran."""
    item = starts.task_start(1)
    minion.start(item)
    running = minion.query(item.key)[item.key]
    assert running.standing is tasks.TaskState.RUNNING
    minion.end(item.key, payload="1")
    done = minion.query(item.key)[item.key]
    assert done.standing is tasks.TaskState.DONE
    assert done.result.payload == "1"
    minion.send(tasks.ResultsAck(keys=(item.key,)))
    acked = minion.query(item.key)[item.key]
    assert acked.standing is tasks.TaskState.UNKNOWN


def test_query_of_an_earlier_incarnation_promises_nothing(minion):
    """Guards against a promise for starts that another process took."""
    earlier = dataclasses.replace(NODE, incarnation=4)
    item = starts.task_start(1)
    status = minion.query(item.key, keeper=earlier)[item.key]
    assert status.standing is tasks.TaskState.UNKNOWN


def test_start_for_another_incarnation_is_refused(minion):
    """Guards against a start that a replacement runs a second time."""
    earlier = dataclasses.replace(NODE, incarnation=4)
    item = starts.task_start(1)
    assert refused(minion.start(item, keeper=earlier)) == [item.key]


def test_full_memory_of_keys_refuses_instead_of_forgetting(minion):
    """Guards against a second start of a key that was dropped early."""
    minion.keeper.refused_keys.max_keys = 10
    first = starts.task_start(0)
    minion.query(first.key)
    for seed in range(1, 50):
        minion.query(starts.task_start(seed).key)
    assert not minion.keeper.refused_keys.contains(first.key)
    assert refused(minion.start(first)) == [first.key]
    newer = starts.task_start(1, wall_ms=starts.WALL_MS + 1)
    assert started(minion.start(newer)) == [newer.key]


def test_memory_of_keys_expires(minion):
    """Guards against memory that grows for as long as a keeper runs."""
    minion.query(starts.task_start(1).key)
    minion.pass_time(700.0)
    assert minion.keeper.refused_keys.key_count == 0
    assert not minion.keeper.refused_keys.buckets


# Refusals.


@pytest.mark.parametrize(
    "spoil",
    [
        lambda bench: bench.keeper.begin_drain(bench.now),
        lambda bench: setattr(bench.keeper, "is_attached", False),
        lambda bench: bench.pass_time(3.1, announce=False),
        lambda bench: bench.keeper.on_config(
            configuration.Configuration(version=1, drained=("minion-1",)),
            bench.now,
        ),
        lambda bench: bench.keeper.on_config(
            configuration.Configuration(version=1, drained=("agent-1",)),
            bench.now,
        ),
    ],
    ids=["leaving", "not attached", "silent", "drained", "agent drained"],
)
def test_unavailable_endpoint_refuses(minion, spoil):
    """Guards against work for an endpoint that cannot serve it."""
    spoil(minion)
    item = starts.task_start(1)
    assert refused(minion.start(item)) == [item.key]
    assert minion.keeper.load().free == resources.NOTHING


def test_expired_budget_is_refused(minion):
    """Guards against work whose caller has already given up."""
    item = starts.task_start(1, budget_s=0.0)
    assert refused(minion.start(item)) == [item.key]


def test_queue_is_bounded_and_refuses_at_once(minion):
    """Guards against work that waits here while others are free."""
    minion.fill(8)
    waiting = [starts.task_start(seed) for seed in (1, 2)]
    assert minion.start(*waiting) == []
    over = starts.task_start(3)
    actions = minion.start(over)
    assert refused(actions) == [over.key]
    (message,) = sent(actions, tasks.TasksRefused)
    assert (message.load.running, message.load.queued) == (8, 2)
    assert message.load.free.slots == 0


def test_connections_of_a_minion_bound_the_queue():
    """Guards against calls that a minion refuses for want of connections."""
    bench = Bench(dataclasses.replace(MINION, connections=9))
    bench.fill(8)
    first = starts.task_start(1)
    second = starts.task_start(2)
    assert refused(bench.start(first, second)) == [second.key]


def test_task_that_waited_too_long_is_refused(minion):
    """Guards against a task that starts after its deadline."""
    running = minion.fill(8)
    item = starts.task_start(1, budget_s=0.5)
    minion.start(item)
    assert refused(minion.pass_time(0.6)) == [item.key]
    assert started(minion.end(running[0].key)) == []


def test_endpoint_that_is_silent_frees_its_queue(minion):
    """Guards against tasks that wait for an endpoint that has died."""
    minion.fill(8)
    item = starts.task_start(1)
    minion.start(item)
    assert refused(minion.pass_time(3.1, announce=False)) == [item.key]
    minion.announce()
    assert minion.keeper.unavailable_reason() == ""


def test_task_larger_than_the_worker_is_refused(worker):
    """Guards against a task that blocks the queue for good."""
    item = starts.task_start(1, demand=cores(9.0))
    assert refused(worker.start(item)) == [item.key]


# Long work.


def test_long_work_leaves_slots_to_short_work(minion):
    """Guards against head-of-line blocking by long work."""
    longs = [starts.task_start(1, index=i, is_long=True) for i in range(8)]
    actions = minion.start(*longs)
    assert started(actions) == [item.key for item in longs[:6]]
    assert minion.keeper.load().free_long.slots == 0
    short = starts.task_start(2)
    assert started(minion.start(short)) == [short.key]


def test_waiting_long_work_leaves_a_queue_place(minion):
    """Guards against long work that fills the short queue."""
    minion.fill(6, is_long=True)
    longs = [starts.task_start(2, index=i, is_long=True) for i in range(2)]
    assert refused(minion.start(*longs)) == [longs[1].key]
    shorts = [starts.task_start(3, index=i) for i in range(3)]
    assert started(minion.start(*shorts)) == [s.key for s in shorts[:2]]
    assert minion.keeper.load().queued == 2


def test_work_that_runs_long_is_reclassified(minion):
    """Guards against long work that was declared as short."""
    minion.fill(6)
    assert minion.keeper.load().free_long.slots == 2
    minion.pass_time(2.1)
    assert minion.keeper.load().free_long.slots == 0
    item = starts.task_start(1, is_long=True)
    assert started(minion.start(item)) == []


def test_separation_can_be_switched_off(minion):
    """Guards against a policy switch without effect."""
    policy = configuration.Policy(separate_long_work=False)
    config = configuration.Configuration(version=1, policy=policy)
    minion.keeper.on_config(config, minion.now)
    minion.fill(8, is_long=True)


def test_single_accelerator_can_run_long_work(worker):
    """Guards against a reserve that makes long work impossible."""
    demand = resources.Resources(accelerators=1.0)
    item = starts.task_start(1, is_long=True, demand=demand)
    assert started(worker.start(item)) == [item.key]


def test_oversize_long_task_runs_alone(worker):
    """Guards against a long task that no worker would ever take."""
    items = [
        starts.task_start(1, index=i, is_long=True, demand=cores(amount))
        for i, amount in enumerate((7.0, 1.0))
    ]
    assert started(worker.start(*items)) == [items[0].key]


def test_long_work_is_throttled_for_short_work(worker):
    """Guards against short work that waits for long work to end."""
    longs = worker.fill(6, is_long=True, demand=cores(1.0))
    worker.start(starts.task_start(1, demand=cores(2.0)))
    short = starts.task_start(2, demand=cores(1.0))
    actions = worker.start(short)
    assert started(actions) == [short.key]
    throttled = [key for key, order in orders(actions)]
    assert len(throttled) == 2
    assert set(throttled) <= {item.key for item in longs}
    worker.end(short.key)
    calm = worker.pass_time(1.1)
    assert sorted(orders(calm)) == sorted(
        (key, core.TaskCommand.UNTHROTTLE) for key in throttled
    )


# Usage.


def test_measured_use_corrects_what_a_task_holds(worker):
    """Guards against declarations that are far off, in both directions."""
    items = worker.fill(2, demand=cores(2.0, memory_mb=100.0))
    use = (
        core.Usage(key=items[0].key, cores=4.0, memory_mb=300.0),
        core.Usage(key=items[1].key, cores=0.1, memory_mb=1.0),
    )
    worker.keeper.on_usage(use, worker.now)
    # Growth counts in full; a fall is limited to a fifth per report.
    free = worker.keeper.load().free
    assert (free.cores, free.memory_mb) == (8.0 - 4.0 - 1.6, 620.0)


def test_correction_is_bounded(worker):
    """Guards against one wrong report that frees or blocks a worker."""
    (item,) = worker.fill(1, demand=cores(1.0, memory_mb=100.0))
    for amount, held in ((100.0, 4.0), (0.0, 0.5)):
        use = core.Usage(key=item.key, cores=amount, memory_mb=100.0)
        for _ in range(30):
            worker.keeper.on_usage((use,), worker.now)
        assert worker.keeper.load().free.cores == 8.0 - held


# Results.


def test_result_is_sent_again_until_it_is_acknowledged(minion):
    """Guards against a result that is lost with its message."""
    item = starts.task_start(1)
    minion.start(item)
    (first,) = sent(minion.end(item.key), tasks.TaskResults)
    assert not sent(minion.pass_time(0.5), tasks.TaskResults)
    (second,) = sent(minion.pass_time(0.6), tasks.TaskResults)
    assert first.results == second.results
    lost = minion.keeper.on_link_lost(COORDINATOR, minion.now)
    assert sent(lost, tasks.TaskResults)[0].results == first.results
    minion.send(tasks.ResultsAck(keys=(item.key,)))
    assert not sent(minion.pass_time(1.1), tasks.TaskResults)
    assert minion.keeper.is_idle()


def test_full_result_store_refuses_starts(minion):
    """Guards against results that are dropped to make room."""
    minion.keeper.results.max_results = 3
    for seed in range(3):
        item = starts.task_start(seed)
        minion.start(item)
        minion.end(item.key)
    over = starts.task_start(9)
    assert refused(minion.start(over)) == [over.key]
    assert len(minion.keeper.results.unacked) == 3
    assert minion.keeper.load().free == resources.NOTHING
    minion.send(tasks.ResultsAck(keys=(starts.task_start(0).key,)))
    item = starts.task_start(10)
    assert started(minion.start(item)) == [item.key]


def test_results_of_a_replaced_coordinator_are_forgotten(minion):
    """Guards against results that nobody can acknowledge any more."""
    item = starts.task_start(1)
    minion.start(item)
    minion.end(item.key)
    successor = members.Member(
        node=dataclasses.replace(COORDINATOR, incarnation=8),
        address=members.Address("127.0.0.1", 1),
        role=members.Role.AGENT,
        region="wa-south",
        failure_domain="a",
        rack="r",
    )
    minion.keeper.on_members((successor,), minion.now)
    assert not sent(minion.pass_time(1.1), tasks.TaskResults)
    assert minion.start(item) == []


@pytest.mark.parametrize(
    ("failure", "outcome"),
    [
        (
            errors.EndpointFailure.FAILED,
            errors.Outcome.FAILED_WHILE_RUNNING,
        ),
        (errors.EndpointFailure.UNKNOWN, errors.Outcome.MAY_HAVE_RUN),
    ],
)
def test_outcome_of_a_failed_task(minion, failure, outcome):
    """Guards against an unknown outcome that is reported as certain."""
    item = starts.task_start(1)
    minion.start(item)
    error = errors.EndpointError(failure=failure, reason="x")
    (message,) = sent(minion.end(item.key, error), tasks.TaskResults)
    assert message.results[0].error.outcome is outcome


@pytest.mark.parametrize(
    "failure",
    [
        errors.EndpointFailure.REFUSED,
        errors.EndpointFailure.STALE_GENERATION,
    ],
)
def test_start_that_the_endpoint_refused_is_not_run(minion, failure):
    """Guards against a proved refusal that is reported as a failure."""
    item = starts.task_start(1)
    minion.start(item)
    error = errors.EndpointError(failure=failure, reason="x")
    actions = minion.end(item.key, error)
    assert refused(actions) == [item.key]
    assert not sent(actions, tasks.TaskResults)
    assert refused(minion.start(item)) == [item.key]


def test_fenced_keeper_takes_no_more_starts(worker):
    """Guards against a replaced keeper that goes on taking work."""
    item = starts.task_start(1)
    worker.start(item)
    error = errors.EndpointError(
        failure=errors.EndpointFailure.STALE_GENERATION, reason="x"
    )
    worker.end(item.key, error)
    late = starts.task_start(2)
    assert refused(worker.start(late)) == [late.key]


def test_result_that_no_frame_holds_becomes_an_error(minion):
    """Guards against a result that can never be delivered."""
    item = starts.task_start(1)
    minion.start(item)
    actions = minion.end(item.key, payload="x" * (1 << 20))
    (message,) = sent(actions, tasks.TaskResults)
    outcome = message.results[0].error.outcome
    assert outcome is errors.Outcome.FAILED_WHILE_RUNNING


def test_task_of_an_earlier_keeper_is_adopted(worker):
    """Guards against a running task that nobody reports after a restart."""
    item = starts.task_start(1)
    worker.keeper.on_attached((item.key,), worker.now)
    assert worker.start(item) == []
    earlier = dataclasses.replace(NODE, incarnation=4)
    status = worker.query(item.key, keeper=earlier)[item.key]
    assert status.standing is tasks.TaskState.RUNNING
    (message,) = sent(worker.end(item.key), tasks.TaskResults)
    assert message.results[0].key == item.key


# Stop and drain.


def test_stop_of_a_queued_task_frees_it_at_once(minion):
    """Guards against cancelled work that keeps its place."""
    minion.fill(8)
    item = starts.task_start(1)
    minion.start(item)
    actions = minion.send(tasks.StopTasks(keys=(item.key,)))
    assert refused(actions) == [item.key]
    assert minion.keeper.load().queued == 0


def test_stop_of_a_running_task_orders_the_endpoint(minion):
    """Guards against cancelled work that runs to its end."""
    item = starts.task_start(1)
    minion.start(item)
    actions = minion.send(tasks.StopTasks(keys=(item.key,)))
    assert orders(actions) == [(item.key, core.TaskCommand.STOP)]


def test_drain_lets_running_work_finish(worker):
    """Guards against a drain that interrupts work or never ends."""
    (item,) = worker.fill(1, is_long=True, demand=cores(1.0))
    actions = worker.keeper.begin_drain(worker.now)
    assert orders(actions) == [(item.key, core.TaskCommand.CHECKPOINT)]
    assert not worker.keeper.is_idle()
    worker.end(item.key)
    assert not worker.keeper.is_idle()
    worker.send(tasks.ResultsAck(keys=(item.key,)))
    assert worker.keeper.is_idle()


def test_drain_refuses_what_waits(minion):
    """Guards against queued work that holds up a drain."""
    minion.fill(8)
    item = starts.task_start(1)
    minion.start(item)
    assert refused(minion.keeper.begin_drain(minion.now)) == [item.key]


def test_operator_drain_survives_a_local_undrain(minion):
    """Guards against a drained endpoint that takes work again."""
    drained = configuration.Configuration(version=1, drained=("minion-1",))
    minion.keeper.on_config(drained, minion.now)
    minion.keeper.undrain(minion.now)
    assert refused(minion.start(starts.task_start(1)))
    free = configuration.Configuration(version=2)
    minion.keeper.on_config(free, minion.now)
    item = starts.task_start(2)
    assert started(minion.start(item)) == [item.key]


def test_drain_configured_before_the_first_announcement_holds():
    """Guards against an endpoint whose name is learned after its drain."""
    keeper = executors.TaskExecutor(node=NODE)
    drained = configuration.Configuration(version=1, drained=("minion-1",))
    keeper.on_config(drained, at(1.0))
    keeper.on_announcement(MINION, at(1.0))
    keeper.on_attached((), at(1.0))
    assert keeper.unavailable_reason() == "the endpoint is drained or leaving"


# Load.


def test_sequence_of_loads_rises(minion):
    """Guards against an old report that replaces a newer one."""
    first = minion.keeper.load()
    assert minion.keeper.load().sequence > first.sequence


def test_other_coordinator_hears_of_freed_capacity(minion):
    """Guards against capacity that stays idle while others wait."""
    items = minion.fill(8)
    minion.start(starts.task_start(1), starts.task_start(2), sender=OTHER)
    minion.start(starts.task_start(3), sender=OTHER)
    for item in items[:4]:
        minion.end(item.key)
    actions = minion.pass_time(0.1)
    (report,) = [
        action
        for action in actions
        if isinstance(action, core.Send)
        and isinstance(action.message, tasks.LoadReport)
    ]
    assert report.to == OTHER
    assert report.message.load.free.slots == 2
    assert not sent(minion.pass_time(0.1), tasks.LoadReport)


def test_coordinator_that_went_elsewhere_hears_nothing(minion):
    """Guards against reports to all that ever used a keeper."""
    (item,) = minion.fill(1)
    minion.pass_time(11.0)
    minion.end(item.key)
    assert not sent(minion.pass_time(0.1), tasks.LoadReport)
