"""Budget of retries and hedges."""

# Lets a coordinator that has just started retry rare work, before it has
# seen enough successes to earn a retry.
INITIAL_TOKENS = 2.0
# Successes of a quiet period must not allow a retry storm in a busy one.
MAX_TOKENS = 100.0
# Attempts of one task, the first one included.
MAX_ATTEMPTS = 3
# A request is hedged when it runs this many times its learned p99.
HEDGE_FACTOR = 1.5


class RetryBudget:
    """Retries and hedges that successful work has earned."""

    def __init__(self, *, per_success: float) -> None:
        self.per_success = per_success
        self.tokens = INITIAL_TOKENS
        self.spent = 0

    def record_success(self) -> None:
        """Count one successful task."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.per_success)

    def try_spend(self) -> bool:
        """Take one retry if the budget has one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True
