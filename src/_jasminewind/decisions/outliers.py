"""Ejection of endpoints that fail more than their peers."""

from _jasminewind.decisions import pools

# Weight of one result in the failure rate of an endpoint.
RATE_WEIGHT = 0.2
MIN_RESULTS = 5
MIN_FAILURE_RATE = 0.5
PEER_FACTOR = 3.0
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 1.0 / 3.0


def record_success(keeper: pools.KeeperState) -> None:
    """Count a task that an endpoint completed."""
    keeper.failure_rate *= 1.0 - RATE_WEIGHT
    keeper.results += 1
    if keeper.failure_rate < 0.01:
        keeper.ejections = 0


def record_failure(
    pool: pools.Pool, keeper: pools.KeeperState, now_s: float
) -> bool:
    """Count a failed task; return whether the endpoint is ejected."""
    keeper.failure_rate += RATE_WEIGHT * (1.0 - keeper.failure_rate)
    keeper.results += 1
    if not is_outlier(pool, keeper, now_s):
        return False
    period_s = BASE_EJECTION_S * 2.0**keeper.ejections
    keeper.ejected_until_s = now_s + min(period_s, MAX_EJECTION_S)
    keeper.ejections += 1
    # The endpoint returns on probation: fresh results decide.
    keeper.results = MIN_RESULTS - 2
    keeper.failure_rate = MIN_FAILURE_RATE / 2.0
    return True


def is_outlier(
    pool: pools.Pool, keeper: pools.KeeperState, now_s: float
) -> bool:
    """Tell whether an endpoint must be ejected now."""
    if keeper.results < MIN_RESULTS:
        return False
    if keeper.failure_rate < MIN_FAILURE_RATE:
        return False
    if keeper.ejected_until_s > now_s:
        return False
    peers = [each for each in pool.keepers if each is not keeper]
    if not peers:
        return False
    ejected = sum(1 for each in peers if each.ejected_until_s > now_s)
    if ejected + 1 > len(pool.keepers) * MAX_EJECTED_SHARE:
        return False
    judged = [each for each in peers if each.results > 0]
    if not judged:
        return False
    total = sum(each.failure_rate for each in judged)
    return keeper.failure_rate > PEER_FACTOR * total / len(judged)
