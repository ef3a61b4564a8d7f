"""Short soaks with fixed seeds, and every seed that ever failed."""

import pytest
from twisted.internet import defer

from testing import reactor as reactors
from testing.soak import faults
from testing.soak import soak

SINGLE = (faults.Group.SINGLE,)
COMBINED = (*SINGLE, faults.Group.COMBINED)
ENDPOINTS = (*COMBINED, faults.Group.ENDPOINTS)
# Seed, duration of the soak in seconds, and its groups of faults.
CI_SOAKS = (
    (1, 8.0, SINGLE),
    (2, 8.0, SINGLE),
    (3, 8.0, COMBINED),
    (4, 8.0, COMBINED),
    (5, 8.0, ENDPOINTS),
)
# Seeds that failed before.
REGRESSIONS = (
    # A lease of 1 s outlived the caller's retry delay of 1.3 s: the entry
    # was killed, and then calls to the endpoint were delayed.
    (40, 15.0, SINGLE),
)


@pytest.mark.parametrize(
    ("seed", "duration_s", "groups"), CI_SOAKS + REGRESSIONS
)
def test_promises_hold_under_random_faults(seed, duration_s, groups, tmp_path):
    """Guards against violations by combinations of random faults.

    Processes, connections, the store and endpoints fail in random order.
    """

    def start():
        return defer.ensureDeferred(
            soak.run(
                seed,
                duration_s=duration_s,
                folder=tmp_path,
                groups=groups,
            )
        )

    result = reactors.call(start)
    assert not result.violations, result
    assert result.completed
