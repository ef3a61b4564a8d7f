"""Reports what another writer left and this process cannot use."""

import structlog

from _jasminewind import metrics

MAX_LOGGED_CHARS = 200
# Reports that are remembered, so as not to repeat them.
MAX_REMEMBERED = 1_000


class OddInput:
    """Logs and counts each entry that is passed over, once.

    The same entry is often read again, some several times a second.
    """

    def __init__(self, meter: metrics.Meter = metrics.NO_METER) -> None:
        self.meter = meter
        self.log = structlog.get_logger("input")
        self.reported: dict[tuple[str, str, str], None] = {}

    def report(self, source: str, name: str, reason: str) -> None:
        """Report an entry of a source, unless that was done before."""
        key = (source, name[:MAX_LOGGED_CHARS], reason[:MAX_LOGGED_CHARS])
        if key in self.reported:
            return
        if len(self.reported) >= MAX_REMEMBERED:
            del self.reported[next(iter(self.reported))]
        self.reported[key] = None
        self.meter.add(metrics.UNUSABLE_INPUT, source=source)
        self.log.warning(
            "entry of another writer passed over",
            source=source,
            name=key[1],
            reason=key[2],
        )
