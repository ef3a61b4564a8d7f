"""Measures costs by input size and fits lines to them (``make slopes``).

Writes ``build/slopes.json``. Times are processor time; each cost names the
unit of its sizes.
"""

import dataclasses
import pathlib
import statistics
import subprocess
import sys
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import task

from bench import costs
from bench import costs_control
from bench import costs_wire
from bench import costs_work
from bench import dispatcher_cost
from bench import membership_cost
from bench import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT_FILE = ROOT / "build/slopes.json"
IMPORTS = (
    "",
    "twisted.internet.reactor",
    "twisted.web.server",
    "klein",
    "treq",
    "structlog",
    "opentelemetry.sdk.metrics",
    "google.protobuf.json_format",
    "msgspec",
)
PRINT_RESIDENT_KB = (
    "import re; print(re.search(r'VmRSS:\\s+(\\d+)',"
    " open('/proc/self/status').read())[1])"
)


def import_mb(name: str) -> float:
    """Return a new process's resident memory after importing ``name``."""
    code = f"import {name}\n{PRINT_RESIDENT_KB}" if name else PRINT_RESIDENT_KB
    sizes = [
        int(
            subprocess.run(
                [sys.executable, "-c", code],
                capture_output=True,
                text=True,
                check=True,
            ).stdout
        )
        for _ in range(costs.REPEATS)
    ]
    return statistics.median(sizes) / processes.KB_PER_MB


def describe(cost: costs.Cost) -> dict[str, typing.Any]:
    """Print a cost's fit; return the cost and the fit as a dict."""
    fit = cost.fit()
    print(
        f"{cost.name:40} {fit.slope:12.4f} +- {fit.half_width:10.4f} "
        f"{cost.unit} per {cost.size_unit:14} from {fit.intercept:12.2f}",
        flush=True,
    )
    return {**dataclasses.asdict(cost), "fit": dataclasses.asdict(fit)}


def traffic() -> dict[str, typing.Any]:
    """Return bytes per second by role in a full cell under changes."""
    return dataclasses.asdict(membership_cost.measure())


async def run() -> None:
    """Measure all costs and write the output file."""
    before = processes.load_average()
    found = [describe(cost) for cost in costs_work.measure()]
    found += [describe(cost) for cost in costs_control.measure()]
    found += [describe(cost) for cost in await costs_wire.measure()]
    report = {
        "load_average": [before, processes.load_average()],
        "clock_us": dispatcher_cost.clock_overhead_s() * 1e6,
        "costs": found,
        "imports_mb": {name or "none": import_mb(name) for name in IMPORTS},
        "traffic_bytes_per_s": traffic(),
    }
    OUTPUT_FILE.parent.mkdir(exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(report), indent=1)
    OUTPUT_FILE.write_bytes(text + b"\n")


def main() -> None:
    """Run the measurements under the reactor."""
    task.react(lambda reactor: defer.ensureDeferred(run()))


if __name__ == "__main__":
    main()
