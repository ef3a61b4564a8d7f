"""Retry budget, shared by retries and hedged requests."""

# Allows a few retries before a coordinator that has just started has seen
# enough successes.
INITIAL_TOKENS = 2.0
# Tokens saved in a quiet period must not allow a retry storm later.
MAX_TOKENS = 100.0
# Attempts per task, including the first.
MAX_ATTEMPTS = 3
# A request is hedged after this multiple of its learned p99 run time.
HEDGE_FACTOR = 1.5


class RetryBudget:
    """Token bucket for retries, filled by successful tasks."""

    def __init__(self, *, per_success: float) -> None:
        self.per_success = per_success
        self.tokens = INITIAL_TOKENS
        self.spent = 0

    def record_success(self) -> None:
        """Add the tokens of one successful task."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.per_success)

    def try_spend(self) -> bool:
        """Take a token for one retry; return false when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True
