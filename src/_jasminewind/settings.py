"""Settings of a process: schema, parsing and validation of JSON."""

import collections.abc
import dataclasses
import difflib
import enum
import json
import pathlib
import re
import typing
import urllib.parse

import msgspec
import result

from _jasminewind import json_input
from _jasminewind import members

NAME_PATTERN = "^[A-Za-z0-9][A-Za-z0-9._-]{0,119}$"
MAX_QUOTED_CHARS = 60


class LogLevel(enum.StrEnum):
    """Minimum level of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def meta(
    description: str,
    unit: str = "",
    *,
    ge: float | None = None,
    le: float | None = None,
    pattern: str | None = None,
) -> msgspec.Meta:
    """Return the constraints and the documentation of a field."""
    # The typed overloads of Meta accept bounds or a pattern, but no None.
    return typing.cast(typing.Any, msgspec.Meta)(
        description=description,
        ge=ge,
        le=le,
        pattern=pattern,
        extra={"unit": unit},
    )


Name = typing.Annotated[
    str, meta("Name", "letters, digits, . _ -", pattern=NAME_PATTERN)
]
Host = typing.Annotated[str, meta("IP address", "IPv4 or IPv6 address")]
Port = typing.Annotated[int, meta("TCP port", "TCP port", ge=1, le=65_535)]
OptionalPort = typing.Annotated[
    int, meta("TCP port", "TCP port, 0 for none", ge=0, le=65_535)
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostPort:
    """Address on which another process accepts connections."""

    host: typing.Annotated[Host, meta("IP address of the process.")]
    port: typing.Annotated[Port, meta("TCP port of the process.", "TCP port")]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of an entry or an agent."""

    role: typing.Annotated[
        members.Role, meta("What this process does: `entry` or `agent`.")
    ]
    name: typing.Annotated[
        Name,
        meta("Name of this process, unique in the system."),
    ]
    region: typing.Annotated[Name, meta("Region of this process.")]
    failure_domain: typing.Annotated[
        Name, meta("Failure domain of this process.")
    ]
    rack: typing.Annotated[Name, meta("Rack of this process.")]
    host: typing.Annotated[
        Host,
        meta("Address on which this process listens and is reached."),
    ]
    port: typing.Annotated[
        Port, meta("Port for links from other processes.", "TCP port")
    ]
    table: typing.Annotated[
        HostPort, meta("The platform's transactional table.")
    ]
    seeds: typing.Annotated[
        tuple[HostPort, ...],
        meta(
            "Link addresses of entries. An agent needs at least one; three "
            "in different failure domains are better."
        ),
    ] = ()
    api_port: typing.Annotated[
        OptionalPort,
        meta(
            "Entry only: port for callers and operators.",
            "TCP port, 0 for none",
        ),
    ] = 0
    local_port: typing.Annotated[
        OptionalPort,
        meta(
            "Agent only: port on which its endpoint announces itself, and "
            "for health checks.",
            "TCP port, 0 for none",
        ),
    ] = 0
    log_level: typing.Annotated[
        LogLevel, meta("Lowest level of log lines that are written.")
    ] = LogLevel.INFO
    decision_log_share: typing.Annotated[
        float,
        meta(
            "Share of jobs and requests whose decisions are written to the "
            "log. The last 2,000 decisions stay in memory in any case.",
            "share",
            ge=0.0,
            le=1.0,
        ),
    ] = 1.0
    metrics_endpoint: typing.Annotated[
        str,
        meta(
            "URL that accepts OTLP metrics over HTTP. Empty: metrics are "
            "not exported, and the SDK is not loaded.",
            "http or https URL",
        ),
    ] = ""
    metrics_interval_s: typing.Annotated[
        float,
        meta("Time between exports of metrics.", "s", ge=1.0, le=3_600.0),
    ] = 10.0
    endpoint_lease_s: typing.Annotated[
        float,
        meta(
            "Agent only: its endpoint is gone when it has not announced "
            "itself for this long. Endpoints announce every second.",
            "s",
            ge=2.0,
            le=60.0,
        ),
    ] = 5.0
    shutdown_limit_s: typing.Annotated[
        float,
        meta(
            "Running work may take this long to end when the process is "
            "told to leave.",
            "s",
            ge=1.0,
            le=3_600.0,
        ),
    ] = 60.0
    initial_config_file: typing.Annotated[
        str,
        meta(
            "Entry only: file with the configuration that is written when "
            "the table has none. Empty: wait for an operator.",
            "path",
        ),
    ] = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mistake:
    """A validation error: its path in the file and what is expected."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingsError:
    """All validation errors in one file."""

    mistakes: tuple[Mistake, ...]

    def __str__(self) -> str:
        return "\n".join(str(m) for m in self.mistakes)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Field:
    """Definition of a field, for validation and documentation."""

    name: str
    type: typing.Any
    rules: tuple[msgspec.Meta, ...]
    is_required: bool
    default: typing.Any

    @property
    def description(self) -> str:
        """Return the outermost description, declared at the field itself."""
        descriptions = [r.description for r in self.rules if r.description]
        return descriptions[-1] if descriptions else ""

    @property
    def unit(self) -> str:
        """Return the unit, empty when there is none."""
        units = [(r.extra or {}).get("unit", "") for r in self.rules]
        return next((u for u in reversed(units) if u), "")

    @property
    def expected(self) -> str:
        """Return type, range and unit, for errors and the settings page."""
        parts = [type_text(self.type)]
        low = next((r.ge for r in self.rules if r.ge is not None), None)
        high = next((r.le for r in self.rules if r.le is not None), None)
        if low is not None and high is not None:
            parts.append(f"from {low:g} to {high:g}")
        if self.unit:
            parts.append(f"({self.unit})")
        return " ".join(parts)


def type_text(kind: typing.Any) -> str:
    """Return the JSON name of a type."""
    if typing.get_origin(kind) is tuple:
        return f"list of {type_text(typing.get_args(kind)[0])}s"
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return "one of " + ", ".join(m.value for m in kind)
    if dataclasses.is_dataclass(kind):
        return "object"
    names = {str: "string", int: "whole number", float: "number"}
    return names.get(kind, getattr(kind, "__name__", str(kind)))


def fields_of(kind: type) -> tuple[Field, ...]:
    """Return the field definitions of a data class."""
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = []
    for field in dataclasses.fields(kind):
        bare, *rules = typing.get_args(hints[field.name])
        is_required = field.default is dataclasses.MISSING
        fields.append(
            Field(
                name=field.name,
                type=bare,
                rules=tuple(r for r in rules if isinstance(r, msgspec.Meta)),
                is_required=is_required,
                default=None if is_required else field.default,
            )
        )
    return tuple(fields)


LoadResult = result.Result[Settings, SettingsError]


def load(path: pathlib.Path) -> LoadResult:
    """Return the settings in a file, or all of its mistakes."""
    return read(path).and_then(parse)


def read(path: pathlib.Path) -> result.Result[bytes, SettingsError]:
    """Return the text of a settings file."""
    try:
        return result.Ok(path.read_bytes())
    except OSError as e:
        reason = f"cannot read the file: {e.strerror}"
        mistake = Mistake(path=str(path), reason=reason)
        return result.Err(SettingsError(mistakes=(mistake,)))


def parse(text: bytes) -> LoadResult:
    """Return the settings in JSON text, or all of its mistakes."""
    return parse_as(text, Settings, find_conflicts)


SettingsType = typing.TypeVar("SettingsType")


def parse_as(
    text: bytes,
    kind: type[SettingsType],
    find_conflicts: collections.abc.Callable[
        [SettingsType], collections.abc.Iterable[Mistake]
    ],
) -> result.Result[SettingsType, SettingsError]:
    """Parse JSON text as a data class, or return all of its mistakes.

    ``find_conflicts`` yields the mistakes across fields that are valid on
    their own.
    """
    try:
        decoded = msgspec.json.decode(text)
    except json_input.MALFORMED as e:
        mistake = Mistake(path="file", reason=f"not valid JSON: {e}")
        return result.Err(SettingsError(mistakes=(mistake,)))
    mistakes = list(check_object("", decoded, kind))
    try:
        settings = msgspec.convert(decoded, kind)
    except msgspec.ValidationError:
        return result.Err(SettingsError(mistakes=tuple(mistakes)))
    mistakes.extend(find_conflicts(settings))
    if mistakes:
        return result.Err(SettingsError(mistakes=tuple(mistakes)))
    return result.Ok(settings)


def check_object(
    path: str, value: typing.Any, kind: type
) -> collections.abc.Iterator[Mistake]:
    """Yield the mistakes in the fields of an object."""
    if not isinstance(value, dict):
        yield Mistake(path=path or "file", reason="need a JSON object")
        return
    fields = {f.name: f for f in fields_of(kind)}
    for name in value:
        if name not in fields:
            matches = difflib.get_close_matches(name, fields, n=1)
            hint = f"; did you mean {matches[0]!r}?" if matches else ""
            yield Mistake(
                path=join_path(path, name[:MAX_QUOTED_CHARS]),
                reason=f"unknown setting{hint}",
            )
    for name, field in fields.items():
        field_path = join_path(path, name)
        if name in value:
            yield from check_value(field_path, value[name], field)
        elif field.is_required:
            yield Mistake(
                path=field_path, reason=f"is missing, need {field.expected}"
            )


def join_path(path: str, name: str) -> str:
    """Return the path of ``name`` inside ``path``."""
    return f"{path}.{name}" if path else name


def check_value(
    path: str, value: typing.Any, field: Field
) -> collections.abc.Iterator[Mistake]:
    """Yield the mistakes in one value."""
    kind = field.type
    if dataclasses.is_dataclass(kind):
        yield from check_object(path, value, typing.cast(type, kind))
        return
    if typing.get_origin(kind) is tuple:
        item = typing.get_args(kind)[0]
        if not isinstance(value, list):
            yield mismatch(path, value, field)
            return
        for i, entry in enumerate(value):
            yield from check_object(f"{path}[{i}]", entry, item)
        return
    try:
        msgspec.convert(value, typing.Annotated[(kind, *field.rules)])
    except msgspec.ValidationError:
        yield mismatch(path, value, field)
        return
    if "address" in field.unit and not members.is_valid_host(value):
        yield mismatch(path, value, field)


def mismatch(path: str, value: typing.Any, field: Field) -> Mistake:
    """Return the mistake for a value of the wrong type or range."""
    shown = json.dumps(value)
    if len(shown) > MAX_QUOTED_CHARS:
        shown = f"{shown[:MAX_QUOTED_CHARS]}..."
    return Mistake(path=path, reason=f"is {shown}, need {field.expected}")


def find_conflicts(
    settings: Settings,
) -> collections.abc.Iterator[Mistake]:
    """Yield mistakes across fields that are valid on their own."""
    yield from check_role(settings)
    yield from check_ports(settings)
    yield from check_seeds(settings)
    yield from check_metrics(settings)
    if settings.endpoint_lease_s > settings.shutdown_limit_s:
        yield Mistake(
            path="endpoint_lease_s",
            reason=(
                f"is {settings.endpoint_lease_s:g} s, longer than "
                f"shutdown_limit_s ({settings.shutdown_limit_s:g} s), so a "
                "leaving agent would exit before it notices that its "
                "endpoint is gone; lower it or raise shutdown_limit_s"
            ),
        )


def check_role(settings: Settings) -> collections.abc.Iterator[Mistake]:
    """Yield settings that the role lacks or does not use."""
    is_entry = settings.role is members.Role.ENTRY
    needed, unused = ("local_port", "api_port")
    if is_entry:
        needed, unused = unused, needed
    role = settings.role.value
    if not getattr(settings, needed):
        yield Mistake(
            path=needed, reason=f"is missing; role {role!r} needs a TCP port"
        )
    if getattr(settings, unused):
        yield Mistake(
            path=unused, reason=f"role {role!r} does not use it; remove it"
        )
    if not is_entry and settings.initial_config_file:
        yield Mistake(
            path="initial_config_file",
            reason="only an entry writes it; remove it",
        )
    if not is_entry and not settings.seeds:
        yield Mistake(
            path="seeds", reason="is empty; an agent needs an entry to join"
        )


def check_ports(settings: Settings) -> collections.abc.Iterator[Mistake]:
    """Yield ports that two listeners, or a listener and the table, share."""
    used: dict[int, str] = {}
    for name in ("port", "api_port", "local_port"):
        port = getattr(settings, name)
        if port and port in used:
            yield Mistake(
                path=name,
                reason=f"is {port}, which {used[port]} uses; choose another",
            )
        used.setdefault(port, name)
    table = settings.table
    if table.host == settings.host and table.port in used:
        yield Mistake(
            path="table.port",
            reason=(
                f"is {table.port} on {table.host}, which is this process's "
                f"own {used[table.port]}; give the table's address"
            ),
        )


def check_seeds(settings: Settings) -> collections.abc.Iterator[Mistake]:
    """Yield seeds that are this process or duplicates."""
    seen: dict[HostPort, int] = {}
    for i, seed in enumerate(settings.seeds):
        path = f"seeds[{i}]"
        if (seed.host, seed.port) == (settings.host, settings.port):
            yield Mistake(
                path=path,
                reason=(
                    f"{seed.host}:{seed.port} is this process itself; name "
                    "other entries"
                ),
            )
        if seed in seen:
            yield Mistake(
                path=path, reason=f"repeats seeds[{seen[seed]}]; remove it"
            )
        seen.setdefault(seed, i)


def check_metrics(settings: Settings) -> collections.abc.Iterator[Mistake]:
    """Yield a metrics endpoint that is not an HTTP URL."""
    if not settings.metrics_endpoint:
        return
    parts = urllib.parse.urlsplit(settings.metrics_endpoint)
    if parts.scheme not in ("http", "https") or not re.search(
        "[A-Za-z0-9]", parts.netloc
    ):
        yield Mistake(
            path="metrics_endpoint",
            reason=(
                f"is {settings.metrics_endpoint[:MAX_QUOTED_CHARS]!r}, need "
                "an http or https URL, or an empty string"
            ),
        )
