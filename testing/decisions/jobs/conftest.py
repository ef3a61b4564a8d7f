"""Fixtures of the tests of jobs."""

import pytest

from testing.decisions.jobs import world as worlds


@pytest.fixture
def make_world():
    """Return a function that starts a fleet and lets it settle."""

    def make(**options):
        world = worlds.World(**options)
        world.run(1.0)
        return world

    return make


@pytest.fixture
def world(make_world):
    """Return two entries and three agents that are ready for work."""
    return make_world()
