"""Tests that are known to fail because of a fault that is still open.

``KNOWN-RED.txt`` in the root directory has one entry for each: the id of
the test at the start of a line, then indented lines with the command and
seed, what was seen, and the issue.
"""

import dataclasses
import pathlib

import pytest

PATH = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownFailure:
    """One test, and why it is known to fail."""

    test: str
    reason: str

    def matches(self, test_id: str) -> bool:
        """Tell whether the entry is for this test or one of its cases."""
        return test_id == self.test or test_id.startswith(f"{self.test}[")


def parse(text: str) -> tuple[KnownFailure, ...]:
    """Return the entries in the text of the file."""
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
    """Return the entries of the file, none when there is no file."""
    if not path.exists():
        return ()
    return parse(path.read_text())


def mark_known_failures(
    items: list[pytest.Item], failures: tuple[KnownFailure, ...]
) -> None:
    """Let exactly the named tests fail without failing the run."""
    for item in items:
        for failure in failures:
            if failure.matches(item.nodeid):
                item.add_marker(
                    pytest.mark.xfail(reason=failure.reason, strict=False)
                )
