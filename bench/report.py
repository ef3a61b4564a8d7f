"""Renders benchmark results as JSON, Markdown tables and plots."""

import collections.abc
import dataclasses
import json
import math
import pathlib
import typing

import matplotlib

from bench import scenarios
from _jasminewind.experiment import rig as rigs

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A bound fixed in the design page; it is not adjusted to results."""

    key: str
    value: float
    is_upper_bound: bool = True

    def is_met(self, value: float | None) -> bool:
        """Tell whether ``value`` meets the target."""
        if value is None or math.isnan(value):
            return False
        return (
            value <= self.value if self.is_upper_bound else value >= self.value
        )


TARGETS = (
    Target(key="response_ratio_mean", value=1.25),
    Target(key="response_ratio_p99", value=2.0),
    Target(key="wasted_messages_per_task", value=0.10),
    Target(key="crest_goodput", value=0.95, is_upper_bound=False),
    Target(key="crest_refusal_p99_ms", value=50.0),
    Target(key="crest_recovery_s", value=2.0),
    Target(key="short_p99_with_long_over_without", value=1.2),
)
FAULT_TARGETS = (
    Target(key="violations", value=0.0),
    Target(key="unanswered", value=0.0),
)

Outcomes = dict[str, dict[str, scenarios.Outcome]]


def to_json(outcomes: Outcomes, conditions: dict[str, typing.Any]) -> str:
    """Return JSON with the value of every policy under each key."""
    body: dict[str, typing.Any] = {"conditions": conditions}
    for deployment, by_policy in outcomes.items():
        keys: dict[str, typing.Any] = {}
        for policy, outcome in by_policy.items():
            name = "ours" if policy == rigs.EXPECTED_COMPLETION else policy
            for key, value in outcome.figures.items():
                keys.setdefault(key, {})[name] = scenarios.finite_or_none(
                    value
                )
        for target in TARGETS:
            values = keys.setdefault(target.key, {})
            values["target"] = target.value
            values["met"] = target.is_met(values.get("ours"))
        body[deployment] = {
            "keys": keys,
            "faults": {p: o.faults for p, o in by_policy.items()},
            "notes": {p: o.notes for p, o in by_policy.items()},
        }
    return json.dumps(body, indent=1, default=str)


def to_markdown(outcomes: Outcomes) -> str:
    """Return Markdown tables of values, targets and faults."""
    lines = []
    for deployment, by_policy in outcomes.items():
        policies = list(by_policy)
        lines += ["", f"### {deployment}", ""]
        lines.append(table_row(["measure", "target", *policies, "ours"]))
        lines.append(table_row(["---"] * (len(policies) + 3)))
        for target in TARGETS:
            values = [
                by_policy[p].figures.get(target.key, math.nan)
                for p in policies
            ]
            lines.append(
                table_row(
                    [
                        target.key,
                        format_bound(target),
                        *(format_value(v) for v in values),
                        met_or_missed(target, values[0]),
                    ]
                )
            )
        loads = [load_average_range(by_policy[p]) for p in policies]
        lines.append(table_row(["load average", "", *loads, ""]))
        lines += fault_table_lines(by_policy)
    return "\n".join(lines) + "\n"


def load_average_range(outcome: scenarios.Outcome) -> str:
    """Return the range of the load average over the phases."""
    load_averages = [note["load_average"] for note in outcome.notes.values()]
    if not load_averages:
        return "not run"
    return f"{min(load_averages):g} to {max(load_averages):g}"


def fault_table_lines(
    by_policy: dict[str, scenarios.Outcome],
) -> collections.abc.Iterator[str]:
    """Yield the lines of the fault table."""
    yield ""
    yield table_row(
        ["fault", "policy", "violations", "unanswered", "goodput", "0 and 0"]
    )
    yield table_row(["---"] * 6)
    for policy, outcome in by_policy.items():
        for name, fault_figures in outcome.faults.items():
            is_met = all(t.is_met(fault_figures[t.key]) for t in FAULT_TARGETS)
            yield table_row(
                [
                    name,
                    policy,
                    str(fault_figures["violations"]),
                    str(fault_figures["unanswered"]),
                    format_value(fault_figures["goodput"]),
                    "met" if is_met else "missed",
                ]
            )


def table_row(cells: collections.abc.Iterable[str]) -> str:
    """Return one row of a Markdown table."""
    return "| " + " | ".join(cells) + " |"


def format_bound(target: Target) -> str:
    """Return the bound as ``at most`` or ``at least`` its value."""
    return (
        f"{'at most' if target.is_upper_bound else 'at least'} "
        f"{target.value:g}"
    )


def format_value(value: float) -> str:
    """Return three significant digits, or ``never`` for infinity."""
    return "never" if math.isinf(value) else f"{value:.3g}"


def met_or_missed(target: Target, value: float) -> str:
    """Return ``met`` or ``missed``."""
    return "met" if target.is_met(value) else "missed"


def write_plots(
    outcomes: Outcomes, folder: pathlib.Path
) -> list[pathlib.Path]:
    """Write one image per deployment and return the paths."""
    files = []
    for deployment, by_policy in outcomes.items():
        path = folder / f"bench-{deployment}.png"
        figure, axes = pyplot.subplots(1, 3, figsize=(15, 4.5))
        for policy, outcome in by_policy.items():
            ratios = outcome.series.get("ratios", [])
            share = [i / max(1, len(ratios)) for i in range(len(ratios))]
            axes[0].plot(ratios, share, label=policy)
            crest = outcome.series.get("crest", [])
            times = [each[0] for each in crest]
            axes[1].plot(times, [each[1] for each in crest], label=policy)
            axes[2].plot(times, [each[2] for each in crest], label=policy)
        axes[0].set_xlabel("response time over that of the ideal schedule")
        axes[0].set_ylabel("share of requests")
        axes[0].set_xscale("log")
        axes[1].set_xlabel("arrival (s)")
        axes[1].set_ylabel("median response time over run time")
        axes[1].set_yscale("log")
        axes[2].set_xlabel("arrival (s)")
        axes[2].set_ylabel("share of requests without a result")
        for axis in axes[1:]:
            axis.axvspan(
                scenarios.BEFORE_PEAK_S,
                scenarios.BEFORE_PEAK_S + scenarios.PEAK_S,
                alpha=0.1,
            )
        axes[0].legend()
        figure.suptitle(deployment)
        figure.tight_layout()
        figure.savefig(path)
        pyplot.close(figure)
        files.append(path)
    return files
