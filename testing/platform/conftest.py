"""Fixtures for tests of platform clients."""

import pytest

from testing import reactor


class Ends:
    """Collects the ends and the usage that a client reports."""

    def __init__(self):
        self.ends = []
        self.usage = []

    def on_end(self, end):
        """Collect one end."""
        self.ends.append(end)

    def on_usage(self, usage):
        """Collect one usage report."""
        self.usage.append(usage)

    def wait(self, count):
        """Wait for ``count`` ends and return them by key."""
        reactor.run(reactor.until, lambda: len(self.ends) >= count)
        return {end.key: end for end in self.ends}


@pytest.fixture
def ends():
    """Collector of what a client reports."""
    return Ends()
