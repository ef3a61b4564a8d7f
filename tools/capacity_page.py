"""Generate the capacity model in ``docs/CAPACITY.md``.

The page is built from the measurements in ``bench/figures`` and
``capacity_template.md``. ``python -m tools.capacity_page --check`` exits
with 1 when the committed page differs from them.
"""

import argparse
import dataclasses
import json
import math
import pathlib
import sys
import typing

from _jasminewind.experiment import deployments

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIGURES_DIR = ROOT / "bench/figures"
TEMPLATE = ROOT / "tools/capacity_template.md"
PAGE = ROOT / "docs/CAPACITY.md"

# The target size, from section 1 of docs/design.md.
WORKERS = 12_000
STARTS_PER_S = 480_000
TASKS_PER_JOB = 110
FAILURE_DOMAINS = 7
CHANGES_PER_DAY = 4_700
FAILURES_PER_DAY = 88
RESTARTS_PER_DAY = 4_500
CPU_BOUND_PERCENT = 4.1
MEMORY_BOUND_MB = 64.0
TRAFFIC_BOUND_BYTES_PER_S = 19_000.0
CONFIG_ROLLOUT_BOUND_S = 3.0
# Strict readings of "several hundred" and "about 2,000" in section 3 of
# docs/design.md.
TABLE_WRITES_BOUND_PER_S = 300.0
TABLE_READS_BOUND_PER_S = 2_000.0
MAX_CELL_SIZE = 128
TEAMS = 180
# bench/membership_cost.py measures the traffic of this many entries.
MIN_ENTRIES = 24
# Share of a core that calls may use at an entry at peak; the other half is
# headroom for bursts.
MAX_ENTRY_CPU_SHARE = 0.5
STARTS_PER_BATCH = 50
WRITE_BURST_S = 10.0
SECONDS_PER_DAY = 86_400.0
DIGEST_PERIOD_S = 3.0
# Shortest time between two updates of an entry's view of the members
# (REFRESH_PERIOD_S in nodes/entry.py).
MIN_VIEW_UPDATE_INTERVAL_S = 0.2
# Period at which an entry selects the reporters again for its configuration
# beacons while the view changes.
BEACON_INTERVAL_S = 1.0
REPORTERS_PER_CELL = 2
SUCCESSORS_PER_SHARD = 2
SINGULAR = {
    "announcements": "announcement",
    "batches": "batch",
    "calls": "call",
    "keepers": "keeper",
    "lines": "line",
    "members": "member",
    "messages": "message",
    "shards": "shard",
    "tasks": "task",
    "teams": "team",
}
SHARD_WRITES_PER_MINUTE = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Measured costs (``slopes``) and results of a fleet run (``scale``)."""

    slopes: dict[str, typing.Any]
    scale: dict[str, typing.Any]

    def fit(self, name: str) -> dict[str, float]:
        """Return the linear fit of the cost called ``name``."""
        found = next(c for c in self.slopes["costs"] if c["name"] == name)
        return found["fit"]

    def slope(self, name: str) -> float:
        """Return the slope of the cost called ``name``."""
        return self.fit(name)["slope"]

    def predict(self, name: str, size: float) -> float:
        """Return the cost at ``size`` by the linear fit, at least 0."""
        fit = self.fit(name)
        return max(0.0, fit["intercept"] + fit["slope"] * size)

    def fleet_value(self, name: str) -> float | None:
        """Return a figure of the fleet run, ``None`` if not measured."""
        for figure in self.scale["figures"]:
            if figure["name"] == name:
                return figure["value"]
        return None


def load_figures() -> Figures:
    """Read the committed measurements."""
    return Figures(
        slopes=json.loads((FIGURES_DIR / "slopes.json").read_text()),
        scale=json.loads((FIGURES_DIR / "scale.json").read_text()),
    )


class CapacityPlan:
    """Resources that the target size requires, by the measured costs."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.cells = -(-WORKERS // MAX_CELL_SIZE)
        self.jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
        self.link_start_us = (
            figures.slope("link, batches of 50 starts") / STARTS_PER_BATCH
        )
        # A start costs its decision and one side each of two messages. Both
        # are counted as start messages, the larger kind.
        self.start_us = (
            figures.predict("coordinator, a job", TASKS_PER_JOB)
            / TASKS_PER_JOB
            + self.link_start_us
        )
        idle = figures.fleet_value("idle, keeper: processor median") or 0.0
        self.idle_percent = idle
        self.starts_per_cell = STARTS_PER_S / self.cells
        spare_share = max(CPU_BOUND_PERCENT - idle, 0.1) / 100
        required = math.ceil(
            self.starts_per_cell * self.start_us / 1e6 / spare_share
        )
        self.required_per_cell = required
        self.coordinators_per_cell = min(required, MAX_CELL_SIZE)
        self.coordinators = self.coordinators_per_cell * self.cells
        self.shards = self.coordinators
        self.call_us = figures.slope("klein and treq, calls")
        self.entries = max(
            MIN_ENTRIES,
            math.ceil(
                self.jobs_per_s * self.call_us / 1e6 / MAX_ENTRY_CPU_SHARE
            ),
        )

    def executor_percent(self, agents: int) -> float:
        """Return the CPU percentage of starts at an executor at peak."""
        del agents
        us = self.figures.predict("keeper, a batch of starts", 10) / 10
        return STARTS_PER_S / WORKERS * (us + self.link_start_us) / 1e4

    def membership_percent(self, members: int) -> float:
        """Return the CPU percentage of membership in a cell."""
        us = self.figures.predict("membership, one second in a cell", members)
        return us / 1e4

    def coordinator_percent(self) -> float:
        """Return the CPU percentage of starts at a coordinator at peak."""
        rate = STARTS_PER_S / self.coordinators
        return rate * self.start_us / 1e4

    def entry_control_percent(self) -> float:
        """Return the CPU percentage of the shard map at an entry."""
        heartbeats_per_s = self.cells * REPORTERS_PER_CELL / DIGEST_PERIOD_S
        heartbeat_us = self.figures.predict(
            "directory, one digest beat", WORKERS
        )
        # A restart changes its record about three times in each report.
        changes_per_s = (
            RESTARTS_PER_DAY / SECONDS_PER_DAY * REPORTERS_PER_CELL * 3
        )
        change_us = self.record_change_us() + self.reporter_ranking_us()
        return (
            heartbeats_per_s * heartbeat_us + changes_per_s * change_us
        ) / 1e4

    def record_change_us(self) -> float:
        """Return the CPU time of one changed record at an entry."""
        return self.figures.predict("directory, one changed record", WORKERS)

    def reporter_ranking_us(self) -> float:
        """Return the CPU time of selecting the reporters of a new view."""
        name = "configuration, reporters of a new view"
        # Older figures include this cost in that of a changed record.
        if name not in {c["name"] for c in self.figures.slopes["costs"]}:
            return 0.0
        return self.figures.predict(name, WORKERS)

    def entry_burst_percent(self) -> float:
        """Return the CPU percentage while records change continuously."""
        updates_us = self.record_change_us() / MIN_VIEW_UPDATE_INTERVAL_S
        return (
            updates_us + self.reporter_ranking_us() / BEACON_INTERVAL_S
        ) / 1e4

    def entry_work_percent(self) -> float:
        """Return the CPU percentage of calls at an entry at peak."""
        return self.jobs_per_s / self.entries * self.call_us / 1e4

    def agent_mb(self) -> float:
        """Return the resident memory of an agent in a full cell."""
        resident = self.figures.fleet_value(
            "idle, coordinator: resident highest"
        )
        per_member_mb = (
            self.figures.slope("membership, memory of a view") / 1024
        )
        measured_size = (
            self.figures.scale["agents"] / self.figures.scale["cells"]
        )
        return (resident or 0.0) + (
            MAX_CELL_SIZE - measured_size
        ) * per_member_mb

    def entry_mb(self) -> float:
        """Return the resident memory of an entry that knows all members."""
        resident = (
            self.figures.fleet_value("idle, entry: resident highest") or 0.0
        )
        per_member_mb = self.figures.slope("directory, memory") / 1024
        additional = WORKERS - self.figures.scale["agents"]
        return resident + additional * per_member_mb

    def writes_per_s(self) -> float:
        """Return the rate of table writes without failures."""
        return (
            self.shards * SHARD_WRITES_PER_MINUTE / 60
            + CHANGES_PER_DAY / SECONDS_PER_DAY
        )


def number(value: float) -> str:
    """Format a number with at least three significant digits."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def row(*cells: object) -> str:
    """Return a row of a Markdown table."""
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Budget:
    """A value and its upper bound; ``remedy`` says how to meet the bound."""

    name: str
    value: float | None
    unit: str
    bound: float
    source: str
    remedy: str

    def verdict(self) -> str:
        """Return whether the bound is met."""
        if self.value is None:
            return "not measured"
        return "met" if self.value <= self.bound else "**missed**"

    def to_row(self) -> str:
        """Return the table row of the budget."""
        value = "none" if self.value is None else number(self.value)
        return row(
            self.name,
            f"{value} {self.unit}",
            f"{number(self.bound)} {self.unit}",
            self.verdict(),
            self.source,
        )


def evaluate_budgets(plan: CapacityPlan) -> list[Budget]:
    """Return all budgets with their measured or derived values."""
    budgets = []
    figures = plan.figures
    traffic = figures.slopes["traffic_bytes_per_s"]
    for duty in ("keeper", "reporter", "coordinator", "entry"):
        budgets.append(
            Budget(
                name=f"control CPU, {duty}, idle fleet, highest",
                value=figures.fleet_value(f"idle, {duty}: processor highest"),
                unit="%",
                bound=CPU_BOUND_PERCENT,
                source="measured, fleet",
                remedy="Profile the timers of the node on an idle machine.",
            )
        )
        budgets.append(
            Budget(
                name=f"resident memory, {duty}, highest",
                value=figures.fleet_value(f"idle, {duty}: resident highest"),
                unit="MB",
                bound=MEMORY_BOUND_MB,
                source="measured, fleet",
                remedy=(
                    "Imports set the baseline (see below): import protobuf, "
                    "the OpenTelemetry SDK and treq only where they are used "
                    "(`_jasminewind/nodes/daemon.py`)."
                ),
            )
        )
        budgets.append(
            Budget(
                name=f"link traffic, {duty}, idle fleet, highest",
                value=figures.fleet_value(f"idle, {duty}: traffic highest"),
                unit="B/s",
                bound=TRAFFIC_BOUND_BYTES_PER_S,
                source="measured, fleet",
                remedy=(
                    "The cause is unknown: the messages were not counted by "
                    "type. `bench/membership_cost.py`, which has no shard "
                    "ownership and loses no link, stays below the bound. "
                    "Candidates are the promises and announcements of each "
                    "shard (`_jasminewind/decisions/promises.py`, "
                    "`_jasminewind/decisions/owned_shards.py`), which could "
                    "be batched for all shards of a pair of processes, and "
                    "the full digest sent after a missed one "
                    "(`_jasminewind/decisions/cell_reporter.py`)."
                ),
            )
        )
    for duty in ("member", "coordinator", "reporter", "entry"):
        budgets.append(
            Budget(
                name=f"membership and configuration traffic, {duty}",
                value=traffic[duty],
                unit="B/s",
                bound=TRAFFIC_BOUND_BYTES_PER_S,
                source="bench/membership_cost.py at the target size",
                remedy="Send fewer records in a digest, or fewer copies.",
            )
        )
    budgets += [
        Budget(
            name="resident memory, agent, derived",
            value=plan.agent_mb(),
            unit="MB",
            bound=MEMORY_BOUND_MB,
            source="fleet and memory slope",
            remedy="See the measured memory.",
        ),
        Budget(
            name="resident memory, entry, derived",
            value=plan.entry_mb(),
            unit="MB",
            bound=MEMORY_BOUND_MB,
            source="fleet and memory slope",
            remedy=(
                "An entry stores two full reports of every cell "
                "(`_jasminewind/decisions/directory.py`). Share records that "
                "are equal in both reports, and intern strings such as rack "
                "and failure domain."
            ),
        ),
        Budget(
            name="control CPU, entry, derived",
            value=plan.entry_control_percent(),
            unit="%",
            bound=CPU_BOUND_PERCENT,
            source="slopes",
            remedy=(
                "Each digest heartbeat hashes a full report "
                "(`_jasminewind/decisions/directory.py`). Update the hash "
                "incrementally by XOR."
            ),
        ),
        Budget(
            name="control CPU, entry, while members change",
            value=plan.entry_burst_percent(),
            unit="%",
            bound=CPU_BOUND_PERCENT,
            source="slopes; records change, none is new or moves",
            remedy=(
                "The view is now updated by member name "
                "(`_jasminewind/decisions/directory.py`) and ranked once a "
                "second (`_jasminewind/decisions/entry_config_sync.py`); "
                "repeat measurements that are older than this."
            ),
        ),
        Budget(
            name="coordinators required in a cell, of its members",
            value=float(plan.required_per_cell),
            unit="",
            bound=float(MAX_CELL_SIZE),
            source="slopes",
            remedy="Reduce the cost per start in `decisions/dispatcher.py`.",
        ),
        Budget(
            name="configuration change in force at all agents, slowest",
            value=figures.fleet_value(
                "configuration everywhere, slowest change"
            ),
            unit="s",
            bound=CONFIG_ROLLOUT_BOUND_S,
            source="measured, fleet; includes a pass of the client",
            remedy=(
                "Agents distribute a change along a tree of pushes "
                "(`_jasminewind/decisions/agent_config_sync.py`). "
                "The value includes at least one pass of the client over "
                "all agents on an overloaded machine; measure again on an "
                "idle one before the budget counts as met."
            ),
        ),
        Budget(
            name="table writes, ordinary day",
            value=plan.writes_per_s(),
            unit="1/s",
            bound=TABLE_WRITES_BOUND_PER_S,
            source="derived",
            remedy="Refresh rows of several shards less often.",
        ),
        Budget(
            name="table writes, restart of everything",
            value=(plan.shards + plan.entries) / WRITE_BURST_S,
            unit="1/s",
            bound=TABLE_WRITES_BOUND_PER_S,
            source="derived",
            remedy=(
                "Claims (`_jasminewind/decisions/claims.py`) need jitter "
                "that grows with the number of shards."
            ),
        ),
        Budget(
            name="table reads, ordinary day",
            value=float(plan.entries),
            unit="1/s",
            bound=TABLE_READS_BOUND_PER_S,
            source="derived",
            remedy="Read less often from each entry.",
        ),
    ]
    return budgets


def requirement_rows(plan: CapacityPlan) -> list[str]:
    """Return how many cells, shards and processes the target requires."""
    return [
        row(
            "cells",
            plan.cells,
            f"{WORKERS:,} agents, at most {MAX_CELL_SIZE} in a cell "
            "(`_jasminewind/decisions/cells.py`)",
        ),
        row(
            "coordinators in a cell",
            plan.coordinators_per_cell,
            f"{number(plan.starts_per_cell)} starts/s in a cell at "
            f"{number(plan.start_us)} us, within "
            f"{number(CPU_BOUND_PERCENT - plan.idle_percent)}% of a core "
            "that an idle agent leaves free "
            "(`_jasminewind/decisions/coordinator.py`)",
        ),
        row(
            "shards",
            plan.shards,
            "one per coordinator (`_jasminewind/decisions/ownership.py`)",
        ),
        row(
            "entries",
            plan.entries,
            f"{number(plan.jobs_per_s)} jobs/s of {TASKS_PER_JOB} tasks at "
            f"{number(plan.call_us)} us per HTTP call (client side "
            f"included), half a core each; at least {MIN_ENTRIES}, for which "
            "the traffic is measured (`_jasminewind/api/server.py`)",
        ),
    ]


def role_rows(plan: CapacityPlan) -> list[str]:
    """Return the cost of each role and duty at a process."""
    traffic = plan.figures.slopes["traffic_bytes_per_s"]
    today = deployments.KARRI_CREEK
    agents = today.minions + today.workers
    today_percent = plan.membership_percent(agents)
    target_percent = plan.membership_percent(MAX_CELL_SIZE)
    agent_mb = number(plan.agent_mb())
    config_us = plan.figures.predict(
        "configuration, one change at an agent", TEAMS
    )
    config_percent = config_us * CHANGES_PER_DAY / SECONDS_PER_DAY / 1e4
    owner_us = plan.figures.slope("ownership, one second of a cell")
    return [
        row(
            "entry",
            f"records of {WORKERS:,} members twice, {plan.shards} rows",
            f"{number(plan.cells * REPORTERS_PER_CELL / DIGEST_PERIOD_S)} "
            "digest heartbeats/s, beacons, calls",
            f"{number(plan.entry_control_percent())}% control, "
            f"{number(plan.entry_work_percent())}% calls at peak",
            "see the measured fleet",
            f"{number(plan.entry_mb())} MB",
            number(traffic["entry"]),
            "`_jasminewind/decisions/directory.py`",
        ),
        row(
            "agent",
            f"view of {MAX_CELL_SIZE} members, configuration of {TEAMS} teams",
            f"{number((MAX_CELL_SIZE - 1) / 2)} heartbeats/s each way",
            f"{number(target_percent)}% membership, {number(config_percent)}% "
            f"configuration; whole idle process {number(plan.idle_percent)}% "
            "measured in the fleet",
            f"{number(today_percent)}%",
            f"{agent_mb} MB",
            number(traffic["member"]),
            "`_jasminewind/decisions/membership.py`, "
            "`_jasminewind/decisions/agent_config_sync.py`",
        ),
        row(
            "keeper",
            "running tasks, results, tombstones",
            f"{number(STARTS_PER_S / WORKERS)} starts/s at peak",
            f"{number(plan.executor_percent(WORKERS))}%",
            "as at the target, per start",
            f"{agent_mb} MB",
            number(traffic["member"]),
            "`_jasminewind/decisions/executor.py`",
        ),
        row(
            "coordinator",
            "records of 10 min, queues, run times",
            f"{number(STARTS_PER_S / plan.coordinators)} starts/s at peak",
            f"{number(plan.coordinator_percent())}% at peak",
            "as at the target, per start",
            f"{agent_mb} MB and its records (not measured)",
            number(traffic["coordinator"]),
            "`_jasminewind/decisions/coordinator.py`, "
            "`_jasminewind/decisions/dispatcher.py`",
        ),
        row(
            "successor",
            "promises for the shards whose successor it is",
            f"{SUCCESSORS_PER_SHARD} promises/s per shard",
            f"{number(owner_us / 1e4)}% per shard, owner and both "
            "successors together",
            "as at the target, per shard",
            f"{agent_mb} MB",
            "included in the coordinator's measured traffic",
            "`_jasminewind/decisions/promises.py`",
        ),
        row(
            "reporter",
            "records and rows of the cell last sent",
            f"{number(plan.entries / DIGEST_PERIOD_S)} digest heartbeats/s",
            f"{number(target_percent)}% as a member; digests not "
            "measured separately",
            f"{number(today_percent)}%",
            f"{agent_mb} MB",
            number(traffic["reporter"]),
            "`_jasminewind/decisions/cell_reporter.py`",
        ),
    ]


def table_load_rows(plan: CapacityPlan) -> list[str]:
    """Return row counts and access rates of the platform's table."""
    row_count = plan.shards + plan.entries + 1
    domain_share = 1 / FAILURE_DOMAINS
    shards_per_agent = plan.shards / WORKERS
    # A lost owner costs one write for the takeover, a lost successor one for
    # its replacement.
    writes_per_loss = shards_per_agent * (1 + SUCCESSORS_PER_SHARD)
    churn_per_s = (
        (FAILURES_PER_DAY + RESTARTS_PER_DAY)
        / SECONDS_PER_DAY
        * writes_per_loss
    )
    domain_loss_per_s = (
        plan.shards * domain_share * (1 + SUCCESSORS_PER_SHARD) / WRITE_BURST_S
    )
    full_restart_per_s = (plan.shards + plan.entries) / WRITE_BURST_S
    writes_per_s = plan.writes_per_s()
    reads_per_s = float(plan.entries)
    return [
        row(
            "ordinary day",
            row_count,
            f"{number(writes_per_s + churn_per_s)}, of which "
            f"{number(churn_per_s)} by "
            f"{FAILURES_PER_DAY} failures and {RESTARTS_PER_DAY:,} restarts",
            f"{number(reads_per_s + churn_per_s)}",
            "`_jasminewind/decisions/owned_shards.py`, "
            "`_jasminewind/decisions/entry_config_sync.py`",
        ),
        row(
            "loss of a failure domain",
            row_count,
            number(writes_per_s + domain_loss_per_s),
            number(reads_per_s + domain_loss_per_s),
            "`_jasminewind/decisions/claims.py`, "
            "`_jasminewind/decisions/owned_shards.py`",
        ),
        row(
            "restart of the whole fleet",
            row_count,
            number(full_restart_per_s),
            number(reads_per_s + full_restart_per_s),
            "`_jasminewind/decisions/claims.py`, "
            "`_jasminewind/decisions/entry_registry.py`",
        ),
    ]


def comparison_rows(plan: CapacityPlan) -> list[str]:
    """Return the measured costs of design alternatives."""
    figures = plan.figures
    message_us = figures.slope("link, messages")
    written_us = figures.slope("decision log, lines written")
    dropped_us = figures.slope("decision log, lines sampled out")
    return [
        row(
            "between processes, per message, both sides",
            f"framed link {number(message_us)} us "
            "(`_jasminewind/wire/links.py`)",
            f"klein and treq {number(plan.call_us)} us",
            number(plan.call_us / message_us),
        ),
        row(
            "starts, per task, both sides",
            f"batches of {STARTS_PER_BATCH}: {number(plan.link_start_us)} us",
            f"one message each: at least {number(message_us)} us",
            number(message_us / plan.link_start_us),
        ),
        row(
            "decision log, per line",
            f"sampled out {number(dropped_us)} us (`_jasminewind/logs.py`)",
            f"written {number(written_us)} us",
            number(written_us / dropped_us),
        ),
    ]


def slope_rows(figures: Figures) -> list[str]:
    """Return the measured costs with their linear fits."""
    rows = []
    for cost in figures.slopes["costs"]:
        fit = cost["fit"]
        sizes = ", ".join(number(size) for size in cost["sizes"])
        rows.append(
            row(
                cost["name"] + (f" ({cost['note']})" if cost["note"] else ""),
                f"{number(fit['slope'])} {cost['unit']}/"
                + SINGULAR[cost["size_unit"]],
                f"+- {number(fit['half_width'])}",
                number(fit["residual"]),
                number(fit["intercept"]),
                sizes,
            )
        )
    return rows


def fleet_rows(figures: Figures) -> list[str]:
    """Return the figures of the fleet run."""
    rows = []
    for figure in figures.scale["figures"]:
        name = figure["name"]
        # Summed over open sockets: traffic of closed ones is missing.
        if name.startswith("load, entry: traffic"):
            continue
        bound = figure["bound"]
        rows.append(
            row(
                name,
                number(figure["value"]),
                figure["unit"],
                "" if bound is None else number(bound),
                figure["verdict"],
                figure["load_average"],
            )
        )
    return rows


def import_rows(figures: Figures) -> list[str]:
    """Return the resident memory of each imported module."""
    sizes = figures.slopes["imports_mb"]
    return [
        row(name, number(size), number(size - sizes["none"]))
        for name, size in sizes.items()
    ]


def tenfold_growth(plan: CapacityPlan) -> list[str]:
    """Return the first limits exceeded when each size grows tenfold."""
    per_member_mb = plan.figures.slope("directory, memory") / 1024
    entry_mb = plan.entry_mb() + 9 * WORKERS * per_member_mb
    writes_per_s = plan.writes_per_s() * 10
    control_percent = plan.entry_control_percent() * 10
    return [
        f"- Members: an entry needs {number(entry_mb)} MB of memory and "
        f"{number(control_percent)}% of a core or more for control, because "
        "every entry knows every member "
        "(`_jasminewind/decisions/directory.py`).",
        "- Cell size: membership needs "
        f"{number(plan.membership_percent(10 * MAX_CELL_SIZE))}% of a core, "
        "extrapolated linearly; each pair of members exchanges heartbeats "
        "(`_jasminewind/decisions/membership.py`).",
        f"- Starts: {plan.required_per_cell * 10} coordinators in a cell of "
        f"{MAX_CELL_SIZE} at the same number of members "
        "(`_jasminewind/decisions/dispatcher.py`).",
        f"- Shards: {number(writes_per_s)} table writes/s "
        "(`_jasminewind/decisions/owned_shards.py`).",
    ]


def render_page(figures: Figures) -> str:
    """Render the template with all values and tables."""
    plan = CapacityPlan(figures)
    budgets = evaluate_budgets(plan)
    misses = [
        f"- {b.name}: {number(b.value)} {b.unit}. {b.remedy}"
        for b in budgets
        if b.value is not None and b.value > b.bound
    ]
    today = deployments.KARRI_CREEK
    loads = [f["load_average"] for f in figures.scale["figures"]]
    parts = {
        "load_slopes": " to ".join(map(str, figures.slopes["load_average"])),
        "load_scale": str(max(loads)),
        "verdicts": "\n".join(b.to_row() for b in budgets),
        "misses": "\n".join(misses) or "None.",
        "needs": "\n".join(requirement_rows(plan)),
        "roles": "\n".join(role_rows(plan)),
        "table": "\n".join(table_load_rows(plan)),
        "choices": "\n".join(comparison_rows(plan)),
        "slopes": "\n".join(slope_rows(figures)),
        "imports": "\n".join(import_rows(figures)),
        "fleet": "\n".join(fleet_rows(figures)),
        "tenfold": "\n".join(tenfold_growth(plan)),
        "workers": f"{WORKERS:,}",
        "cells": str(plan.cells),
        "entries": str(plan.entries),
        "core_bound": str(CPU_BOUND_PERCENT),
        "burst_s": number(WRITE_BURST_S),
        "today_agents": str(today.minions + today.workers),
        "today_entries": str(today.entries),
        "fleet_agents": str(figures.scale["agents"]),
        "fleet_entries": str(figures.scale["entries"]),
        "fleet_cells": str(figures.scale["cells"]),
        "fleet_shards": str(figures.scale["shards"]),
    }
    return TEMPLATE.read_text().format_map(parts)


def main(arguments: list[str] | None = None) -> int:
    """Write or check the page; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args(arguments)
    text = render_page(load_figures())
    if not options.check:
        PAGE.write_text(text)
        return 0
    if PAGE.exists() and PAGE.read_text() == text:
        return 0
    print(
        "docs/CAPACITY.md is not current; run `python -m tools.capacity_page`",
        file=sys.stderr,
    )
    return 1


if __name__ == "__main__":
    raise SystemExit(main())
