"""Entry and agent processes behind proxies, with fake dependencies."""

import atexit
import collections
import dataclasses
import json
import math
import os
import pathlib
import signal
import subprocess
import sys

from twisted.internet import endpoints
from twisted.web import server

from _jasminewind import resources
from _jasminewind.decisions.jobs import registry
from _jasminewind.experiment import exits
from _jasminewind.experiment import ports
from _jasminewind.platform import http
from testing import reactor as reactors
from testing.decisions.jobs import endpoint as fake
from testing.platform import fake_platform
from testing.soak import proxy as proxies

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "src" / "jasminewindd.py"
HOST = proxies.HOST
CORES = 10.0
HEARTBEAT_INTERVAL_S = 0.5
END_LIMIT_S = 10.0
LATE_RETRY_S = 0.02
# Failure domains of the endpoints, by turns.
DOMAINS = ("a", "b", "c")
# Bound of the deployment from the acknowledgement of a row that evacuates a
# domain to the last start in it.
EVACUATION_LIMIT_S = 5.0


class StoreView(fake_platform.FakeStore):
    """View of the shared store for one process, with its own faults.

    ``drops_answers`` applies writes without answering them. Rows of entries
    hold the ports of their proxies.
    """

    def __init__(self, reactor, shared, link_ports):
        super().__init__(reactor)
        self.shared = shared
        self.rows = shared.rows
        self.deleted = shared.deleted
        self.link_ports = link_ports
        self.drops_answers = False

    # The constructor of the base class sets these; ignore that.
    version = property(lambda self: self.shared.version, lambda self, v: None)
    waiting = property(lambda self: self.shared.waiting, lambda self, v: None)

    def put(self, table, key, value):
        """Write a row to the shared store."""
        self.shared.put(table, key, value)

    def render_POST(self, request):  # noqa: N802
        """Apply a transaction; do not answer if answers are dropped."""
        body = super().render_POST(request)
        return server.NOT_DONE_YET if self.drops_answers else body

    def row(self, table, key):
        """Return a row; that of an entry has the port of its proxy."""
        found = super().row(table, key)
        if table != registry.TABLE or key not in self.link_ports:
            return found
        version, value = self.rows[table, key]
        fields = json.loads(value)
        fields["port"] = self.link_ports[key]
        row = {(table, key): (version, json.dumps(fields).encode())}
        kept, self.rows = self.rows, row
        found = super().row(table, key)
        self.rows = kept
        return found


@dataclasses.dataclass(frozen=True)
class Notice:
    """What an endpoint sends to its agent of its own accord."""

    method: str
    endpoint: str
    body: bytes

    def renamed(self, endpoint):
        """Return the same notice of another endpoint."""
        return dataclasses.replace(self, endpoint=endpoint)


class Endpoint(fake.FakeEndpoint):
    """Instance of a fake endpoint, with what it announces of itself."""

    def __init__(self, name, *, born_s, domain=DOMAINS[0]):
        super().__init__(name, cores=CORES, born_s=born_s)
        self.record = dataclasses.replace(self.record, failure_domain=domain)
        self.is_draining = False
        self.is_silent = False
        self.has_left = False
        self.sequence = 0

    def announces(self):
        """Tell whether it sends heartbeats."""
        return not (self.is_down or self.is_silent or self.has_left)

    def start(self, action, now_s, work_s):
        """Start a run; note when it violates an invariant."""
        count = len(self.violations)
        reply = super().start(action, now_s, work_s)
        self.violations[count:] = [
            f"{now_s:.2f} {text}" for text in self.violations[count:]
        ]
        return reply


class Machine(fake_platform.FakeMachine):
    """Runs one endpoint; the specification of a task sets its run time.

    ``port`` is where its agent calls it. With a ``start_delay_s``, starts get
    no answer and are carried out that much later.
    """

    names_birth = True
    start_delay_s = 0.0

    def __init__(self, reactor, agent, *, domain=DOMAINS[0]):
        super().__init__(reactor, "", born_s=0.0)
        self.fake = Endpoint("", born_s=0.0)
        self.fake.is_down = True
        self.agent = agent
        self.domain = domain
        self.port = 0

    def render_POST(self, request):  # noqa: N802
        """Handle a call, or hold a start up."""
        is_start = request.path == b"/-/run-start"
        if self.is_cut_off or not (is_start and self.start_delay_s):
            return super().render_POST(request)
        body = json.loads(request.content.read())
        identifier = request.getHeader("X-Expected-Instance")
        self.reactor.callLater(
            self.start_delay_s, self.start_late, identifier, body
        )
        return server.NOT_DONE_YET

    def start_late(self, identifier, body):
        """Carry out a start on the instance that there is now.

        It waits for the agent's first call to that: no rule keeps a start
        from running before it (docs/incidents/late-start.md).
        """
        if self.fake.record.name != identifier:
            return
        if self.is_cut_off or not self.fake.fencing_token:
            self.reactor.callLater(
                LATE_RETRY_S, self.start_late, identifier, body
            )
            return
        self.start(body)

    def work(self, body):
        """Return the resources of a task and its run time in seconds."""
        fields = json.loads(body["specification"])
        need = resources.Resources(cores=fields["cores"], memory_mb=64.0)
        return need, fields["work_s"]


@dataclasses.dataclass
class Evacuation:
    """An evacuation of a failure domain; it lasts until ``ended_s``."""

    domain: str
    began_s: float
    ended_s: float = math.inf


class Process:
    """An entry or agent as a child process."""

    def __init__(self, folder, settings):
        self.name = settings["name"]
        self.settings = folder / f"{self.name}.json"
        self.settings.write_text(json.dumps(settings))
        self.log_path = folder / f"{self.name}.log"
        self.log = self.log_path.open("ab")
        self.child = None
        self.exit_logger = None
        self.may_exit = False
        self.unexpected_exits = []
        # An interrupted soak must leave no process behind.
        atexit.register(self.close)

    def start(self):
        """Start the process unless it runs."""
        if self.is_running():
            return
        self.child = subprocess.Popen(
            [sys.executable, str(PROGRAM)],
            env={**os.environ, "JASMINEWIND_NODE_FILE": str(self.settings)},
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
        )
        self.exit_logger = exits.log_exit(
            self.child, name=self.name, path=self.log_path
        )
        self.may_exit = False

    def kill(self):
        """Kill the process and wait until its exit is logged."""
        self.send_signal(signal.SIGKILL)
        if self.exit_logger is not None:
            self.exit_logger.join(END_LIMIT_S)

    def is_running(self):
        """Tell whether the process exists, running or paused."""
        if self.child is None:
            return False
        status = self.child.poll()
        if status is not None and not self.may_exit:
            self.unexpected_exits.append(
                f"{self.name} ended by itself: {exits.describe(status)}"
            )
            self.may_exit = True
        return status is None

    def send_signal(self, number):
        """Send a signal to the process if it exists."""
        if self.is_running():
            self.may_exit |= number in (signal.SIGKILL, signal.SIGTERM)
            self.child.send_signal(number)

    def close(self):
        """Kill the process and close its log."""
        atexit.unregister(self.close)
        self.kill()
        self.log.close()


class Fleet:
    """Processes, their fake store and endpoints, and the proxies between."""

    def __init__(self, folder, *, entries=3, agents=6):
        self.reactor = reactors.reactor
        self.ports = ports.PortAllocator()
        self.folder = folder
        self.store = fake_platform.FakeStore(self.reactor)
        self.link_ports = {}
        self.proxies = {}
        self.store_views = {}
        self.machines = {}
        # Further machines of the agents, for other endpoints.
        self.spare_machines = {}
        self.instance_counts = collections.Counter()
        self.control_ports = {}
        self.processes = {}
        self.caller_ports = {}
        self.readiness_ports = {}
        self.listeners = []
        self.is_stopped = False
        # All instances of all endpoints, for the check on duplicate runs.
        self.endpoints = []
        self.evacuations = []
        self.entry_names = [f"entry-{i}" for i in range(entries)]
        self.agent_names = [f"agent-{i}" for i in range(agents)]

    # Start and end

    async def start(self):
        """Start all processes and wait until the entries are ready."""
        self.configure(1)
        for name in self.entry_names:
            await self.add_entry(name)
        for name in self.agent_names:
            await self.add_agent(name)
        for process in self.processes.values():
            process.start()
        self.send_heartbeats()
        await self.wait_ready()

    async def listen(self, root):
        """Serve a resource and return its port."""
        port = self.ports.take()
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor, port, interface=HOST, backlog=256
        )
        factory = server.Site(root)
        factory.noisy = False
        self.listeners.append(await endpoint.listen(factory))
        return port

    async def proxy(self, name, server_port, *, port=0, rewrite=(b"", b"")):
        """Start a proxy in front of a port; return the proxy's port."""
        port = port or self.ports.take()
        found = proxies.Proxy(self.reactor, port, server_port, rewrite=rewrite)
        self.proxies[name] = found
        await found.start()
        return port

    async def add_store_view(self, name):
        """Serve a store view for one process; return its address."""
        view = StoreView(self.reactor, self.store, self.link_ports)
        self.store_views[name] = view
        port = await self.proxy(f"{name}-store", await self.listen(view))
        return f"{HOST}:{port}"

    async def add_entry(self, name):
        """Set up an entry without starting it."""
        link_port, self.link_ports[name] = self.ports.take(), self.ports.take()
        address = (
            str(link_port).encode(),
            str(self.link_ports[name]).encode(),
        )
        await self.proxy(
            f"{name}-links",
            link_port,
            port=self.link_ports[name],
            rewrite=address,
        )
        callers, ready = self.ports.take(), self.ports.take()
        self.caller_ports[name] = await self.proxy(f"{name}-callers", callers)
        self.readiness_ports[name] = ready
        await self.add_process(
            "entry",
            name,
            link_port,
            callers=f"{HOST}:{callers}",
            readiness=f"{HOST}:{ready}",
        )

    async def add_agent(self, name):
        """Set up an agent without starting it, and its endpoint."""
        domain = DOMAINS[self.agent_names.index(name) % len(DOMAINS)]
        machine = Machine(self.reactor, name, domain=domain)
        spare = Machine(self.reactor, name, domain=domain)
        self.machines[name] = machine
        self.spare_machines[name] = spare
        self.start_endpoint(machine)
        port = await self.listen(machine)
        machine.port = await self.proxy(f"{name}-endpoint", port)
        spare.port = await self.listen(spare)
        self.control_ports[name] = self.ports.take()
        control = f"{HOST}:{self.control_ports[name]}"
        await self.add_process(
            "agent", name, self.ports.take(), control=control
        )

    async def add_process(self, role, name, link_port, **fields):
        """Create a process with its settings."""
        settings = {
            "role": role,
            "name": name,
            "region": "r",
            "failure_domain": "a",
            "host": HOST,
            "link_port": link_port,
            "store": await self.add_store_view(name),
            **fields,
        }
        self.processes[name] = Process(self.folder, settings)

    def stop(self):
        """Kill all processes and close all ports."""
        self.is_stopped = True
        for process in self.processes.values():
            process.close()
        for proxy in self.proxies.values():
            proxy.stop()
        for port in self.listeners:
            port.stopListening()

    # Configuration and heartbeats, as the platform sends them

    def configure(self, version):
        """Write the configuration with a version."""
        config = {**fake_platform.CONFIGURATION, "version": version}
        self.store.put("op", "config", json.dumps(config).encode())

    def evacuate(self, domain):
        """Write the row that evacuates a failure domain."""
        self.store.put("op", f"evacuate/{domain}", b"{}")
        if all(each.ended_s < math.inf for each in self.of_domain(domain)):
            began_s = self.reactor.seconds()
            self.evacuations.append(Evacuation(domain, began_s))

    def end_evacuation(self, domain):
        """Remove the row that evacuates a failure domain, if there is one."""
        for evacuation in self.of_domain(domain):
            evacuation.ended_s = min(
                evacuation.ended_s, self.reactor.seconds()
            )
        self.store.delete("op", f"evacuate/{domain}")

    def of_domain(self, domain):
        """Return the evacuations of a failure domain."""
        return [each for each in self.evacuations if each.domain == domain]

    def late_starts(self):
        """Return the starts in evacuated domains after the bound."""
        return [
            f"{at_s:.2f} {key} starts on {endpoint.record.name} of domain "
            f"{evacuation.domain}, evacuated at {evacuation.began_s:.2f}"
            for endpoint in self.endpoints
            for evacuation in self.of_domain(endpoint.record.failure_domain)
            for at_s, key in endpoint.starts
            if evacuation.began_s + EVACUATION_LIMIT_S
            < at_s
            < evacuation.ended_s
        ]

    def start_endpoint(self, machine, identifier=""):
        """Start a new instance of an endpoint, by default under a new name.

        The earlier one ends.
        """
        self.end_endpoint(machine)
        self.instance_counts[machine.agent] += 1
        machine.fake = Endpoint(
            identifier
            or f"i-{machine.agent}-{self.instance_counts[machine.agent]}",
            born_s=self.reactor.seconds(),
            domain=machine.domain,
        )
        machine.fake.peers = self.endpoints
        self.endpoints.append(machine.fake)
        machine.is_cut_off = False

    def end_endpoint(self, machine):
        """End the instance of an endpoint, and all that runs on it."""
        machine.fake.advance(self.reactor.seconds())
        machine.fake.is_down = True
        machine.fake.running.clear()
        machine.is_cut_off = True

    def send_heartbeats(self):
        """Send heartbeats of all endpoints periodically."""
        if self.is_stopped:
            return
        for machines in (self.machines, self.spare_machines):
            for name, machine in machines.items():
                self.announce(name, machine)
        self.reactor.callLater(HEARTBEAT_INTERVAL_S, self.send_heartbeats)

    def announce(self, name, machine):
        """Send a heartbeat of an endpoint to an agent if it sends any."""
        if machine.fake.announces():
            self.send(name, self.heartbeat(machine))

    def heartbeat(self, machine, **fields):
        """Return the next heartbeat of an endpoint."""
        found = machine.fake
        found.sequence += 1
        body = {
            **fake_platform.HEARTBEAT,
            "address": f"{HOST}:{machine.port}",
            "born": found.record.born_ms,
            "clock-ms": found.clock_ms(self.reactor.seconds()),
            "sequence": found.sequence,
            "zone": found.record.failure_domain,
            "state": "draining" if found.is_draining else "ready",
            **fields,
        }
        remaining_s = found.drain_remaining_s(self.reactor.seconds())
        if remaining_s is not None:
            body.setdefault("drain-remaining-ms", int(remaining_s * 1000))
        return Notice(
            "Heartbeat", found.record.name, json.dumps(body).encode()
        )

    def leave_notice(self, machine):
        """Return the notice of an endpoint that it leaves."""
        body = {"born": machine.fake.record.born_ms}
        return Notice(
            "Leave", machine.fake.record.name, json.dumps(body).encode()
        )

    def send(self, name, notice):
        """Send a notice to an agent."""
        client = self.client(self.control_ports[name])
        sending = client.send(
            b"POST",
            f"/-/Instances.{notice.method}/{notice.endpoint}",
            notice.body,
            timeout_s=1.0,
        )
        sending.addBoth(lambda _: client.close())

    def client(self, port):
        """Return an HTTP client of a local port."""
        return http.JsonClient(
            reactor=self.reactor, host=HOST, port=port, connections=1
        )

    def unexpected_exits(self):
        """Return the exits of processes that no signal ended."""
        for process in self.processes.values():
            process.is_running()
        return [
            text
            for process in self.processes.values()
            for text in process.unexpected_exits
        ]

    # Recovery

    def recover(self):
        """Clear all faults and restart all processes that have ended."""
        for proxy in self.proxies.values():
            proxy.clear_faults()
        for view in self.store_views.values():
            view.status = 200
            view.drops_answers = False
        for machine in self.machines.values():
            machine.fake.is_faulty = machine.fake.is_hanging = False
            machine.fake.is_silent = False
        for domain in DOMAINS:
            self.end_evacuation(domain)
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.start()

    async def wait_ready(self):
        """Wait until every entry reports that it is ready."""
        for name in self.entry_names:
            while not await self.is_ready(name):
                await reactors.sleep(0.05)

    async def is_ready(self, name):
        """Return the result of the readiness probe of an entry."""
        client = self.client(self.readiness_ports[name])
        found = await client.send(b"GET", "/-/readiness", timeout_s=1.0)
        await client.close()
        return found.is_ok() and found.unwrap().status == 200
