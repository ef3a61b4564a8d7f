"""Endpoints that are expected to end."""

import dataclasses

from _jasminewind.messages import runs


@dataclasses.dataclass(frozen=True)
class Departure:
    """An endpoint that an agent uses no longer, and why.

    ``clock_ms`` is the time on the clock of the endpoint.
    """

    incarnation: runs.Incarnation
    clock_ms: int
    reason: str

    def is_before(self, clock_ms: int) -> bool:
        """Tell whether an announcement of this incarnation was sent later.

        The notice was then that of an earlier life under the same name.
        """
        return clock_ms > self.clock_ms
