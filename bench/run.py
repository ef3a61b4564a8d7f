"""Benchmarks routing policies on real processes against the design targets.

``make bench`` runs every policy on both deployments with the same seeds,
and injects faults with the project's own policy only. ``python -m bench.run
--all_faults`` injects them with every baseline policy too, which takes
several minutes more.
"""

import os
import pathlib
import platform
import sys
import tempfile
import time
import typing

import fire
from twisted.internet import defer
from twisted.internet import task

from bench import report
from bench import scenarios
from _jasminewind.experiment import deployments
from _jasminewind.experiment import ports
from _jasminewind.experiment import rig as rigs

BUILD_DIR = pathlib.Path("build")
SEED = 20260
PHASES = ("steady", "crest", "mix", "faults")


class Benchmark:
    """All runs of one invocation."""

    def __init__(
        self,
        *,
        reactor: typing.Any,
        deployment_names: tuple[str, ...],
        policies: tuple[str, ...],
        phases: tuple[str, ...],
        faults: tuple[str, ...],
        all_faults: bool,
        seed: int,
        folder: pathlib.Path,
    ) -> None:
        self.reactor = reactor
        self.deployment_names = deployment_names
        self.policies = policies
        self.phases = phases
        self.fault_names = faults
        self.all_faults = all_faults
        self.seed = seed
        self.folder = folder
        self.allocator = ports.PortAllocator()
        self.outcomes: report.Outcomes = {}

    async def run(self) -> None:
        """Run every policy on each deployment, one after the other."""
        began_s = time.monotonic()
        conditions = self.conditions()
        for deployment in deployments.DEPLOYMENTS:
            if deployment.name not in self.deployment_names:
                continue
            by_policy = self.outcomes.setdefault(deployment.name, {})
            for policy in self.policies:
                by_policy[policy] = await self.run_one(deployment, policy)
                conditions["took_s"] = round(time.monotonic() - began_s, 1)
                conditions["load_average_after"] = rigs.load_average()
                # Write after each policy: an interrupted run keeps these.
                self.write(conditions)
        print((BUILD_DIR / "bench.md").read_text())

    def conditions(self) -> dict[str, typing.Any]:
        """Return the machine, seed and loads behind the figures."""
        return {
            "date": rigs.stamp(),
            "seed": self.seed,
            "cores": os.cpu_count(),
            "python": platform.python_version(),
            "load_average_before": rigs.load_average(),
            "loads": {
                "steady": scenarios.STEADY_LOAD,
                "crest_base": scenarios.PEAK_BASE_LOAD,
                "crest_factor": scenarios.PEAK_FACTOR,
                "short": scenarios.SHORT_LOAD,
                "long": scenarios.LONG_LOAD,
                "fault": scenarios.FAULT_LOAD,
                "jobs_per_s": scenarios.JOBS_PER_S,
            },
        }

    async def run_one(
        self, deployment: deployments.Deployment, policy: str
    ) -> scenarios.Outcome:
        """Run the selected phases with one deployment and policy."""
        rig = rigs.Rig(
            reactor=self.reactor,
            deployment=deployment,
            policy=policy,
            folder=self.folder / deployment.name / policy,
            allocator=self.allocator,
        )
        runner = scenarios.PhaseRunner(rig=rig, seed=self.seed)
        try:
            await rig.start()
            for phase in self.phases:
                await self.run_phase(runner, phase)
        finally:
            rig.stop()
        return runner.outcome()

    async def run_phase(
        self, runner: scenarios.PhaseRunner, phase: str
    ) -> None:
        """Run one phase and print its duration to standard error."""
        began_s = time.monotonic()
        is_ours = runner.rig.policy == rigs.EXPECTED_COMPLETION
        if phase == "faults":
            if not (is_ours or self.all_faults):
                return
            await runner.faults(self.fault_names)
        else:
            await getattr(runner, phase)()
        print(
            f"{runner.rig.deployment.name} {runner.rig.policy} {phase}: "
            f"{time.monotonic() - began_s:.0f} s, load average "
            f"{rigs.load_average()}",
            file=sys.stderr,
            flush=True,
        )

    def write(self, conditions: dict[str, typing.Any]) -> None:
        """Write the JSON file, the plots and the Markdown report."""
        BUILD_DIR.mkdir(exist_ok=True)
        text = report.to_json(self.outcomes, conditions)
        (BUILD_DIR / "bench.json").write_text(text + "\n")
        table = report.to_markdown(self.outcomes)
        plots = report.write_plots(self.outcomes, BUILD_DIR)
        images = "".join(f"\n![{p.stem}]({p.name})\n" for p in plots)
        lines = [f"- {key}: {value}" for key, value in conditions.items()]
        (BUILD_DIR / "bench.md").write_text(
            "# Benchmark\n\n" + "\n".join(lines) + "\n" + table + images
        )


def parse_names(
    value: str | tuple[str, ...], known: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the names in a comma-separated option, or all known names."""
    if not value:
        return known
    chosen = tuple(value.split(",")) if isinstance(value, str) else value
    unknown = [each for each in chosen if each not in known]
    if unknown:
        sys.exit(
            f"unknown names: {', '.join(unknown)}; use: {', '.join(known)}"
        )
    return tuple(chosen)


def run(
    *,
    deployment: str | tuple[str, ...] = "",
    policy: str | tuple[str, ...] = "",
    phase: str | tuple[str, ...] = "",
    fault: str | tuple[str, ...] = "",
    all_faults: bool = False,
    seed: int = SEED,
    folder: str = "",
) -> None:
    """Run the benchmark, limited to the names given in the options.

    ``folder`` receives the settings and logs of the processes; by default
    they are deleted.
    """
    chosen = {
        "deployment_names": parse_names(
            deployment, tuple(d.name for d in deployments.DEPLOYMENTS)
        ),
        "policies": parse_names(
            policy, (rigs.EXPECTED_COMPLETION, *rigs.BASELINES)
        ),
        "phases": parse_names(phase, PHASES),
        "faults": parse_names(fault, scenarios.FAULTS),
    }

    def start_benchmark(reactor: typing.Any, path: str) -> typing.Any:
        benchmark = Benchmark(
            reactor=reactor,
            all_faults=all_faults,
            seed=seed,
            folder=pathlib.Path(path),
            **typing.cast(typing.Any, chosen),
        )
        return defer.ensureDeferred(benchmark.run())

    with tempfile.TemporaryDirectory(
        prefix="jasminewind-bench-"
    ) as temporary_folder:
        task.react(start_benchmark, (folder or temporary_folder,))


if __name__ == "__main__":
    fire.Fire(run)
