"""Model of one task: starts, lost answers, tombstones, resubmission.

The coordinator sends a start to the first executor. The start or its answer
may be lost or delayed. It places the task on the second executor only after
proof that the first never starts it. A submission may arrive twice, through
two entries, and joins the existing record. An executor process may be
replaced, which loses its tombstones; its worker is then attached with a newer
generation.
"""

import typing

import minicheck

MUTATIONS = ("tombstone", "join", "generation")
SUBMISSIONS = 2


class State(typing.NamedTuple):
    """State of one id with one task.

    ``placed`` is the number of the executor chosen last. Per executor,
    ``starts`` counts copies in the network, ``seen`` is set when one arrived,
    ``tombstones`` when the executor refuses the task. ``proved`` is set when
    the first start never runs, ``fenced`` when the replaced executor process
    can't start it.
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
    """Return ``values`` with the element at ``index`` replaced."""
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
        steps.append(("the first executor's worker starts the task", after))
    if state.placed == 1 and not state.proved:
        steps += proof_steps(state, mutation)
    if state.placed == 1 and state.proved:
        after = state._replace(
            placed=2, starts=replace_at(state.starts, 1, state.starts[1] + 1)
        )
        steps.append(("place on the second executor", after))
    if not state.replaced and state.placed:
        after = state._replace(
            replaced=True,
            seen=replace_at(state.seen, 0, False),
            tombstones=replace_at(state.tombstones, 0, False),
            starts=replace_at(state.starts, 0, 0),
        )
        steps.append(("the first executor is replaced", after))
    return steps


def arrival_steps(state: State, executor: int) -> list:
    """Return the loss or the arrival of a start at an executor."""
    left = replace_at(state.starts, executor, state.starts[executor] - 1)
    lost = state._replace(starts=left)
    steps = [(f"start to executor {executor} is lost", lost)]
    if state.tombstones[executor] or (executor == 0 and state.replaced):
        return [*steps, (f"executor {executor} refuses the start", lost)]
    seen = lost._replace(seen=replace_at(state.seen, executor, True))
    if executor == 0:
        seen = seen._replace(first_executor_has_start=True)
    else:
        seen = seen._replace(runs=seen.runs + 1)
    return [*steps, (f"start reaches executor {executor}", seen)]


def proof_steps(state: State, mutation: str) -> list:
    """Return proofs for the coordinator that the start never runs."""
    if not state.replaced and not state.seen[0]:
        after = state._replace(proved=True)
        if mutation != "tombstone":
            after = after._replace(
                tombstones=replace_at(state.tombstones, 0, True)
            )
        return [("the first executor answers never seen", after)]
    if state.replaced and state.runs == 0:
        after = state._replace(proved=True)
        if mutation != "generation":
            after = after._replace(fenced=True)
        return [("the lease list shows no start", after)]
    return []


def build(mutation: str = "") -> minicheck.Protocol:
    """Return the model without the rule named by ``mutation``."""

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
