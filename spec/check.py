"""Searches a model, or a mutation of it, for violated invariants."""

import dataclasses

import minicheck

MAX_STATES = 2_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class SearchResult:
    """Result of a search.

    ``steps`` is the length of the shortest counterexample, ``None`` if there
    is none.
    """

    name: str
    states: int
    exhaustive: bool
    steps: int | None
    labels: tuple[str, ...] = ()


def search(model: minicheck.Protocol) -> SearchResult:
    """Search the whole state space for a violated invariant."""
    report = minicheck.check_safety(model, max_states=MAX_STATES)
    traces = [
        prop["counterexample"]
        for prop in report["properties"].values()
        if prop["holds"] is False
    ]
    trace = min(traces, key=len, default=None)
    labels = () if trace is None else tuple(s["label"] for s in trace[1:])
    return SearchResult(
        name=model.name,
        states=report["reachable_states"],
        exhaustive=report["exhaustive"],
        steps=None if trace is None else len(labels),
        labels=labels,
    )


def find_counterexample(model: minicheck.Protocol) -> SearchResult:
    """Search a mutated model until an invariant is violated."""
    all_transitions = model.transitions
    predicates = tuple(model.invariants.values())
    counterexamples = []

    def transitions(values: tuple) -> list:
        if counterexamples:
            return []
        steps = all_transitions(values)
        for label, after in steps:
            if not all(p(model.d(after)) for p in predicates):
                counterexamples.append(after)
                return [(label, after)]
        return steps

    stopped = dataclasses.replace(model, transitions=transitions)
    return search(stopped)


def reachable_labels(model: minicheck.Protocol) -> frozenset[str]:
    """Return the labels of all steps of a model."""
    labels = set()

    def transitions(values: tuple) -> list:
        steps = model.transitions(values)
        labels.update(label for label, _ in steps)
        return steps

    search(dataclasses.replace(model, transitions=transitions))
    return frozenset(labels)
