"""A short soak with fixed seeds, and every seed that ever failed."""

import pytest
from twisted.internet import defer

from testing import reactor as reactors
from testing.soak import soak

CI_SEEDS = (1, 2)
CI_S = 8.0
# Seeds that failed once, each with a line on the cause.
REGRESSIONS: tuple[int, ...] = ()


@pytest.mark.parametrize("seed", CI_SEEDS + REGRESSIONS)
def test_promises_hold_under_random_faults(seed, tmp_path):
    """Guards against whatever the other tests do not think of."""

    def start():
        return defer.ensureDeferred(
            soak.play(seed, for_s=CI_S, folder=tmp_path)
        )

    verdict = reactors.call(start)
    assert not verdict.broken, verdict
    assert verdict.completed
