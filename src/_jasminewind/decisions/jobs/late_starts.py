"""Starts that got no answer and may still be carried out."""

# A call without an answer may be carried out this much later, after newer
# calls, and by a later life of the endpoint. The platform's description of its
# disruptions gives the time.
MAX_CALL_DELAY_S = 12.0


class LateStarts:
    """Until when a start that got no answer may reach the endpoint."""

    def __init__(self) -> None:
        self.until_s = 0.0

    def record(self, sent_s: float) -> None:
        """Record a start that was sent at ``sent_s`` or before."""
        self.until_s = max(self.until_s, sent_s + MAX_CALL_DELAY_S)

    def may_arrive(self, now_s: float) -> bool:
        """Tell whether a start may still arrive."""
        return now_s < self.until_s
