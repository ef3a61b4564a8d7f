"""An entry and an agent on stand-ins of the users' platform."""

import json
import socket

import pytest
from twisted.internet import endpoints
from twisted.web import http_headers
from twisted.web import server

from _jasminewind import job_settings
from _jasminewind import members
from _jasminewind.experiment import ports
from _jasminewind.platform import daemon
from _jasminewind.platform import http
from testing import reactor
from testing.platform import site

ALLOCATOR = ports.PortAllocator()
HOST = "127.0.0.1"
HEADERS = {"host": ["orders.example"], "content-type": ["application/json"]}
JOB_PATH = "/quotes/5c0e7a21d94b36f8"


class Site:
    """A store, an endpoint, an entry and an agent, over loopback."""

    def __init__(self):
        self.store = site.Store(reactor.reactor)
        now_s = reactor.reactor.seconds()
        self.machine = site.Machine(reactor.reactor, "i-1", born_s=now_s)
        self.ports = {
            name: ALLOCATOR.take()
            for name in (
                "store",
                "machine",
                "callers",
                "readiness",
                "control",
                "entry",
                "agent",
                "metrics",
            )
        }
        self.opened = []
        self.daemons = []
        self.ended = []
        self.sequence = 0

    def address(self, name):
        """Return the address of a port."""
        return f"{HOST}:{self.ports[name]}"

    async def start(self):
        """Open the stand-ins, and start both processes."""
        for name, root in (("store", self.store), ("machine", self.machine)):
            endpoint = endpoints.TCP4ServerEndpoint(
                reactor.reactor, self.ports[name], interface=HOST
            )
            self.opened.append(await endpoint.listen(server.Site(root)))
        self.start_entry()
        self.start_agent()

    def start_entry(self):
        """Start the entry."""
        self.start_daemon(
            role=members.Role.ENTRY,
            name="entry-1",
            link_port=self.ports["entry"],
            callers=self.address("callers"),
            readiness=self.address("readiness"),
            metrics_port=self.ports["metrics"],
        )

    def start_agent(self):
        """Start the agent."""
        self.start_daemon(
            role=members.Role.AGENT,
            name="agent-1",
            link_port=self.ports["agent"],
            control=self.address("control"),
        )

    def start_daemon(self, **fields):
        """Start a process of the system."""
        chosen = job_settings.JobSettings(
            region="r",
            failure_domain="a",
            host=HOST,
            store=self.address("store"),
            **fields,
        )
        started = daemon.Daemon(
            reactor=reactor.reactor,
            chosen=chosen,
            on_end=lambda: self.ended.append(chosen.name),
        )
        self.daemons.append(started)
        started.start()

    async def restart_agent(self):
        """End the agent and start it again; return its new keeper."""
        self.daemons[1].end()
        await reactor.until(lambda: "agent-1" in self.ended)
        await reactor.sleep(0.1)
        self.start_agent()
        keeper = self.daemons[-1].node.executor
        await reactor.until(keeper.is_accepting)
        return keeper

    def stop(self):
        """Stop everything."""
        for started in self.daemons:
            started.end()
        for port in self.opened:
            port.stopListening()

    async def call(self, method, name, path, body=None):
        """Call a port; return status and body."""
        client = http.JsonClient(
            reactor=reactor.reactor,
            host=HOST,
            port=self.ports[name],
            connections=1,
        )
        data = b"" if body is None else json.dumps(body).encode()
        answer = await client.send(
            method,
            path,
            data,
            timeout_s=20.0,
            headers=http_headers.Headers(HEADERS),
        )
        await client.close()
        found = answer.unwrap()
        return found.status, found.body

    async def beat(self, **fields):
        """Let the endpoint announce itself."""
        self.sequence += 1
        body = {
            **site.BEAT,
            "address": self.address("machine"),
            "clock-ms": self.machine.fake.clock_ms(reactor.reactor.seconds()),
            "sequence": self.sequence,
            **fields,
        }
        path = "/-/Instances.Heartbeat/i-1"
        return await self.call(b"POST", "control", path, body)

    async def ready(self):
        """Wait until the entry takes work."""
        value = json.dumps(site.CONFIGURATION).encode()
        self.store.put("op", "config", value)
        await self.beat()
        entry = self.daemons[0].node
        await reactor.until(lambda: not entry.unready_reason())


@pytest.fixture
def running():
    """Return a started site; it is stopped at the end."""

    async def start():
        found = Site()
        await found.start()
        return found

    found = reactor.run(start)
    yield found
    reactor.run(found.stop)


def test_a_job_is_answered_over_http(running):
    """Guards against a wrong translation anywhere on the path."""

    async def submit():
        await running.ready()
        return await running.call(b"POST", "callers", JOB_PATH, site.JOB)

    status, body = reactor.run(submit)
    assert (status, json.loads(body)) == (200, {"state": "completed"})
    starts = [b for p, b in running.machine.calls if p == b"/-/run-start"]
    assert sorted(start["task"] for start in starts) == [
        f"5c0e7a21d94b36f8.0.0.{index}" for index in range(3)
    ]
    assert all(start["specification"] == "text" for start in starts)
    assert all(start["fencing-token"] > 0 for start in starts)


def test_a_job_whose_caller_has_hung_up_is_not_started(running):
    """Guards against a run beside that of another entry.

    The connections of an entry break while it is busy. It finds the job in
    one of them, whose caller has sent it to another entry by then.
    """
    body = json.dumps(site.JOB)
    lines = (
        f"POST {JOB_PATH} HTTP/1.1",
        "Host: orders.example",
        f"Content-Length: {len(body)}",
        "",
        body,
    )

    async def submit():
        await running.ready()
        address = (HOST, running.ports["callers"])
        # The reactor does not run until all of this has happened.
        with socket.create_connection(address) as caller:
            caller.sendall("\r\n".join(lines).encode())
        await reactor.sleep(0.3)

    reactor.run(submit)
    assert not [p for p, _ in running.machine.calls if p == b"/-/run-start"]


def test_without_a_configuration_callers_are_told_to_return(running):
    """Guards against a 404 for a queue that exists."""

    async def submit():
        return (
            await running.call(b"POST", "callers", JOB_PATH, site.JOB),
            await running.call(b"GET", "readiness", "/-/readiness"),
        )

    (status, _), (ready, _) = reactor.run(submit)
    assert (status, ready) == (503, 503)


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/other/5c0e7a21d94b36f8", site.JOB, 404),
        ("/quotes/xyz", site.JOB, 404),
        (JOB_PATH, {"steps": []}, 400),
        (JOB_PATH, {**site.JOB, "steps": []}, 400),
        (JOB_PATH, {**site.JOB, "best-effort": False}, 503),
        (JOB_PATH, {**site.JOB, "repetitions": 2}, 503),
    ],
)
def test_requests_that_cannot_be_run_are_refused(running, path, body, status):
    """Guards against work that nobody asked for in this form."""

    async def submit():
        await running.ready()
        return await running.call(b"POST", "callers", path, body)

    found, text = reactor.run(submit)
    assert found == status
    assert json.loads(text)["error"]
    assert not [p for p, _ in running.machine.calls if p == b"/-/run-start"]


def test_a_new_configuration_is_in_force_at_once_and_never_reverts(running):
    """Guards against queues that appear late or come back."""
    config = json.loads(json.dumps(site.CONFIGURATION))
    config["version"] = 9
    config["routes"][0]["prefix"] = "/new/"

    async def change():
        await running.ready()
        entry = running.daemons[0].node
        running.store.put("op", "config", json.dumps(config).encode())
        await reactor.until(lambda: entry.config.version == 9)
        old = json.dumps(site.CONFIGURATION).encode()
        running.store.put("op", "config", old)
        running.store.put("op", "config", b"{not json")
        await reactor.sleep(0.2)
        return (
            await running.call(b"GET", "callers", "/quotes/"),
            await running.call(b"GET", "callers", "/new/"),
        )

    (gone, _), (new, body) = reactor.run(change)
    assert (gone, new) == (404, 200)
    assert json.loads(body) == {"waiting": 0}


def test_a_dropped_history_is_read_again(running):
    """Guards against changes that are lost with the store's history."""
    config = {**site.CONFIGURATION, "version": 12}

    async def drop():
        await running.ready()
        running.store.oldest = running.store.version + 1
        running.store.version += 2
        running.store.rows["op", "config"] = (
            running.store.version,
            json.dumps(config).encode(),
        )
        entry = running.daemons[0].node
        await reactor.until(lambda: entry.config.version == 12)

    reactor.run(drop)


def test_an_outage_of_the_store_stops_nothing_that_runs(running):
    """Guards against a desk that stops with the store."""

    async def submit():
        await running.ready()
        running.store.status = 503
        await reactor.sleep(1.0)
        return await running.call(b"POST", "callers", JOB_PATH, site.JOB)

    status, _ = reactor.run(submit)
    assert status == 200


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "odd"},
        {"capacity": {"cpu-millicores": "many"}},
        {"sequence": "one"},
        {"address": "nowhere"},
    ],
)
def test_malformed_heartbeats_name_no_endpoint(running, fields):
    """Guards against endpoints that another writer made up."""
    status, _ = reactor.run(lambda: running.beat(**fields))
    assert status == 400
    assert running.daemons[1].node.executor.endpoint is None


def test_a_restarted_agent_goes_on_with_its_endpoint(running):
    """Guards against idle endpoints until their next announcement."""

    async def restart():
        await running.ready()
        await reactor.until(
            lambda: ("members", "agent-1") in running.store.rows
        )
        await running.restart_agent()

    reactor.run(restart)


def test_a_restarted_agent_still_knows_a_slow_endpoint(running):
    """Guards against work for slow endpoints after each restart.

    Pattern: everything restarts under load.
    """

    async def restart():
        await running.ready()
        keeper = running.daemons[1].node.executor
        keeper.slowness, keeper.slowness_samples = 1.8, 20
        await reactor.until(
            lambda: b"1.8" in running.store.rows["members", "agent-1"][1]
        )
        keeper = await running.restart_agent()
        return keeper.slowness

    assert reactor.run(restart) == 1.8


def test_a_draining_endpoint_gets_no_new_work(running):
    """Guards against starts on an endpoint that is about to leave."""

    async def drain():
        await running.ready()
        await running.beat(state="draining")
        entry = running.daemons[0].node
        await reactor.until(lambda: entry.unready_reason())
        return await running.call(b"POST", "callers", JOB_PATH, site.JOB)

    running.daemons[0].node.owner.discovery_end_s = 0.0
    status, _ = reactor.run(drain)
    assert status == 503


def test_metrics_are_served_as_text(running):
    """Guards against counters that nobody can read."""

    async def fetch():
        await running.ready()
        await running.call(b"POST", "callers", JOB_PATH, site.JOB)
        return await running.call(b"GET", "metrics", "/metrics")

    status, body = reactor.run(fetch)
    assert status == 200
    expected = (
        b'jasminewind_jobs_answered_total{queue="r-1",state="completed"} 1.0'
    )
    assert expected in body
    assert b"jasminewind_job_time_bucket" in body


def test_a_leaving_entry_finishes_and_then_refuses(running):
    """Guards against answers that are cut short by a graceful stop."""

    async def leave():
        await running.ready()
        entry = running.daemons[0].node
        entry.begin_shutdown()
        taken = await running.call(b"POST", "callers", JOB_PATH, site.JOB)
        ready = await running.call(b"GET", "readiness", "/-/readiness")
        entry.shutdown_start_s -= entry.shutdown_limit_s
        late = await running.call(b"POST", "callers", JOB_PATH, site.JOB)
        return taken, ready, late

    taken, ready, late = reactor.run(leave)
    assert (taken[0], ready[0], late[0]) == (200, 503, 503)
