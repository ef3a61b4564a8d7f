"""Tests of the list of tests that are known to fail."""

from testing import known_red

TEXT = """Tests that fail because of open faults.

testing/fleet/test_table.py::test_slow_table
    make test, seed from the name of the test
    an id ran twice

testing/test_ids.py::test_time
    never seen
"""


def test_only_named_tests_are_marked():
    """Guards against a failure that is hidden without an entry."""
    first, second = known_red.parse(TEXT)
    assert first.matches("testing/fleet/test_table.py::test_slow_table")
    assert first.matches("testing/fleet/test_table.py::test_slow_table[a]")
    assert not first.matches("testing/fleet/test_table.py::test_slow_tables")
    assert second.test == "testing/test_ids.py::test_time"
    assert first.reason.endswith("an id ran twice")


def test_without_the_file_nothing_is_marked(tmp_path):
    """Guards against tests that depend on the file."""
    assert known_red.read(tmp_path / "KNOWN-RED.txt") == ()
