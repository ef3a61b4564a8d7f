"""Operations that change the configuration, and their validation."""

import dataclasses
import math

import msgspec
import result

from _jasminewind import configuration

ROUTING_POLICIES = (
    "expected_completion",
    "random",
    "round_robin",
    "least_outstanding",
)
MAX_TEAMS = 1_000
MAX_SERVICES = 1_000
MAX_METHODS = 200
MAX_DRAINED = 50_000
MAX_NAME_CHARS = 120
MAX_SHARDS = 4_096
MAX_CELLS = 1_024
MAX_WEIGHT = 1_000.0
# A submission is sent in one frame.
MAX_BODY_BYTES = 1 << 20
MAX_TASKS = 110
MAX_DEADLINE_S = 86_400.0
# A configuration is sent in one frame, which must also hold the envelope and
# the id and author of one more change.
MAX_CONFIG_BYTES = (1 << 20) - 4_096


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetTeam:
    """Add a team, or replace the one of the same name."""

    team: configuration.Team


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemoveTeam:
    """Remove a team; its accepted work still completes."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetService:
    """Add a service, or replace the one of the same name."""

    service: configuration.Service


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemoveService:
    """Remove a service; its accepted work still completes."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetPolicy:
    """Replace the policy."""

    policy: configuration.Policy


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetLimits:
    """Replace the limits."""

    limits: configuration.Limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainEndpoint:
    """Stop new work for an endpoint, which may be unknown here."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class UndrainEndpoint:
    """Allow new work for a drained endpoint again."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceAll:
    """Replace everything except version, change ids and shard count.

    ``config.shard_count`` must equal the shard count in force, unless no
    configuration is in force yet.
    """

    config: configuration.Configuration


Operation = (
    SetTeam
    | RemoveTeam
    | SetService
    | RemoveService
    | SetPolicy
    | SetLimits
    | DrainEndpoint
    | UndrainEndpoint
    | ReplaceAll
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigChange:
    """One change that an operator proposes.

    ``change_id`` is chosen by the caller; changes with the same id are
    applied once. The change applies only to version ``expected_version``.
    """

    change_id: str
    expected_version: int
    author: str
    operation: Operation


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeError:
    """Why a change is invalid; ``field`` is the path of the bad value."""

    field: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigAccepted:
    """The change is in force at ``version``."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigConflict:
    """A concurrent change was accepted first; this one had no effect."""

    version: int
    change_id: str
    author: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigUnavailable:
    """The table is unavailable and the change was certainly not made."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigUnknown:
    """The change may have been made; the table did not reply in time."""

    reason: str


ConfigRefusal = ConfigConflict | ConfigUnavailable | ConfigUnknown
Applied = result.Result[configuration.Configuration, ChangeError]


def apply(
    config: configuration.Configuration, change: ConfigChange
) -> Applied:
    """Return the configuration after ``change``, or why it is invalid.

    The new configuration has the next version, and the id of the change is
    the last of its ``change_ids``. ``expected_version`` must be the version
    of ``config``.
    """
    error = check_change(config, change)
    if error is not None:
        return result.Err(error)
    changed = apply_operation(config, change.operation)
    if isinstance(changed, ChangeError):
        return result.Err(changed)
    error = check(changed)
    if error is not None:
        return result.Err(error)
    kept = (*config.change_ids, change.change_id)
    return result.Ok(
        dataclasses.replace(
            changed,
            version=config.version + 1,
            change_ids=kept[-configuration.CHANGE_IDS_KEPT :],
            author=change.author,
        )
    )


def check_change(
    config: configuration.Configuration, change: ConfigChange
) -> ChangeError | None:
    """Validate the id, the author and the expected version of a change."""
    if not change.change_id or len(change.change_id) > MAX_NAME_CHARS:
        return ChangeError(
            field="change_id",
            reason=f"must have 1 to {MAX_NAME_CHARS} characters",
        )
    if len(change.author) > MAX_NAME_CHARS:
        return ChangeError(
            field="author",
            reason=f"must have at most {MAX_NAME_CHARS} characters",
        )
    if change.expected_version != config.version:
        return ChangeError(
            field="expected_version",
            reason=(
                f"version {config.version} is in force, not "
                f"{change.expected_version}; read it and propose the change "
                "again"
            ),
        )
    return None


def apply_operation(
    config: configuration.Configuration, operation: Operation
) -> configuration.Configuration | ChangeError:
    """Return ``config`` with the operation applied but not validated."""
    match operation:
        case SetTeam(team=team):
            others = tuple(t for t in config.teams if t.name != team.name)
            return dataclasses.replace(config, teams=(*others, team))
        case RemoveTeam(name=name):
            if config.team(name) is None:
                return unknown_name("remove_team", "team", name)
            others = tuple(t for t in config.teams if t.name != name)
            return dataclasses.replace(config, teams=others)
        case SetService(service=service):
            rest = tuple(s for s in config.services if s.name != service.name)
            return dataclasses.replace(config, services=(*rest, service))
        case RemoveService(name=name):
            if config.service(name) is None:
                return unknown_name("remove_service", "service", name)
            rest = tuple(s for s in config.services if s.name != name)
            return dataclasses.replace(config, services=rest)
        case SetPolicy(policy=policy):
            return dataclasses.replace(config, policy=policy)
        case SetLimits(limits=limits):
            return dataclasses.replace(config, limits=limits)
        case DrainEndpoint(name=name):
            # Draining twice is valid, because the caller may not have received
            # the first response.
            names = tuple(n for n in config.drained if n != name)
            return dataclasses.replace(config, drained=(*names, name))
        case UndrainEndpoint(name=name):
            names = tuple(n for n in config.drained if n != name)
            return dataclasses.replace(config, drained=names)
        case ReplaceAll(config=replacement):
            return check_replacement(config, replacement)


def check_replacement(
    config: configuration.Configuration,
    replacement: configuration.Configuration,
) -> configuration.Configuration | ChangeError:
    """Return ``replacement`` if its shard count is allowed."""
    # Another count would map ids to shards whose owners do not know that they
    # were started.
    if config.version > 0 and replacement.shard_count != config.shard_count:
        return ChangeError(
            field="shard_count",
            reason=(
                f"is {config.shard_count} and cannot change once a "
                "configuration is in force, because ids would move to "
                "owners that do not know them"
            ),
        )
    return replacement


def unknown_name(field: str, kind: str, name: str) -> ChangeError:
    """Return the error for a name that does not exist."""
    return ChangeError(field=field, reason=f"there is no {kind} {name!r}")


def check(config: configuration.Configuration) -> ChangeError | None:
    """Return the first error in a configuration."""
    checks = (
        check_teams(config.teams),
        check_services(config.services),
        check_policy(config.policy),
        check_limits(config.limits),
        check_drained(config.drained),
        check_counts(config),
        check_size(config),
    )
    return next((e for e in checks if e is not None), None)


def check_size(config: configuration.Configuration) -> ChangeError | None:
    """Return an error if a configuration does not fit into a frame."""
    size = len(msgspec.json.encode(config))
    if size <= MAX_CONFIG_BYTES:
        return None
    return ChangeError(
        field="configuration",
        reason=f"takes {size} bytes, limit {MAX_CONFIG_BYTES}; remove "
        "drained endpoints that no longer exist, or unused methods",
    )


def check_teams(teams: tuple[configuration.Team, ...]) -> ChangeError | None:
    """Return the first error in the teams."""
    error = check_names("teams", tuple(t.name for t in teams), MAX_TEAMS)
    if error is not None:
        return error
    for i, team in enumerate(teams):
        path = f"teams[{i}]"
        error = (
            check_range(f"{path}.max_in_flight", team.max_in_flight, 1, 10**7)
            or check_positive(f"{path}.starts_per_s", team.starts_per_s, 1e7)
            or check_positive(f"{path}.weight", team.weight, MAX_WEIGHT)
        )
        if error is not None:
            return error
    return None


def check_services(
    services: tuple[configuration.Service, ...],
) -> ChangeError | None:
    """Return the first error in the services."""
    names = tuple(s.name for s in services)
    error = check_names("services", names, MAX_SERVICES)
    if error is not None:
        return error
    for i, service in enumerate(services):
        path = f"services[{i}].methods"
        methods = tuple(m.name for m in service.methods)
        error = check_names(path, methods, MAX_METHODS)
        if error is not None:
            return error
        if not methods:
            return ChangeError(
                field=path, reason="must have at least one method"
            )
        for j, method in enumerate(service.methods):
            error = check_range(
                f"{path}[{j}].expected_s", method.expected_s, 0, MAX_DEADLINE_S
            )
            if error is not None:
                return error
    return None


def check_policy(policy: configuration.Policy) -> ChangeError | None:
    """Return the first error in the policy."""
    if policy.routing not in ROUTING_POLICIES:
        return ChangeError(
            field="policy.routing",
            reason=(
                f"{policy.routing[:MAX_NAME_CHARS]!r} is not one of "
                + ", ".join(ROUTING_POLICIES)
            ),
        )
    return (
        check_positive(
            "policy.long_task_s", policy.long_task_s, MAX_DEADLINE_S
        )
        or check_range("policy.reserved_share", policy.reserved_share, 0, 0.9)
        or check_range("policy.retry_budget", policy.retry_budget, 0, 1)
    )


def check_limits(limits: configuration.Limits) -> ChangeError | None:
    """Return the first error in the limits."""
    return (
        check_range("limits.max_tasks", limits.max_tasks, 1, MAX_TASKS)
        or check_positive(
            "limits.max_deadline_s", limits.max_deadline_s, MAX_DEADLINE_S
        )
        or check_range(
            "limits.max_body_bytes",
            limits.max_body_bytes,
            1_024,
            MAX_BODY_BYTES,
        )
        or check_range("limits.max_queued", limits.max_queued, 1, 10**7)
    )


def check_drained(drained: tuple[str, ...]) -> ChangeError | None:
    """Return the first error in the drained endpoints."""
    return check_names("drained", drained, MAX_DRAINED)


def check_counts(config: configuration.Configuration) -> ChangeError | None:
    """Return the first error in the counts of shards and cells."""
    return check_range(
        "shard_count", config.shard_count, 1, MAX_SHARDS
    ) or check_range("cell_count", config.cell_count, 1, MAX_CELLS)


def check_names(
    path: str, names: tuple[str, ...], max_count: int
) -> ChangeError | None:
    """Return an error for the first invalid or duplicate name."""
    if len(names) > max_count:
        return ChangeError(
            field=path, reason=f"has {len(names)} names, limit {max_count}"
        )
    seen: set[str] = set()
    for i, name in enumerate(names):
        if not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
            return ChangeError(
                field=f"{path}[{i}]",
                reason=f"must be a name of 1 to {MAX_NAME_CHARS} printable "
                "characters",
            )
        if name in seen:
            return ChangeError(
                field=f"{path}[{i}]", reason=f"duplicate name {name!r}"
            )
        seen.add(name)
    return None


def check_range(
    field: str, value: float, low: float, high: float
) -> ChangeError | None:
    """Return an error unless ``low <= value <= high``."""
    if math.isfinite(value) and low <= value <= high:
        return None
    return ChangeError(
        field=field, reason=f"is {value:g}, must be {low:g} to {high:g}"
    )


def check_positive(
    field: str, value: float, high: float
) -> ChangeError | None:
    """Return an error unless ``0 < value <= high``."""
    if math.isfinite(value) and 0 < value <= high:
        return None
    return ChangeError(
        field=field,
        reason=f"is {value:g}, must be above 0 and at most {high:g}",
    )
