"""Tests of dispatch, lost results, retries, hedging and ejection."""

import dataclasses

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import dispatcher
from _jasminewind.decisions import outliers
from _jasminewind.messages import tasks
from _jasminewind.messages import work
from testing.decisions import conftest

JOB = work.WorkKind.JOB
COMPLETE = work.WorkState.COMPLETE
Outcome = errors.Outcome
Code = errors.Code


def running_task(harness):
    """Return the only executor with a running task, and the task's key."""
    found = [
        (executor, key)
        for executor in harness.executors.values()
        for key in executor.running
    ]
    assert len(found) == 1
    return found[0]


def queries(harness):
    """Return the keys of every undelivered query."""
    return [
        key
        for send in harness.undelivered
        if isinstance(send.message, tasks.QueryTasks)
        for key in send.message.keys
    ]


def test_lost_result_is_queried_and_found(harness):
    """Guards against a request that hangs because its result was lost."""
    work_id = harness.submit()
    harness.deliver()
    executor, key = running_task(harness)
    executor.end(key)
    harness.advance(dispatcher.MIN_RESULT_TIMEOUT_S + 0.1)
    assert queries(harness) == [key]
    harness.deliver()
    assert harness.answer(work_id).state == COMPLETE
    assert harness.sent[-1].message == tasks.ResultsAck(keys=(key,))
    assert len(executor.received) == 1


def test_lost_start_is_placed_elsewhere_only_after_a_tombstone(harness):
    """Guards against running a task twice when its start is delayed.

    The executor answers the query with a tombstone, which rejects the start
    when it arrives later.
    """
    work_id = harness.submit()
    delayed = harness.undelivered.pop()
    harness.run(harness.coordinator.on_link_lost(delayed.to, harness.now))
    key = delayed.message.starts[0].key
    assert queries(harness) == [key]
    harness.advance(1.0)
    sent = [each.message for each in harness.undelivered]
    assert not any(isinstance(each, tasks.StartTasks) for each in sent)
    harness.deliver()
    assert key in harness.executors[delayed.to].tombstones
    harness.undelivered.append(delayed)
    harness.deliver()
    assert key not in harness.executors[delayed.to].running
    harness.finish()
    assert harness.answer(work_id).state == COMPLETE


def test_running_task_is_not_started_again_after_a_query(harness):
    """Guards against a second start of a task that is only slow."""
    work_id = harness.submit()
    harness.deliver()
    for _ in range(20):
        harness.advance(1.0)
        harness.deliver()
    executor, key = running_task(harness)
    harness.receive(executor.node, executor.end(key))
    assert harness.answer(work_id).state == COMPLETE
    received = [each.received for each in harness.executors.values()]
    assert sum(len(keys) for keys in received) == 1


def test_repeated_and_reordered_results_change_nothing(harness):
    """Guards against results that are applied twice or to another task."""
    work_ids = [harness.submit() for _ in range(6)]
    harness.deliver()
    messages = []
    for executor in harness.executors.values():
        for key in list(executor.running):
            messages.append((executor.node, executor.end(key)))
    for node, message in reversed(messages):
        harness.receive(node, message)
        harness.receive(node, message)
    for node, message in messages:
        harness.receive(node, message)
    for work_id in work_ids:
        assert harness.answer(work_id).state == COMPLETE
    assert harness.coordinator.status().tasks_outstanding == 0


def test_result_from_another_executor_is_ignored(harness):
    """Guards against a result from an executor without the start."""
    work_id = harness.submit()
    harness.deliver()
    executor, key = running_task(harness)
    other = next(
        each for each in harness.executors.values() if each != executor
    )
    other.done[key] = tasks.TaskResult(key=key, run_s=0.1)
    harness.receive(other.node, other.results(key))
    assert harness.answer(work_id) is None


def test_refused_start_is_placed_elsewhere(harness):
    """Guards against failing work because a full executor refused it."""
    first = next(iter(harness.executors.values()))
    first.refuses = True
    work_ids = [harness.submit() for _ in range(12)]
    harness.deliver()
    harness.finish()
    for work_id in work_ids:
        assert harness.answer(work_id).state == COMPLETE
    assert len(first.received) <= 12


def test_refusing_executor_is_not_tried_again_at_once(make_harness):
    """Guards against a busy loop of starts to an executor that refuses all."""
    harness = make_harness(minions=1)
    executor = next(iter(harness.executors.values()))
    executor.refuses = True
    harness.submit(budget_s=30.0)
    for _ in range(50):
        harness.deliver()
        harness.advance(0.1)
    assert len(executor.received) <= 12
    executor.refuses = False
    harness.advance(dispatcher.MAX_REFUSAL_BACKOFF_S + 0.1)
    harness.finish()
    assert len(harness.answers) == 1


def test_start_that_was_not_written_goes_elsewhere(harness):
    """Guards against waiting for the result of a start that was not sent."""
    work_id = harness.submit()
    lost = harness.undelivered.pop()
    harness.run(
        harness.coordinator.on_send_failed(lost.to, lost.message, harness.now)
    )
    harness.finish()
    assert harness.answer(work_id).state == COMPLETE
    assert harness.executors[lost.to].received == []


def replace_executor(harness, executor):
    """Replace an executor by a new incarnation."""
    del harness.executors[executor.node]
    node = dataclasses.replace(
        executor.node, incarnation=executor.node.incarnation + 1
    )
    harness.add_executor(dataclasses.replace(executor.member, node=node))
    harness.announce()


def test_task_of_a_lost_executor_may_have_run(harness):
    """Guards against retrying a task that is not repeatable."""
    work_id = harness.submit()
    harness.deliver()
    executor, _ = running_task(harness)
    replace_executor(harness, executor)
    error = harness.answer(work_id).error
    assert error.outcome == Outcome.MAY_HAVE_RUN
    assert not harness.undelivered


def test_repeatable_task_of_a_lost_executor_is_retried(harness):
    """Guards against failing a repeatable request without a retry."""
    work_id = harness.submit(repeatable=True)
    harness.deliver()
    executor, key = running_task(harness)
    replace_executor(harness, executor)
    harness.finish()
    assert harness.answer(work_id).state == COMPLETE
    late = tasks.TaskResults(
        keeper=executor.node,
        results=(tasks.TaskResult(key=key, run_s=0.1),),
        load=members.Load(sequence=99),
    )
    harness.receive(executor.node, late)
    assert len(harness.answers) == 1


def test_repeatable_task_of_a_job_is_not_retried(make_harness):
    """Guards against starting a task of a job twice."""
    harness = make_harness(workers=3)
    work_id = harness.submit(kind=JOB, repeatable=True)
    harness.deliver()
    executor, _ = running_task(harness)
    replace_executor(harness, executor)
    harness.finish()
    error = harness.answer(work_id).error
    assert error.outcome == Outcome.MAY_HAVE_RUN
    received = [
        k for each in harness.executors.values() for k in each.received
    ]
    assert len(received) <= 1


def test_absent_executor_is_removed_only_after_a_grace_time(harness):
    """Guards against failing tasks over a short gap in the member view."""
    work_id = harness.submit()
    harness.deliver()
    executor, _ = running_task(harness)
    harness.announce(without=(executor.node.name,))
    harness.advance(dispatcher.ABSENCE_GRACE_S - 0.5)
    assert harness.answer(work_id) is None
    harness.advance(1.0)
    assert harness.answer(work_id).error.outcome == Outcome.MAY_HAVE_RUN


def test_retries_stay_within_the_budget(harness):
    """Guards against a retry storm when every attempt fails."""
    for _ in range(100):
        harness.submit(repeatable=True)
    harness.finish()
    error = conftest.failure(Outcome.FAILED_WHILE_RUNNING)
    before = sum(len(each.received) for each in harness.executors.values())
    failing = [harness.submit(repeatable=True) for _ in range(50)]
    harness.finish(error=error)
    after = sum(len(each.received) for each in harness.executors.values())
    assert after - before <= 50 + 10 + 2
    for work_id in failing:
        assert harness.answer(work_id).state == work.WorkState.FAILED


def test_failed_task_that_is_not_repeatable_runs_once(harness):
    """Guards against retrying a failed task that is not repeatable."""
    work_id = harness.submit()
    error = conftest.failure(Outcome.FAILED_WHILE_RUNNING)
    harness.finish(error=error)
    outcome = harness.answer(work_id).error.outcome
    assert outcome == Outcome.FAILED_WHILE_RUNNING
    received = [each.received for each in harness.executors.values()]
    assert sum(len(keys) for keys in received) == 1


def test_slow_repeatable_request_is_hedged(harness):
    """Guards against a request that waits for one stalled endpoint."""
    for _ in range(40):
        harness.submit(repeatable=True)
        harness.finish()
    work_id = harness.submit(repeatable=True)
    harness.deliver()
    slow, key = running_task(harness)
    harness.advance(0.5)
    harness.deliver()
    others = [
        (executor, other)
        for executor in harness.executors.values()
        for other in executor.running
        if other != key
    ]
    assert len(others) == 1
    assert others[0][0] is not slow
    harness.receive(others[0][0].node, others[0][0].end(others[0][1]))
    assert harness.answer(work_id).state == COMPLETE
    harness.deliver()
    assert slow.stopped == [key]


def test_work_stays_queued_while_executors_are_full(make_harness):
    """Guards against binding tasks to endpoints without free slots."""
    harness = make_harness(minions=2, slots=2)
    for _ in range(20):
        harness.submit()
    harness.deliver()
    assert len(harness.running()) == 4
    assert harness.coordinator.status().tasks_waiting == 16
    harness.finish()
    assert len(harness.answers) == 20


def test_freed_slot_is_used_again_at_once(make_harness):
    """Guards against a slot that stays idle until the next load report."""
    harness = make_harness(minions=1, slots=1)
    harness.submit()
    second = harness.submit()
    harness.deliver()
    executor, key = running_task(harness)
    harness.receive(executor.node, executor.end(key))
    assert harness.undelivered[-1].message.starts[0].key.work_id == second


def test_old_load_report_does_not_make_an_executor_available(make_harness):
    """Guards against a reordered load report that shows outdated room."""
    harness = make_harness(minions=1, slots=1)
    executor = next(iter(harness.executors.values()))
    old = tasks.LoadReport(keeper=executor.node, load=executor.load())
    newer = dataclasses.replace(
        executor.load(), free=resources.NOTHING, queued=1
    )
    harness.receive(
        executor.node, tasks.LoadReport(keeper=executor.node, load=newer)
    )
    harness.receive(executor.node, old)
    harness.submit()
    assert not harness.undelivered


def test_long_work_leaves_the_reserved_slots_to_short_work(make_harness):
    """Guards against long tasks that occupy every slot."""
    harness = make_harness(minions=1, slots=8)
    for _ in range(20):
        harness.submit(method="cut_list", expected_s=60.0)
    harness.deliver()
    assert len(harness.running()) == 6
    short = [harness.submit() for _ in range(2)]
    harness.deliver()
    started = {key.work_id for key in harness.running()}
    assert started.issuperset(short)


def test_full_executor_gets_one_short_start_and_no_long_one(make_harness):
    """Guards against long work in reserved slots, and against starvation.

    Other coordinators hold every slot, but the executor's queue is empty.
    """
    harness = make_harness(minions=1, slots=4)
    executor = next(iter(harness.executors.values()))
    load = dataclasses.replace(
        executor.load(), free=resources.NOTHING, free_long=resources.NOTHING
    )
    report = tasks.LoadReport(keeper=executor.node, load=load)
    harness.receive(executor.node, report)
    harness.submit(method="cut_list", expected_s=60.0)
    assert not harness.undelivered
    work_ids = [harness.submit() for _ in range(3)]
    starts = [
        start.key.work_id
        for send in harness.undelivered
        for start in send.message.starts
    ]
    assert starts == work_ids[:1]


def test_running_work_that_passes_the_limit_becomes_long(harness):
    """Guards against long work that is declared as short."""
    harness.submit(expected_s=0.1)
    harness.deliver()
    harness.advance(harness.config.policy.long_task_s + 0.2)
    kinds = [log.kind for log in harness.logs]
    assert kinds.count("reclassify") == 1


def test_expired_queued_work_is_refused_as_not_run(make_harness):
    """Guards against work that stays queued after its deadline."""
    harness = make_harness(minions=1, slots=1)
    harness.submit()
    harness.deliver()
    queued = harness.submit(budget_s=2.0)
    harness.advance(2.1)
    error = harness.answer(queued).error
    assert error.outcome == Outcome.NOT_RUN
    assert error.code == Code.RESOURCE_EXHAUSTED
    harness.finish()
    received = next(iter(harness.executors.values())).received
    assert queued not in {key.work_id for key in received}


def test_running_work_is_stopped_at_its_deadline(harness):
    """Guards against a request without an answer after its deadline."""
    work_id = harness.submit(budget_s=1.0)
    harness.deliver()
    harness.advance(1.1)
    error = harness.answer(work_id).error
    assert error.code == Code.DEADLINE_EXCEEDED
    assert error.outcome == Outcome.MAY_HAVE_RUN
    harness.deliver()
    assert not harness.running()


def test_executor_that_fails_fast_does_not_attract_work(make_harness):
    """Guards against an endpoint that attracts work by failing fast."""
    harness = make_harness(minions=6)
    bad = next(iter(harness.executors.values()))
    error = conftest.failure(Outcome.FAILED_WHILE_RUNNING)
    for _ in range(100):
        harness.submit()
        harness.deliver()
        for executor in harness.executors.values():
            for key in list(executor.running):
                ending = {"run_s": 0.01, "error": error}
                if executor is not bad:
                    ending = {"run_s": 0.2}
                harness.receive(executor.node, executor.end(key, **ending))
        harness.advance(0.05)
    assert len(bad.received) < 15


def test_at_most_a_third_of_the_endpoints_is_ejected(make_harness):
    """Guards against ejecting endpoints until none are left."""
    harness = make_harness(minions=9)
    error = conftest.failure(Outcome.FAILED_WHILE_RUNNING)
    bad = list(harness.executors.values())[:5]
    for _ in range(40):
        for _ in range(20):
            harness.submit()
        harness.deliver()
        for executor in harness.executors.values():
            for key in list(executor.running):
                failed = error if executor in bad else None
                harness.receive(executor.node, executor.end(key, error=failed))
        states = harness.coordinator.dispatcher.executors.values()
        now_s = harness.now.mono_s
        ejected = [each for each in states if each.ejected_until_s > now_s]
        assert len(ejected) <= 9 * outliers.MAX_EJECTED_SHARE
        harness.advance(0.1)


def test_drained_and_suspect_executors_get_no_work(harness):
    """Guards against starts at endpoints that are drained or suspect."""
    drained, suspect, other = list(harness.executors.values())
    harness.configure(drained=(drained.member.endpoint.name,))
    harness.announce(suspects=(suspect.node.name,))
    for _ in range(4):
        harness.submit()
    harness.deliver()
    assert len(other.received) == 4


def test_faster_endpoint_gets_more_work(make_harness):
    """Guards against equal load on endpoints of different speed."""
    harness = make_harness(minions=2)
    fast, slow = list(harness.executors.values())
    for _ in range(200):
        harness.submit()
        harness.deliver()
        for executor, run_s in ((fast, 0.1), (slow, 0.8)):
            for key in list(executor.running):
                harness.receive(executor.node, executor.end(key, run_s=run_s))
    assert len(fast.received) > 3 * len(slow.received)


def test_baselines_bind_early(make_harness):
    """Guards against baseline policies that use late binding."""
    for name in ("random", "round_robin", "least_outstanding"):
        harness = make_harness(minions=2, slots=1)
        policy = configuration.Policy(routing=name)
        harness.configure(policy=policy)
        for _ in range(20):
            harness.submit()
        harness.deliver()
        received = [len(k.received) for k in harness.executors.values()]
        assert sum(received) == 20, name
        assert min(received) > 0, name


def test_each_routing_and_placement_is_logged(make_harness):
    """Guards against routing decisions without a line in the log."""
    harness = make_harness(minions=2, workers=2)
    request = harness.submit()
    job = harness.submit(5, kind=JOB)
    routing = [log for log in harness.logs if log.kind == "routing"]
    placing = [log for log in harness.logs if log.kind == "placement"]
    assert [log.work_id for log in routing] == [request]
    assert [log.work_id for log in placing] == [job] * 5
    assert all(log.choice and log.reason for log in routing + placing)
