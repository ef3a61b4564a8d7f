"""Marks tests that are known to fail because of open faults as xfail.

``KNOWN-RED.txt`` in the root directory lists each of them: the test id at
the start of a line, then indented lines with the command and seed, the
observed failure and the issue.
"""

import dataclasses
import pathlib

import pytest

PATH = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownFailure:
    """A test that is known to fail, and the reason."""

    test: str
    reason: str

    def matches(self, test_id: str) -> bool:
        """Tell whether ``test_id`` is this test or a parametrized case."""
        return test_id == self.test or test_id.startswith(f"{self.test}[")


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Parse the text of ``KNOWN-RED.txt``."""
    tests: list[str] = []
    reasons: list[list[str]] = []
    for line in text.splitlines():
        if line.startswith("testing/"):
            tests.append(line.strip())
            reasons.append([])
        elif line.startswith(" ") and reasons:
            reasons[-1].append(line.strip())
    return tuple(
        KnownFailure(test=test, reason=" ".join(reason))
        for test, reason in zip(tests, reasons, strict=True)
    )


def read(path: pathlib.Path = PATH) -> tuple[KnownFailure, ...]:
    """Return the known failures; none if the file does not exist."""
    if not path.exists():
        return ()
    return parse(path.read_text())


def mark_known_failures(
    items: list[pytest.Item], failures: tuple[KnownFailure, ...]
) -> None:
    """Mark exactly the listed tests as expected failures."""
    for item in items:
        for failure in failures:
            if failure.matches(item.nodeid):
                item.add_marker(
                    pytest.mark.xfail(reason=failure.reason, strict=False)
                )
