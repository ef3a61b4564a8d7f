"""Process on the users' platform: runs an entry or an agent for jobs."""

import collections.abc
import gc
import os
import pathlib
import random
import signal
import sys
import typing

import result
import structlog
from twisted import logger as twisted_logger
from twisted.internet import defer
from twisted.internet import endpoints

from _jasminewind import clocks
from _jasminewind import job_settings
from _jasminewind import logs
from _jasminewind import members
from _jasminewind import prometheus_metrics
from _jasminewind import settings as settings_schema
from _jasminewind import timers
from _jasminewind.decisions.jobs import registry
from _jasminewind.platform import bodies
from _jasminewind.platform import client_guard
from _jasminewind.platform import evacuation_rows
from _jasminewind.platform import http_server
from _jasminewind import odd_input
from _jasminewind import process_start
from _jasminewind.platform import rows
from _jasminewind.platform import status_pages

# The platform sets this variable to the path of the settings file.
SETTINGS_ENV = "JASMINEWIND_NODE_FILE"
EXIT_BAD_SETTINGS = 2
# Duration of a long poll for configuration changes. A silent connection
# is detected 1 s later, which leaves time to read the change again within
# the 2 s that it may take.
CONFIGURATION_LONG_POLL_S = 0.6
# Changes of the member list are less urgent.
MEMBERS_LONG_POLL_S = 5.0
IDLE_CHECK_PERIOD_S = 0.1
# Objects that are allocated between two collections of the youngest
# generation. Messages and requests leave few reference cycles.
GC_THRESHOLD_OBJECTS = 20_000
CLIENTS_RECORD_PERIOD_S = 1.0
# Time in which written responses are sent before the process exits.
FLUSH_DELAY_S = 0.2
LISTEN_BACKLOG = 1024
MAX_LOGGED_CHARS = 1_000


class Daemon:
    """Runs the node of a role and its ports until a graceful shutdown."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        settings: job_settings.JobSettings,
        on_stopped: collections.abc.Callable[[], None],
        log_stream: logs.RateLimitedStream | None = None,
        started_s: float | None = None,
    ) -> None:
        """Create the node; the process began at ``started_s``, or now.

        No earlier process of the node was alive then.
        """
        self.reactor = reactor
        self.on_stopped = on_stopped
        self.settings = settings
        self.started_s = started_s
        self.timers = timers.TimerService(clock=reactor)
        self.log = structlog.get_logger("daemon")
        self.decision_log = logs.DecisionLog(
            timer_service=self.timers, stream=log_stream
        )
        wall_ms = self.timers.now().wall_ms
        self.member = members.Member(
            node=members.NodeId(settings.name, wall_ms),
            address=members.Address(settings.host, settings.link_port),
            role=settings.role,
            region=settings.region,
            failure_domain=settings.failure_domain,
            rack="",
        )
        self.meter = prometheus_metrics.PrometheusMeter()
        self.odd_input = odd_input.OddInput(self.meter)
        self.guard = client_guard.new_guard(
            settings, self.meter, now_s=reactor.seconds
        )
        store = job_settings.address(settings.store)
        assert store is not None
        self.store = rows.RowStore(
            reactor=reactor,
            host=store.host,
            port=store.port,
            odd=self.odd_input,
        )
        is_entry = settings.role is members.Role.ENTRY
        self.registration = rows.RowWriter(
            store=self.store,
            table=registry.TABLE if is_entry else registry.AGENT_TABLE,
            key=settings.name,
            timer_service=self.timers,
            on_exists=self.on_registered,
        )
        self.watchers = [
            rows.TableWatcher(
                store=self.store,
                table=registry.TABLE,
                wait_s=MEMBERS_LONG_POLL_S,
                timer_service=self.timers,
                on_rows=self.on_member_rows,
            )
        ]
        self.known_endpoint: registry.KnownEndpoint | None = None
        self.ports: list[typing.Any] = []
        self.sites: list[tuple[str, typing.Any]] = []
        self.shutdown_started_s = 0.0
        self.is_stopped = False
        self.node: typing.Any = self.new_node()

    def new_node(self) -> typing.Any:
        """Return the node of the configured role; set the sites to serve."""
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

    # Each role imports only its own modules: start-up time and memory are
    # scarce on the machines of agents.

    def new_entry(self, common: dict[str, typing.Any]) -> typing.Any:
        """Return an entry with its HTTP APIs."""
        from _jasminewind.nodes import job_entry
        from _jasminewind.platform import ingress

        entry = job_entry.JobEntry(
            **common,
            rng=random.Random(str(self.member.node)),
            placement=self.settings.placement,
            admission=self.settings.admission,
            remote_slowdown=self.settings.remote_slowdown,
            placement_wait=self.settings.placement_wait.value,
            shutdown_limit_s=self.settings.shutdown_limit_s,
        )
        callers = ingress.Ingress(entry)
        entry.answer_sink = callers
        self.sites = [
            (self.settings.callers, callers.site(self.guard)),
            (
                self.settings.readiness,
                self.new_site("readiness", status_pages.Readiness(entry)),
            ),
        ]
        self.operators_rows = rows.TableWatcher(
            store=self.store,
            table=bodies.CONFIGURATION_TABLE,
            wait_s=CONFIGURATION_LONG_POLL_S,
            timer_service=self.timers,
            on_rows=self.on_configuration_rows,
        )
        self.watchers.append(self.operators_rows)
        return entry

    def new_agent(self, common: dict[str, typing.Any]) -> typing.Any:
        """Return an agent with its control port."""
        from _jasminewind.nodes import job_agent
        from _jasminewind.platform import control
        from _jasminewind.platform import machine

        agent = job_agent.JobAgent(
            **common,
            connect=lambda address: machine.MachineClient(
                reactor=self.reactor,
                timer_service=self.timers,
                address=address,
                odd=self.odd_input,
            ),
            on_endpoint=self.on_endpoint_changed,
            read_services=self.read_services,
            early_moves=self.settings.early_moves,
            started_s=self.started_s,
        )
        self.sites = [
            (
                self.settings.control,
                self.new_site(
                    "control", control.Control(agent, self.odd_input)
                ),
            )
        ]
        return agent

    def new_site(
        self, port: str, handler: http_server.Handler
    ) -> http_server.Site:
        """Return the server of a port that is not for callers."""
        return http_server.Site(handler, guard=self.guard, port=port)

    # The store

    def on_member_rows(self, table_rows: rows.Rows) -> None:
        """Pass the registrations of all processes to the node."""
        self.node.set_members(table_rows)

    def recall_registration(self) -> None:
        """Read what the previous process of this agent registered."""
        reading = defer.ensureDeferred(
            self.store.read_row(registry.AGENT_TABLE, self.settings.name)
        )
        reading.addCallback(self.on_registration_read)
        reading.addErrback(self.node.report_failure)

    def on_registered(self, is_new: bool) -> None:
        """Tell an agent that it is registered, or was before."""
        if self.settings.role is members.Role.AGENT:
            self.node.on_registered(is_first=is_new)

    def on_registration_read(self, outcome: typing.Any) -> None:
        """Restore the agent, or read again after a failure."""
        if outcome.is_ok():
            row = outcome.unwrap()
            if row is not None:
                self.node.restore(row)
        elif self.known_endpoint is None and not self.is_stopped:
            self.timers.after(
                rows.RETRY_DELAY_S, lambda now: self.recall_registration()
            )

    def on_configuration_rows(self, table_rows: rows.Rows) -> None:
        """Apply evacuations and a new configuration.

        The last configuration is kept if the new one is invalid.
        """
        listed = evacuation_rows.read(table_rows)
        for name, reason in listed.mistakes:
            self.odd_input.report("evacuation", name, reason)
        self.node.read_evacuations(self.operators_rows.version, listed.domains)
        value = table_rows.get(bodies.CONFIGURATION_KEY)
        if value is None:
            return
        read = bodies.read_configuration(value)
        if read.is_err():
            self.odd_input.report(
                "configuration",
                "the last one stays in force",
                read.unwrap_err().reason,
            )
            return
        configuration, mistakes = read.unwrap()
        for mistake in mistakes:
            name = f"version {configuration.version}"
            self.odd_input.report("configuration", name, mistake)
        self.node.set_configuration(configuration)

    async def read_services(self) -> frozenset[str] | None:
        """Return the configured services, ``None`` if not readable.

        An agent needs no more of the configuration, and this only when its
        endpoint is new, so it does not watch the table.
        """
        row = await self.store.read_row(
            bodies.CONFIGURATION_TABLE, bodies.CONFIGURATION_KEY
        )
        body = row.and_then(
            lambda value: bodies.decode_with_rows(
                value or b"", bodies.ServicesBody
            )
        )
        if body.is_err():
            self.log.warning(
                "services not read; endpoints of any service are used",
                reason=str(body.unwrap_err()),
            )
            return None
        return body.unwrap().names()

    def on_endpoint_changed(
        self, known: registry.KnownEndpoint | None
    ) -> None:
        """Register what the agent knows of its endpoint."""
        self.known_endpoint = known
        self.register()

    def register(self) -> None:
        """Write the registration of this process."""
        registration = registry.Registration(
            role=self.settings.role,
            host=self.settings.host,
            port=self.settings.link_port,
            endpoint=self.known_endpoint,
            started_ms=self.member.node.incarnation,
        )
        self.registration.set(registry.encode(registration))

    # Start and shutdown

    def start(self) -> None:
        """Open every port and start watching the store."""
        self.add_port(self.node.links.listen())
        for text, site in self.sites:
            address = job_settings.address(text)
            assert address is not None
            self.listen(address, site)
        if self.settings.metrics_port:
            self.listen(
                members.Address(
                    self.settings.host, self.settings.metrics_port
                ),
                self.new_site("metrics", status_pages.Metrics(self.meter)),
            )
        for watcher in self.watchers:
            watcher.start()
        self.timers.every(
            CLIENTS_RECORD_PERIOD_S, lambda now: self.guard.record()
        )
        if self.settings.role is members.Role.ENTRY:
            # An agent registers once it knows its endpoint. Until then the
            # row of its previous process still names that endpoint.
            self.register()
        else:
            self.recall_registration()
        self.log.info("started", role=self.settings.role.value)

    def listen(self, address: members.Address, site: typing.Any) -> None:
        """Serve ``site`` at an address of this machine."""
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor,
            address.port,
            backlog=LISTEN_BACKLOG,
            interface=address.host,
        )
        self.add_port(endpoint.listen(site))

    def add_port(self, listening: typing.Any) -> None:
        """Add a port once it is open; stop if it cannot be opened."""
        listening.addCallbacks(self.ports.append, self.on_listen_failed)

    def on_listen_failed(self, failure: typing.Any) -> None:
        """Stop, as another process uses the port."""
        self.log.error(
            "cannot listen; check the addresses in the settings",
            reason=str(failure.value),
        )
        self.stop()

    def on_terminate(self) -> None:
        """Begin a graceful shutdown."""
        if self.shutdown_started_s:
            return
        self.shutdown_started_s = self.timers.clock.seconds()
        self.log.info("leaving", limit_s=self.settings.shutdown_limit_s)
        self.node.begin_shutdown()
        self.timers.every(IDLE_CHECK_PERIOD_S, self.stop_when_idle)

    def stop_when_idle(self, now: typing.Any) -> None:
        """Stop once no work is in progress, or at the time limit."""
        elapsed_s = now.mono_s - self.shutdown_started_s
        if self.node.is_idle() or elapsed_s > self.settings.shutdown_limit_s:
            self.stop()

    def on_reload(self) -> None:
        """Validate the settings file; changes take effect at a restart."""
        loaded = load_settings()
        if loaded.is_err():
            self.log.error(
                "settings not valid", reason=str(loaded.unwrap_err())
            )
        elif loaded.unwrap() != self.settings:
            self.log.info("settings changed; restart to use them")
        else:
            self.log.info("settings unchanged")

    def stop(self) -> None:
        """Close all ports and links, then end the process."""
        if self.is_stopped:
            return
        self.is_stopped = True
        self.node.stop()
        self.registration.stop()
        for watcher in self.watchers:
            watcher.stop()
        for port in self.ports:
            port.stopListening()
        self.decision_log.close()
        self.log.info("stopped")
        self.reactor.callLater(FLUSH_DELAY_S, self.on_stopped)


def load_settings() -> job_settings.LoadResult:
    """Return the settings from the platform's file and the environment."""
    path = os.environ.get(SETTINGS_ENV)
    if not path:
        mistake = settings_schema.Mistake(
            path=SETTINGS_ENV, reason="is not set; it names the settings file"
        )
        return result.Err(settings_schema.SettingsError(mistakes=(mistake,)))
    return settings_schema.read(pathlib.Path(path)).and_then(
        lambda text: job_settings.parse(
            job_settings.with_environment(text, os.environ)
        )
    )


def main() -> None:
    """Run the process until it is told to terminate."""
    loaded = load_settings()
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = loaded.unwrap()
    log_stream = logs.RateLimitedStream(
        descriptor=sys.stdout.fileno(),
        lines_per_s=settings.log_lines_per_s,
        seconds=clocks.boottime_s,
    )
    logs.configure(
        level=settings.log_level,
        node=settings.name,
        stream=typing.cast(typing.TextIO, log_stream),
    )

    try:
        run(settings, log_stream)
    except Exception:
        log_stream.allow_line()
        structlog.get_logger("daemon").critical(
            "ended by an unhandled error", exc_info=True
        )
        raise


def run(
    settings: job_settings.JobSettings, log_stream: logs.RateLimitedStream
) -> None:
    """Run the daemon in the reactor."""
    from twisted.internet import reactor as installed

    # Until logging begins, twisted keeps up to 65,536 events in memory.
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [typing.cast(typing.Any, log_twisted_event)],
        redirectStandardIO=False,
        discardBuffer=True,
    )
    reactor = typing.cast(typing.Any, installed)
    clocks.use_boottime_clock(reactor)
    daemon = Daemon(
        reactor=reactor,
        settings=settings,
        on_stopped=reactor.stop,
        log_stream=log_stream,
        started_s=process_start.STARTED_S,
    )
    for number, handler in (
        (signal.SIGTERM, daemon.on_terminate),
        (signal.SIGINT, daemon.on_terminate),
        (signal.SIGHUP, daemon.on_reload),
    ):
        signal.signal(number, run_in_reactor(reactor, handler))
    reactor.callWhenRunning(daemon.start)
    reactor.callWhenRunning(enable_garbage_collection)
    reactor.run(installSignalHandlers=False)


def log_twisted_event(event: dict[str, typing.Any]) -> None:
    """Log what twisted reports as critical, such as unhandled errors."""
    if event.get("log_level") is not twisted_logger.LogLevel.critical:
        return
    failure = event.get("log_failure")
    structlog.get_logger("twisted").error(
        "unexpected exception; please report it",
        reason=twisted_logger.formatEvent(event)[:MAX_LOGGED_CHARS],
        traceback="" if failure is None else failure.getTraceback(),
    )


def enable_garbage_collection() -> None:
    """Collect garbage among the objects that are created from now on.

    Modules, classes and the daemon itself stay until the process ends.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    gc.enable()


def run_in_reactor(reactor: typing.Any, handler: typing.Any) -> typing.Any:
    """Return a signal handler that calls ``handler`` in the reactor."""
    return lambda number, frame: reactor.callFromThread(handler)
