"""Runs the command blocks of the documentation against real fleets.

A fenced ``sh`` block is run if the line above it is
``<!-- run on DEPLOYMENT -->`` or ``<!-- run on DEPLOYMENT, exit N -->``.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import re
import subprocess
import sys

from _jasminewind.experiment import deployments
from _jasminewind.experiment import fleets
from _jasminewind.experiment import layout as layouts
from _jasminewind.experiment import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
BLOCK = re.compile(
    r"<!-- run on (?P<deployment>[\w-]+)(?:, exit (?P<exit>\d+))? -->\n"
    r"```sh\n(?P<text>.*?)```",
    re.DOTALL,
)
PAGES = (
    "README.md",
    "docs/cli.md",
    *(
        str(path.relative_to(ROOT))
        for path in sorted((ROOT / "docs").glob("operating*"))
        if path.suffix == ".md"
    ),
    *(
        str(path.relative_to(ROOT))
        for path in sorted((ROOT / "docs" / "operating").glob("*.md"))
    ),
)
LAUNCHER = """\
#!/bin/sh
exec {python} -c 'from _jasminewind.cli import main; main.main()' "$@"
"""
# Only stops a command that hangs; no assertion depends on it.
BLOCK_TIMEOUT_S = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandBlock:
    """A command block and the exit status that its page documents."""

    page: str
    number: int
    deployment: str
    status: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class BlockResult:
    """Exit status and output of a block."""

    status: int
    output: str


def find_blocks():
    """Return the command blocks of all pages, in order."""
    blocks = []
    for page in PAGES:
        text = (ROOT / page).read_text()
        for number, match in enumerate(BLOCK.finditer(text), start=1):
            block = CommandBlock(
                page=page,
                number=number,
                deployment=match["deployment"],
                status=int(match["exit"] or 0),
                text=match["text"],
            )
            blocks.append(block)
    return blocks


def small_layout(deployment, allocator):
    """Return the layout of a fleet small enough to start within seconds."""
    return layouts.build(
        dataclasses.replace(deployment, entries=2, minions=2, workers=2),
        config_file=ROOT / "examples" / deployment.name / "config.json",
        allocator=allocator,
    )


def run_block(block, *, url, bin_folder):
    """Run a block in a shell that exits at the first error."""
    path = f"{bin_folder}:{os.environ['PATH']}"
    environment = {**os.environ, "PATH": path, "JASMINEWIND_ENTRY": url}
    environment["PYTHONPATH"] = str(ROOT / "src")
    completed = subprocess.run(
        ["bash", "-eu", "-c", block.text],
        cwd=ROOT,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=BLOCK_TIMEOUT_S,
    )
    return BlockResult(status=completed.returncode, output=completed.stdout)


def run_on_fleet(layout, blocks, folder):
    """Start a fleet and run the blocks of its deployment in order."""
    folder.mkdir()
    fleet = fleets.Fleet(layout, folder=folder)
    try:
        fleet.start()
        fleet.wait_ready()
        return {
            block: run_block(block, url=layout.url(), bin_folder=folder.parent)
            for block in blocks
        }
    finally:
        fleet.stop()


def run_blocks(folder):
    """Run every block; return the results by block.

    Deployments run in parallel, because most of the time is spent waiting.
    """
    launcher = folder / "jasminewind"
    launcher.write_text(LAUNCHER.format(python=sys.executable))
    launcher.chmod(0o755)
    allocator = ports.PortAllocator()
    deployments_by_name = {
        deployment.name: deployment for deployment in deployments.DEPLOYMENTS
    }
    blocks = find_blocks()
    results = {}
    with concurrent.futures.ThreadPoolExecutor() as executor:
        futures = [
            executor.submit(
                run_on_fleet,
                small_layout(deployments_by_name[name], allocator),
                [block for block in blocks if block.deployment == name],
                folder / name,
            )
            for name in sorted({block.deployment for block in blocks})
        ]
        for future in futures:
            results.update(future.result())
    return results
