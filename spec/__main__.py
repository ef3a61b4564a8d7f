"""Checks every model and every mutation; see ``make model``."""

import sys

from spec import check
from spec import configuration
from spec import ownership
from spec import starts

MODELS = (ownership, starts)


def main() -> int:
    """Print the findings; return 1 when one is not as it must be."""
    failed = False
    for model in MODELS:
        finding = check.search(model.build())
        good = finding.exhaustive and finding.steps is None
        failed = failed or not good
        verdict = "holds" if good else f"FAILS in {finding.steps} steps"
        print(
            f"{finding.name}: {finding.states} states, "
            f"exhaustive: {finding.exhaustive}, invariant {verdict}"
        )
        for label in finding.labels:
            print(f"    {label}")
        for mutation in model.MUTATIONS:
            failed = report(check.refute(model.build(mutation))) or failed
    configuration.main()
    return int(failed)


def report(finding: check.Finding) -> bool:
    """Print a mutation; return whether its counterexample is missing."""
    if finding.steps is None:
        print(f"  without {finding.name}: NO COUNTEREXAMPLE")
        return True
    print(
        f"  without {finding.name}: counterexample of "
        f"{finding.steps} steps"
    )
    return False


if __name__ == "__main__":
    sys.exit(main())
