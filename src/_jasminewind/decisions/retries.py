"""Budget of retries and hedges."""

# Lets a coordinator that has just started retry rare work, before it has
# seen enough successes to earn a retry.
INITIAL_RETRIES = 2.0
# Successes of a quiet period must not allow a retry storm in a busy one.
MAX_SAVED_RETRIES = 100.0
# Attempts of one task, the first one included.
MAX_ATTEMPTS = 3
# A request is hedged when it runs this many times its learned p99.
HEDGE_FACTOR = 1.5


class RetryBudget:
    """Retries and hedges that successful work has earned."""

    def __init__(self, *, per_success: float) -> None:
        self.per_success = per_success
        self.tokens = INITIAL_RETRIES
        self.spent = 0

    def earn(self) -> None:
        """Count one successful task."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + self.per_success)

    def spend(self) -> bool:
        """Take one retry if the budget has one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True
