"""Outlier ejection of endpoints that fail more than their peers."""

from _jasminewind.decisions import pools

# Weight of one result in the moving average of the failure rate.
FAILURE_SAMPLE_WEIGHT = 0.2
MIN_RESULTS = 5
MIN_FAILURE_RATE = 0.5
PEER_FACTOR = 3.0
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 1.0 / 3.0


def record_success(executor: pools.ExecutorState) -> None:
    """Count a task that an endpoint completed successfully."""
    executor.failure_rate *= 1.0 - FAILURE_SAMPLE_WEIGHT
    executor.results += 1
    if executor.failure_rate < 0.01:
        executor.ejections = 0


def record_failure(
    pool: pools.Pool, executor: pools.ExecutorState, now_s: float
) -> bool:
    """Count a failed task; return whether the endpoint is ejected."""
    executor.failure_rate += FAILURE_SAMPLE_WEIGHT * (
        1.0 - executor.failure_rate
    )
    executor.results += 1
    if not is_outlier(pool, executor, now_s):
        return False
    period_s = BASE_EJECTION_S * 2.0**executor.ejections
    executor.ejected_until_s = now_s + min(period_s, MAX_EJECTION_S)
    executor.ejections += 1
    # After its return at least two new results decide on another ejection.
    executor.results = MIN_RESULTS - 2
    executor.failure_rate = MIN_FAILURE_RATE / 2.0
    return True


def is_outlier(
    pool: pools.Pool, executor: pools.ExecutorState, now_s: float
) -> bool:
    """Tell whether an endpoint must be ejected now."""
    if executor.results < MIN_RESULTS:
        return False
    if executor.failure_rate < MIN_FAILURE_RATE:
        return False
    if executor.ejected_until_s > now_s:
        return False
    peers = [each for each in pool.executors if each is not executor]
    if not peers:
        return False
    ejected = sum(1 for each in peers if each.ejected_until_s > now_s)
    if ejected + 1 > len(pool.executors) * MAX_EJECTED_SHARE:
        return False
    measured = [each for each in peers if each.results > 0]
    if not measured:
        return False
    total = sum(each.failure_rate for each in measured)
    return executor.failure_rate > PEER_FACTOR * total / len(measured)
