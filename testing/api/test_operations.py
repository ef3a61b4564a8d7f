"""Tests of ConfigService and OperationsService."""

import pytest
import result

from _jasminewind import changes
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.api import backend as backends
from _jasminewind.api import configs
from _jasminewind.api.pb import errors_pb2

PROPOSE = "ConfigService/ProposeChange"


def member(name, kind=None, service=""):
    """Return a serving member, with an endpoint if ``kind`` is given."""
    endpoint = None
    if kind is not None:
        endpoint = members.Endpoint(
            name=f"{kind.value}-{name}",
            kind=kind,
            service=service,
            capacity=resources.Resources(slots=8),
        )
    return members.Member(
        node=members.NodeId(name, 1),
        address=members.Address("127.0.0.1", 7400),
        role=members.Role.AGENT if kind else members.Role.ENTRY,
        region="wa-south",
        failure_domain="a",
        rack="r1",
        state=members.State.SERVING,
        endpoint=endpoint,
        load=members.Load(running=2, queued=1),
        shards=(0,) if kind else (),
    )


@pytest.fixture
def fleet(api):
    """Give the backend an entry, a worker and two minions."""
    minion = members.EndpointKind.MINION
    api.backend.member_list = (
        member("3", minion, "hutch-orders"),
        member("2", minion, "ledenloket"),
        member("1", members.EndpointKind.WORKER),
        member("entry-1"),
    )
    return api


def test_lists_show_the_members_and_their_endpoints(fleet):
    """Guards against lists that omit part of the fleet."""
    call = fleet.call
    found = call("OperationsService/ListMembers", {}).response.json
    assert [m["name"] for m in found["members"]] == ["1", "2", "3", "entry-1"]
    found = call("OperationsService/ListWorkers", {}).response.json
    assert [w["name"] for w in found["workers"]] == ["worker-1"]
    found = call("OperationsService/ListMinions", {}).response.json
    assert [m["name"] for m in found["minions"]] == ["minion-2", "minion-3"]
    body = {"service": "hutch-orders"}
    found = call("OperationsService/ListMinions", body).response.json
    assert [m["name"] for m in found["minions"]] == ["minion-3"]
    found = call("OperationsService/ListTeams", {}).response.json
    assert [t["name"] for t in found["teams"]] == ["karri-creek", "federation"]


def test_status_counts_the_fleet(fleet):
    """Guards against a summary that miscounts shards or members."""
    body = fleet.call("OperationsService/GetStatus", {}).response.json
    assert (body["entries"], body["agents"]) == (1, 3)
    assert (body["workers"], body["minions"]) == (1, 2)
    assert (body["running"], body["shardsOwned"]) == (8, 1)
    assert (body["shardCount"], body["ready"]) == (4, True)


def test_drain_and_undrain_change_the_configuration(fleet):
    """Guards against a drain that only one entry knows of."""
    body = {"name": "minion-3", "author": "els"}
    response = fleet.call("OperationsService/Drain", body).response
    assert response.json["version"] == "8"
    assert fleet.backend.configuration.drained == ("minion-3",)
    again = fleet.call("OperationsService/Drain", body).response
    assert again.json["version"] == "8"
    fleet.call("OperationsService/Undrain", body)
    assert fleet.backend.configuration.drained == ()
    assert len(fleet.backend.proposed) == 2


def test_drain_of_a_misspelt_name_is_refused(fleet):
    """Guards against a misspelt name whose drain appears to succeed."""
    body = {"name": "minion-33"}
    response = fleet.call("OperationsService/Drain", body).response
    assert response.status == 404
    body["evenIfUnknown"] = True
    response = fleet.call("OperationsService/Drain", body).response
    assert response.status == 200


def test_drain_is_tried_again_after_a_lost_race(fleet):
    """Guards against a drain that fails on a concurrent change."""
    conflict = changes.ConfigConflict(version=8, change_id="x", author="jo")
    fleet.backend.propose_result = result.Err(conflict)
    connection = fleet.call("OperationsService/Drain", {"name": "minion-3"})
    assert connection.response is None
    fleet.backend.propose_result = None
    fleet.clock.advance(configs.WAIT_FOR_VERSION_S)
    assert connection.response.status == 200
    first, second = fleet.backend.proposed
    assert first.change_id == second.change_id


def test_change_is_proposed_with_defaults_for_unset_fields(api):
    """Guards against unset fields that become 0 instead of the default."""
    body = {
        "changeId": "c-8",
        "expectedVersion": 7,
        "author": "els",
        "setTeam": {"name": "web-shop", "weight": 2},
    }
    response = api.call(PROPOSE, body).response
    assert response.json == {"changeId": "c-8", "version": "8"}
    team = api.backend.configuration.team("web-shop")
    assert (team.weight, team.max_in_flight) == (2.0, 10_000)


def test_change_sent_again_is_applied_once(api):
    """Guards against a retry that applies a change twice."""
    body = {"changeId": "change-7", "expectedVersion": 6, "drain": "x"}
    response = api.call(PROPOSE, body).response
    assert response.json["version"] == "7"
    assert api.backend.proposed == []


def test_lost_race_shows_the_winning_change(api):
    """Guards against a conflict error that does not say whom to ask."""
    body = {"changeId": "c", "expectedVersion": 6, "removeTeam": "federation"}
    response = api.call(PROPOSE, body).response
    assert response.status == 409
    conflict = response.detail("ConflictDetail", errors_pb2.ConflictDetail)
    assert (conflict.version, conflict.change_id) == (7, "change-7")
    assert conflict.author == "els"


@pytest.mark.parametrize(
    ("refusal", "status", "outcome"),
    [
        (
            changes.ConfigConflict(version=8, change_id="x", author="jo"),
            409,
            errors_pb2.NOT_RUN,
        ),
        (
            changes.ConfigUnavailable(reason="table is down"),
            503,
            errors_pb2.NOT_RUN,
        ),
        (
            changes.ConfigUnknown(reason="no answer"),
            500,
            errors_pb2.MAY_HAVE_RUN,
        ),
    ],
)
def test_refused_change_tells_its_outcome(api, refusal, status, outcome):
    """Guards against an unknown outcome that is reported as NOT_RUN."""
    api.backend.propose_result = result.Err(refusal)
    body = {"changeId": "c", "expectedVersion": 7, "removeTeam": "federation"}
    response = api.call(PROPOSE, body).response
    assert response.status == status
    assert response.failure.outcome == outcome


@pytest.mark.parametrize(
    ("operation", "field"),
    [
        ({}, "operation"),
        ({"removeTeam": "nobody"}, "remove_team"),
        ({"setPolicy": {"routing": "best"}}, "policy.routing"),
        ({"setTeam": {"name": "a", "weight": 0}}, "teams[2].weight"),
        ({"replaceAll": {"shardCount": 5}}, "shard_count"),
    ],
)
def test_invalid_change_names_its_field(api, operation, field):
    """Guards against an invalid configuration that reaches all entries."""
    body = {"changeId": "c", "expectedVersion": 7, **operation}
    response = api.call(PROPOSE, body).response
    assert response.status == 400
    assert response.failure.field == field
    assert api.backend.proposed == []


def test_watch_is_bounded(api):
    """Guards against watches that hold connections for ever."""
    body = {"afterVersion": 7, "timeoutS": 5}
    connection = api.call("ConfigService/WatchConfig", body)
    assert connection.response is None
    api.clock.advance(5)
    assert connection.response.json["changed"] is False
    body = {"afterVersion": 6, "timeoutS": 5}
    found = api.call("ConfigService/WatchConfig", body).response.json
    assert found["config"]["version"] == "7"
    body = {"afterVersion": 7, "timeoutS": 31}
    response = api.call("ConfigService/WatchConfig", body).response
    assert response.failure.field == "timeout_s"


def test_list_changes_shows_the_last_ids(api):
    """Guards against a list that omits the change in force."""
    body = api.call("ConfigService/ListChanges", {}).response.json
    assert body["changeIds"] == ["change-6", "change-7"]


def test_release_needs_confirmation(api):
    """Guards against tasks that start twice after an unsafe release."""
    release = "OperationsService/ReleaseShard"
    assert api.call(release, {"shard": 1}).response.status == 400
    assert api.call(release, {"shard": 4}).response.status == 400
    assert api.backend.released == []
    body = {"shard": 1, "earlierProcessesGone": True}
    assert api.call(release, body).response.status == 200
    assert api.backend.released == [1]


@pytest.mark.parametrize(
    "is_unchanged, code, outcome",
    [
        (True, "failed_precondition", "NOT_RUN"),
        (False, "unavailable", "MAY_HAVE_RUN"),
    ],
)
def test_refused_release_tells_whether_it_is_certain(
    api, is_unchanged, code, outcome
):
    """Guards against confusing a refused release with an unknown one."""
    api.backend.release_error = backends.ReleaseError(
        reason="the owner is live", is_unchanged=is_unchanged
    )
    body = {"shard": 1, "earlierProcessesGone": True}
    response = api.call("OperationsService/ReleaseShard", body).response
    assert response.json["code"] == code
    assert response.json["details"][0]["debug"]["outcome"] == outcome


def test_explain_returns_the_decisions(api):
    """Guards against losing entries because one is not valid JSON."""
    api.backend.explained = ('{"kind":"route","choice":"w1"}', "not json")
    body = {"id": api.new_id()}
    found = api.call("OperationsService/Explain", body).response.json
    assert found["entries"] == [
        {"kind": "route", "choice": "w1"},
        {"text": "not json"},
    ]
