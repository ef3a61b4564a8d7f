"""A deployment of real processes with fault injection and recovery."""

import collections
import dataclasses
import json
import pathlib
import time
import typing
import urllib.error
import urllib.request

from _jasminewind import shards
from _jasminewind.decisions import rows
from _jasminewind.experiment import deployments
from _jasminewind.experiment import fleets
from _jasminewind.experiment import layout as layouts
from _jasminewind.experiment import ports
from _jasminewind.platform import protocol

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
SMALL = dataclasses.replace(
    deployments.KARRI_CREEK, minions=3, workers=3, workers_per_rack=1
)
SHARDS = 8
# Only stops a test that hangs; no result is checked against it.
WAIT_LIMIT_S = 60.0
POLL_S = 0.05


class System(fleets.Fleet):
    """A fleet with fault injection in stand-ins and process recovery."""

    def recover(self) -> None:
        """Clear all faults, restart missing processes, wait until healthy."""
        for name in self.endpoint_names() + self.platform_names():
            self.set_faults(name)
        for process in self.processes.values():
            process.send_signal(fleets.signal.SIGCONT)
        for name in self.daemon_names():
            if name not in self.processes:
                self.restart(name)
        self.wait_ready()
        self.wait(
            self.is_healthy, "every agent to serve and be known to the entries"
        )

    def is_healthy(self) -> bool:
        """Tell whether all agents serve and each ready entry counts them."""
        expected = len(self.agent_names())
        for index in range(len(self.layout.entries)):
            status = self.entry_status(index)
            if status.get("agents") != expected or not status.get("ready"):
                return False
        try:
            states = [
                self.agent_status(n)["state"] for n in self.agent_names()
            ]
        except urllib.error.URLError:
            # A restarted process does not listen yet, while the entries
            # still count its predecessor.
            return False
        return set(states) == {"serving"}

    def wait(self, condition: typing.Callable[[], bool], what: str) -> None:
        """Wait until ``condition()`` is true."""
        deadline_s = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise fleets.FleetError(f"waited {WAIT_LIMIT_S} s for: {what}")
            time.sleep(POLL_S)

    # Names.

    def agent_names(self, kind: str = "") -> list[str]:
        """Return the names of the agents of one kind of endpoint, or all."""
        names = [agent.name for agent in self.layout.agents]
        return [name for name in names if f"-{kind}" in name]

    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        return [entry.name for entry in self.layout.entries]

    def daemon_names(self) -> list[str]:
        """Return the names of entries and agents."""
        return self.entry_names() + self.agent_names()

    def endpoint_names(self) -> list[str]:
        """Return the names of minions and workers."""
        return [
            standin.name
            for standin in (*self.layout.minions, *self.layout.workers)
        ]

    def platform_names(self) -> list[str]:
        """Return the names of the table and the balancer."""
        return [self.layout.table.name, self.layout.balancer.name]

    # Stand-ins.

    def set_faults(self, standin: str, **faults: typing.Any) -> None:
        """Replace the active faults of a stand-in by ``faults``."""
        request = urllib.request.Request(
            f"{self.layout.control_url(standin)}/v1/faults",
            data=json.dumps(faults).encode(),
        )
        with urllib.request.urlopen(request, timeout=WAIT_LIMIT_S):
            pass

    def set_table_faults(self, **faults: typing.Any) -> None:
        """Replace the active faults of the table by ``faults``."""
        self.set_faults(self.layout.table.name, **faults)

    def starts(self) -> list[dict[str, typing.Any]]:
        """Return the task starts of all endpoints."""
        found: list[dict[str, typing.Any]] = []
        for name in self.endpoint_names():
            url = f"{self.layout.control_url(name)}/v1/starts"
            found += fleets.get(url)["starts"]
        return found

    def count_starts(self, work_id: str) -> int:
        """Return the number of task starts of a submission."""
        return self.start_counts()[work_id]

    def start_counts(self) -> collections.Counter[str]:
        """Return the number of task starts by submission id."""
        return collections.Counter(
            start["key"]["work_id"] for start in self.starts()
        )

    # Ownership.

    def shard_rows(self) -> list[shards.ShardRow]:
        """Read the rows of all shards from the table."""
        url = f"http://{ports.HOST}:{self.layout.table.port}"
        request = urllib.request.Request(
            f"{url}{protocol.TABLE_READ_PATH}",
            data=json.dumps({"keys": [], "prefix": "shard/"}).encode(),
        )
        with urllib.request.urlopen(request, timeout=WAIT_LIMIT_S) as response:
            found = json.load(response)["rows"]
        return [rows.decode(row["value"]) for row in found]

    def shards_of(self, name: str) -> list[int]:
        """Return the shards that an agent owns."""
        return list(self.agent_status(name)["shards"])

    def largest_owner(self, *, kind: str = "") -> str:
        """Return the agent, of a kind if given, that owns the most shards."""
        return max(
            self.agent_names(kind), key=lambda name: len(self.shards_of(name))
        )

    def count_running(self) -> int:
        """Return the number of tasks that have started and not ended."""
        return sum(1 for start in self.starts() if not start["ended_s"])


def build(deployment: deployments.Deployment, folder: pathlib.Path) -> System:
    """Start a deployment with its example configuration."""
    layout = layouts.build(
        deployment,
        config_file=EXAMPLES / deployment.name / "config.json",
        allocator=ports.PortAllocator(),
    )
    system = System(layout, folder=folder)
    try:
        system.start()
        system.wait_ready()
        system.wait(system.is_healthy, "a healthy system after the start")
    except BaseException:
        system.stop()
        raise
    return system
