"""Model of the configuration protocol, checked exhaustively.

Three entries hold version 1. Two operators race to replace it, each at its
own entry. A lost message is a step that is never taken, so network partitions
from the table and between entries need no state. Writes may take effect long
after they were sent, pushes of any version may arrive at any time, and entries
crash and restart with empty memory.

Time passes in ticks of one freshness period (2 s). Freshness that was
confirmed before a change was accepted has expired two ticks later.
"""

import collections.abc
import dataclasses
import enum
import time

import minicheck

ENTRIES = 3
MAJORITY = 2
FRESH_TICKS = 2
MAX_STATES = 2_000_000


class Mutation(enum.StrEnum):
    """A rule that is removed from the model."""

    NONE = "none"
    ACCEPT_WITHOUT_MAJORITY = "accept without majority"
    APPLY_LOWER_VERSION = "apply a lower version"
    FRESH_WITHOUT_MAJORITY = "freshness without majority"
    CONFIRM_BEFORE_FIRST_READ = "confirm before the first own read"
    LOST_ANSWER_IS_FAILURE = "take a lost write answer for a failure"


class Stage(enum.IntEnum):
    """Stage of an operator's change.

    ``GONE`` and ``GONE_SENT``: the entry restarted and forgot the change. In
    ``GONE_SENT`` its write may still take effect.
    """

    IDLE = 0
    SENT = 1
    WRITTEN = 2
    ACCEPTED = 3
    CONFLICT = 4
    GONE = 5
    GONE_SENT = 6


@dataclasses.dataclass(frozen=True)
class State:
    """One state; tuples are indexed by entry or by operator.

    ``acked`` holds the entries that acknowledged a change, or -1 if it was
    reported as not written, ``fresh`` counts the ticks until freshness
    expires, ``has_read`` is set for entries that have read the row since their
    start, ``winner`` is the operator whose change is version 2, and
    ``accepted_age`` counts the ticks since a change was accepted.
    """

    row: int = 1
    winner: int = -1
    applied: tuple[int, ...] = (1, 1, 1)
    fresh: tuple[int, ...] = (0, 0, 0)
    has_read: tuple[bool, ...] = (True, True, True)
    stages: tuple[int, ...] = (Stage.IDLE, Stage.IDLE)
    acked: tuple[frozenset[int], ...] = (frozenset(), frozenset())
    accepted_age: int = -1
    crashes: int = 0
    has_gone_back: bool = False


Step = tuple[str, State]


def replace_at(values: tuple, index: int, value: object) -> tuple:
    """Return ``values`` with the element at ``index`` replaced."""
    return values[:index] + (value,) + values[index + 1 :]


def apply_version(
    state: State, entry: int, version: int, mutation: str
) -> State:
    """Return the state after an entry applied a version, if allowed."""
    current = state.applied[entry]
    if version == current:
        return state
    if version < current and mutation != Mutation.APPLY_LOWER_VERSION:
        return state
    return dataclasses.replace(
        state,
        applied=replace_at(state.applied, entry, version),
        has_gone_back=state.has_gone_back or version < current,
    )


def operator_steps(state: State, op: int, mutation: str) -> list[Step]:
    """Return the steps of one operator's change at its entry."""
    steps: list[Step] = []
    stage = state.stages[op]

    def change_stage(value: Stage, **changes: object) -> State:
        stages = replace_at(state.stages, op, value)
        return dataclasses.replace(state, stages=stages, **changes)

    if stage == Stage.IDLE and state.row == 1:
        steps.append((f"write {op} sent", change_stage(Stage.SENT)))
    if stage in (Stage.SENT, Stage.GONE_SENT) and state.row == 1:
        effect = dataclasses.replace(state, row=2, winner=op)
        steps.append((f"write {op} takes effect", effect))
    if stage == Stage.SENT:
        if state.winner == op:
            after = apply_version(change_stage(Stage.WRITTEN), op, 2, mutation)
            steps.append((f"change {op} found in the row", after))
        elif state.row == 2:
            steps.append(
                (f"change {op} lost the race", change_stage(Stage.CONFLICT))
            )
        elif mutation == Mutation.LOST_ANSWER_IS_FAILURE:
            stages = replace_at(state.stages, op, Stage.GONE_SENT)
            reported = dataclasses.replace(
                state,
                stages=stages,
                acked=replace_at(state.acked, op, frozenset({-1})),
            )
            steps.append((f"change {op} reported as not written", reported))
    if stage == Stage.WRITTEN:
        steps += accept_steps(state, op, mutation)
    return steps


def accept_steps(state: State, op: int, mutation: str) -> list[Step]:
    """Return acknowledgements of a change, and its acceptance."""
    steps: list[Step] = []
    for entry in range(ENTRIES):
        if state.applied[entry] >= 2 and entry not in state.acked[op]:
            acked = replace_at(state.acked, op, state.acked[op] | {entry})
            after = dataclasses.replace(state, acked=acked)
            steps.append((f"entry {entry} acknowledges {op}", after))
    enough = len(state.acked[op]) >= MAJORITY
    if enough or mutation == Mutation.ACCEPT_WITHOUT_MAJORITY:
        after = dataclasses.replace(
            state,
            stages=replace_at(state.stages, op, Stage.ACCEPTED),
            accepted_age=0,
        )
        steps.append((f"change {op} accepted", after))
    return steps


def entry_steps(state: State, entry: int, mutation: str) -> list[Step]:
    """Return the steps of one entry."""
    steps: list[Step] = []
    for version in range(1, state.row + 1):
        after = apply_version(state, entry, version, mutation)
        steps.append((f"push of {version} reaches {entry}", after))
    read = apply_version(state, entry, state.row, Mutation.NONE)
    read = dataclasses.replace(
        read,
        fresh=replace_at(read.fresh, entry, FRESH_TICKS),
        has_read=replace_at(read.has_read, entry, True),
    )
    steps.append((f"entry {entry} reads the row", read))
    if state.has_read[entry] and state.applied[entry] > 0:
        confirmed = dataclasses.replace(
            state, fresh=replace_at(state.fresh, entry, FRESH_TICKS)
        )
        for peer in range(ENTRIES):
            if peer != entry and confirms(state, entry, peer, mutation):
                steps.append((f"{peer} confirms {entry}", confirmed))
        if mutation == Mutation.FRESH_WITHOUT_MAJORITY:
            steps.append((f"{entry} confirms itself", confirmed))
    if state.crashes < 1:
        steps.append((f"entry {entry} restarts", restart(state, entry)))
    return steps


def confirms(state: State, entry: int, peer: int, mutation: str) -> bool:
    """Return whether ``peer`` and ``entry`` are a majority for a version."""
    if state.applied[peer] != state.applied[entry]:
        return False
    if mutation == Mutation.CONFIRM_BEFORE_FIRST_READ:
        return True
    return state.has_read[peer]


def restart(state: State, entry: int) -> State:
    """Return the state after an entry restarted with empty memory."""
    stages = state.stages
    if entry < len(stages):
        lost = Stage.GONE_SENT if stages[entry] == Stage.SENT else Stage.GONE
        if stages[entry] in (Stage.SENT, Stage.WRITTEN):
            stages = replace_at(stages, entry, lost)
    return dataclasses.replace(
        state,
        applied=replace_at(state.applied, entry, 0),
        fresh=replace_at(state.fresh, entry, 0),
        has_read=replace_at(state.has_read, entry, False),
        stages=stages,
        crashes=state.crashes + 1,
    )


def tick(state: State) -> State:
    """Return the state one freshness period later."""
    age = state.accepted_age
    return dataclasses.replace(
        state,
        fresh=tuple(max(0, f - 1) for f in state.fresh),
        accepted_age=age if age < 0 else min(FRESH_TICKS, age + 1),
    )


def is_in_force(state: State) -> bool:
    """Return whether all fresh entries apply an accepted change."""
    if state.accepted_age < FRESH_TICKS:
        return True
    return all(
        version >= 2
        for version, fresh in zip(state.applied, state.fresh)
        if fresh
    )


def are_reports_true(state: State) -> bool:
    """Return whether no change reported as failed took effect."""
    for op, stage in enumerate(state.stages):
        reported_failed = stage == Stage.CONFLICT or -1 in state.acked[op]
        if reported_failed and state.winner == op:
            return False
    return True


INVARIANTS: dict[str, collections.abc.Callable[[State], bool]] = {
    "accepted change in force at every fresh entry": is_in_force,
    "no entry goes back to a lower version": lambda s: not s.has_gone_back,
    "failure reports are true": are_reports_true,
    "one change wins": lambda s: s.stages.count(Stage.ACCEPTED) <= 1,
}


def model(mutation: Mutation) -> minicheck.Protocol:
    """Return the model with one rule removed.

    A mutated model is not explored beyond its first counterexample.
    """
    has_counterexample = False

    def transitions(values: tuple[State]) -> list[tuple[str, tuple[State]]]:
        if has_counterexample and mutation is not Mutation.NONE:
            return []
        state = values[0]
        steps: list[Step] = [("2 s pass", tick(state))]
        for op in range(len(state.stages)):
            steps += operator_steps(state, op, mutation)
        for entry in range(ENTRIES):
            steps += entry_steps(state, entry, mutation)
        return [(label, (after,)) for label, after in steps]

    def recorded(
        holds: collections.abc.Callable[[State], bool],
    ) -> collections.abc.Callable[[dict[str, State]], bool]:
        def invariant(fields: dict[str, State]) -> bool:
            nonlocal has_counterexample
            verdict = holds(fields["state"])
            has_counterexample = has_counterexample or not verdict
            return verdict

        return invariant

    return minicheck.Protocol(
        name=f"configuration, mutation: {mutation}",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=transitions,
        invariants={
            name: recorded(holds) for name, holds in INVARIANTS.items()
        },
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckResult:
    """Result of checking the model under one mutation.

    ``counterexamples`` gives the steps of the shortest counterexample of
    each invariant that does not hold.
    """

    mutation: Mutation
    states: int
    exhaustive: bool
    counterexamples: dict[str, int]
    seconds: float

    def as_expected(self) -> bool:
        """Return whether only a mutation has counterexamples."""
        if self.mutation is Mutation.NONE:
            return self.exhaustive and not self.counterexamples
        return bool(self.counterexamples)


def check_one(mutation: Mutation) -> CheckResult:
    """Check the model with one rule removed."""
    start_s = time.perf_counter()
    report = minicheck.check_safety(model(mutation), max_states=MAX_STATES)
    properties = report["properties"]
    is_violated = any(p["holds"] is False for p in properties.values())
    stopped_early = is_violated and mutation is not Mutation.NONE
    return CheckResult(
        mutation=mutation,
        states=report["reachable_states"],
        exhaustive=report["exhaustive"] and not stopped_early,
        counterexamples={
            name: len(found["counterexample"]) - 1
            for name, found in properties.items()
            if found["holds"] is False
        },
        seconds=time.perf_counter() - start_s,
    )


def check() -> list[CheckResult]:
    """Check the model, and the model without each of its rules."""
    return [check_one(mutation) for mutation in Mutation]


def main() -> None:
    """Print the size and the counterexamples of each check."""
    results = check()
    for result in results:
        print(
            f"configuration, {result.mutation}: {result.states} states, "
            f"exhaustive {'yes' if result.exhaustive else 'no'}, "
            f"{result.seconds:.1f} s"
        )
        for name, steps in result.counterexamples.items():
            print(f"  counterexample of {steps} steps: {name}")
    if not all(result.as_expected() for result in results):
        raise SystemExit(
            "configuration: the model does not behave as expected"
        )


if __name__ == "__main__":
    main()
