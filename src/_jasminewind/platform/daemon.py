"""One process on the users' platform: an entry or an agent for jobs."""

import collections.abc
import os
import pathlib
import random
import signal
import sys
import typing

import structlog
from twisted.internet import defer
from twisted.internet import endpoints

from _jasminewind import clocks
from _jasminewind import job_settings
from _jasminewind import logs
from _jasminewind import members
from _jasminewind import prometheus_metrics
from _jasminewind import timers
from _jasminewind.decisions.jobs import registry
from _jasminewind.platform import bodies
from _jasminewind.platform import rows

# The platform names the settings file in this variable.
SETTINGS_VARIABLE = "JASMINEWIND_NODE_FILE"
EXIT_BAD_SETTINGS = 2
# Longest wait of one call for changes of the configuration. A silent
# connection is noticed 1 s later, within the 2 s that a change may take
# less the time to read it again.
CONFIGURATION_WAIT_S = 0.6
# The same for the list of processes, which is less urgent.
MEMBERS_WAIT_S = 5.0
IDLE_CHECK_PERIOD_S = 0.1
# Time for written answers to leave the process before it ends.
LAST_WRITES_S = 0.2
LISTEN_BACKLOG = 1024


class Daemon:
    """A role with its ports, from start to graceful shutdown."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        chosen: job_settings.JobSettings,
        on_end: collections.abc.Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.on_end = on_end
        self.settings = chosen
        self.timers = timers.TimerService(clock=reactor)
        self.log = structlog.get_logger("daemon")
        self.decision_log = logs.DecisionLog(timer_service=self.timers)
        wall_ms = self.timers.now().wall_ms
        self.member = members.Member(
            node=members.NodeId(chosen.name, wall_ms),
            address=members.Address(chosen.host, chosen.link_port),
            role=chosen.role,
            region=chosen.region,
            failure_domain=chosen.failure_domain,
            rack="",
        )
        store = job_settings.address(chosen.store)
        assert store is not None
        self.store = rows.RowStore(
            reactor=reactor, host=store.host, port=store.port
        )
        self.followers = [
            rows.Follower(
                store=self.store,
                table=registry.TABLE,
                wait_s=MEMBERS_WAIT_S,
                timer_service=self.timers,
                on_rows=self.take_members,
            )
        ]
        self.known: registry.KnownEndpoint | None = None
        self.meter = prometheus_metrics.PrometheusMeter()
        self.ports: list[typing.Any] = []
        self.sites: list[tuple[str, typing.Any]] = []
        self.leaving_since_s = 0.0
        self.is_stopped = False
        self.node: typing.Any = self.new_node()

    def new_node(self) -> typing.Any:
        """Return the node of the chosen role, with the sites to serve."""
        common: dict[str, typing.Any] = {
            "reactor": self.reactor,
            "timer_service": self.timers,
            "member": self.member,
            "decision_log": self.decision_log,
            "log": self.log,
            "meter": self.meter,
        }
        if self.settings.role is members.Role.ENTRY:
            return self.new_entry(common)
        return self.new_agent(common)

    # Each role imports only its own modules, because start-up time and
    # memory are scarce on the machines of agents.

    def new_entry(self, common: dict[str, typing.Any]) -> typing.Any:
        """Return an entry."""
        from _jasminewind.nodes import job_entry
        from _jasminewind.platform import ingress

        entry = job_entry.JobEntry(
            **common,
            rng=random.Random(str(self.member.node)),
            placement=self.settings.placement,
            shutdown_limit_s=self.settings.shutdown_limit_s,
        )
        callers = ingress.Ingress(entry)
        entry.answer_sink = callers
        self.sites = [
            (self.settings.callers, callers.site()),
            (self.settings.readiness, ingress.ready_site(entry)),
        ]
        self.followers.append(
            rows.Follower(
                store=self.store,
                table=bodies.CONFIGURATION_TABLE,
                wait_s=CONFIGURATION_WAIT_S,
                timer_service=self.timers,
                on_rows=self.take_configuration,
            )
        )
        return entry

    def new_agent(self, common: dict[str, typing.Any]) -> typing.Any:
        """Return an agent."""
        from _jasminewind.nodes import job_agent
        from _jasminewind.platform import control
        from _jasminewind.platform import machine

        agent = job_agent.JobAgent(
            **common,
            connect=lambda address: machine.Machine(
                reactor=self.reactor,
                timer_service=self.timers,
                address=address,
            ),
            on_endpoint=self.take_endpoint,
        )
        self.sites = [(self.settings.control, control.site(agent))]
        return agent

    # The store

    def take_members(self, found: rows.Rows) -> None:
        """Take the rows of the processes of the system."""
        self.node.set_members(found)

    def take_configuration(self, found: rows.Rows) -> None:
        """Take the configuration, unless it cannot be read."""
        value = found.get(bodies.CONFIGURATION_KEY)
        if value is None:
            return
        body = bodies.decode(value, bodies.ConfigBody)
        if body.is_err():
            self.log.error(
                "unreadable configuration; the last one stays in force",
                reason=body.unwrap_err().reason,
            )
            return
        self.node.set_configuration(body.unwrap().configuration())

    def take_endpoint(self, known: registry.KnownEndpoint) -> None:
        """Store what is known of the endpoint beside this agent."""
        self.known = known
        self.register()

    def register(self) -> None:
        """Write the row of this process, until the store has it."""
        registration = registry.Registration(
            role=self.settings.role,
            host=self.settings.host,
            port=self.settings.link_port,
            endpoint=self.known,
        )
        writing = defer.ensureDeferred(
            self.store.put(
                registry.TABLE,
                self.settings.name,
                registry.encode(registration),
            )
        )
        writing.addCallback(self.registered)

    def registered(self, outcome: typing.Any) -> None:
        """Try again when the row was not written for certain."""
        if outcome.is_err():
            self.log.warning(
                "not registered yet", reason=outcome.unwrap_err().reason
            )
            self.timers.after(rows.RETRY_S, lambda now: self.register())

    # Life of the process

    def start(self) -> None:
        """Open every port, and begin to follow the store."""
        self.keep(self.node.links.listen())
        for text, site in self.sites:
            address = job_settings.address(text)
            assert address is not None
            self.listen(address, site)
        if self.settings.metrics_port:
            self.listen(
                members.Address(
                    self.settings.host, self.settings.metrics_port
                ),
                prometheus_metrics.site(self.meter),
            )
        for follower in self.followers:
            follower.start()
        if self.settings.role is members.Role.ENTRY:
            # An agent registers with its endpoint, which the row of its
            # earlier process still names.
            self.register()
        self.log.info("started", role=self.settings.role.value)

    def listen(self, address: members.Address, site: typing.Any) -> None:
        """Serve ``site`` at an address of this machine."""
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor,
            address.port,
            backlog=LISTEN_BACKLOG,
            interface=address.host,
        )
        self.keep(endpoint.listen(site))

    def keep(self, listening: typing.Any) -> None:
        """Remember a port, or stop when it cannot be opened."""
        listening.addCallbacks(self.ports.append, self.cannot_listen)

    def cannot_listen(self, failure: typing.Any) -> None:
        """Stop: another process uses the port."""
        self.log.error(
            "cannot listen; check the addresses in the settings",
            reason=str(failure.value),
        )
        self.end()

    def on_terminate(self) -> None:
        """Begin a graceful shutdown."""
        if self.leaving_since_s:
            return
        self.leaving_since_s = self.timers.clock.seconds()
        self.log.info("leaving", limit_s=self.settings.shutdown_limit_s)
        self.node.begin_shutdown()
        self.timers.every(IDLE_CHECK_PERIOD_S, self.end_when_idle)

    def end_when_idle(self, now: typing.Any) -> None:
        """End once nothing would be cut short, or at the time limit."""
        passed_s = now.mono_s - self.leaving_since_s
        if self.node.is_idle() or passed_s > self.settings.shutdown_limit_s:
            self.end()

    def on_reload(self) -> None:
        """Check the settings again; a change takes effect at a restart."""
        read = load()
        if read.is_err():
            self.log.error("settings not valid", reason=str(read.unwrap_err()))
        elif read.unwrap() != self.settings:
            self.log.info("settings changed; restart to use them")
        else:
            self.log.info("settings unchanged")

    def end(self) -> None:
        """Close every socket and end the process."""
        if self.is_stopped:
            return
        self.is_stopped = True
        self.node.stop()
        for follower in self.followers:
            follower.stop()
        for port in self.ports:
            port.stopListening()
        self.decision_log.close()
        self.log.info("stopped")
        self.reactor.callLater(LAST_WRITES_S, self.on_end)


def load() -> job_settings.LoadResult:
    """Return the settings that the platform has placed."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    return job_settings.parse(path.read_bytes())


def main() -> None:
    """Run a process until it is told to leave."""
    read = load()
    if read.is_err():
        print(read.unwrap_err(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    chosen = read.unwrap()
    logs.configure(
        level=chosen.log_level,
        node=chosen.name,
        stream=typing.cast(
            typing.TextIO,
            logs.RateLimitedStream(
                descriptor=sys.stdout.fileno(),
                lines_per_s=chosen.log_lines_per_s,
                seconds=clocks.boottime_s,
            ),
        ),
    )

    from twisted.internet import reactor as installed

    reactor = typing.cast(typing.Any, installed)
    clocks.use_boottime_clock(reactor)
    daemon = Daemon(reactor=reactor, chosen=chosen, on_end=reactor.stop)
    for number, handler in (
        (signal.SIGTERM, daemon.on_terminate),
        (signal.SIGINT, daemon.on_terminate),
        (signal.SIGHUP, daemon.on_reload),
    ):
        signal.signal(number, deferred_to(reactor, handler))
    reactor.callWhenRunning(daemon.start)
    reactor.run(installSignalHandlers=False)


def deferred_to(reactor: typing.Any, handler: typing.Any) -> typing.Any:
    """Return a signal handler that runs ``handler`` in the reactor."""
    return lambda number, frame: reactor.callFromThread(handler)
