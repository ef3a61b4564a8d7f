"""Test the operations that change the configuration."""

import dataclasses

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind.messages import configuration as configuration_messages
from _jasminewind.wire import frames

TEAM = configuration.Team(name="web-shop")
SERVICE = configuration.Service(
    name="ledenloket", methods=(configuration.Method(name="check-tariff"),)
)
BASE = configuration.Configuration(
    version=3, teams=(TEAM,), services=(SERVICE,), shard_count=8
)


def change(operation, version=3, change_id="c"):
    """Return a change of ``BASE``."""
    return changes.ConfigChange(
        change_id=change_id,
        expected_version=version,
        author="els",
        operation=operation,
    )


def replaced(**fields):
    """Return an operation that replaces fields of ``BASE``."""
    return changes.ReplaceAll(config=dataclasses.replace(BASE, **fields))


def test_accepted_change_has_the_next_version_and_its_id():
    """Guards against an accepted change that no process would apply."""
    after = changes.apply(BASE, change(changes.RemoveTeam(name="web-shop")))
    assert after.unwrap().version == 4
    assert after.unwrap().change_ids == ("c",)
    assert after.unwrap().author == "els"
    assert after.unwrap().teams == ()


def test_only_the_last_change_ids_are_kept():
    """Guards against change ids that accumulate without bound."""
    config = BASE
    for i in range(configuration.CHANGE_IDS_KEPT + 5):
        drain = changes.DrainEndpoint(name=f"minion-{i % 3}")
        config = changes.apply(
            config, change(drain, config.version, f"c-{i}")
        ).unwrap()
    assert len(config.change_ids) == configuration.CHANGE_IDS_KEPT
    assert config.change_ids[-1] == "c-68"
    assert len(config.drained) == 3


@pytest.mark.parametrize(
    ("operation", "field"),
    [
        (changes.RemoveTeam(name="x"), "remove_team"),
        (changes.RemoveService(name="x"), "remove_service"),
        (changes.DrainEndpoint(name=""), "drained[0]"),
        (changes.DrainEndpoint(name="a\n"), "drained[0]"),
        (
            changes.SetService(service=configuration.Service(name="s")),
            "services[1].methods",
        ),
        (
            changes.SetPolicy(policy=configuration.Policy(routing="best")),
            "policy.routing",
        ),
        (
            changes.SetPolicy(policy=configuration.Policy(reserved_share=1.0)),
            "policy.reserved_share",
        ),
        (
            changes.SetPolicy(
                policy=configuration.Policy(retry_budget=float("nan"))
            ),
            "policy.retry_budget",
        ),
        (
            changes.SetLimits(limits=configuration.Limits(max_tasks=111)),
            "limits.max_tasks",
        ),
        (
            changes.SetTeam(
                team=configuration.Team(name="a", weight=float("inf"))
            ),
            "teams[1].weight",
        ),
        (
            changes.SetTeam(
                team=configuration.Team(name="a", max_in_flight=0)
            ),
            "teams[1].max_in_flight",
        ),
        (replaced(teams=(TEAM, TEAM)), "teams[1]"),
        (replaced(shard_count=16), "shard_count"),
        (replaced(cell_count=0), "cell_count"),
    ],
)
def test_invalid_change_is_refused_with_its_field(operation, field):
    """Guards against accepting values that the decisions cannot use."""
    refused = changes.apply(BASE, change(operation))
    assert refused.unwrap_err().field == field


def test_shard_count_is_free_until_a_configuration_is_in_force():
    """Guards against a first change that cannot choose the shard count."""
    first = changes.apply(
        configuration.NO_CONFIGURATION, change(replaced(shard_count=16), 0)
    )
    assert first.unwrap().shard_count == 16


def test_stale_change_is_refused():
    """Guards against a change of an old version that undoes a later one."""
    stale = change(changes.DrainEndpoint(name="a"), version=2)
    assert changes.apply(BASE, stale).unwrap_err().field == "expected_version"


def test_largest_configuration_fits_into_a_frame():
    """Guards against an accepted configuration too large for a frame."""
    empty = len(msgspec.json.encode(BASE))
    count = (changes.MAX_CONFIG_BYTES - empty) // 123
    names = tuple(f"{i:06d}".rjust(120, "n") for i in range(count))
    config = dataclasses.replace(BASE, drained=names)
    largest = changes.ConfigChange(
        change_id="\0" * changes.MAX_NAME_CHARS,
        expected_version=config.version,
        author="\0" * changes.MAX_NAME_CHARS,
        operation=changes.DrainEndpoint(name=names[0]),
    )
    after = changes.apply(config, largest).unwrap()
    push = configuration_messages.ConfigPush(config=after)
    size = len(frames.encode(push))
    assert changes.MAX_CONFIG_BYTES < size <= frames.MAX_FRAME_BYTES
    more = changes.DrainEndpoint(name="z" * 120)
    refused = changes.apply(after, change(more, after.version))
    assert refused.unwrap_err().field == "configuration"


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(
    operations=strategies.lists(
        strategies.one_of(
            strategies.builds(
                changes.DrainEndpoint, name=strategies.text(max_size=3)
            ),
            strategies.builds(
                changes.UndrainEndpoint, name=strategies.text(max_size=3)
            ),
            strategies.builds(
                changes.SetTeam,
                team=strategies.builds(
                    configuration.Team,
                    name=strategies.text(max_size=3),
                    weight=strategies.floats(),
                ),
            ),
        ),
        max_size=12,
    )
)
def test_any_sequence_of_changes_keeps_the_configuration_valid(operations):
    """Guards against valid changes that add up to an invalid whole."""
    config = BASE
    for operation in operations:
        applied = changes.apply(config, change(operation, config.version))
        config = applied.unwrap_or(config)
    assert changes.check(config) is None
