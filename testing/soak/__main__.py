"""Command line of the soak: ``python -m testing.soak --seeds 1-50``."""

import collections
import pathlib
import random
import signal
import sys
import tempfile

import fire
from twisted.internet import defer

from testing import reactor as reactors
from testing.soak import faults
from testing.soak import soak


def main(
    *,
    seeds="",
    count=10,
    seconds=15.0,
    agents=6,
    groups=faults.ALL_GROUPS,
    keep="",
):
    """Run soaks one after the other; exit 1 if any found a violation.

    ``seeds`` is a range such as 1-50; without it, ``count`` random seeds
    are drawn and printed. ``groups`` are the groups of faults, separated by
    commas. ``keep`` is a folder for the logs of failed soaks.
    """
    groups = (groups,) if isinstance(groups, str) else groups
    groups = tuple(faults.Group(name) for name in groups)
    # sys.exit runs the atexit handlers that end the child processes.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    first, _, last = str(seeds).partition("-")
    chosen_seeds = (
        list(range(int(first), int(last or first) + 1)) if seeds else []
    )
    if not chosen_seeds:
        chosen_seeds = [random.randrange(1 << 32) for _ in range(count)]
    failed = 0
    fault_counts = collections.Counter()
    for seed in chosen_seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = reactors.call(
            lambda seed=seed, folder=folder: defer.ensureDeferred(
                soak.run(
                    seed,
                    duration_s=seconds,
                    folder=folder,
                    agents=agents,
                    groups=groups,
                )
            )
        )
        failed += report(result, folder, keep)
        # Unlike ``+=``, this keeps the kinds that were not injected.
        fault_counts.update(result.fault_counts)
    print_fault_counts(fault_counts)
    print(f"{len(chosen_seeds) - failed} passed, {failed} failed")
    sys.exit(bool(failed))


def report(result, folder, keep):
    """Print a result; tell whether the soak failed."""
    print(
        f"seed {result.seed}: {result.jobs} jobs, "
        f"{result.completed} completed, {len(result.injected)} faults, "
        f"{len(result.violations)} broken promises",
        flush=True,
    )
    if not result.violations:
        return False
    for injection in result.injected:
        print(f"  {injection.at_s:.2f} {injection.text}")
    for text in result.violations:
        print(f"  BROKEN {text}", flush=True)
    if keep:
        folder.rename(pathlib.Path(keep) / folder.name)
    return True


def print_fault_counts(fault_counts):
    """Print how often each kind of fault was injected in all soaks."""
    width = max(map(len, fault_counts), default=0)
    print(f"{'fault':<{width}}  injected")
    for kind, count in sorted(fault_counts.items()):
        print(f"{kind:<{width}}  {count:>8}")


if __name__ == "__main__":
    fire.Fire(main)
