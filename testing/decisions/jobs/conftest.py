"""Fixtures for the tests of job scheduling."""

import pytest

from testing.decisions.jobs import cluster as clusters


@pytest.fixture
def make_cluster():
    """Return a function that starts a cluster and connects its agents."""

    def make(**options):
        cluster = clusters.SimulatedCluster(**options)
        cluster.run(1.0)
        return cluster

    return make


@pytest.fixture
def cluster(make_cluster):
    """Return a cluster of two entries and three agents, ready for work."""
    return make_cluster()
