"""Starts and controls a fleet of processes, one settings file each."""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import typing
import urllib.error
import urllib.request

import msgspec

from _jasminewind import settings
from _jasminewind.experiment import exits
from _jasminewind.experiment import layout as layouts
from _jasminewind.standins import settings as standin_settings

DAEMON_MODULE = "_jasminewind.nodes.daemon"
STANDINS_MODULE = "_jasminewind.standins.main"
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0


class FleetError(Exception):
    """A fleet did not become ready."""


class Fleet:
    """Running processes of one layout, by name."""

    def __init__(
        self, layout: layouts.Layout, *, folder: pathlib.Path
    ) -> None:
        self.layout = layout
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.exit_loggers: list[threading.Thread] = []

    def start(self) -> None:
        """Start the stand-ins, the entries and the agents."""
        self.start_standins()
        for daemon_settings in (*self.layout.entries, *self.layout.agents):
            self.start_daemon(daemon_settings)

    def start_standins(self) -> None:
        """Start the simulated table, balancer, minions and workers."""
        self.start_standin("platform", (self.layout.table,))
        self.start_standin("balancer", (self.layout.balancer,))
        self.start_standin("minions", self.layout.minions)
        self.start_standin("workers", self.layout.workers)

    def start_standin(
        self, name: str, standins: tuple[typing.Any, ...]
    ) -> None:
        """Start one process that runs all of ``standins``."""
        content = standin_settings.Settings(standins=standins)
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(content))
        self.spawn(name, STANDINS_MODULE, path)

    def start_daemon(self, daemon_settings: settings.Settings) -> None:
        """Start an entry or an agent from its own settings file."""
        path = self.folder / f"{daemon_settings.name}.json"
        path.write_bytes(msgspec.json.encode(daemon_settings))
        self.spawn(daemon_settings.name, DAEMON_MODULE, path)

    def spawn(self, name: str, module: str, path: pathlib.Path) -> None:
        """Start a process that appends its output to ``NAME.log``.

        Its exit is logged there too.
        """
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, str(path)],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env=environment(),
            )
        self.exit_loggers.append(
            exits.log_exit(self.processes[name], name=name, path=log)
        )

    def settings_of(self, name: str) -> settings.Settings:
        """Return the settings of an entry or an agent."""
        daemons = (*self.layout.entries, *self.layout.agents)
        return next(each for each in daemons if each.name == name)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Shut a process down with SIGTERM; return its exit status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def restart(self, name: str) -> None:
        """Start an entry or an agent again at the same address."""
        self.start_daemon(self.settings_of(name))

    def stop(self) -> None:
        """Kill every process of the fleet."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        for logger in self.exit_loggers:
            logger.join()
        self.processes.clear()
        self.exit_loggers.clear()

    def agent_status(self, name: str) -> dict[str, typing.Any]:
        """Return the status of an agent from its local port."""
        agent = self.settings_of(name)
        url = f"http://{agent.host}:{agent.local_port}/v1/status"
        return get(url)

    def wait_ready(self, *, limit_s: float = START_TIMEOUT_S) -> None:
        """Wait until every process is ready and every shard has an owner."""
        deadline_s = time.monotonic() + limit_s
        pending_urls = self.ready_urls()
        while pending_urls:
            pending_urls = [url for url in pending_urls if not is_ok(url)]
            if not pending_urls:
                break
            if time.monotonic() > deadline_s:
                raise FleetError(
                    f"processes not ready after {limit_s} s: {pending_urls}"
                )
            time.sleep(POLL_INTERVAL_S)
        self.wait_shards_owned(deadline_s)

    def ready_urls(self) -> list[str]:
        """Return the readiness URL of every running entry and agent."""
        urls = [
            f"http://{e.host}:{e.api_port}/readyz"
            for e in self.layout.entries
            if e.name in self.processes
        ]
        urls += [
            f"http://{a.host}:{a.local_port}/readyz"
            for a in self.layout.agents
            if a.name in self.processes
        ]
        return urls

    def wait_shards_owned(self, deadline_s: float) -> None:
        """Wait until each running entry knows an owner of every shard."""
        for index in range(len(self.layout.entries)):
            if self.layout.entries[index].name not in self.processes:
                continue
            while not self.is_owned(index):
                if time.monotonic() > deadline_s:
                    raise FleetError("shards without an owner at an entry")
                time.sleep(POLL_INTERVAL_S)

    def is_owned(self, index: int) -> bool:
        """Tell whether an entry knows the owner of every shard."""
        status = self.entry_status(index)
        return status.get("shardsOwned", 0) == status.get("shardCount", -1)

    def entry_status(self, index: int) -> dict[str, typing.Any]:
        """Return the status of an entry."""
        return call(
            self.layout.entry_url(index),
            "jasminewind.v1.OperationsService/GetStatus",
            {},
        ).body


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Status and JSON body of a response."""

    status: int
    body: dict[str, typing.Any]


def environment() -> dict[str, str]:
    """Return the environment with this source tree on PYTHONPATH."""
    variables = dict(os.environ)
    source_folder = pathlib.Path(__file__).resolve().parents[2]
    variables["PYTHONPATH"] = str(source_folder)
    return variables


def get(url: str) -> dict[str, typing.Any]:
    """Return the JSON at ``url``."""
    with urllib.request.urlopen(url, timeout=5) as response:
        return json.load(response)


def is_ok(url: str) -> bool:
    """Tell whether a GET of ``url`` succeeds."""
    try:
        with urllib.request.urlopen(url, timeout=2):
            return True
    except OSError:
        return False


def call(
    base: str,
    method: str,
    body: dict[str, typing.Any],
    *,
    timeout_s: float = 60.0,
) -> Reply:
    """Make a unary Connect call and return its response."""
    request = urllib.request.Request(
        f"{base}/{method}",
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return Reply(status=response.status, body=json.load(response))
    except urllib.error.HTTPError as e:
        return Reply(status=e.code, body=json.load(e))
