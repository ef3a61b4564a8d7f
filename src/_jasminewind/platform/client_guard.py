"""Applies the budget of all clients to the connections of a process."""

import collections
import collections.abc
import resource
import typing

import structlog

from _jasminewind import clocks
from _jasminewind import job_settings
from _jasminewind import metrics
from _jasminewind.decisions.jobs import client_budget
from _jasminewind.platform import http_reader

CALLERS = "callers"
LOG_PERIOD_S = 1.0
# Machines of entries have this much and more.
DEFAULT_MEMORY_MB = 160.0


class ClientGuard:
    """Budget of the clients of a process, and reports of what it refused."""

    def __init__(
        self,
        *,
        shares: client_budget.Shares = client_budget.Shares(),
        bounds: http_reader.Bounds = http_reader.Bounds(),
        meter: metrics.Meter = metrics.NO_METER,
        now_s: collections.abc.Callable[[], float] = clocks.boottime_s,
    ) -> None:
        self.now_s = now_s
        self.budget = client_budget.ClientBudget(shares)
        self.bounds = bounds
        self.meter = meter
        self.log = structlog.get_logger("clients")
        # Times of the last log lines, and events since, by limit.
        self.logged_s: dict[str, float] = {}
        self.unlogged: collections.Counter[str] = collections.Counter()

    def report(self, limit: str, now_s: float, **fields: typing.Any) -> None:
        """Count a client that met a limit; log one in a second."""
        self.meter.add(metrics.CLIENTS_LIMITED, limit=limit)
        self.unlogged[limit] += 1
        last_s = self.logged_s.get(limit)
        if last_s is not None and now_s - last_s < LOG_PERIOD_S:
            return
        self.logged_s[limit] = now_s
        count = self.unlogged.pop(limit)
        self.log.info("client limited", limit=limit, count=count, **fields)

    def record(self) -> None:
        """Record what clients hold."""
        self.meter.record(metrics.CLIENTS_OPEN, self.budget.open_count())
        self.meter.record(metrics.CLIENTS_HELD, self.budget.held_bytes)


def new_guard(
    settings: job_settings.JobSettings,
    meter: metrics.Meter,
    *,
    now_s: collections.abc.Callable[[], float],
) -> ClientGuard:
    """Return the guard for the settings of a process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(settings.file_descriptors or soft, soft)
    return ClientGuard(
        shares=client_budget.shares_of(
            memory_mb=settings.memory_mb or DEFAULT_MEMORY_MB,
            descriptors=descriptors,
            client_memory_mb=settings.client_memory_mb,
            client_connections=settings.client_connections,
        ),
        bounds=http_reader.Bounds(
            header_lines=settings.client_header_lines,
            chunk_overhead=settings.client_chunk_overhead,
            body_timeout_s=settings.client_body_timeout_s,
        ),
        meter=meter,
        now_s=now_s,
    )
