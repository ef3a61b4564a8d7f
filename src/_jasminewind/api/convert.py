"""Conversion between protobuf messages and the configuration."""

import collections.abc
import dataclasses
import typing

from google.protobuf import message as protobuf

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind.api.pb import config_pb2


def present_fields(
    message: protobuf.Message, names: collections.abc.Iterable[str]
) -> dict[str, typing.Any]:
    """Return the named optional fields that are set.

    Unset fields get the defaults of :mod:`_jasminewind.configuration`.
    """
    return {n: getattr(message, n) for n in names if message.HasField(n)}


def field_names(kind: type) -> tuple[str, ...]:
    """Return the field names of a data class."""
    return tuple(f.name for f in dataclasses.fields(kind))


TEAM_FIELDS = ("max_in_flight", "starts_per_s", "weight")
POLICY_FIELDS = field_names(configuration.Policy)
LIMITS_FIELDS = field_names(configuration.Limits)


def team(message: config_pb2.Team) -> configuration.Team:
    """Convert a team from its message."""
    return configuration.Team(
        name=message.name, **present_fields(message, TEAM_FIELDS)
    )


def service(message: config_pb2.Service) -> configuration.Service:
    """Convert a service from its message."""
    return configuration.Service(
        name=message.name,
        methods=tuple(
            configuration.Method(
                name=m.name,
                repeatable=m.repeatable,
                expected_s=m.expected_s,
            )
            for m in message.methods
        ),
    )


def policy(message: config_pb2.Policy) -> configuration.Policy:
    """Convert a policy from its message."""
    return configuration.Policy(**present_fields(message, POLICY_FIELDS))


def limits(message: config_pb2.Limits) -> configuration.Limits:
    """Convert limits from their message."""
    return configuration.Limits(**present_fields(message, LIMITS_FIELDS))


def configuration_from(
    message: config_pb2.Configuration, current: configuration.Configuration
) -> configuration.Configuration:
    """Convert a whole configuration; unset counts stay unchanged."""
    counts = present_fields(message, ("shard_count", "cell_count"))
    return configuration.Configuration(
        teams=tuple(team(t) for t in message.teams),
        services=tuple(service(s) for s in message.services),
        policy=policy(message.policy),
        limits=limits(message.limits),
        drained=tuple(message.drained),
        shard_count=counts.get("shard_count", current.shard_count),
        cell_count=counts.get("cell_count", current.cell_count),
    )


def team_message(value: configuration.Team) -> config_pb2.Team:
    """Convert a team to its message."""
    return config_pb2.Team(**dataclasses.asdict(value))


def configuration_message(
    value: configuration.Configuration,
) -> config_pb2.Configuration:
    """Convert a configuration to its message."""
    return config_pb2.Configuration(
        version=value.version,
        author=value.author,
        teams=[team_message(t) for t in value.teams],
        services=[service_message(s) for s in value.services],
        policy=config_pb2.Policy(**dataclasses.asdict(value.policy)),
        limits=config_pb2.Limits(**dataclasses.asdict(value.limits)),
        drained=value.drained,
        shard_count=value.shard_count,
        cell_count=value.cell_count,
    )


def service_message(value: configuration.Service) -> config_pb2.Service:
    """Convert a service to its message."""
    return config_pb2.Service(
        name=value.name,
        methods=[
            config_pb2.Method(
                name=m.name,
                repeatable=m.repeatable,
                expected_s=m.expected_s,
            )
            for m in value.methods
        ],
    )


def operation(
    request: config_pb2.ProposeChangeRequest,
    current: configuration.Configuration,
) -> changes.Operation | None:
    """Return the operation of a proposed change, or ``None`` if unset."""
    match request.WhichOneof("operation"):
        case "set_team":
            return changes.SetTeam(team=team(request.set_team))
        case "remove_team":
            return changes.RemoveTeam(name=request.remove_team)
        case "set_service":
            return changes.SetService(service=service(request.set_service))
        case "remove_service":
            return changes.RemoveService(name=request.remove_service)
        case "set_policy":
            return changes.SetPolicy(policy=policy(request.set_policy))
        case "set_limits":
            return changes.SetLimits(limits=limits(request.set_limits))
        case "drain":
            return changes.DrainEndpoint(name=request.drain)
        case "undrain":
            return changes.UndrainEndpoint(name=request.undrain)
        case "replace_all":
            return changes.ReplaceAll(
                config=configuration_from(request.replace_all, current)
            )
    return None
