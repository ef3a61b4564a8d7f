"""Measures resource use and convergence of a fleet (``make scale``).

The processes are real and talk over loopback. Writes ``build/scale.json``
and prints each value with its bound; a missed bound does not fail the run.
Traffic counts link bytes for agents and all TCP bytes for entries.
"""

import collections.abc
import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
import tempfile
import threading
import time
import typing

import fire
import msgspec

from _jasminewind import members
from _jasminewind import settings
from _jasminewind.decisions import cells
from _jasminewind.experiment import deployments
from _jasminewind.experiment import fleets
from _jasminewind.experiment import layout as layouts
from _jasminewind.experiment import ports
from bench import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "examples/karri-creek/config.json"
OUTPUT_FILE = ROOT / "build/scale.json"
CELLS = 2
SHARDS = 16
START_BATCH_SIZE = 10
START_BATCH_PAUSE_S = 1.0
READY_TIMEOUT_S = 180.0
SETTLE_S = 30.0
WINDOW_S = 20.0
CONVERGE_TIMEOUT_S = 110.0
CONFIG_TIMEOUT_S = 30.0
CONFIG_CHANGES = 5
POLL_THREADS = 16
POLL_INTERVAL_S = 1.0
# Share of decision log lines that a node writes at the target fleet size.
DECISION_LOG_SHARE = 0.01
LOAD_CALLERS = 6
JOB_TASKS = 20
TASK_RUN_S = 0.2
CORE_BOUND_PERCENT = 4.1
MEMORY_BOUND_MB = 64.0
BYTES_BOUND_PER_S = 19_000.0
CONFIG_BOUND_S = 3.0
SUBMIT_JOB = "jasminewind.v1.JobService/SubmitJob"
PROPOSE_CHANGE = "jasminewind.v1.ConfigService/ProposeChange"

Status = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figure:
    """A measured value; ``bound`` is ``None`` if it has no budget."""

    name: str
    value: float
    unit: str
    bound: float | None = None
    load_average: float

    def verdict(self) -> str:
        """Return whether the bound is met."""
        if self.bound is None:
            return "no bound"
        return "met" if self.value <= self.bound else "MISSED"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """Resource use of one process so far; ``traffic`` is in bytes."""

    usage: processes.Usage
    traffic: int


class FleetBenchmark:
    """Drives a fleet and collects its figures."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.figures: list[Figure] = []
        self.pool = concurrent.futures.ThreadPoolExecutor(POLL_THREADS)
        self.agents = tuple(a.name for a in fleet.layout.agents)
        self.entries = tuple(e.name for e in fleet.layout.entries)

    def add_figure(
        self, name: str, value: float, unit: str, bound: float | None = None
    ) -> None:
        """Store a figure and print it."""
        figure = Figure(
            name=name,
            value=round(value, 3),
            unit=unit,
            bound=bound,
            load_average=processes.load_average(),
        )
        self.figures.append(figure)
        limit = "" if bound is None else f"bound {bound:g}"
        print(
            f"{name:48} {figure.value:12.3f} {unit:12} {limit:12} "
            f"{figure.verdict():9} load {figure.load_average}",
            flush=True,
        )

    def start(self) -> None:
        """Start the fleet in batches and wait until it accepts work."""
        began_s = time.monotonic()
        self.fleet.start_standins()
        layout = self.fleet.layout
        for node in layout.entries:
            self.fleet.start_daemon(node)
        for index, node in enumerate(layout.agents):
            self.fleet.start_daemon(node)
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                time.sleep(START_BATCH_PAUSE_S)
        started_s = time.monotonic()
        self.add_figure("start of all processes", started_s - began_s, "s")
        self.wait_until(self.is_ready, READY_TIMEOUT_S, "fleet is not ready")
        ready_s = time.monotonic()
        self.add_figure(
            "all ready after the first start", ready_s - began_s, "s"
        )
        self.add_figure(
            "all ready after the last start", ready_s - started_s, "s"
        )

    def wait_until(
        self,
        condition: collections.abc.Callable[[], bool],
        timeout_s: float,
        message: str,
    ) -> bool:
        """Poll ``condition``; return whether it held before the timeout."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                print(f"{message} after {timeout_s:g} s", flush=True)
                return False
            time.sleep(POLL_INTERVAL_S)
        return True

    def is_ready(self) -> bool:
        """Return whether agents serve, views agree and shards are owned."""
        statuses = self.statuses(self.running_agents())
        if any(status.get("state") != "serving" for status in statuses):
            return False
        return self.has_converged() and self.has_shard_owners()

    def has_shard_owners(self) -> bool:
        """Return whether every entry knows a live owner of every shard."""
        return all(map(self.fleet.is_owned, range(len(self.entries))))

    def has_converged(self) -> bool:
        """Return whether every view has as many members as its cell."""
        running = self.running_agents()
        sizes = collections.Counter(map(cell_of, running))
        statuses = self.statuses(running)
        return all(
            status.get("member_count") == sizes[cell_of(name)]
            for name, status in zip(running, statuses, strict=True)
        )

    def running_agents(self) -> tuple[str, ...]:
        """Return the names of the running agents."""
        return tuple(n for n in self.agents if n in self.fleet.processes)

    def statuses(self, names: tuple[str, ...]) -> list[Status]:
        """Return the status of each agent, empty if it does not answer."""
        return list(self.pool.map(self.status, names))

    def status(self, name: str) -> Status:
        """Return the status of one agent, empty if it does not answer."""
        try:
            return self.fleet.agent_status(name)
        except OSError:
            return {}

    def sample(self) -> dict[str, Sample]:
        """Return the resource use of every running process."""
        running = self.running_agents()
        traffic = {
            name: status.get("bytes_in", 0) + status.get("bytes_out", 0)
            for name, status in zip(
                running, self.statuses(running), strict=True
            )
        }
        sockets = processes.socket_bytes()
        found = {}
        for name in (*running, *self.entries):
            pid = self.fleet.processes[name].pid
            found[name] = Sample(
                usage=processes.usage(pid),
                traffic=traffic.get(name, sockets.get(pid, 0)),
            )
        return found

    def roles(self) -> dict[str, str]:
        """Return the most expensive role of each process."""
        found = dict.fromkeys(self.entries, "entry")
        running = self.running_agents()
        reporters = reporters_of(running)
        for name, status in zip(running, self.statuses(running), strict=True):
            if status.get("shards"):
                found[name] = "coordinator"
            elif name in reporters:
                found[name] = "reporter"
            else:
                found[name] = "keeper"
        return found

    def measure(self, label: str) -> None:
        """Measure resource use by role over one window."""
        roles = self.roles()
        before = self.sample()
        began_s = time.monotonic()
        time.sleep(WINDOW_S)
        after = self.sample()
        elapsed_s = time.monotonic() - began_s
        for role in ("keeper", "reporter", "coordinator", "entry"):
            names = [n for n, node_role in roles.items() if node_role == role]
            if names:
                self.add_usage(label, role, names, before, after, elapsed_s)

    def add_usage(
        self,
        label: str,
        role: str,
        names: list[str],
        before: dict[str, Sample],
        after: dict[str, Sample],
        elapsed_s: float,
    ) -> None:
        """Store the median and maximum resource use of one role."""
        cores = [
            100.0
            * (after[n].usage.processor_s - before[n].usage.processor_s)
            / elapsed_s
            for n in names
        ]
        rates = [
            (after[n].traffic - before[n].traffic) / elapsed_s for n in names
        ]
        resident = [after[n].usage.resident_mb for n in names]
        private_mb = [after[n].usage.private_mb for n in names]
        # Under load, use includes the work itself, not only control overhead.
        byte_bound = BYTES_BOUND_PER_S if label == "idle" else None
        core_bound = CORE_BOUND_PERCENT if label == "idle" else None
        prefix = f"{label}, {role}"
        self.add_figure(f"{prefix}: processes", len(names), "count")
        for statistic, aggregate in (
            ("median", statistics.median),
            ("highest", max),
        ):
            self.add_figure(
                f"{prefix}: processor {statistic}",
                aggregate(cores),
                "%",
                core_bound,
            )
            self.add_figure(
                f"{prefix}: resident {statistic}",
                aggregate(resident),
                "MB",
                MEMORY_BOUND_MB,
            )
            self.add_figure(
                f"{prefix}: own pages {statistic}", aggregate(private_mb), "MB"
            )
            self.add_figure(
                f"{prefix}: traffic {statistic}",
                aggregate(rates),
                "B/s",
                byte_bound,
            )

    def measure_config_changes(self) -> None:
        """Measure how long configuration changes take to reach all agents."""
        slowest_s = []
        medians_s = []
        for number in range(CONFIG_CHANGES):
            in_force_s = self.measure_config_change(number)
            if in_force_s is None:
                continue
            medians_s.append(statistics.median(in_force_s))
            slowest_s.append(max(in_force_s))
            time.sleep(1.0)
        self.add_figure(
            "configuration changes in force", len(slowest_s), "count"
        )
        if slowest_s:
            self.add_figure(
                "configuration at half the agents", max(medians_s), "s"
            )
            self.add_figure(
                "configuration everywhere, slowest change",
                max(slowest_s),
                "s",
                CONFIG_BOUND_S,
            )

    def measure_config_change(self, number: int) -> list[float] | None:
        """Change a team; return each agent's delay, or ``None`` on failure."""
        status = self.fleet.entry_status(0)
        version = int(status["configVersion"])
        began_s = time.monotonic()
        reply = fleets.call(
            self.fleet.layout.entry_url(0),
            PROPOSE_CHANGE,
            {
                "expectedVersion": str(version),
                "author": "scale",
                "setTeam": {"name": "crew-desk", "weight": number + 2},
            },
        )
        if reply.status != 200:
            print(
                f"configuration change {number} refused: {reply.body}",
                flush=True,
            )
            return None
        wanted = int(reply.body["version"])
        in_force_s: dict[str, float] = {}
        while len(in_force_s) < len(self.running_agents()):
            if time.monotonic() - began_s > CONFIG_TIMEOUT_S:
                print(f"{len(in_force_s)} agents have the change", flush=True)
                return None
            missing = tuple(
                n for n in self.running_agents() if n not in in_force_s
            )
            for name, found in zip(
                missing, self.statuses(missing), strict=True
            ):
                if found.get("config_version", 0) >= wanted:
                    in_force_s[name] = time.monotonic() - began_s
        return list(in_force_s.values())

    def measure_load(self) -> None:
        """Measure resource use while a few callers submit jobs."""
        stop = threading.Event()
        counts_by_caller = [[0, 0] for _ in range(LOAD_CALLERS)]
        callers = [
            threading.Thread(target=self.submit_jobs, args=(stop, counts))
            for counts in counts_by_caller
        ]
        began_s = time.monotonic()
        for caller in callers:
            caller.start()
        time.sleep(3.0)
        self.measure("load")
        stop.set()
        for caller in callers:
            caller.join()
        elapsed_s = time.monotonic() - began_s
        completed = sum(c[0] for c in counts_by_caller)
        self.add_figure("load: tasks completed", completed / elapsed_s, "1/s")
        self.add_figure(
            "load: jobs refused", sum(c[1] for c in counts_by_caller), "count"
        )

    def submit_jobs(self, stop: threading.Event, counts: list[int]) -> None:
        """Submit jobs one after the other until ``stop`` is set."""
        tasks = [
            {
                "name": f"task-{index}",
                "service": "hutch-orders",
                "method": "quote",
                "payload": {"run_s": TASK_RUN_S},
                "demand": {"cores": 1, "memoryMb": 256},
                "expectedS": TASK_RUN_S,
            }
            for index in range(JOB_TASKS)
        ]
        body = {"team": "crew-desk", "deadlineS": 30, "tasks": tasks}
        while not stop.is_set():
            reply = fleets.call(self.fleet.layout.url(), SUBMIT_JOB, body)
            if reply.status == 200:
                counts[0] += JOB_TASKS
            else:
                counts[1] += 1
                time.sleep(0.1)

    def kill_third(self) -> None:
        """Kill every third agent; measure failover and view convergence."""
        victims = self.running_agents()[::3]
        for name in victims:
            self.fleet.processes[name].kill()
        began_s = time.monotonic()
        for name in victims:
            self.fleet.kill(name)
        self.add_figure("agents killed at once", len(victims), "count")
        time.sleep(1.0)
        if self.wait_until(
            self.has_shard_owners,
            CONVERGE_TIMEOUT_S,
            "shards without owner remain",
        ):
            took_s = time.monotonic() - began_s
            self.add_figure("owners of all shards after the kill", took_s, "s")
        if self.wait_until(
            self.has_converged, CONVERGE_TIMEOUT_S, "member views still differ"
        ):
            took_s = time.monotonic() - began_s
            self.add_figure("views of all members after the kill", took_s, "s")

    def report(self) -> dict[str, typing.Any]:
        """Return the content of the output file."""
        return {
            "agents": len(self.agents),
            "entries": len(self.entries),
            "cells": CELLS,
            "shards": SHARDS,
            "decision_log_share": DECISION_LOG_SHARE,
            "figures": [
                {**dataclasses.asdict(f), "verdict": f.verdict()}
                for f in self.figures
            ],
        }


def cell_of(name: str) -> int:
    """Return the cell that an agent's name maps to."""
    return cells.cell_of(name, cell_count=CELLS)


def reporters_of(names: tuple[str, ...]) -> set[str]:
    """Return the names of the reporters of all cells."""
    found: set[str] = set()
    for cell in range(CELLS):
        view = [bare_member(n) for n in names if cell_of(n) == cell]
        found |= {m.node.name for m in cells.reporters(cell, view)}
    return found


def bare_member(name: str) -> members.Member:
    """Return a member record with only its name set."""
    return members.Member(
        node=members.NodeId(name, 1),
        address=members.NO_ADDRESS,
        role=members.Role.AGENT,
        region="",
        failure_domain="",
        rack="",
    )


def build_layout(folder: pathlib.Path, agents: int) -> layouts.Layout:
    """Return the layout of ``agents`` agents in several cells."""
    config = json.loads(EXAMPLE.read_text())
    config["cellCount"] = CELLS
    config["shardCount"] = SHARDS
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    deployment = dataclasses.replace(
        deployments.KARRI_CREEK,
        name="scale",
        minions=agents // 2,
        workers=agents - agents // 2,
    )
    return layouts.build(
        deployment,
        config_file=path,
        allocator=ports.PortAllocator(),
        decision_log_share=DECISION_LOG_SHARE,
        log_level=settings.LogLevel.WARNING,
    )


def main(*, agents: int = 200) -> None:
    """Run a fleet of ``agents`` agents, print and store its figures."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        benchmark = FleetBenchmark(
            fleets.Fleet(build_layout(folder, agents), folder=folder)
        )
        try:
            benchmark.start()
            time.sleep(SETTLE_S)
            benchmark.measure("idle")
            benchmark.measure_config_changes()
            benchmark.measure_load()
            benchmark.kill_third()
        finally:
            benchmark.pool.shutdown(cancel_futures=True)
            benchmark.fleet.stop()
            OUTPUT_FILE.parent.mkdir(exist_ok=True)
            text = msgspec.json.format(
                msgspec.json.encode(benchmark.report()), indent=1
            )
            OUTPUT_FILE.write_bytes(text + b"\n")


if __name__ == "__main__":
    fire.Fire(main)
