"""Options, hypothesis settings and known failures of all tests."""

import hypothesis
import pytest

from testing import known_red

DEFAULT_FUZZ_EXAMPLES = 25


def pytest_addoption(parser):
    """Add the option that sets the number of fuzzing examples."""
    parser.addoption(
        "--fuzz-examples",
        type=int,
        default=DEFAULT_FUZZ_EXAMPLES,
        help="examples of each stateful fuzzing test",
    )


def pytest_configure(config):
    """Make every hypothesis test deterministic and without a deadline."""
    hypothesis.settings.register_profile(
        "jasminewind",
        max_examples=config.getoption("--fuzz-examples"),
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.settings.load_profile("jasminewind")


def pytest_collection_modifyitems(items):
    """Mark the tests that are known to fail as xfail."""
    known_red.mark_known_failures(items, known_red.read())


def pytest_terminal_summary(terminalreporter):
    """Print every known failure after the test results."""
    failures = known_red.read()
    if not failures:
        return
    terminalreporter.section("known to fail (KNOWN-RED.txt)")
    for failure in failures:
        terminalreporter.write_line(f"{failure.test}: {failure.reason}")


@pytest.fixture
def fuzz_settings(request):
    """Return the hypothesis settings of a stateful fuzzing test."""
    return hypothesis.settings(
        max_examples=request.config.getoption("--fuzz-examples"),
        stateful_step_count=60,
        derandomize=True,
        deadline=None,
        database=None,
    )
