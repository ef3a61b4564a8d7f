"""The platform's table when it is down, slow, or loses responses."""

import collections
import concurrent.futures
import time

from _jasminewind.platform import protocol
from testing.fleet import oracle
from testing.fleet import system as systems
from testing.fleet import traffic

# Longer than the 2 s after which an entry without the table needs the
# confirmation of other entries, and the 3 s after which a coordinator does.
OUTAGE_S = 6.0
# With a longer deadline, callers get the owner's reply after the outage.
SHORT_DEADLINE_S = 1.0


def test_service_continues_while_the_table_is_down(system, client):
    """Guards against a platform outage that stops the service."""
    with traffic.Traffic(client):
        system.set_table_faults(down=True)
        outage_start_s = time.time()
        time.sleep(OUTAGE_S)
        replies = [client.complete_one(shard=s) for s in range(systems.SHARDS)]
        outage_end_s = time.time()
        system.set_table_faults()
        client.complete_one()
    assert all(
        outage_start_s < reply.sent_s < outage_end_s for reply in replies
    )
    oracle.check(client)


def shards_by_agent(system):
    """Return, by agent, the shards that name it as owner or successor."""
    found = collections.defaultdict(set)
    for row in system.shard_rows():
        names = [row.current.owner.name]
        names += [successor.node.name for successor in row.successors]
        for name in names:
            found[name].add(row.shard)
    return found


def test_coordinator_killed_while_the_table_is_down(system, client):
    """Guards against a takeover without the table, or a total outage.

    The shards of the dead owner refuse work until the table is back. A
    shard that names the dead process as a successor lacks its promise, so
    only shards that do not name it keep serving.
    """
    shards = shards_by_agent(system)
    owners = [n for n in system.agent_names() if system.shards_of(n)]
    owner = min(owners, key=lambda name: len(shards[name]))
    lost_shards = system.shards_of(owner)
    unaffected = set(range(systems.SHARDS)) - shards[owner]
    assert unaffected
    with traffic.Traffic(client):
        system.set_table_faults(down=True)
        time.sleep(OUTAGE_S)
        system.kill(owner)
        works = [
            client.new(shard=s, deadline_s=SHORT_DEADLINE_S)
            for s in lost_shards
        ]
        with concurrent.futures.ThreadPoolExecutor(len(works)) as pool:
            refused = list(pool.map(client.submit_until_answered, works))
        for shard in unaffected:
            client.complete_one(shard=shard)
        system.set_table_faults()
        for shard in lost_shards:
            client.complete_one(shard=shard)
    assert all(r.outcome != traffic.COMPLETE for r in refused)
    oracle.check(client)


def test_lost_answers_of_table_writes(system, client):
    """Guards against an owner that misjudges a write without a response.

    A takeover and the replacement of successors happen during the fault.
    """
    owner = system.largest_owner()
    shards = system.shards_of(owner)
    with traffic.Traffic(client):
        system.set_table_faults(
            drop_answer=True, paths=[protocol.TABLE_WRITE_PATH]
        )
        system.kill(owner)
        for shard in shards:
            client.complete_one(shard=shard)
        system.set_table_faults()
    oracle.check(client)


def test_slow_table(system, client):
    """Guards against table latency that stops owners or takeovers."""
    owner = system.largest_owner()
    shards = system.shards_of(owner)
    with traffic.Traffic(client):
        system.set_table_faults(delay_s=1.0)
        system.kill(owner)
        for shard in shards:
            client.complete_one(shard=shard)
        for _ in range(5):
            client.complete_one()
        system.set_table_faults()
    oracle.check(client)
