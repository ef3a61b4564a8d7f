"""Settings of job entries and job agents: schema and validation."""

import collections.abc
import dataclasses
import enum
import pathlib
import re
import typing

import msgspec
import result

from _jasminewind import json_input
from _jasminewind import members
from _jasminewind import settings

Address = typing.Annotated[
    str,
    settings.meta("IPv4 address and TCP port", "IP:PORT"),
]
OptionalAddress = typing.Annotated[
    str,
    settings.meta("IPv4 address and TCP port", "IP:PORT, empty for none"),
]


# The policies are not imported here: agents do not use them, and each import
# delays their start.


class Placement(enum.StrEnum):
    """Names of the placement policies."""

    EXPECTED_END = "expected_end"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"
    RANDOM = "random"


class Admission(enum.StrEnum):
    """Names of the admission policies."""

    FORECAST = "forecast"
    BACKLOG = "backlog"


class PlacementWait(enum.StrEnum):
    """When tasks wait for capacity near their data."""

    FORECAST = "forecast"
    NEVER = "never"


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobSettings:
    """Settings of an entry or an agent that runs jobs."""

    role: typing.Annotated[
        members.Role,
        settings.meta("What this process does: `entry` or `agent`."),
    ]
    name: typing.Annotated[
        settings.Name, settings.meta("Name of this process, unique.")
    ]
    region: typing.Annotated[
        settings.Name, settings.meta("Region of this process.")
    ]
    failure_domain: typing.Annotated[
        settings.Name, settings.meta("Failure domain of this process.")
    ]
    host: typing.Annotated[
        settings.Host,
        settings.meta("Address on which this process accepts links."),
    ]
    link_port: typing.Annotated[
        settings.Port,
        settings.meta("Port for links from other processes.", "TCP port"),
    ]
    store: typing.Annotated[
        Address, settings.meta("The platform's store.", "IP:PORT")
    ]
    callers: typing.Annotated[
        OptionalAddress,
        settings.meta("Entry only: where callers connect.", "IP:PORT"),
    ] = ""
    readiness: typing.Annotated[
        OptionalAddress,
        settings.meta(
            "Entry only: where the balancer asks for readiness.", "IP:PORT"
        ),
    ] = ""
    control: typing.Annotated[
        OptionalAddress,
        settings.meta(
            "Agent only: where the endpoint announces itself.", "IP:PORT"
        ),
    ] = ""
    metrics_port: typing.Annotated[
        settings.OptionalPort,
        settings.meta(
            "Port that serves metrics as text at `/metrics`; 0: none.",
            "TCP port, 0 for none",
        ),
    ] = 0
    placement: typing.Annotated[
        Placement,
        settings.meta(
            "How an entry chooses an agent: `expected_end`, or a baseline: "
            "`least_outstanding`, `round_robin`, `random`."
        ),
    ] = Placement.EXPECTED_END
    early_moves: typing.Annotated[
        bool,
        settings.meta(
            "Agent only: stop runs at once that would end after their "
            "draining endpoint has left, so that their tasks start elsewhere."
        ),
    ] = True
    admission: typing.Annotated[
        Admission,
        settings.meta(
            "How an entry decides which jobs to accept: `forecast`, by the "
            "work that starts before a job, or a baseline: `backlog`, by all "
            "queued work."
        ),
    ] = Admission.FORECAST
    remote_slowdown: typing.Annotated[
        float,
        settings.meta(
            "Entry only: tasks away from the rack of their data take this "
            "many times as long.",
            "factor",
            ge=1.0,
            le=100.0,
        ),
    ] = 1.5
    placement_wait: typing.Annotated[
        PlacementWait,
        settings.meta(
            "Entry only: whether tasks wait for capacity in the rack of their "
            "data when this is expected to end earlier than a start elsewhere."
        ),
    ] = PlacementWait.FORECAST
    shutdown_limit_s: typing.Annotated[
        float,
        settings.meta(
            "Running work may take this long to end when the process is "
            "told to leave; keep it below the time after which the "
            "platform kills the process.",
            "s",
            ge=0.5,
            le=3_600.0,
        ),
    ] = 5.5
    memory_mb: typing.Annotated[
        int,
        settings.meta(
            "Memory of the machine. A fifth is for HTTP clients unless "
            "`client_memory_mb` is set; 0: 160 MB.",
            "MB",
            ge=0,
            le=1_000_000,
        ),
    ] = 0
    file_descriptors: typing.Annotated[
        int,
        settings.meta(
            "Descriptors that the process may have open; 0, or more than the "
            "process' own limit: that limit.",
            "descriptors",
            ge=0,
            le=10_000_000,
        ),
    ] = 0
    client_memory_mb: typing.Annotated[
        float,
        settings.meta(
            "Memory that all HTTP clients may hold. When they hold more, "
            "those that are stalled or hold most are ended; 0: a fifth of "
            "`memory_mb`.",
            "MB",
            ge=0.0,
            le=1_000_000.0,
        ),
    ] = 0.0
    client_connections: typing.Annotated[
        int,
        settings.meta(
            "Connections of callers. When there are more, those that are "
            "stalled or hold most are ended; 0: two thirds of the "
            "descriptors, all but 128 of fewer than 384, and at most 32 for "
            "each MB of client memory.",
            "connections",
            ge=0,
            le=10_000_000,
        ),
    ] = 0
    client_header_lines: typing.Annotated[
        int,
        settings.meta(
            "Header lines of a request, beyond which it gets 431. 16,384 "
            "bytes have no more.",
            "lines",
            ge=16,
            le=1_000_000,
        ),
    ] = 4_096
    client_chunk_overhead: typing.Annotated[
        int,
        settings.meta(
            "Bytes of chunk lines for each byte of `body-bytes`, beyond "
            "which a request gets 413. One byte in each chunk needs 5.",
            "bytes",
            ge=1,
            le=1_000,
        ),
    ] = 8
    client_body_timeout_s: typing.Annotated[
        float,
        settings.meta(
            "Time for the whole body of a request, however often a part of "
            "it arrives; then the request gets 408.",
            "s",
            ge=1.0,
            le=86_400.0,
        ),
    ] = 120.0
    log_level: typing.Annotated[
        settings.LogLevel,
        settings.meta("Lowest level of log lines that are written."),
    ] = settings.LogLevel.INFO
    log_lines_per_s: typing.Annotated[
        int,
        settings.meta(
            "Log lines beyond this rate are dropped and counted.",
            "1/s",
            ge=1,
            le=100_000,
        ),
    ] = 300


ENVIRONMENT_PREFIX = "JASMINEWIND_"
PORT_PATTERN = re.compile("[0-9]{1,5}")
LoadResult = result.Result[JobSettings, settings.SettingsError]


def parse(text: bytes) -> LoadResult:
    """Return the settings in JSON text, or all of its mistakes."""
    return settings.parse_as(text, JobSettings, find_conflicts)


def with_environment(
    text: bytes, environment: collections.abc.Mapping[str, str]
) -> bytes:
    """Return settings in which variables of the environment take effect.

    ``JASMINEWIND_NAME`` sets the optional setting ``name``. A platform fills
    in such variables, and leaves one empty for which it has no value.
    """
    try:
        decoded = msgspec.json.decode(text)
    except json_input.MALFORMED:
        return text
    if not isinstance(decoded, dict):
        return text
    for field in settings.fields_of(JobSettings):
        value = environment.get(ENVIRONMENT_PREFIX + field.name.upper(), "")
        if value and not field.is_required:
            decoded[field.name] = decode_value(value)
    return msgspec.json.encode(decoded)


def decode_value(text: str) -> typing.Any:
    """Return a value written as JSON, or a text as it is."""
    try:
        return msgspec.json.decode(text)
    except json_input.MALFORMED:
        return text


def is_job_settings(path: pathlib.Path) -> bool:
    """Return whether a file holds :class:`JobSettings`."""
    try:
        decoded = msgspec.json.decode(path.read_bytes())
    except (OSError, *json_input.MALFORMED):
        return False
    return isinstance(decoded, dict) and "link_port" in decoded


def find_conflicts(
    parsed: JobSettings,
) -> typing.Iterator[settings.Mistake]:
    """Yield mistakes across fields that are valid on their own."""
    is_entry = parsed.role is members.Role.ENTRY
    needed = ("callers", "readiness") if is_entry else ("control",)
    unused = ("control",) if is_entry else ("callers", "readiness")
    for name in needed:
        if not getattr(parsed, name):
            yield settings.Mistake(
                path=name,
                reason=f"is missing; role {parsed.role.value!r} needs it",
            )
    for name in unused:
        if getattr(parsed, name):
            yield settings.Mistake(
                path=name,
                reason=f"role {parsed.role.value!r} does not use it; "
                "remove it",
            )
    for name in ("store", "callers", "readiness", "control"):
        text = getattr(parsed, name)
        if text and address(text) is None:
            yield settings.Mistake(
                path=name, reason=f"is {text[:60]!r}, need IP:PORT"
            )


def address(text: str) -> members.Address | None:
    """Parse ``IP:PORT``; return None if it is invalid."""
    host, _, port = text.rpartition(":")
    if not PORT_PATTERN.fullmatch(port):
        return None
    parsed = members.Address(host, int(port))
    return parsed if members.is_valid_address(parsed) else None
