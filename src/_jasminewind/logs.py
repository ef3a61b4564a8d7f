"""Structured logging: JSON lines on stderr, and the decision log."""

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
HASH_VALUE_COUNT = 1 << 64
# Kinds that every job causes. They leave a part of the rate to the others, so
# that a busy process still logs what goes wrong.
ROUTINE_KINDS = frozenset({"accept", "place", "answer"})
RESERVED_DIVISOR = 5
DECISION_FIELDS = tuple(
    field.name for field in dataclasses.fields(core.LogDecision)
)


def configure(
    *,
    level: settings.LogLevel = settings.LogLevel.INFO,
    node: str = "",
    stream: typing.TextIO | None = None,
) -> None:
    """Write log lines as JSON to ``stream``, stderr by default.

    ``node`` is the name of this process; every line contains it.
    """
    level_number = logging.getLevelNamesMapping()[level.name]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(serializer=encode_line),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    if node:
        structlog.contextvars.bind_contextvars(node=node)


def encode_line(fields: dict[str, typing.Any], **options: typing.Any) -> str:
    """Encode the fields of one line as JSON."""
    del options
    return msgspec.json.encode(fields, enc_hook=str).decode()


class RateLimitedStream:
    """A non-blocking line stream with a rate limit.

    Lines above the rate, or written while the reader is blocked, are
    dropped. The next line written is preceded by the number of dropped ones.
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

    def has_room(self, *, is_routine: bool = False) -> bool:
        """Return whether the rate allows one more line.

        A fifth of the rate is reserved for lines that are not routine.
        """
        now_s = self.seconds()
        refill = (now_s - self.refilled_s) * self.lines_per_s
        self.tokens = min(self.tokens + refill, float(self.lines_per_s))
        self.refilled_s = now_s
        reserved = self.lines_per_s // RESERVED_DIVISOR if is_routine else 0
        return self.tokens >= 1.0 + reserved

    def allow_line(self) -> None:
        """Let the next line pass, however many were written."""
        self.tokens = max(self.tokens, 1.0)

    def write(self, text: str) -> int:
        """Write one line, or count it as dropped."""
        if not self.has_room() or not self.flush_unwritten():
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
        """Write the rest of the last line; return whether it is complete."""
        if not self.unwritten:
            return True
        try:
            written = os.write(self.descriptor, self.unwritten)
        except BlockingIOError:
            return False
        self.unwritten = self.unwritten[written:]
        return not self.unwritten

    def flush(self) -> None:
        """Do nothing; lines are not buffered."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoggedDecision:
    """A decision and the wall-clock time at which it was made."""

    wall_ms: int
    decision: core.LogDecision

    def fields(self) -> dict[str, typing.Any]:
        """Return the non-empty fields of the decision."""
        decision = self.decision
        return {
            name: value
            for name in DECISION_FIELDS
            if (value := getattr(decision, name))
        }

    def text(self) -> str:
        """Return the decision as JSON."""
        record = {"wall_ms": self.wall_ms, **self.fields()}
        return msgspec.json.encode(record).decode()


class DecisionLog:
    """Logs a sample of the decisions and keeps the most recent ones.

    Sampling is by work id, so that all decisions on a job or request are
    logged or none, on every node.
    """

    def __init__(
        self,
        *,
        timer_service: timers.TimerService,
        share: float = 1.0,
        logger: typing.Any = None,
        stream: RateLimitedStream | None = None,
    ) -> None:
        """Log to ``logger``, whose lines go to ``stream`` if it is given."""
        self.timer_service = timer_service
        self.stream = stream
        self.share = share
        self.logger = logger or structlog.get_logger("decision").bind()
        self.recent: collections.deque[LoggedDecision] = collections.deque(
            maxlen=MAX_KEPT_DECISIONS
        )
        self.dropped = 0
        self.report_subscription = timer_service.every(
            REPORT_PERIOD_S, self.report
        )

    def write(self, action: core.LogDecision) -> None:
        """Keep one decision, and log it if it is in the sample."""
        record = LoggedDecision(
            wall_ms=self.timer_service.now().wall_ms, decision=action
        )
        self.recent.append(record)
        is_routine = action.kind in ROUTINE_KINDS
        if self.stream is not None and not self.stream.has_room(
            is_routine=is_routine
        ):
            # A line beyond the rate is not even formatted.
            self.stream.dropped += 1
        elif self.is_sampled(action):
            self.logger.info("decision", **record.fields())
        else:
            self.dropped += 1

    def is_sampled(self, action: core.LogDecision) -> bool:
        """Return whether a decision is in the sample that is logged.

        Decisions without a work id are rare and are always logged.
        """
        if not action.work_id or self.share >= 1.0:
            return True
        hash_value = xxhash.xxh64_intdigest(action.work_id.encode())
        return hash_value < self.share * HASH_VALUE_COUNT

    def report(self, now: core.Instant) -> None:
        """Log how many decisions sampling dropped since the last report."""
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
        """Return the kept decisions on one work id as JSON, oldest first."""
        return tuple(
            record.text()
            for record in self.recent
            if record.decision.work_id == work_id
        )

    def close(self) -> None:
        """Cancel the periodic report after a final one."""
        self.report_subscription.cancel()
        self.report(self.timer_service.now())
