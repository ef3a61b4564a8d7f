"""Model of one task: starts, lost answers, tombstones and resubmission.

The coordinator sends a start to the first keeper. The start or its answer
may be lost or late. It places the task on the second keeper only after
proof that the first never starts it. A submission may come twice, through
two entries, and joins the one record. A keeper may be replaced, which
loses its tombstones; its worker is then attached with a newer generation.
"""

import typing

import minicheck

MUTATIONS = ("tombstone", "join", "generation")
SUBMISSIONS = 2


class State(typing.NamedTuple):
    """State of one id with one task.

    ``starts`` are copies in the network per keeper, ``tombstones`` say
    which keepers refuse the task, ``proved`` that the first start never
    runs, ``fenced`` that an earlier keeper process cannot start any more.
    """

    submissions: int = 0
    known: bool = False
    placed: int = 0
    starts: tuple[int, int] = (0, 0)
    seen: tuple[bool, bool] = (False, False)
    tombstones: tuple[bool, bool] = (False, False)
    first_executor_has_start: bool = False
    replaced: bool = False
    fenced: bool = False
    proved: bool = False
    runs: int = 0


def replace_at(values: tuple, index: int, value: object) -> tuple:
    """Return ``values`` with one entry replaced."""
    return (*values[:index], value, *values[index + 1 :])


def steps_of(state: State, mutation: str) -> list:
    """Return the steps that are possible in ``state``."""
    steps = []
    if state.submissions < SUBMISSIONS:
        after = state._replace(submissions=state.submissions + 1)
        if not state.known or mutation == "join":
            after = after._replace(
                known=True,
                placed=1,
                starts=replace_at(after.starts, 0, after.starts[0] + 1),
            )
        steps.append(("submit through an entry", after))
    for executor in (0, 1):
        if state.starts[executor]:
            steps += arrival_steps(state, executor)
    if state.first_executor_has_start and not state.fenced:
        after = state._replace(
            first_executor_has_start=False, runs=state.runs + 1
        )
        steps.append(("the first keeper's worker starts the task", after))
    if state.placed == 1 and not state.proved:
        steps += proof_steps(state, mutation)
    if state.placed == 1 and state.proved:
        after = state._replace(
            placed=2, starts=replace_at(state.starts, 1, state.starts[1] + 1)
        )
        steps.append(("place on the second keeper", after))
    if not state.replaced and state.placed:
        after = state._replace(
            replaced=True,
            seen=replace_at(state.seen, 0, False),
            tombstones=replace_at(state.tombstones, 0, False),
            starts=replace_at(state.starts, 0, 0),
        )
        steps.append(("the first keeper is replaced", after))
    return steps


def arrival_steps(state: State, executor: int) -> list:
    """Return the loss or the arrival of a start at a keeper."""
    left = replace_at(state.starts, executor, state.starts[executor] - 1)
    lost = state._replace(starts=left)
    steps = [(f"start to keeper {executor} is lost", lost)]
    if state.tombstones[executor] or (executor == 0 and state.replaced):
        return [*steps, (f"keeper {executor} refuses the start", lost)]
    seen = lost._replace(seen=replace_at(state.seen, executor, True))
    if executor == 0:
        seen = seen._replace(first_executor_has_start=True)
    else:
        seen = seen._replace(runs=seen.runs + 1)
    return [*steps, (f"start reaches keeper {executor}", seen)]


def proof_steps(state: State, mutation: str) -> list:
    """Return how the coordinator learns that the start never runs."""
    if not state.replaced and not state.seen[0]:
        after = state._replace(proved=True)
        if mutation != "tombstone":
            after = after._replace(
                tombstones=replace_at(state.tombstones, 0, True)
            )
        return [("the first keeper answers never seen", after)]
    if state.replaced and state.runs == 0:
        after = state._replace(proved=True)
        if mutation != "generation":
            after = after._replace(fenced=True)
        return [("the lease list shows no start", after)]
    return []


def build(mutation: str = "") -> minicheck.Protocol:
    """Return the model, with one rule removed when named."""

    def transitions(values: tuple) -> list:
        found = steps_of(State(*values), mutation)
        return [(label, tuple(after)) for label, after in found]

    return minicheck.Protocol(
        name=f"starts {mutation}".strip(),
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"a task starts once": lambda v: v["runs"] <= 1},
    )
