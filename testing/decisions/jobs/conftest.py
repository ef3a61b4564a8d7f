"""Fixtures of the tests of jobs."""

import pytest

from testing.decisions.jobs import cluster as clusters


@pytest.fixture
def make_cluster():
    """Return a function that starts a fleet and lets it settle."""

    def make(**options):
        cluster = clusters.SimulatedCluster(**options)
        cluster.run(1.0)
        return cluster

    return make


@pytest.fixture
def cluster(make_cluster):
    """Return two entries and three agents that are ready for work."""
    return make_cluster()
