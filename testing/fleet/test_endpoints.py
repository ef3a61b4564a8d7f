"""Workers and minions that fail, hang or stop answering."""

import concurrent.futures

from _jasminewind.experiment import fleets
from _jasminewind.platform import protocol
from testing.fleet import oracle
from testing.fleet import traffic

# Far longer than a test, so that only a cancellation ends the work.
ENDLESS_RUN_S = 300.0


def test_minion_that_fails_everything_fast(system, client):
    """Guards against a minion that attracts all work by failing fast."""
    failing = system.layout.minions[0].name
    system.set_faults(failing, fail=True)
    with traffic.Traffic(client):
        replies = [
            client.complete_one(method=traffic.REPEATABLE) for _ in range(40)
        ]
    assert all(r.body["endpoint"] != failing for r in replies)
    oracle.check(client)


def test_worker_that_drops_start_answers(system, client):
    """Guards against a duplicate start after a lost start response."""
    for worker in system.layout.workers[:2]:
        system.set_faults(
            worker.name, drop_answer=True, paths=[protocol.START_PATH]
        )
    with traffic.Traffic(client):
        for _ in range(5):
            client.complete_one(tasks=6, is_job=True)
    oracle.check(client)


def test_frozen_minion(system, client):
    """Guards against requests that get no reply when a minion hangs."""
    frozen = system.layout.minions[1].name
    system.set_faults(frozen, freeze=True, paths=[protocol.CALL_PATH])

    def draw():
        return client.new(deadline_s=2.0)

    with traffic.Traffic(client, draw=draw):
        for _ in range(10):
            client.complete_one(deadline_s=2.0)
    system.set_faults(frozen)
    oracle.check(client)


def test_minion_with_silent_connections(system, client):
    """Guards against reusing connections that no longer answer."""
    for minion in system.layout.minions:
        system.set_faults(minion.name, freeze_open=True)

    def draw():
        return client.new(deadline_s=2.0)

    with traffic.Traffic(client, draw=draw):
        for _ in range(20):
            client.complete_one(deadline_s=2.0)
    oracle.check(client)


def test_wave_of_cancellations_frees_slots(system, client):
    """Guards against slots that stay occupied by cancelled requests."""
    slots = sum(minion.slots for minion in system.layout.minions)
    works = [
        client.new(run_s=ENDLESS_RUN_S, deadline_s=ENDLESS_RUN_S)
        for _ in range(slots)
    ]
    with concurrent.futures.ThreadPoolExecutor(slots) as pool:
        futures = [pool.submit(client.submit, work) for work in works]
        system.wait(lambda: system.count_running() > 0, "a running task")
        for work in works:
            body = {"id": work.work_id}
            method = "jasminewind.v1.RequestService/Cancel"
            reply = fleets.call(system.layout.url(), method, body)
            assert reply.status == 200
        for future in futures:
            assert future.result().outcome != traffic.COMPLETE
    system.wait(
        lambda: system.count_running() == 0, "the end of all cancelled tasks"
    )
    for _ in range(slots):
        assert (
            client.submit_until_answered(client.new()).outcome
            == traffic.COMPLETE
        )
    oracle.check(client)


def test_job_that_can_never_run_is_refused(system, client):
    """Guards against queueing a job that no worker is large enough for."""
    work = client.new(tasks=2, is_job=True, deadline_s=ENDLESS_RUN_S)
    body = work.body()
    body["tasks"][1]["demand"] = {"cores": 10_000}
    reply = fleets.call(system.layout.url(), traffic.SUBMIT_JOB, body)
    assert traffic.outcome_of(reply) == "NOT_RUN", reply.body
    assert system.count_starts(work.work_id) == 0
