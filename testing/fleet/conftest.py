"""Fixtures: one small fleet shared by all tests, recovered between them."""

import collections.abc
import zlib

import pytest

from testing.fleet import system as systems
from testing.fleet import traffic


@pytest.fixture(scope="session")
def shared(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[systems.System]:
    """Return the small fleet in whatever state the last test left it."""
    system = systems.build(systems.SMALL, tmp_path_factory.mktemp("fleet"))
    yield system
    system.stop()


@pytest.fixture
def system(
    shared: systems.System,
) -> collections.abc.Iterator[systems.System]:
    """Return the healthy fleet; fail if it cannot recover after the test."""
    shared.recover()
    yield shared
    shared.recover()


@pytest.fixture
def client(
    system: systems.System, request: pytest.FixtureRequest
) -> traffic.Client:
    """Return a client whose seed is derived from the test's name."""
    seed = zlib.crc32(request.node.name.encode())
    return traffic.Client(system, seed=seed)
