"""Checks every model and every mutation; see ``make model``."""

import sys

from spec import check
from spec import configuration
from spec import delivery
from spec import departures
from spec import grants
from spec import later_lives
from spec import ownership
from spec import starts

MODELS = (ownership, starts, grants, departures, later_lives, delivery)


def main() -> int:
    """Print the results; return 1 if one is not as expected."""
    failed = False
    for model in MODELS:
        result = check.search(model.build())
        failed = print_result(result, "invariant") or failed
        for mutation in model.MUTATIONS:
            failed = (
                print_mutation(
                    check.find_counterexample(model.build(mutation))
                )
                or failed
            )
    for name in delivery.LOSSY_STATES:
        result = check.search_trap(delivery.build_lossy(name))
        failed = print_result(result, f"recovery of {name}") or failed
    for mutation, name in delivery.LIVENESS_MUTATIONS.items():
        result = check.search_trap(delivery.build_lossy(name, mutation))
        failed = print_mutation(result) or failed
    configuration.main()
    return int(failed)


def print_result(result: check.SearchResult, prop: str) -> bool:
    """Print the result of a model; return whether it is a failure."""
    holds = result.exhaustive and result.steps is None
    verdict = "holds" if holds else f"FAILS in {result.steps} steps"
    print(
        f"{result.name}: {result.states} states, "
        f"exhaustive: {result.exhaustive}, {prop} {verdict}"
    )
    for label in result.labels:
        print(f"    {label}")
    return not holds


def print_mutation(result: check.SearchResult) -> bool:
    """Print the result of a mutation; return whether it is a failure.

    Each mutation removes a rule that is needed, so it must have a
    counterexample.
    """
    if result.steps is None:
        print(f"  without {result.name}: NO COUNTEREXAMPLE")
        return True
    print(f"  without {result.name}: counterexample of {result.steps} steps")
    return False


if __name__ == "__main__":
    sys.exit(main())
