"""Computes the measures of a trial from its records."""

import collections.abc
import dataclasses
import math
import typing

from hdrh import histogram

from _jasminewind.experiment import demand
from _jasminewind.experiment import ideal
from _jasminewind.experiment import load
from _jasminewind.messages import work
from _jasminewind.standins import server

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
# Requests are grouped by arrival in windows of this length.
WINDOW_S = 0.25
# A window with a larger share of incomplete requests has not recovered.
MAX_UNANSWERED_SHARE = 0.05
# A slowdown up to this factor of the highest before the step is normal.
SLOWDOWN_TOLERANCE = 1.1
# Messages between processes that do not advance any work.
WASTED_MESSAGES = (
    "TasksRefused",
    "QueryTasks",
    "TaskStatuses",
    "QueryWork",
    "WorkStatus",
    "Redirect",
)


class Latencies:
    """HDR histogram of latencies in seconds."""

    def __init__(self, values_s: collections.abc.Iterable[float] = ()) -> None:
        self.histogram: typing.Any = histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        for value_s in values_s:
            self.add(value_s)

    def add(self, value_s: float) -> None:
        """Record one latency."""
        microseconds = max(MIN_LATENCY_US, round(value_s * 1e6))
        self.histogram.record_value(min(microseconds, MAX_LATENCY_US))

    def count(self) -> int:
        """Return the number of recorded latencies."""
        return int(self.histogram.get_total_count())

    def percentile_s(self, percent: float) -> float:
        """Return a percentile in seconds, NaN if nothing was recorded."""
        if not self.count():
            return math.nan
        return float(self.histogram.get_value_at_percentile(percent)) / 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ratios:
    """Ratios of response times to those of the ideal schedule."""

    mean: float
    p99: float
    values: tuple[float, ...]


def is_request(record: load.Record) -> bool:
    """Tell whether a record belongs to a request, not a job."""
    return record.submission.kind is work.WorkKind.REQUEST


def ideal_times(
    records: collections.abc.Sequence[load.Record],
    speeds: collections.abc.Sequence[float],
) -> list[float]:
    """Return the ideal response time of each request."""
    arrivals = [
        ideal.Arrival(
            at_s=each.submission.at_s, run_s=each.submission.tasks[0].run_s
        )
        for each in records
    ]
    return ideal.response_times(arrivals, speeds)


def possible_slot_s(
    records: collections.abc.Iterable[load.Record],
    speeds: collections.abc.Sequence[float],
    *,
    begin_s: float,
    end_s: float,
) -> float:
    """Return the work that the slots could do for requests in a span."""
    arrivals = [
        ideal.Arrival(
            at_s=each.submission.at_s, run_s=each.submission.tasks[0].run_s
        )
        for each in records
        if is_request(each)
    ]
    return ideal.work_done(arrivals, speeds, begin_s=begin_s, end_s=end_s)


def ratios(
    records: collections.abc.Iterable[load.Record],
    speeds: collections.abc.Sequence[float],
    *,
    from_s: float = 0.0,
) -> Ratios:
    """Return the ratios of completed requests that arrive after ``from_s``.

    The ideal schedule includes requests before ``from_s``.
    """
    requests = [each for each in records if is_request(each)]
    ideals_s = ideal_times(requests, speeds)
    values = [
        each.response_s() / ideal_s
        for each, ideal_s in zip(requests, ideals_s, strict=True)
        if each.is_complete() and each.submission.at_s >= from_s
    ]
    # The histogram keeps three digits, so it serves for ratios as well.
    p99 = Latencies(values).percentile_s(99)
    mean = sum(values) / len(values) if values else math.nan
    return Ratios(mean=mean, p99=p99, values=tuple(values))


def answered_share(
    records: collections.abc.Iterable[load.Record], *, from_s: float = 0.0
) -> float:
    """Return the share of submissions answered within their deadline."""
    found = [each for each in records if each.submission.at_s >= from_s]
    in_time = sum(1 for each in found if each.is_in_time())
    return in_time / len(found) if found else math.nan


def wasted_messages(counts: dict[str, int], *, extra: int) -> int:
    """Return the number of wasted messages; ``extra`` adds duplicates."""
    return extra + sum(counts.get(name, 0) for name in WASTED_MESSAGES)


def useful_slot_s(
    records: collections.abc.Iterable[load.Record],
    starts: collections.abc.Iterable[server.StartRecord],
    speeds: dict[str, float],
    *,
    begin_s: float,
    end_s: float,
    start_wall_s: float,
) -> float:
    """Return the work done in a span for requests answered in time.

    The unit is slot seconds at speed 1; ``speeds`` is by minion.
    """
    in_time = {
        each.work_id: each.outputs[0].payload_endpoint
        for each in records
        if is_request(each) and each.is_in_time()
    }
    total = 0.0
    for start in starts:
        if in_time.get(start.key.work_id) != start.endpoint:
            continue
        began_s = max(start.started_s - start_wall_s, begin_s)
        ended_s = min(start.ended_s - start_wall_s, end_s)
        total += max(0.0, ended_s - began_s) * speeds[start.endpoint]
    return total


def refusals(records: collections.abc.Iterable[load.Record]) -> Latencies:
    """Return the response times of requests refused as not run."""
    return Latencies(
        each.response_s()
        for each in records
        if is_request(each) and each.is_refused()
    )


def short_p99_s(
    records: collections.abc.Iterable[load.Record], *, from_s: float = 0.0
) -> float:
    """Return the p99 of the response times of completed short requests."""
    return Latencies(
        each.response_s()
        for each in records
        if is_request(each)
        and each.is_complete()
        and each.submission.at_s >= from_s
        and each.submission.tasks[0].run_s <= demand.MAX_SHORT_RUN_S
    ).percentile_s(99)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Window:
    """Median slowdown and failed share of requests by arrival window.

    The slowdown is the response time over the run time at speed 1. Figures
    are written under the field names, so it keeps the name ``stretch``.
    """

    begin_s: float
    stretch: float
    failed_share: float


def windows(records: collections.abc.Iterable[load.Record]) -> list[Window]:
    """Return the non-empty windows of a trial in order of time."""
    by_index: dict[int, list[load.Record]] = {}
    for each in records:
        if is_request(each):
            index = int(each.submission.at_s / WINDOW_S)
            by_index.setdefault(index, []).append(each)
    found = []
    for index in sorted(by_index):
        window_records = by_index[index]
        slowdowns = sorted(
            each.response_s() / each.submission.tasks[0].run_s
            for each in window_records
            if each.is_complete()
        )
        median = math.inf
        if slowdowns:
            median = slowdowns[len(slowdowns) // 2]
        found.append(
            Window(
                begin_s=index * WINDOW_S,
                stretch=median,
                failed_share=1.0 - len(slowdowns) / len(window_records),
            )
        )
    return found


def recovery_s(
    records: collections.abc.Iterable[load.Record],
    *,
    warm_s: float,
    step_s: float,
    end_s: float,
) -> float:
    """Return the time from the end of a load step until recovery.

    Recovery starts with the first of two consecutive normal windows after
    ``end_s``. The baseline is the highest median slowdown of a window
    between ``warm_s`` and ``step_s``. The result is infinite without
    recovery and NaN without a baseline.
    """
    found = windows(records)
    baseline = [w.stretch for w in found if warm_s <= w.begin_s < step_s]
    if not baseline:
        return math.nan
    limit = SLOWDOWN_TOLERANCE * max(baseline)
    was_normal = False
    for window in found:
        if window.begin_s < end_s:
            continue
        is_normal = (
            window.stretch <= limit
            and window.failed_share <= MAX_UNANSWERED_SHARE
        )
        if is_normal and was_normal:
            return max(0.0, window.begin_s - WINDOW_S - end_s)
        was_normal = is_normal
    return math.inf
