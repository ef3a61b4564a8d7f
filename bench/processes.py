"""Reads resource use of processes from ``/proc`` and ``ss``."""

import collections
import dataclasses
import os
import pathlib
import re
import shutil
import subprocess

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024.0
SOCKET_PID = re.compile(r"pid=(\d+)")
SOCKET_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Processor time and memory of one process.

    ``resident_mb`` includes shared pages in full; ``private_mb`` excludes
    them.
    """

    processor_s: float
    resident_mb: float
    private_mb: float


def usage(pid: int) -> Usage:
    """Return the resource use of the process ``pid`` so far."""
    folder = pathlib.Path(f"/proc/{pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    sizes_kb = memory_sizes_kb(folder / "smaps_rollup")
    return Usage(
        processor_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        resident_mb=sizes_kb["Rss"] / KB_PER_MB,
        private_mb=(sizes_kb["Private_Clean"] + sizes_kb["Private_Dirty"])
        / KB_PER_MB,
    )


def memory_sizes_kb(path: pathlib.Path) -> dict[str, int]:
    """Return the sizes in a ``smaps_rollup`` file, in kB."""
    found: dict[str, int] = {}
    for line in path.read_text().splitlines():
        name, _, rest = line.partition(":")
        words = rest.split()
        if len(words) == 2 and words[1] == "kB":
            found[name] = int(words[0])
    return found


def socket_bytes() -> dict[int, int]:
    """Return TCP bytes sent and received on open sockets, by process id.

    Empty if the program ``ss`` is not installed.
    """
    if shutil.which("ss") is None:
        return {}
    output = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=True
    ).stdout
    totals: collections.Counter[int] = collections.Counter()
    for line in output.splitlines():
        pid = SOCKET_PID.search(line)
        if pid is not None:
            totals[int(pid[1])] += sum(map(int, SOCKET_BYTES.findall(line)))
    return dict(totals)


def load_average() -> float:
    """Return the load average over the last minute."""
    return round(os.getloadavg()[0], 2)
