"""Configuration changes that race, and drains under load."""

import concurrent.futures
import time

from _jasminewind.experiment import fleets
from testing.fleet import oracle
from testing.fleet import traffic

CONFIG_SERVICE = "jasminewind.v1.ConfigService"
# The "few seconds" that the invariant on draining endpoints allows.
DRAIN_S = 4.0


def version_of(system, index):
    """Return the configuration version at an entry."""
    reply = fleets.call(
        system.layout.entry_url(index), f"{CONFIG_SERVICE}/GetConfig", {}
    )
    return int(reply.body["config"]["version"])


def config_of(system, index):
    """Return the configuration at an entry."""
    url = system.layout.entry_url(index)
    return fleets.call(url, f"{CONFIG_SERVICE}/GetConfig", {}).body["config"]


def propose(system, index, change_id, version, **operation):
    """Propose a configuration change through one entry."""
    body = {
        "changeId": change_id,
        "expectedVersion": version,
        "author": f"operator-{index}",
        **operation,
    }
    url = system.layout.entry_url(index)
    return fleets.call(url, f"{CONFIG_SERVICE}/ProposeChange", body)


def is_applied(system, version):
    """Tell whether all entries and agents have at least ``version``."""
    entries = range(len(system.layout.entries))
    if any(version_of(system, index) < version for index in entries):
        return False
    agents = [system.agent_status(name) for name in system.agent_names()]
    return all(agent["config_version"] >= version for agent in agents)


def test_racing_changes_through_two_entries(system):
    """Guards against two accepted changes, and a lost or reverted one.

    Both proposals expect the same version, so one must be rejected. The
    entry that accepted the other is then killed and restarted.
    """
    base = version_of(system, 0)

    def team(index):
        return {"setTeam": {"name": f"racer-{index}", "maxInFlight": 10}}

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        futures = [
            pool.submit(
                propose, system, i, f"race-{base}-{i}", base, **team(i)
            )
            for i in range(2)
        ]
        replies = [future.result() for future in futures]
    assert sorted(r.status == 200 for r in replies) == [False, True]
    winner = 0 if replies[0].status == 200 else 1
    rejection = replies[1 - winner].body
    details = [d["debug"] for d in rejection["details"]]
    change_ids = [d["changeId"] for d in details if "changeId" in d]
    assert change_ids == [f"race-{base}-{winner}"], rejection
    system.wait(
        lambda: is_applied(system, base + 1),
        "the change at all entries and agents",
    )
    name = system.entry_names()[winner]
    system.kill(name)
    system.restart(name)
    system.wait_ready()
    for index in range(len(system.layout.entries)):
        config = config_of(system, index)
        names = [team["name"] for team in config["teams"]]
        assert int(config["version"]) == base + 1
        assert f"racer-{winner}" in names
        assert f"racer-{1 - winner}" not in names


def test_drain_by_a_change(system, client):
    """Guards against tasks that start on a draining endpoint."""
    drained = [system.layout.minions[0].name, system.layout.workers[0].name]
    with traffic.Traffic(client):
        for name in drained:
            base = version_of(system, 0)
            reply = propose(system, 0, f"drain-{name}", base, drain=name)
            assert reply.status == 200, reply.body
        time.sleep(DRAIN_S)
        before = drained_start_counts(system)
        for _ in range(10):
            client.complete_one()
            client.complete_one(tasks=6, is_job=True)
        assert drained_start_counts(system) == before
    for name in drained:
        base = version_of(system, 0)
        reply = propose(system, 0, f"undrain-{name}", base, undrain=name)
        assert reply.status == 200, reply.body
    oracle.check(client)


def drained_start_counts(system):
    """Return the number of starts at each drained endpoint."""
    drained = [system.layout.minions[0].name, system.layout.workers[0].name]
    starts = [start["endpoint"] for start in system.starts()]
    return [starts.count(name) for name in drained]
