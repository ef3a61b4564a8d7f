"""Logs: JSON lines to stderr, and the decision log."""

import collections
import collections.abc
import dataclasses
import logging
import os
import sys
import typing

import msgspec
import structlog
import xxhash

from _jasminewind import settings
from _jasminewind import timers
from _jasminewind.decisions import core

MAX_KEPT_DECISIONS = 2_000
REPORT_PERIOD_S = 10.0
HASH_SPAN = 1 << 64


def configure(
    *,
    level: settings.LogLevel = settings.LogLevel.INFO,
    node: str = "",
    stream: typing.TextIO | None = None,
) -> None:
    """Write log lines as JSON to ``stream``, stderr by default.

    ``node`` is the name of this process and is part of each line.
    """
    number = logging.getLevelNamesMapping()[level.name]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    if node:
        structlog.contextvars.bind_contextvars(node=node)


class RateLimitedStream:
    """A stream of lines that never blocks and never exceeds a rate.

    Lines beyond the rate, or that the reader does not take in time, are
    dropped. The next line that is written is preceded by their number.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        lines_per_s: int,
        seconds: collections.abc.Callable[[], float],
    ) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.seconds = seconds
        self.tokens = float(lines_per_s)
        self.refilled_s = seconds()
        self.dropped = 0
        self.unwritten = b""

    def write(self, text: str) -> int:
        """Write one line, or count it as dropped."""
        now_s = self.seconds()
        refill = (now_s - self.refilled_s) * self.lines_per_s
        self.tokens = min(self.tokens + refill, float(self.lines_per_s))
        self.refilled_s = now_s
        if self.tokens < 1.0 or not self.flush_unwritten():
            self.dropped += 1
            return len(text)
        self.tokens -= 1.0
        if self.dropped:
            text = f'{{"event": "lines dropped", "n": {self.dropped}}}\n{text}'
            self.dropped = 0
        self.unwritten = text.encode()
        self.flush_unwritten()
        return len(text)

    def flush_unwritten(self) -> bool:
        """Write what is left of the last line; tell if nothing is."""
        if not self.unwritten:
            return True
        try:
            written = os.write(self.descriptor, self.unwritten)
        except BlockingIOError:
            return False
        self.unwritten = self.unwritten[written:]
        return not self.unwritten

    def flush(self) -> None:
        """Do nothing: lines are written at once."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoggedDecision:
    """A decision and the wall time at which it was made."""

    wall_ms: int
    decision: core.LogDecision

    def fields(self) -> dict[str, typing.Any]:
        """Return the fields that are set."""
        fields = {
            field.name: getattr(self.decision, field.name)
            for field in dataclasses.fields(self.decision)
        }
        return {name: value for name, value in fields.items() if value}

    def text(self) -> str:
        """Return the entry as JSON text."""
        record = {"wall_ms": self.wall_ms, **self.fields()}
        return msgspec.json.encode(record).decode()


class DecisionLog:
    """Writes decisions, a share of them, and keeps the last ones.

    The share is taken by job and request, so that the decisions on one of
    them are written together or not at all, on every node.
    """

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        share: float = 1.0,
        logger: typing.Any = None,
    ) -> None:
        self.timer_service = timer_service
        self.share = share
        self.logger = logger or structlog.get_logger("decision")
        self.recent: collections.deque[LoggedDecision] = collections.deque(
            maxlen=MAX_KEPT_DECISIONS
        )
        self.dropped = 0
        self.report_subscription = timer_service.every(
            REPORT_PERIOD_S, self.report
        )

    def write(self, action: core.LogDecision) -> None:
        """Write one decision, unless sampling drops it."""
        record = LoggedDecision(
            wall_ms=self.timer_service.now().wall_ms, decision=action
        )
        self.recent.append(record)
        if self.is_sampled(action):
            self.logger.info("decision", **record.fields())
        else:
            self.dropped += 1

    def is_sampled(self, action: core.LogDecision) -> bool:
        """Tell whether a decision is in the share that is written.

        Decisions that concern no job or request are rare, and are always
        written.
        """
        if not action.work_id or self.share >= 1.0:
            return True
        value = xxhash.xxh64_intdigest(action.work_id.encode())
        return value < self.share * HASH_SPAN

    def report(self, now: core.Instant) -> None:
        """Write how many decisions were dropped since the last report."""
        del now
        if self.dropped:
            self.logger.info(
                "decisions dropped by sampling",
                count=self.dropped,
                period_s=REPORT_PERIOD_S,
                share=self.share,
            )
        self.dropped = 0

    def explain(self, work_id: str) -> tuple[str, ...]:
        """Return the kept decisions on one id as JSON text, oldest first."""
        return tuple(
            record.text()
            for record in self.recent
            if record.decision.work_id == work_id
        )

    def close(self) -> None:
        """Stop reporting, after a last report."""
        self.report_subscription.cancel()
        self.report(self.timer_service.now())
