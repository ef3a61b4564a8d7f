"""Command line to run a deployment as local processes."""

import argparse
import collections.abc
import dataclasses
import pathlib
import signal
import sys
import tempfile
import time
import types
import typing

from _jasminewind import settings
from _jasminewind.experiment import deployments
from _jasminewind.experiment import fleets
from _jasminewind.experiment import layout as layouts
from _jasminewind.experiment import ports

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
POLL_INTERVAL_S = 0.2
DEPLOYMENTS_BY_NAME = {each.name: each for each in deployments.DEPLOYMENTS}


def parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    result = argparse.ArgumentParser(
        prog="python -m _jasminewind.experiment.run",
        description="Run a deployment on this machine until Ctrl-C.",
    )
    result.add_argument("deployment", choices=sorted(DEPLOYMENTS_BY_NAME))
    result.add_argument(
        "--folder",
        type=pathlib.Path,
        help="folder for settings and logs (default: a new one)",
    )
    result.add_argument("--entries", type=int, help="number of entries")
    result.add_argument("--minions", type=int, help="number of minions")
    result.add_argument("--workers", type=int, help="number of workers")
    return result


def sized_deployment(options: argparse.Namespace) -> deployments.Deployment:
    """Return the chosen deployment with sizes from the arguments."""
    deployment = DEPLOYMENTS_BY_NAME[options.deployment]
    return dataclasses.replace(
        deployment,
        entries=options.entries or deployment.entries,
        minions=options.minions or deployment.minions,
        workers=options.workers or deployment.workers,
    )


def output_folder(options: argparse.Namespace) -> pathlib.Path:
    """Return the folder for settings and logs, created if missing."""
    if options.folder is None:
        return pathlib.Path(tempfile.mkdtemp(prefix="jasminewind-"))
    folder: pathlib.Path = options.folder
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def describe(fleet: fleets.Fleet) -> str:
    """Return the addresses of the processes of a fleet."""
    layout = fleet.layout
    lines = [
        f"export JASMINEWIND_ENTRY={layout.url()}",
        f"settings and logs: {fleet.folder}",
    ]
    for entry in layout.entries:
        lines.append(f"  {entry.name}: {entry.host}:{entry.api_port}")
    for agent in layout.agents:
        lines.append(f"  {agent.name}: {agent.host}:{agent.local_port}")
    lines.append("faults of stand-ins, POST URL/v1/faults:")
    for standin in (layout.table, *layout.minions, *layout.workers):
        lines.append(f"  {standin.name}: {layout.control_url(standin.name)}")
    return "\n".join(lines)


def report_exits(fleet: fleets.Fleet) -> typing.NoReturn:
    """Print each process that exits, until interrupted."""
    ended: set[str] = set()
    while True:
        time.sleep(POLL_INTERVAL_S)
        for name, process in fleet.processes.items():
            if name not in ended and process.poll() is not None:
                ended.add(name)
                print(
                    f"{name} exited with status {process.returncode}; see "
                    f"{fleet.folder / name}.log",
                    flush=True,
                )


def raise_interrupt(number: int, frame: types.FrameType | None) -> None:
    """Handle SIGTERM like Ctrl-C."""
    del number, frame
    raise KeyboardInterrupt


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Run a deployment and return the exit status."""
    options = parser().parse_args(arguments)
    deployment = sized_deployment(options)
    layout = layouts.build(
        deployment,
        config_file=EXAMPLES / deployment.name / "config.json",
        allocator=ports.PortAllocator(),
        log_level=settings.LogLevel.INFO,
    )
    fleet = fleets.Fleet(layout, folder=output_folder(options))
    signal.signal(signal.SIGTERM, raise_interrupt)
    try:
        fleet.start()
        fleet.wait_ready()
        print(describe(fleet), flush=True)
        print("ready; Ctrl-C stops it", flush=True)
        report_exits(fleet)
    except KeyboardInterrupt:
        print("stopping", flush=True)
        return 0
    except fleets.FleetError as e:
        print(f"{e}; logs are in {fleet.folder}", file=sys.stderr)
        return 1
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
