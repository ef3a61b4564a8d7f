"""Runs soaks by hand: ``python -m testing.soak --seeds 1-50``."""

import pathlib
import random
import signal
import sys
import tempfile

import fire
from twisted.internet import defer

from testing import reactor as reactors
from testing.soak import soak


def main(*, seeds="", count=10, seconds=15.0, agents=6, keep=""):
    """Play soaks one after the other; exit 1 if any broke a promise.

    ``seeds`` is a range such as 1-50; without it, ``count`` fresh ones are
    drawn and printed. ``keep`` is a folder for the logs of failed soaks.
    """
    # So that the processes of an interrupted soak are ended.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    first, _, last = str(seeds).partition("-")
    chosen = list(range(int(first), int(last or first) + 1)) if seeds else []
    if not chosen:
        chosen = [random.randrange(1 << 32) for _ in range(count)]
    failed = 0
    for seed in chosen:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        verdict = reactors.call(
            lambda seed=seed, folder=folder: defer.ensureDeferred(
                soak.play(seed, for_s=seconds, folder=folder, agents=agents)
            )
        )
        failed += report(verdict, folder, keep)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    sys.exit(bool(failed))


def report(verdict, folder, keep):
    """Print a verdict; tell whether the soak failed."""
    print(
        f"seed {verdict.seed}: {verdict.jobs} jobs, "
        f"{verdict.completed} completed, {len(verdict.injected)} faults, "
        f"{len(verdict.broken)} broken promises",
        flush=True,
    )
    if not verdict.broken:
        return False
    for at_s, text in verdict.injected:
        print(f"  {at_s:.2f} {text}")
    for text in verdict.broken:
        print(f"  BROKEN {text}", flush=True)
    if keep:
        folder.rename(pathlib.Path(keep) / folder.name)
    return True


if __name__ == "__main__":
    fire.Fire(main)
