"""Command that runs the stand-ins configured in a settings file."""

import dataclasses
import pathlib
import sys
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import reactor as global_reactor
from twisted.internet import task

from _jasminewind.standins import announcer
from _jasminewind.standins import balancer
from _jasminewind.standins import minion
from _jasminewind.standins import server
from _jasminewind.standins import settings
from _jasminewind.standins import table
from _jasminewind.standins import worker

BUSY_POLL_S = 0.05
USAGE = "usage: python -m _jasminewind.standins.main SETTINGS.json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ports:
    """The TCP ports of one stand-in."""

    name: str
    port: int
    control_port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ready:
    """JSON line that the program prints once all ports are open."""

    event: str
    ports: tuple[Ports, ...]


class Process:
    """The stand-ins of one process and their announcers."""

    def __init__(
        self, *, reactor: typing.Any, process_settings: settings.Settings
    ) -> None:
        self.reactor = reactor
        self.process_settings = process_settings
        self.standins: list[server.StandIn] = []
        self.announcers: list[announcer.Announcer] = []

    def start(self) -> Ready:
        """Open all ports and announce the endpoints."""
        for spec in self.process_settings.standins:
            self.add(spec)
        return Ready(
            event="ready",
            ports=tuple(
                Ports(
                    name=standin.name,
                    port=standin.port,
                    control_port=standin.control_port,
                )
                for standin in self.standins
            ),
        )

    def add(
        self,
        spec: (
            settings.Table
            | settings.Worker
            | settings.Minion
            | settings.Balancer
        ),
    ) -> None:
        """Create a stand-in from its settings and open it."""
        match spec:
            case settings.Table():
                self.open(self.new_table(spec))
            case settings.Balancer():
                self.open(self.new_balancer(spec))
            case settings.Worker():
                self.open_endpoint(self.new_worker(spec), spec.agent_port)
            case settings.Minion():
                self.open_endpoint(self.new_minion(spec), spec.agent_port)

    def new_table(self, spec: settings.Table) -> table.TableStandIn:
        """Create a table from its settings."""
        return table.TableStandIn(
            reactor=self.reactor,
            name=spec.name,
            port=spec.port,
            control_port=spec.control_port,
            sync_s=spec.sync_s,
            writes_per_s=spec.writes_per_s,
            reads_per_s=spec.reads_per_s,
        )

    def new_balancer(
        self, spec: settings.Balancer
    ) -> balancer.BalancerStandIn:
        """Create a balancer from its settings."""
        return balancer.BalancerStandIn(
            reactor=self.reactor,
            name=spec.name,
            port=spec.port,
            control_port=spec.control_port,
            entries=spec.entries,
            health_path=spec.health_path,
            resend=spec.resend,
        )

    def new_worker(self, spec: settings.Worker) -> worker.WorkerStandIn:
        """Create a worker from its settings."""
        return worker.WorkerStandIn(
            reactor=self.reactor,
            name=spec.name,
            port=spec.port,
            control_port=spec.control_port,
            capacity=spec.capacity,
            speed=spec.speed,
            can_checkpoint=spec.can_checkpoint,
            usage_lag_s=spec.usage_lag_s,
        )

    def new_minion(self, spec: settings.Minion) -> minion.MinionStandIn:
        """Create a minion from its settings."""
        return minion.MinionStandIn(
            reactor=self.reactor,
            name=spec.name,
            port=spec.port,
            control_port=spec.control_port,
            service=spec.service,
            slots=spec.slots,
            max_connections=spec.connections,
            speed=spec.speed,
        )

    def open(self, standin: server.StandIn) -> None:
        """Open the ports of a stand-in."""
        standin.open()
        self.standins.append(standin)

    def open_endpoint(
        self,
        standin: worker.WorkerStandIn | minion.MinionStandIn,
        agent_port: int,
    ) -> None:
        """Open an endpoint and announce it to its agent, if it has one."""
        self.open(standin)
        if not agent_port:
            return
        endpoint_announcer = announcer.Announcer(
            reactor=self.reactor,
            standin=standin,
            announcement=standin.announcement(),
            agent_port=agent_port,
        )
        self.announcers.append(endpoint_announcer)
        endpoint_announcer.start()

    async def stop(self) -> None:
        """Leave, drain running tasks up to the time limit, and close."""
        await defer.gatherResults(
            [defer.ensureDeferred(item.leave()) for item in self.announcers]
        )
        deadline_s = (
            self.reactor.seconds() + self.process_settings.leave_limit_s
        )
        while self.is_busy() and self.reactor.seconds() < deadline_s:
            await task.deferLater(self.reactor, BUSY_POLL_S)
        for item in self.announcers:
            await item.close()
        for standin in self.standins:
            await standin.close()

    def is_busy(self) -> bool:
        """Tell whether any endpoint has unfinished tasks."""
        return any(
            standin.is_busy()
            for standin in self.standins
            if isinstance(
                standin, (worker.WorkerStandIn, minion.MinionStandIn)
            )
        )


def main(arguments: list[str]) -> int:
    """Run until SIGTERM or SIGINT; return the exit status."""
    if len(arguments) != 1:
        sys.stderr.write(USAGE + "\n")
        return 2
    loaded = settings.load(pathlib.Path(arguments[0]))
    if loaded.is_err():
        sys.stderr.write(loaded.unwrap_err() + "\n")
        return 2
    reactor: typing.Any = global_reactor
    process = Process(reactor=reactor, process_settings=loaded.unwrap())
    ready = process.start()
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: defer.ensureDeferred(process.stop())
    )
    sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
    sys.stdout.flush()
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
