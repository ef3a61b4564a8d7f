"""Tests of the list of known test failures."""

from testing import known_red

TEXT = """Tests that fail because of open faults.

testing/fleet/test_table.py::test_slow_table
    make test, seed from the name of the test
    an id ran twice

testing/test_ids.py::test_time
    never seen
"""


def test_only_listed_tests_match():
    """Guards against hiding the failure of a test that is not listed."""
    first, second = known_red.parse(TEXT)
    assert first.matches("testing/fleet/test_table.py::test_slow_table")
    assert first.matches("testing/fleet/test_table.py::test_slow_table[a]")
    assert not first.matches("testing/fleet/test_table.py::test_slow_tables")
    assert second.test == "testing/test_ids.py::test_time"
    assert first.reason.endswith("an id ran twice")


def test_missing_file_lists_no_tests(tmp_path):
    """Guards against a test run that fails without the file."""
    assert known_red.read(tmp_path / "KNOWN-RED.txt") == ()
