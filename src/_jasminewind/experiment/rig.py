"""Runs trials of load on a fleet with one routing policy."""

import collections
import collections.abc
import dataclasses
import json
import pathlib
import time
import typing
import urllib.request

import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import threads

from _jasminewind import members
from _jasminewind import settings
from _jasminewind.experiment import demand
from _jasminewind.experiment import deployments
from _jasminewind.experiment import fleets
from _jasminewind.experiment import layout as layouts
from _jasminewind.experiment import load
from _jasminewind.experiment import oracle
from _jasminewind.experiment import ports
from _jasminewind.standins import server

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
EXPECTED_COMPLETION = "expected_completion"
BASELINES = ("random", "round_robin", "least_outstanding")
SETTLE_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trial:
    """Records and counts of one trial.

    ``messages`` counts messages between entries and agents by type;
    ``unneeded_results`` counts results that no caller waited for.
    """

    records: list[load.Record]
    starts: list[server.StartRecord]
    verdict: oracle.Verdict
    messages: dict[str, int]
    unneeded_results: int
    start_wall_s: float
    generator_share: float
    lateness_s: list[float]

    def tasks(self) -> int:
        """Return the number of tasks that were submitted."""
        return sum(len(each.submission.tasks) for each in self.records)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Counts:
    """Message counts over all processes since their start."""

    messages: collections.Counter[str]
    unneeded_results: int


class Rig:
    """A fleet of one deployment with one routing policy."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        deployment: deployments.Deployment,
        policy: str,
        folder: pathlib.Path,
        allocator: ports.PortAllocator,
    ) -> None:
        self.reactor = reactor
        self.deployment = deployment
        self.policy = policy
        folder.mkdir(parents=True, exist_ok=True)
        config = json.loads(
            (EXAMPLES / deployment.name / "config.json").read_text()
        )
        config["policy"] |= policy_fields(policy)
        config_file = folder / "config.json"
        config_file.write_text(json.dumps(config))
        self.repeatable = frozenset(
            method["name"]
            for service in config["services"]
            for method in service["methods"]
            if method.get("repeatable")
        )
        self.layout = layouts.build(
            deployment,
            config_file=config_file,
            allocator=allocator,
            log_level=settings.LogLevel.WARNING,
        )
        self.fleet = fleets.Fleet(self.layout, folder=folder)

    async def start(self) -> None:
        """Start every process and wait until the fleet is ready."""
        await threads.deferToThread(self.fleet.start)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until the fleet is ready."""
        await threads.deferToThread(self.fleet.wait_ready)

    def stop(self) -> None:
        """Kill every process."""
        self.fleet.stop()

    def slot_speeds(self) -> list[float]:
        """Return the speed of every minion slot."""
        return [
            minion.speed
            for minion in self.layout.minions
            for _ in range(minion.slots)
        ]

    def minion_speeds(self) -> dict[str, float]:
        """Return the speed of every minion by name."""
        return {m.name: m.speed for m in self.layout.minions}

    async def run(
        self,
        submissions: collections.abc.Sequence[demand.Submission],
        *,
        during: (
            collections.abc.Callable[[], collections.abc.Awaitable[None]]
            | None
        ) = None,
    ) -> Trial:
        """Run a load on the fleet, concurrently with ``during``."""
        before = await threads.deferToThread(self.counts)
        generator = load.Generator(
            reactor=self.reactor,
            entries=[
                members.Address(each.host, each.api_port)
                for each in self.layout.entries
            ],
            submissions=submissions,
        )
        deferreds = [defer.ensureDeferred(generator.run())]
        if during is not None:
            concurrent: typing.Any = during()
            deferreds.append(defer.ensureDeferred(concurrent))
        results = await defer.gatherResults(deferreds)
        result: load.LoadResult = results[0]
        await self.pause(SETTLE_S)
        after = await threads.deferToThread(self.counts)
        work_ids = {each.work_id for each in result.records}
        starts = await threads.deferToThread(self.starts)
        starts = [each for each in starts if each.key.work_id in work_ids]
        return Trial(
            records=result.records,
            starts=starts,
            verdict=oracle.check(
                result.records, starts, repeatable=self.repeatable
            ),
            messages=dict(after.messages - before.messages),
            unneeded_results=after.unneeded_results - before.unneeded_results,
            start_wall_s=result.start_wall_s,
            generator_share=result.processor_share,
            lateness_s=result.lateness_s,
        )

    async def pause(self, delay_s: float) -> None:
        """Wait without blocking the reactor."""
        await task.deferLater(self.reactor, delay_s)

    def counts(self) -> Counts:
        """Return the message counts, skipping unreachable processes."""
        messages: collections.Counter[str] = collections.Counter()
        unneeded = 0
        for url in self.status_urls():
            try:
                status = fleets.get(url)
            except OSError:
                continue
            messages.update(status["messages"])
            unneeded += status.get("unneeded_results", 0)
        return Counts(messages=messages, unneeded_results=unneeded)

    def status_urls(self) -> list[str]:
        """Return the status URL of every running entry and agent."""
        urls = [
            f"http://{e.host}:{e.api_port}/v1/status"
            for e in self.layout.entries
            if e.name in self.fleet.processes
        ]
        urls += [
            f"http://{a.host}:{a.local_port}/v1/status"
            for a in self.layout.agents
            if a.name in self.fleet.processes
        ]
        return urls

    def starts(self) -> list[server.StartRecord]:
        """Return every start that the endpoints recorded."""
        found: list[server.StartRecord] = []
        for endpoint in (*self.layout.minions, *self.layout.workers):
            url = self.layout.control_url(endpoint.name)
            with urllib.request.urlopen(
                url + server.STARTS_PATH, timeout=10
            ) as response:
                decoded = msgspec.json.decode(
                    response.read(), type=server.StartList
                )
            found += decoded.starts
        return found

    def set_faults(self, name: str, **faults: typing.Any) -> None:
        """Set the faults of a stand-in; without any, clear all."""
        request = urllib.request.Request(
            self.layout.control_url(name) + server.FAULTS_PATH,
            data=json.dumps(faults).encode(),
            headers={"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=5):
            pass


def policy_fields(policy: str) -> dict[str, typing.Any]:
    """Return the configuration fields that depend on the policy."""
    is_expected_completion = policy == EXPECTED_COMPLETION
    return {
        "routing": policy,
        "shedByDeadline": is_expected_completion,
        "fairShare": is_expected_completion,
        "separateLongWork": is_expected_completion,
    }


def load_average() -> float:
    """Return the one-minute load average of the machine."""
    return float(pathlib.Path("/proc/loadavg").read_text().split()[0])


def stamp() -> str:
    """Return the local time as text for a report."""
    return time.strftime("%Y-%m-%d %H:%M:%S")
