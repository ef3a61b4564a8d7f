"""Tests of the simulated platform services over loopback sockets."""

import json
import pathlib
import signal
import subprocess
import sys

import msgspec
import pytest

from _jasminewind import announcements
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.platform import http
from _jasminewind.platform import protocol
from _jasminewind.standins import announcer
from _jasminewind.standins import balancer
from _jasminewind.standins import faults
from _jasminewind.standins import minion
from _jasminewind.standins import server
from _jasminewind.standins import worker
from testing import reactor
from testing import starts

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 5.0


@pytest.fixture
def opened():
    """Open stand-ins, and close them and other items afterwards."""
    open_items = []

    def open_item(item):
        if isinstance(item, server.StandIn):
            reactor.run(item.open)
        open_items.append(item)
        return item

    yield open_item
    for item in reversed(open_items):
        reactor.run(item.close)


def new_client(port):
    """Return a JSON client for a port."""
    return http.JsonClient(
        reactor=reactor.reactor, host="127.0.0.1", port=port, connections=9
    )


def post(client, path, body, kind):
    """Post a call and return its result."""
    return reactor.run(
        lambda: client.post(path, body, kind, timeout_s=TIMEOUT_S)
    )


def new_minion(name="minion-1", **options):
    """Return a minion stand-in."""
    return minion.MinionStandIn(
        reactor=reactor.reactor, name=name, service="s", **options
    )


@pytest.mark.parametrize(
    "body",
    [{"delay_s": -1}, {"freeze": "yes"}, {"unknown": True}, []],
)
def test_invalid_faults_are_rejected(opened, body):
    """Guards against a misspelt fault that is silently ignored."""
    standin = opened(new_minion())
    client = opened(new_client(standin.control_port))
    reply = post(client, server.FAULTS_PATH, body, faults.Faults)
    assert reply.unwrap_err().failure is http.CallFailure.REFUSED
    assert standin.faults == faults.Faults()


def test_control_port_answers_while_down(opened):
    """Guards against a stand-in that cannot be reopened after ``down``."""
    standin = opened(new_minion())
    port = standin.port
    client = opened(new_client(standin.control_port))
    down = faults.Faults(down=True)
    assert post(client, server.FAULTS_PATH, down, faults.Faults).is_ok()
    service_client = opened(new_client(port))
    lost_reply = post(
        service_client, protocol.CALL_PATH, {}, protocol.CallReply
    )
    assert lost_reply.unwrap_err().failure is http.CallFailure.NOT_SENT
    up = faults.Faults()
    assert post(client, server.FAULTS_PATH, up, faults.Faults).is_ok()
    assert standin.port == port
    refused = post(service_client, protocol.CALL_PATH, {}, protocol.CallReply)
    assert refused.unwrap_err().failure is http.CallFailure.REFUSED


def test_repeated_starts_are_recorded_twice(opened):
    """Guards against a start log that hides duplicate starts."""
    standin = opened(new_minion())
    client = opened(new_client(standin.port))
    start = starts.task_start(1)
    call = protocol.Call(key=start.key, method="m", payload=start.task.payload)
    for _ in range(2):
        post(client, protocol.CALL_PATH, call, protocol.CallReply)
    found = reactor.run(
        lambda: client.get(
            server.STARTS_PATH, server.StartList, timeout_s=TIMEOUT_S
        )
    )
    records = found.unwrap().starts
    assert [record.key for record in records] == [start.key] * 2
    assert all(r.ended_s >= r.started_s > 0 for r in records)


def test_minion_runs_no_more_than_its_slots(opened):
    """Guards against a minion that ignores its slots or connections."""
    standin = opened(new_minion(slots=2, max_connections=3))
    client = opened(new_client(standin.port))

    async def call_four():
        replies = []
        for seed in range(4):
            start = starts.task_start(seed, run_s=1.0)
            call = protocol.Call(
                key=start.key, method="m", payload=start.task.payload
            )
            replies.append(
                client.post(
                    protocol.CALL_PATH,
                    call,
                    protocol.CallReply,
                    timeout_s=TIMEOUT_S,
                )
            )
        await reactor.until(lambda: standin.waiting)
        running = standin.running
        return running, [await item for item in replies]

    running, replies = reactor.run(call_four)
    assert running == 2
    refused = [reply for reply in replies if reply.is_err()]
    (only,) = refused
    assert only.unwrap_err().failure is http.CallFailure.REFUSED


def new_worker(**options):
    """Return a worker stand-in with two cores."""
    return worker.WorkerStandIn(
        reactor=reactor.reactor,
        name="worker-1",
        capacity=resources.Resources(cores=2.0, memory_mb=100.0),
        **options,
    )


def lease(seed, demand, run_s=50.0):
    """Return a lease that starts a task on the worker."""
    start = starts.task_start(seed, run_s=run_s, demand=demand)
    return protocol.LeaseStart(
        lease_id=protocol.lease_id(start.key),
        key=start.key,
        payload=start.task.payload,
        demand=demand,
    )


def test_worker_slows_down_when_overcommitted(opened):
    """Guards against a worker that ignores overcommitted cores."""
    standin = opened(new_worker())
    demand = resources.Resources(cores=2.0)

    def begin():
        standin.start_task(lease(1, demand))
        alone = standin.unthrottled_speed()
        standin.start_task(lease(2, demand))
        return alone, standin.unthrottled_speed()

    assert reactor.run(begin) == (1.0, 0.5)


def test_worker_kills_tasks_beyond_its_memory(opened):
    """Guards against a worker that ignores overcommitted memory."""
    standin = opened(new_worker())
    demand = resources.Resources(cores=0.1, memory_mb=60.0)

    def begin():
        standin.start_task(lease(1, demand))
        standin.start_task(lease(2, demand))
        return [event.error for event in standin.events]

    (error,) = reactor.run(begin)
    assert "memory" in error


def test_holder_that_stops_polling_loses_the_worker(opened):
    """Guards against a paused holder that keeps its lease forever."""
    standin = opened(new_worker(holder_lease_s=0.2))
    client = opened(new_client(standin.port))
    attach = protocol.Attach(holder="a", generation=3)
    post(client, protocol.ATTACH_PATH, attach, protocol.Attached).unwrap()
    reactor.run(reactor.until, lambda: not standin.holder)
    batch = protocol.StartLeases(
        generation=3, starts=(lease(1, resources.Resources(cores=1.0)),)
    )
    late_reply = post(client, protocol.START_PATH, batch, protocol.Empty)
    assert late_reply.unwrap_err().failure is http.CallFailure.CONFLICT
    assert standin.starts.records == []


class AgentStub(server.StandIn):
    """Agent that records the announcements of an endpoint."""

    def __init__(self):
        super().__init__(reactor=reactor.reactor, name="agent")
        self.seen = []
        self.routes = {
            announcements.ANNOUNCE_PATH: self.announce,
            announcements.LEAVE_PATH: self.leave,
        }

    async def announce(self, body, request):
        """Record an announcement."""
        self.seen.append(announcements.decode(body).unwrap())
        return server.Reply()

    async def leave(self, body, request):
        """Record that the endpoint leaves."""
        self.seen.append("leave")
        return server.Reply()


def test_endpoint_announces_itself_and_leaves(opened):
    """Guards against announcements that do not reach the agent."""
    agent = opened(AgentStub())
    standin = opened(new_minion())
    endpoint_announcer = announcer.Announcer(
        reactor=reactor.reactor,
        standin=standin,
        announcement=standin.announcement(),
        agent_port=agent.port,
    )
    opened(endpoint_announcer)
    reactor.run(endpoint_announcer.start)
    reactor.run(reactor.until, lambda: agent.seen)
    reactor.run(endpoint_announcer.leave)
    assert agent.seen[0].endpoint().kind is members.EndpointKind.MINION
    assert agent.seen[0].port == standin.port
    assert agent.seen[-1] == "leave"


@pytest.mark.parametrize("body", [b"", b"{}", b"[" * 9999, b'{"port":0}'])
def test_malformed_announcement_is_an_error_value(body):
    """Guards against an invalid announcement that crashes the agent."""
    assert announcements.decode(body).is_err()


@pytest.mark.parametrize("resend", [False, True])
def test_balancer_resends_only_when_enabled(opened, resend):
    """Guards against a retry after a lost response without ``resend``."""
    entries = [opened(new_minion(f"entry-{i}")) for i in range(2)]
    for entry in entries:
        drop_response = faults.Faults(
            drop_answer=True, paths=(protocol.CALL_PATH,)
        )
        reactor.run(entry.set_faults, drop_response)
    load_balancer = opened(
        balancer.BalancerStandIn(
            reactor=reactor.reactor,
            entries=tuple(
                members.Address("127.0.0.1", entry.port) for entry in entries
            ),
            resend=resend,
        )
    )
    client = opened(new_client(load_balancer.port))
    start = starts.task_start(1)
    call = protocol.Call(key=start.key, method="m", payload=start.task.payload)
    lost_reply = post(client, protocol.CALL_PATH, call, protocol.CallReply)
    assert lost_reply.is_err()
    seen = sum(len(entry.starts.records) for entry in entries)
    assert seen == (2 if resend else 1)


def test_balancer_avoids_an_entry_that_is_down(opened):
    """Guards against calls that fail although another entry is healthy."""
    entries = [opened(new_minion(f"entry-{i}")) for i in range(2)]
    reactor.run(entries[0].set_faults, faults.Faults(down=True))
    load_balancer = opened(
        balancer.BalancerStandIn(
            reactor=reactor.reactor,
            entries=tuple(
                members.Address("127.0.0.1", entry.port) for entry in entries
            ),
        )
    )
    client = opened(new_client(load_balancer.port))
    for seed in range(4):
        start = starts.task_start(seed)
        call = protocol.Call(
            key=start.key, method="m", payload=start.task.payload
        )
        assert post(
            client, protocol.CALL_PATH, call, protocol.CallReply
        ).is_ok()


def test_program_runs_stand_ins_and_leaves_on_sigterm(opened, tmp_path):
    """Guards against a shutdown that crashes or sends no leave."""
    agent = opened(AgentStub())
    path = tmp_path / "settings.json"
    capacity = {"cores": 4, "memory_mb": 100}
    standins = [
        {"kind": "table", "name": "table"},
        {"kind": "worker", "name": "w", "capacity": capacity},
        {
            "kind": "minion",
            "name": "m",
            "service": "s",
            "agent_port": agent.port,
        },
        {"kind": "balancer", "name": "b", "entries": []},
    ]
    path.write_text(json.dumps({"standins": standins}))
    program = subprocess.Popen(
        [sys.executable, "-m", "_jasminewind.standins.main", str(path)],
        env={"PYTHONPATH": f"{ROOT / 'src'}"},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        ready = json.loads(program.stdout.readline())
        reactor.run(reactor.until, lambda: agent.seen)
    finally:
        program.send_signal(signal.SIGTERM)
        status = program.wait(reactor.SAFETY_S)
        program.stdout.close()
    assert [port["name"] for port in ready["ports"]] == [
        "table",
        "w",
        "m",
        "b",
    ]
    assert status == 0
    assert agent.seen[-1] == "leave"


def test_settings_with_an_unknown_field_are_refused(tmp_path):
    """Guards against a misspelt setting that is silently ignored."""
    path = tmp_path / "settings.json"
    item = {"kind": "table", "name": "t", "writes": 3}
    path.write_bytes(msgspec.json.encode({"standins": [item]}))
    done = subprocess.run(
        [sys.executable, "-m", "_jasminewind.standins.main", str(path)],
        env={"PYTHONPATH": f"{ROOT / 'src'}"},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert "writes" in done.stderr
