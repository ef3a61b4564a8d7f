"""Runs load phases and fault injection on one fleet and computes figures."""

import collections.abc
import dataclasses
import functools
import math
import typing

from twisted.internet import threads

from _jasminewind.experiment import demand
from _jasminewind.experiment import measures
from _jasminewind.experiment import rig as rigs

# Offered request load of each phase, as a share of the minions' capacity.
STEADY_LOAD = 0.6
PEAK_BASE_LOAD = 0.45
SHORT_LOAD = 0.35
LONG_LOAD = 0.2
FAULT_LOAD = 0.4
PEAK_FACTOR = 5.0
JOBS_PER_S = 5.0
# Excluded from the figures: run times and speeds are still being learned.
WARM_UP_S = 2.0
STEADY_S = 7.0
BEFORE_PEAK_S = 3.0
PEAK_S = 3.0
AFTER_PEAK_S = 5.0
MIX_S = 4.0
FAULT_S = 6.0
FAULT_BEGIN_S = 1.0
FAULT_END_S = 4.0
# Long work arrives only in this first part of a phase, so that the phase
# ends in bounded time.
LONG_ARRIVAL_SHARE = 0.6

FAULTS = (
    "kill_coordinator",
    "kill_entry",
    "kill_worker_agent",
    "table_down",
    "table_answers_lost",
    "minion_fails_fast",
    "minion_frozen",
    "silent_connections",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Results of one deployment and policy.

    ``figures`` are keyed as in the report; ``series`` hold the points of
    the plots.
    """

    figures: dict[str, float]
    faults: dict[str, dict[str, typing.Any]]
    series: dict[str, list[typing.Any]]
    notes: dict[str, typing.Any]


class PhaseRunner:
    """Runs phases with one deployment and policy; all use the same seeds."""

    def __init__(self, *, rig: rigs.Rig, seed: int) -> None:
        self.rig = rig
        self.seed = seed
        self.profile = demand.PROFILES[rig.deployment.name]
        self.figures: dict[str, float] = {}
        self.fault_figures: dict[str, dict[str, typing.Any]] = {}
        self.series: dict[str, list[typing.Any]] = {}
        self.notes: dict[str, typing.Any] = {}

    def rate(
        self, load_share: float, profile: demand.Profile | None = None
    ) -> float:
        """Return the requests per second that use a share of capacity."""
        chosen_profile = profile or self.profile
        return (
            load_share * sum(self.rig.slot_speeds()) / chosen_profile.mean_s()
        )

    def level(
        self, length_s: float, load_share: float, *, jobs_factor: float = 1.0
    ) -> demand.Level:
        """Return a constant arrival rate of requests and jobs."""
        return demand.Level(
            length_s=length_s,
            requests_per_s=self.rate(load_share),
            jobs_per_s=JOBS_PER_S * jobs_factor,
        )

    def record_trial(self, name: str, trial: rigs.Trial) -> None:
        """Store refusals, violations and generator lag of a trial."""
        lateness = measures.Latencies(trial.lateness_s)
        refusals: dict[str, int] = {}
        for each in trial.records:
            if not each.is_complete():
                key = f"{each.status} {each.outcome}"
                refusals[key] = refusals.get(key, 0) + 1
        self.notes[name] = {
            "submissions": len(trial.records),
            "tasks": trial.tasks(),
            "not_complete": refusals,
            "violations": [
                dataclasses.asdict(v) for v in trial.verdict.violations[:10]
            ],
            "violation_count": len(trial.verdict.violations),
            "unanswered": trial.verdict.unanswered,
            "generator_processor_share": round(trial.generator_share, 3),
            "generator_lateness_p99_ms": lateness.percentile_s(99) * 1000.0,
            "messages": trial.messages,
            "unneeded_results": trial.unneeded_results,
            "extra_starts": trial.verdict.extra_starts,
            "load_average": rigs.load_average(),
        }

    async def steady(self) -> None:
        """Measure response ratios and wasted messages at steady load."""
        submissions = demand.generate(
            self.profile,
            [self.level(WARM_UP_S + STEADY_S, STEADY_LOAD)],
            seed=self.seed,
            long_until_s=WARM_UP_S + STEADY_S * LONG_ARRIVAL_SHARE,
        )
        trial = await self.rig.run(submissions)
        self.record_trial("steady", trial)
        speeds = self.rig.slot_speeds()
        ratios = measures.ratios(trial.records, speeds, from_s=WARM_UP_S)
        extra = trial.unneeded_results + trial.verdict.extra_starts
        wasted = measures.wasted_messages(trial.messages, extra=extra)
        self.figures["response_ratio_mean"] = ratios.mean
        self.figures["response_ratio_p99"] = ratios.p99
        self.figures["steady_goodput"] = measures.answered_share(
            trial.records, from_s=WARM_UP_S
        )
        self.figures["wasted_messages_per_task"] = wasted / trial.tasks()
        self.series["ratios"] = sorted(ratios.values)[
            :: 1 + len(ratios.values) // 400
        ]

    async def crest(self) -> None:
        """Measure goodput, refusals and recovery at a fivefold load step."""
        peak_load = PEAK_BASE_LOAD * PEAK_FACTOR
        submissions = demand.generate(
            self.profile,
            [
                self.level(BEFORE_PEAK_S, PEAK_BASE_LOAD),
                self.level(PEAK_S, peak_load, jobs_factor=PEAK_FACTOR),
                self.level(AFTER_PEAK_S, PEAK_BASE_LOAD),
            ],
            seed=self.seed + 1,
            long_until_s=BEFORE_PEAK_S + PEAK_S,
        )
        trial = await self.rig.run(submissions)
        self.record_trial("crest", trial)
        end_s = BEFORE_PEAK_S + PEAK_S
        useful_s = measures.useful_slot_s(
            trial.records,
            trial.starts,
            self.rig.minion_speeds(),
            begin_s=BEFORE_PEAK_S,
            end_s=end_s,
            start_wall_s=trial.start_wall_s,
        )
        possible_s = measures.possible_slot_s(
            trial.records,
            self.rig.slot_speeds(),
            begin_s=BEFORE_PEAK_S,
            end_s=end_s,
        )
        refusals = measures.refusals(trial.records)
        self.figures["crest_goodput"] = useful_s / possible_s
        self.figures["crest_refusals"] = refusals.count()
        self.figures["crest_refusal_p50_ms"] = (
            refusals.percentile_s(50) * 1000.0
        )
        self.figures["crest_refusal_p99_ms"] = (
            refusals.percentile_s(99) * 1000.0
        )
        self.figures["crest_recovery_s"] = measures.recovery_s(
            trial.records,
            warm_s=WARM_UP_S / 2.0,
            step_s=BEFORE_PEAK_S,
            end_s=end_s,
        )
        self.notes["crest"]["windows"] = [
            dataclasses.asdict(w) for w in measures.windows(trial.records)
        ]
        self.series["crest"] = [
            (w.begin_s, w.stretch, w.failed_share)
            for w in measures.windows(trial.records)
        ]

    async def mix(self) -> None:
        """Measure p99 of short requests alone and beside long work."""
        short = self.profile.short_only()
        long = self.profile.long_only()
        short_level = demand.Level(
            length_s=WARM_UP_S + MIX_S,
            requests_per_s=self.rate(SHORT_LOAD, short),
        )
        long_level = demand.Level(
            length_s=(WARM_UP_S + MIX_S) * LONG_ARRIVAL_SHARE,
            requests_per_s=self.rate(LONG_LOAD / LONG_ARRIVAL_SHARE, long),
        )
        short_work = demand.generate(short, [short_level], seed=self.seed + 2)
        long_work = demand.generate(
            long,
            [long_level],
            seed=self.seed + 3,
            first_number=len(short_work),
        )
        short_trial = await self.rig.run(short_work)
        self.record_trial("short", short_trial)
        both = sorted([*short_work, *long_work], key=lambda each: each.at_s)
        mixed_trial = await self.rig.run(both)
        self.record_trial("short_with_long", mixed_trial)
        alone_s = measures.short_p99_s(short_trial.records, from_s=WARM_UP_S)
        beside_long_s = measures.short_p99_s(
            mixed_trial.records, from_s=WARM_UP_S
        )
        self.figures["short_p99_without_s"] = alone_s
        self.figures["short_p99_with_s"] = beside_long_s
        self.figures["short_p99_with_long_over_without"] = (
            beside_long_s / alone_s
        )

    async def faults(self, names: collections.abc.Iterable[str]) -> None:
        """Inject each fault in turn."""
        for index, name in enumerate(names):
            await self.run_fault(name, index)

    async def run_fault(self, name: str, index: int) -> None:
        """Inject one fault and clear it while the fleet is under load."""
        inject, clear = self.fault_steps(name)

        async def during() -> None:
            await self.rig.pause(FAULT_BEGIN_S)
            await threads.deferToThread(inject)
            await self.rig.pause(FAULT_END_S - FAULT_BEGIN_S)
            await threads.deferToThread(clear)

        submissions = demand.generate(
            self.profile.short_only(),
            [
                demand.Level(
                    length_s=FAULT_S,
                    requests_per_s=self.rate(
                        FAULT_LOAD, self.profile.short_only()
                    ),
                    jobs_per_s=JOBS_PER_S,
                )
            ],
            seed=self.seed + 10 + index,
        )
        trial = await self.rig.run(submissions, during=during)
        self.record_trial(name, trial)
        self.fault_figures[name] = {
            "violations": len(trial.verdict.violations),
            "unanswered": trial.verdict.unanswered,
            "goodput": measures.answered_share(trial.records),
            "violation_rules": sorted(
                {v.rule for v in trial.verdict.violations}
            ),
        }
        await self.rig.wait_ready()

    def fault_steps(
        self, name: str
    ) -> tuple[
        collections.abc.Callable[[], None], collections.abc.Callable[[], None]
    ]:
        """Return the functions that inject and clear a fault."""
        fleet = self.rig.fleet
        layout = self.rig.layout
        minion = layout.minions[0].name
        set_faults = self.rig.set_faults
        agent_names = [each.name for each in layout.agents]
        match name:
            case "kill_coordinator":
                return self.kill_and_restart_steps(
                    self.find_agent(agent_names, owns_shards=True)
                )
            case "kill_entry":
                return self.kill_and_restart_steps(layout.entries[0].name)
            case "kill_worker_agent":
                workers = agent_names[len(layout.minions) :]
                return self.kill_and_restart_steps(
                    self.find_agent(workers, owns_shards=False)
                )
            case "silent_connections":
                paused = self.find_agent(agent_names, owns_shards=True)
                return (
                    functools.partial(fleet.pause, paused),
                    functools.partial(fleet.resume, paused),
                )
        stand_in, faults = {
            "table_down": (layout.table.name, {"down": True}),
            "table_answers_lost": (layout.table.name, {"drop_answer": True}),
            "minion_fails_fast": (minion, {"fail": True}),
            "minion_frozen": (minion, {"freeze": True}),
        }[name]
        return (
            functools.partial(set_faults, stand_in, **faults),
            functools.partial(set_faults, stand_in),
        )

    def kill_and_restart_steps(
        self, name: str
    ) -> tuple[
        collections.abc.Callable[[], None], collections.abc.Callable[[], None]
    ]:
        """Return the functions that kill a process and restart it."""
        fleet = self.rig.fleet
        return (
            functools.partial(fleet.kill, name),
            functools.partial(fleet.restart, name),
        )

    def find_agent(self, names: list[str], *, owns_shards: bool) -> str:
        """Return the first agent that owns a shard, or that owns none.

        Falls back to the first agent.
        """
        for name in names:
            shards = self.rig.fleet.agent_status(name)["shards"]
            if bool(shards) == owns_shards:
                return name
        return names[0]

    def outcome(self) -> Outcome:
        """Return the results of all phases that ran."""
        return Outcome(
            figures=self.figures,
            faults=self.fault_figures,
            series=self.series,
            notes=self.notes,
        )


def finite_or_none(value: float) -> float | None:
    """Return ``value``, or ``None`` for NaN and infinity (not in JSON)."""
    return value if math.isfinite(value) else None
