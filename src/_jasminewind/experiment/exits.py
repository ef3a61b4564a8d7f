"""Logs the exits of child processes."""

import datetime
import pathlib
import signal
import subprocess
import threading

import msgspec


def describe(status: int) -> str:
    """Return an exit status as text; negative ones are signals."""
    if status >= 0:
        return f"exit code {status}"
    try:
        return f"signal {signal.Signals(-status).name}"
    except ValueError:
        return f"signal {-status}"


def log_exit(
    child: subprocess.Popen[bytes], *, name: str, path: pathlib.Path
) -> threading.Thread:
    """Append a line to a log file when a child process exits.

    Return the thread that waits for it; it ends after writing the line.
    """
    thread = threading.Thread(
        target=wait_and_log,
        args=(child, name, path),
        name=f"exit of {name}",
        daemon=True,
    )
    thread.start()
    return thread


def wait_and_log(
    child: subprocess.Popen[bytes], name: str, path: pathlib.Path
) -> None:
    """Wait until a child process exits, and append a line about it."""
    status = child.wait()
    now = datetime.datetime.now(datetime.timezone.utc)
    line = {
        "event": "process exited",
        "process": name,
        "pid": child.pid,
        "status": describe(status),
        "timestamp": now.isoformat().replace("+00:00", "Z"),
    }
    with path.open("ab") as log:
        log.write(msgspec.json.encode(line) + b"\n")
