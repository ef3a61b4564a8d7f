"""The daemon ``jasminewindd``: runs an entry or an agent."""

import pathlib
import random
import signal
import sys
import time
import typing

import structlog
from twisted.internet import endpoints

from _jasminewind import logs
from _jasminewind import members
from _jasminewind import metrics
from _jasminewind import settings as settings_module
from _jasminewind import timers
from _jasminewind.nodes import agent as agents
from _jasminewind.nodes import local_http
from _jasminewind.platform import tables

EXIT_BAD_SETTINGS = 2
IDLE_CHECK_PERIOD_S = 0.1
# An entry stays reachable this long after shutdown begins, so that the load
# balancer's health check removes it before its port closes.
BALANCER_GRACE_S = 3.0
USAGE = "usage: jasminewindd SETTINGS.json"


class Process:
    """Runs the node of one role, from start to graceful shutdown."""

    def __init__(
        self, *, reactor: typing.Any, settings: settings_module.Settings
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.timers = timers.TimerService(clock=reactor)
        self.log = structlog.get_logger("daemon")
        self.decision_log = logs.DecisionLog(
            timer_service=self.timers, share=settings.decision_log_share
        )
        self.member = member_from_settings(settings, wall_ms=wall_ms())
        # Seeded by the process identity, so that a restarted process draws
        # different numbers.
        self.rng = random.Random(str(self.member.node))
        self.table = tables.HttpTable(
            reactor=reactor, host=settings.table.host, port=settings.table.port
        )
        self.meter = metrics.from_settings(settings)
        self.ports: list[typing.Any] = []
        self.is_leaving = False
        self.is_stopped = False
        self.shutdown_start_s = 0.0
        self.node = self.new_node()

    def new_node(self) -> typing.Any:
        """Create the node of the configured role."""
        if self.settings.role is members.Role.ENTRY:
            # Agents never import the API: its libraries take most of the
            # memory that a node may use.
            from _jasminewind.nodes import entry

            return entry.Entry.from_settings(
                self.settings, **self.common_options()
            )
        return agents.Agent.from_settings(
            self.settings, **self.common_options()
        )

    def common_options(self) -> dict[str, typing.Any]:
        """Return the arguments that both roles take."""
        return {
            "reactor": self.reactor,
            "timer_service": self.timers,
            "member": self.member,
            "table": self.table,
            "decision_log": self.decision_log,
            "log": self.log,
            "meter": self.meter,
            "rng": self.rng,
        }

    def start(self) -> None:
        """Open every port."""
        self.track_port(self.node.links.listen())
        if self.settings.role is members.Role.ENTRY:
            from _jasminewind.api import server

            api = server.ApiServer(
                backend=self.node, clock=self.reactor, rng=self.rng
            )
            site = api.site(reactor=self.reactor)
            site.resource = local_http.StatusOverlay(
                api=site.resource, read=self.node.status
            )
            self.listen(self.settings.api_port, site)
        else:
            self.listen(
                self.settings.local_port,
                local_http.site(
                    on_announcement=self.node.on_announcement,
                    on_leave=self.node.on_endpoint_leave,
                    unready_reason=self.node.unready_reason,
                    status=self.node.status,
                ),
            )
        self.log.info("started", role=self.settings.role.value)

    def listen(self, port: int, factory: typing.Any) -> None:
        """Listen on a port of this process."""
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor, port, backlog=1024, interface=self.settings.host
        )
        self.track_port(endpoint.listen(factory))

    def track_port(self, listening: typing.Any) -> None:
        """Remember a listening port; stop if it cannot be opened."""
        listening.addCallbacks(self.ports.append, self.on_listen_failed)

    def on_listen_failed(self, failure: typing.Any) -> None:
        """Stop, because another process uses a port."""
        self.log.error(
            "cannot listen; check host and ports in the settings",
            reason=str(failure.value),
        )
        self.stop()

    def on_signal(self) -> None:
        """Begin a graceful shutdown; a second signal stops at once."""
        if self.is_leaving:
            self.log.warning("second signal; stopping with work running")
            self.stop()
            self.end_reactor()
            return
        self.is_leaving = True
        self.shutdown_start_s = self.reactor.seconds()
        self.log.info(
            "leaving", shutdown_limit_s=self.settings.shutdown_limit_s
        )
        self.node.begin_shutdown()
        self.timers.every(IDLE_CHECK_PERIOD_S, self.stop_when_idle)

    def stop_when_idle(self, now: typing.Any) -> None:
        """Stop once the node is idle, or at the shutdown limit."""
        passed_s = now.mono_s - self.shutdown_start_s
        if passed_s > self.settings.shutdown_limit_s:
            self.log.warning("shutdown limit passed with work running")
            self.stop()
        elif self.node.is_idle() and passed_s >= self.min_shutdown_s():
            self.stop()

    def min_shutdown_s(self) -> float:
        """Return the minimum time to stay reachable during shutdown."""
        if self.settings.role is members.Role.ENTRY:
            return BALANCER_GRACE_S
        return 0.0

    def stop(self) -> None:
        """Close every socket and stop the reactor."""
        if not self.reactor.running:
            self.reactor.callWhenRunning(self.stop)
            return
        if self.is_stopped:
            return
        self.is_stopped = True
        self.node.stop()
        self.decision_log.close()
        for port in self.ports:
            port.stopListening()
        self.log.info("stopped")
        # Gives messages already written time to be sent.
        self.reactor.callLater(0.2, self.end_reactor)

    def end_reactor(self) -> None:
        """Stop the reactor if it is running."""
        if self.reactor.running:
            self.reactor.stop()


def member_from_settings(
    settings: settings_module.Settings, *, wall_ms: int
) -> members.Member:
    """Return the member record that a process announces at start."""
    return members.Member(
        node=members.NodeId(settings.name, wall_ms),
        address=members.Address(settings.host, settings.port),
        role=settings.role,
        region=settings.region,
        failure_domain=settings.failure_domain,
        rack=settings.rack,
    )


def wall_ms() -> int:
    """Return the wall clock in Unix milliseconds."""
    return time.time_ns() // 1_000_000


def main() -> None:
    """Run a process until it is told to shut down."""
    if len(sys.argv) != 2 or sys.argv[1] in ("-h", "--help"):
        print(USAGE, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    read = settings_module.load(pathlib.Path(sys.argv[1]))
    if read.is_err():
        print(read.unwrap_err(), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = read.unwrap()
    logs.configure(level=settings.log_level, node=settings.name)

    from twisted.internet import reactor as installed

    reactor = typing.cast(typing.Any, installed)
    process = Process(reactor=reactor, settings=settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            number,
            lambda _number, _frame: reactor.callFromThread(process.on_signal),
        )
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    # The final export may block, so it runs after the sockets are closed.
    process.meter.close()


if __name__ == "__main__":
    main()
