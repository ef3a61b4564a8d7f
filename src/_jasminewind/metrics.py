"""Metric definitions, and meters that record or export them."""

import abc
import dataclasses
import enum
import typing

from _jasminewind import settings

SERVICE_NAME = "jasminewind"


class Kind(enum.StrEnum):
    """Type of an instrument."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instrument:
    """Definition of a metric; ``unit`` follows UCUM."""

    name: str
    kind: Kind
    unit: str
    description: str
    bounds: tuple[float, ...] = ()


def counter(name: str, unit: str, description: str) -> Instrument:
    """Define a monotonic sum."""
    return Instrument(
        name=f"jasminewind.{name}",
        kind=Kind.COUNTER,
        unit=unit,
        description=description,
    )


def gauge(name: str, unit: str, description: str) -> Instrument:
    """Define a value of which the last measurement is kept."""
    return Instrument(
        name=f"jasminewind.{name}",
        kind=Kind.GAUGE,
        unit=unit,
        description=description,
    )


def histogram(
    name: str, unit: str, description: str, bounds: tuple[float, ...]
) -> Instrument:
    """Define a distribution; ``bounds`` are its bucket boundaries."""
    return Instrument(
        name=f"jasminewind.{name}",
        kind=Kind.HISTOGRAM,
        unit=unit,
        description=description,
        bounds=bounds,
    )


# The bounds include the service-level objectives: ratios 1.25 and 2.0, and
# refusals within 50 ms.
RATIO_BOUNDS = (1.05, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
TIME_BOUNDS_S = (
    0.001,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    100.0,
)
# Most accepted jobs have a slack of 0.1 to 3 s.
ERROR_BOUNDS_S = (
    -1.0,
    -0.5,
    -0.2,
    -0.1,
    -0.05,
    -0.01,
    0.01,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
)

RESPONSE_RATIO = histogram(
    "response.ratio",
    "1",
    "Time until the answer, divided by the time on an idle system.",
    RATIO_BOUNDS,
)
RESPONSE_TIME = histogram(
    "response.time", "s", "Time until the whole answer.", TIME_BOUNDS_S
)
REFUSAL_TIME = histogram(
    "refusal.time", "s", "Time until a refusal.", TIME_BOUNDS_S
)
QUEUE_TIME = histogram(
    "task.queue_time", "s", "Time from arrival to start.", TIME_BOUNDS_S
)
RUN_TIME = histogram(
    "task.run_time", "s", "Run time on the endpoint.", TIME_BOUNDS_S
)
SUBMISSIONS = counter(
    "submissions", "{submission}", "Jobs and requests that arrived."
)
ANSWERS = counter(
    "answers", "{answer}", "Answers given, by state and outcome."
)
REFUSALS = counter(
    "refusals", "{submission}", "Submissions refused, by reason."
)
CANCELLATIONS = counter(
    "cancellations", "{submission}", "Submissions cancelled by callers."
)
TASK_STARTS = counter("task.starts", "{task}", "Tasks started.")
TASK_RETRIES = counter(
    "task.retries", "{task}", "Starts after the first of a task."
)
TASK_HEDGES = counter(
    "task.hedges", "{task}", "Second starts while the first still ran."
)
MESSAGES_SENT = counter(
    "messages.sent", "{message}", "Messages written to links, by type."
)
MESSAGES_WASTED = counter(
    "messages.wasted",
    "{message}",
    "Messages that led to no start and no answer, by type.",
)
BYTES_SENT = counter("links.bytes_sent", "By", "Bytes written to links.")
LINKS = gauge("links.open", "{link}", "Open links to other processes.")
LINKS_REPLACED = counter(
    "links.replaced", "{link}", "Links replaced because they were silent."
)
START_CREST = gauge(
    "task.starts.crest",
    "1",
    "Highest starts in one second of the last minute, divided by the mean.",
)
QUEUED = gauge("task.queued", "{task}", "Tasks that wait for a keeper.")
RUNNING = gauge("task.running", "{task}", "Tasks that run.")
FREE_SHARE = gauge(
    "endpoint.free_share", "1", "Free share of the endpoint's capacity."
)
EJECTED = gauge(
    "endpoints.ejected", "{endpoint}", "Endpoints ejected as failing."
)
MEMBERS = gauge("members", "{member}", "Members in the view, by state.")
SHARDS_OWNED = gauge("shards.owned", "{shard}", "Shards owned here.")
CONFIG_AGE = gauge(
    "config.age", "s", "Time since a fresh entry confirmed the version."
)
CONFIG_VERSION = gauge("config.version", "1", "Configuration in force.")
TABLE_CALLS = counter(
    "table.calls", "{call}", "Calls to the table, by kind and outcome."
)
TABLE_TIME = histogram(
    "table.time", "s", "Duration of calls to the table.", TIME_BOUNDS_S
)
JOB_TIME = histogram(
    "job.time", "s", "Time until the answer to a job.", TIME_BOUNDS_S
)
JOBS_ANSWERED = counter(
    "jobs.answered", "{job}", "Answers to jobs, by state and queue."
)
JOBS_ON_TIME = counter(
    "jobs.on_time", "{job}", "Jobs completed before they were due, by queue."
)
JOBS_REFUSED = counter(
    "jobs.refused", "{job}", "Jobs that an entry refused, by limit."
)
FORECAST_ERROR = histogram(
    "jobs.forecast_error",
    "s",
    "Actual less forecast wait of accepted jobs, until their last task of the "
    "first steps starts.",
    ERROR_BOUNDS_S,
)
QUEUE_ASKED = gauge(
    "queues.asked",
    "1",
    "Work that arrives in a queue, as a part of the entry's capacity.",
)
QUEUE_GOT = gauge(
    "queues.got",
    "1",
    "Work accepted from a queue, as a part of the entry's capacity.",
)
RETURNS_KEPT = counter(
    "returns.kept", "{job}", "Callers that returned in their reserved second."
)
RETURNS_MISSED = counter(
    "returns.missed",
    "{job}",
    "Callers with a reservation that returned at another time or not at all.",
)
RUNS_ENDED = counter("runs.ended", "{run}", "Ends of runs, by outcome.")
RUNS_GIVEN_UP = counter(
    "runs.given_up",
    "{run}",
    "Runs whose end the endpoint did not list before its lease expired.",
)
RUNS_MOVED = counter(
    "runs.moved_early",
    "{run}",
    "Runs stopped because their endpoint would leave before their end.",
)
ORDERS_REFUSED = counter(
    "orders.refused", "{run}", "Orders that an agent refused."
)
WAITS = counter(
    "waits", "{wait}", "Waits for capacity near the data, by outcome."
)
WAIT_TIME = histogram(
    "wait.time",
    "s",
    "Time that tasks waited for capacity near their data, by outcome.",
    TIME_BOUNDS_S,
)
WAIT_GAIN = histogram(
    "wait.gain",
    "s",
    "Expected time saved by a wait that got capacity near the data.",
    TIME_BOUNDS_S,
)
EJECTIONS = counter(
    "endpoints.ejections", "{endpoint}", "Agents given no work for a while."
)
AGENTS = gauge(
    "agents", "{agent}", "Agents known, by whether they are usable."
)
EVACUATED_DOMAINS = gauge(
    "evacuations.domains",
    "{domain}",
    "Failure domains that the entry knows to be evacuated.",
)
EVACUATED_RUNS = gauge(
    "evacuations.runs",
    "{run}",
    "Runs of the entry that are left in evacuated failure domains.",
)
RENEWALS_LOST = counter(
    "renewals.lost", "{call}", "Renewals that the endpoint did not answer."
)
UNEXAMINED = counter(
    "submissions.unexamined",
    "{submission}",
    "Submissions that an overloaded entry refused unexamined.",
)
UNEXPECTED_ERRORS = counter(
    "errors.unexpected", "{error}", "Events lost to an unexpected exception."
)
UNUSABLE_ROWS = counter(
    "rows.unusable", "{row}", "Rows of the table that register no process."
)
UNUSABLE_INPUT = counter(
    "input.unusable",
    "{entry}",
    "Entries of other writers that were passed over, by source.",
)
CLIENTS_LIMITED = counter(
    "clients.limited",
    "{event}",
    "Clients refused or closed because they met a limit, by limit.",
)
CLIENTS_OPEN = gauge(
    "clients.open", "{connection}", "Open connections of HTTP clients."
)
CLIENTS_HELD = gauge(
    "clients.held", "By", "Memory that HTTP clients hold, as counted."
)
STARTS_UNANSWERED = counter(
    "starts.unanswered", "{call}", "Starts that the endpoint did not answer."
)
STARTS_LATE = counter(
    "starts.late",
    "{run}",
    "Runs that an endpoint had started for an earlier life of it.",
)
STOPS_UNANSWERED = counter(
    "stops.unanswered",
    "{run}",
    "Runs that left the lease of the endpoint unextended, as their stop was "
    "not answered.",
)
CALLERS_READ_LATE = counter(
    "callers.read.late",
    "{heartbeat}",
    "Heartbeats acknowledged late, as callers' connections were read late.",
)
LOOP_LAG = histogram(
    "reactor.lag", "s", "Delay of timers in the process.", TIME_BOUNDS_S
)

INSTRUMENTS: tuple[Instrument, ...] = tuple(
    value for value in list(globals().values()) if type(value) is Instrument
)


class Meter(abc.ABC):
    """Records measurements; attributes must be of low cardinality."""

    @abc.abstractmethod
    def add(
        self, instrument: Instrument, amount: float = 1, **attributes: str
    ) -> None:
        """Add to a counter."""

    @abc.abstractmethod
    def record(
        self, instrument: Instrument, value: float, **attributes: str
    ) -> None:
        """Record one value of a histogram or a gauge."""

    def close(self) -> None:
        """Export what is left, and stop."""


class NoMeter(Meter):
    """Discards measurements, for processes without an export endpoint."""

    def add(
        self, instrument: Instrument, amount: float = 1, **attributes: str
    ) -> None:
        """Discard the amount."""

    def record(
        self, instrument: Instrument, value: float, **attributes: str
    ) -> None:
        """Discard the value."""


NO_METER = NoMeter()


class OpenTelemetryMeter(Meter):
    """Records measurements with an OpenTelemetry meter provider."""

    def __init__(self, provider: typing.Any) -> None:
        self.provider = provider
        meter = provider.get_meter(SERVICE_NAME)
        self.instruments = {
            instrument.name: create_instrument(meter, instrument)
            for instrument in INSTRUMENTS
        }

    def add(
        self, instrument: Instrument, amount: float = 1, **attributes: str
    ) -> None:
        """Add to a counter."""
        self.instruments[instrument.name].add(amount, attributes)

    def record(
        self, instrument: Instrument, value: float, **attributes: str
    ) -> None:
        """Record one value of a histogram or a gauge."""
        recorder = self.instruments[instrument.name]
        if instrument.kind is Kind.GAUGE:
            recorder.set(value, attributes)
        else:
            recorder.record(value, attributes)

    def close(self) -> None:
        """Export what is left, and stop."""
        self.provider.shutdown()


def create_instrument(meter: typing.Any, instrument: Instrument) -> typing.Any:
    """Create an instrument on an OpenTelemetry meter."""
    name = instrument.name
    options: dict[str, typing.Any] = {
        "unit": instrument.unit,
        "description": instrument.description,
    }
    if instrument.kind is Kind.COUNTER:
        return meter.create_counter(name, **options)
    if instrument.kind is Kind.GAUGE:
        return meter.create_gauge(name, **options)
    options["explicit_bucket_boundaries_advisory"] = instrument.bounds
    return meter.create_histogram(name, **options)


def from_settings(process_settings: settings.Settings) -> Meter:
    """Return the meter that the settings select."""
    if not process_settings.metrics_endpoint:
        return NO_METER
    # Imported lazily: the SDK takes memory that an agent without export
    # cannot spare.
    from opentelemetry.exporter.otlp.proto.http import metric_exporter
    from opentelemetry.sdk import metrics as sdk_metrics
    from opentelemetry.sdk import resources as sdk_resources
    from opentelemetry.sdk.metrics import export as sdk_export

    reader = sdk_export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(
            endpoint=process_settings.metrics_endpoint
        ),
        export_interval_millis=process_settings.metrics_interval_s * 1000,
    )
    resource = sdk_resources.Resource.create(
        {
            "service.name": SERVICE_NAME,
            "service.instance.id": process_settings.name,
            "jasminewind.role": process_settings.role.value,
            "jasminewind.region": process_settings.region,
            "jasminewind.failure_domain": process_settings.failure_domain,
        }
    )
    return OpenTelemetryMeter(
        sdk_metrics.MeterProvider(metric_readers=[reader], resource=resource)
    )
