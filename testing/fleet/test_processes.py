"""Entries and agents that crash, are paused, or are replaced."""

import concurrent.futures
import time

import pytest

from testing.fleet import oracle
from testing.fleet import traffic

# Longer than the 3 s after which a successor takes over a shard.
PAUSE_S = 8.0
LOOKUP_DEADLINE_S = 5.0


def submit_async(pool, client, works):
    """Submit each work in its own thread; return the futures."""
    return [pool.submit(client.submit_until_answered, work) for work in works]


def long_running_work(client, shards):
    """Return a job and a request for each shard, once it serves.

    An entry looks up the owner of an id for 15 s or until the deadline. A
    shard taken over in the previous test accepts ids only from a time up to
    2 s ahead; earlier ids get MAY_HAVE_RUN.
    """
    for shard in shards:
        client.complete_one(shard=shard)
    fields = {"run_s": 1.0, "deadline_s": LOOKUP_DEADLINE_S}
    works = []
    for shard in shards:
        works.append(client.new(shard=shard, **fields))
        works.append(client.new(shard=shard, tasks=4, is_job=True, **fields))
    return works


def wait_for_starts(system, works):
    """Wait until each work has started a task."""

    def all_started():
        counts = system.start_counts()
        return all(counts[work.work_id] for work in works)

    system.wait(all_started, "a started task of every submission")


def wait_for_takeover(system, owner, shards):
    """Wait until other agents own the shards; return the seconds."""

    def all_owned():
        others = [n for n in system.agent_names() if n != owner]
        owned = [s for n in others for s in system.shards_of(n)]
        return set(shards) <= set(owned)

    started_at_s = time.monotonic()
    system.wait(all_owned, f"a takeover of {shards}")
    return time.monotonic() - started_at_s


def test_kill_of_a_coordinator_with_work_running(system, client):
    """Guards against duplicate starts or lost replies after a crash.

    The owner of shards is killed while their tasks run, and callers retry.
    """
    owner = system.largest_owner()
    shards = system.shards_of(owner)
    works = long_running_work(client, shards)
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        futures = submit_async(pool, client, works)
        wait_for_starts(system, works)
        system.kill(owner)
        duplicates = submit_async(pool, client, works)
        wait_for_takeover(system, owner, shards)
        for shard in shards:
            client.complete_one(shard=shard)
        replies = [future.result() for future in futures + duplicates]
        late_replies = list(pool.map(client.submit_until_answered, works))
    assert all(reply.outcome != "NOT_RUN" for reply in replies + late_replies)
    oracle.check(client)


def test_kill_of_an_entry(system, client):
    """Guards against a duplicate start when a retry uses another entry."""
    works = [client.new(run_s=1.0) for _ in range(4)]
    works += [client.new(run_s=1.0, tasks=4, is_job=True) for _ in range(4)]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futures = [pool.submit(client.submit, w, entry=0) for w in works]
        wait_for_starts(system, works)
        system.kill(system.entry_names()[0])
        for future in futures:
            assert future.result().outcome == traffic.LOST
    outcomes = {client.submit_until_answered(work).outcome for work in works}
    assert outcomes == {traffic.COMPLETE}
    oracle.check(client)


def test_kill_of_the_agent_of_a_worker(system, client):
    """Guards against a duplicate start by a restarted worker agent."""
    agent = min(
        system.agent_names("worker"), key=lambda n: len(system.shards_of(n))
    )
    works = [client.new(run_s=1.0, tasks=6, is_job=True) for _ in range(6)]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futures = submit_async(pool, client, works)
        wait_for_starts(system, works)
        system.kill(agent)
        system.restart(agent)
        for future in futures:
            future.result()
    system.wait(system.is_healthy, "the replaced agent")
    oracle.check(client)


def test_paused_coordinator_resumes_after_a_takeover(system, client):
    """Guards against two owners that both start the same id.

    The paused owner resumes after a successor has taken over its shards.
    """
    owner = system.largest_owner(kind="worker")
    shards = system.shards_of(owner)
    works = long_running_work(client, shards)
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        futures = submit_async(pool, client, works)
        wait_for_starts(system, works)
        system.pause(owner)
        paused_at_s = time.monotonic()
        wait_for_takeover(system, owner, shards)
        # Retries and new ids while two processes may act as the owner.
        futures += submit_async(pool, client, works)
        for shard in shards:
            client.complete_one(shard=shard)
        time.sleep(max(0.0, paused_at_s + PAUSE_S - time.monotonic()))
        system.resume(owner)
        futures += submit_async(pool, client, works)
        for future in futures:
            future.result()
    oracle.check(client)


def test_paused_agent_of_a_minion(system, client):
    """Guards against work that waits for a paused agent of a minion.

    The connections of the paused process stay open but do not answer.
    """
    agent = min(
        system.agent_names("minion"), key=lambda n: len(system.shards_of(n))
    )
    with traffic.Traffic(client):
        system.pause(agent)
        time.sleep(PAUSE_S)
        system.resume(agent)
        client.complete_one(method=traffic.REPEATABLE)
    oracle.check(client)


def test_replacement_beside_a_process_with_silent_connections(system, client):
    """Guards against work sent on connections that no longer answer.

    A paused agent leaves its connections open until it is replaced.
    """
    owner = system.largest_owner(kind="minion")
    shards = system.shards_of(owner)
    old_process = system.processes[owner]
    with traffic.Traffic(client):
        system.pause(owner)
        wait_for_takeover(system, owner, shards)
        for shard in shards:
            client.complete_one(shard=shard)
        old_process.kill()
        old_process.wait()
        system.restart(owner)
        system.wait(system.is_healthy, "the replacement")
    oracle.check(client)


@pytest.mark.parametrize("kind", ["entry", "agent"])
def test_graceful_shutdown_with_work_running(system, client, kind):
    """Guards against a graceful shutdown that interrupts work."""
    name = (
        system.entry_names()[1] if kind == "entry" else system.largest_owner()
    )
    entry = 1 if kind == "entry" else None
    works = [client.new(run_s=0.8) for _ in range(8)]
    works += [client.new(run_s=0.8, tasks=4, is_job=True) for _ in range(4)]
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        futures = [pool.submit(client.submit, w, entry=entry) for w in works]
        wait_for_starts(system, works)
        assert system.terminate(name) == 0
        outcomes = {future.result().outcome for future in futures}
    assert outcomes == {traffic.COMPLETE}
    oracle.check(client)


def test_rolling_replacement_under_load(system, client):
    """Guards against a rolling restart that fails a submission."""
    client.draw_deadline_s = traffic.DEADLINE_S
    with traffic.Traffic(client, threads=4, direct=False):
        for name in system.daemon_names():
            assert system.terminate(name) == 0
            system.restart(name)
            system.wait_ready()
            system.wait(system.is_healthy, f"the replacement of {name}")
    assert set(oracle.check(client)) == {traffic.COMPLETE}
