"""Tests of the Connect protocol: bodies, headers, limits, timeouts."""

import json

import pytest

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind.api import backend as backends
from _jasminewind.api import channel
from _jasminewind.api import connect
from _jasminewind.api.pb import errors_pb2
from _jasminewind.api.pb import work_pb2

SUBMIT = "JobService/SubmitJob"
GET_CONFIG = "ConfigService/GetConfig"


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"[]",
        b'"job"',
        b"\xff\xfe",
        b'{"team": NaN}',
        b'{"team": "a", "team": "b"}',
        b'{"team": 7}',
        b'{"team": "\\ud800"}',
        b'{"tasks": {}}',
        b'{"tasks": [{"payload": {"n": 9007199254740993}}]}',
        b'{"tasks": [{"payload": {"n": 1e999}}]}',
        b'{"tasks": [{"payload": {"n": ' + b"9" * 5_000 + b"}}]}",
        b'{"a":' * 50_000,
        b'{"tasks": [{"payload": ' + b'{"a":' * 500 + b"1" + b"}" * 501,
    ],
)
def test_malformed_body_is_refused_as_not_run(api, body):
    """Guards against malformed input that crashes or silently changes."""
    response = api.call(SUBMIT, body).response
    assert response.status == 400
    assert response.json["code"] == "invalid_argument"
    assert response.failure.outcome == errors_pb2.NOT_RUN
    assert api.backend.submitted == []


def test_unknown_field_is_named_with_a_suggestion(api):
    """Guards against silently ignoring misspelt fields."""
    body = {"team": "karri-creek", "tasks": [{"name": "a", "metod": "b"}]}
    response = api.call(SUBMIT, body).response
    assert response.failure.field == "tasks[0].metod"
    assert "did you mean 'method'?" in response.json["message"]


@pytest.mark.parametrize(
    ("headers", "status", "field"),
    [
        ({"Content-Type": "text/plain"}, 415, "Content-Type"),
        ({"Content-Type": None}, 415, "Content-Type"),
        ({"Content-Type": "application/proto"}, 415, "Content-Type"),
        ({"Content-Encoding": "gzip"}, 501, "Content-Encoding"),
        ({"Connect-Protocol-Version": "2"}, 400, "Connect-Protocol-Version"),
        ({"Connect-Timeout-Ms": "soon"}, 400, "Connect-Timeout-Ms"),
        ({"Connect-Timeout-Ms": "-5"}, 400, "Connect-Timeout-Ms"),
        ({"Connect-Timeout-Ms": "1" * 11}, 400, "Connect-Timeout-Ms"),
        ({"Connect-Timeout-Ms": "3600001"}, 400, "Connect-Timeout-Ms"),
        ({"Connect-Timeout-Ms": "0"}, 504, "Connect-Timeout-Ms"),
    ],
)
def test_bad_header_is_refused_as_not_run(api, job, headers, status, field):
    """Guards against misinterpreting unsupported header values."""
    response = api.call(SUBMIT, job, headers).response
    assert response.status == status
    assert response.failure.field == field
    assert response.failure.outcome == errors_pb2.NOT_RUN


@pytest.mark.parametrize(
    "content_type",
    ["application/json; charset=utf-8", 'Application/JSON; charset="UTF-8"'],
)
def test_json_content_types_are_accepted(api, content_type):
    """Guards against rejecting equivalent spellings of the type."""
    response = api.call(
        GET_CONFIG, {}, {"Content-Type": content_type}
    ).response
    assert response.status == 200


def test_empty_body_is_a_message_without_fields(api):
    """Guards against rejecting an empty body for methods without input."""
    assert api.call(GET_CONFIG, b"").response.status == 200


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/jasminewind.v1.JobService/Submit", 501),
        ("/jasminewind.v1.JobServices/SubmitJob", 501),
        ("/nothing", 404),
        ("/", 404),
        ("/a/b/c", 404),
    ],
)
def test_unknown_path_is_a_connect_error(api, path, status):
    """Guards against HTML error pages for clients that parse JSON."""
    connection = api.connect()
    connection.post(path, {})
    assert connection.response.status == status
    assert connection.response.json["code"] == "unimplemented"


def test_wrong_http_method_names_the_right_one(api):
    """Guards against a 405 response without an ``Allow`` header."""
    connection = api.connect()
    connection.send(b"GET /jasminewind.v1.JobService/GetJob HTTP/1.1\r\n\r\n")
    assert connection.response.status == 405
    assert "POST" in connection.response.headers["allow"]


def test_error_detail_has_type_value_and_debug(api):
    """Guards against error details that Connect clients cannot decode."""
    response = api.call(SUBMIT, {"team": "x"}).response
    (detail,) = response.json["details"]
    assert detail["type"] == "jasminewind.v1.FailureDetail"
    assert "=" not in detail["value"]
    assert detail["debug"]["outcome"] == "NOT_RUN"
    assert response.failure.field == "tasks"


def test_every_code_has_a_status():
    """Guards against an error code without an HTTP status."""
    assert set(connect.HTTP_STATUS) == set(errors.Code)


def test_every_outcome_is_in_the_schema():
    """Guards against an outcome that cannot be sent to callers."""
    for outcome in errors.Outcome:
        assert errors_pb2.Outcome.Value(outcome.value)


def set_body_limit(api, limit):
    """Set the maximum body size to ``limit`` bytes."""
    api.backend.configuration = configuration.Configuration(
        version=1, limits=configuration.Limits(max_body_bytes=limit)
    )


def test_declared_oversized_body_is_refused_before_it_arrives(api):
    """Guards against buffering bodies that are rejected anyway."""
    set_body_limit(api, 2_000)
    connection = api.connect()
    connection.send(
        b"POST /jasminewind.v1.JobService/SubmitJob HTTP/1.1\r\n"
        b"Content-Type: application/json\r\nContent-Length: 2001\r\n\r\n"
    )
    response = connection.response
    assert response.status == 429
    assert response.json["code"] == "resource_exhausted"
    assert response.failure.outcome == errors_pb2.NOT_RUN
    connection.send(b"x" * 2_001)
    api.clock.advance(channel.LINGER_S)
    assert connection.transport.disconnecting


def test_chunked_oversized_body_is_refused_while_it_arrives(api):
    """Guards against a limit that checks only the declared length."""
    set_body_limit(api, 2_000)
    connection = api.connect()
    connection.send(
        b"POST /jasminewind.v1.JobService/SubmitJob HTTP/1.1\r\n"
        b"Content-Type: application/json\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"3e8\r\n" + b" " * 1_000 + b"\r\n"
    connection.send(chunk + chunk)
    assert connection.response is None
    connection.send(chunk + b"0\r\n\r\n")
    assert connection.response.status == 429
    assert connection.transport.value().count(b"HTTP/1.1") == 1


def test_body_of_exactly_the_limit_is_read(api):
    """Guards against an off-by-one error in the size limit."""
    set_body_limit(api, 2_000)
    body = b"{}".ljust(2_000)
    assert api.call(GET_CONFIG, body).response.status == 200


@pytest.mark.parametrize(
    "part",
    [
        b"POST /jasminewind.v1.ConfigService/GetConfig HTTP/1.1\r\n",
        b"POST /jasminewind.v1.ConfigService/GetConfig HTTP/1.1\r\n"
        b"Content-Type: application/json\r\nContent-Length: 90\r\n\r\n",
    ],
)
def test_slow_sender_is_refused(api, part):
    """Guards against slow clients that hold connections open.

    Each byte restarts the idle timeout, but not the read timeout.
    """
    connection = api.connect()
    connection.send(part)
    for _ in range(int(channel.READ_TIMEOUT_S) - 1):
        api.clock.advance(1)
        connection.send(b" ")
        assert connection.response is None
    api.clock.advance(1)
    assert connection.response.status == 504
    assert connection.response.failure.outcome == errors_pb2.NOT_RUN
    api.clock.advance(channel.LINGER_S)
    assert connection.transport.disconnecting


def test_idle_connection_serves_a_later_request(api):
    """Guards against a read timeout that runs between two requests."""
    connection = api.connect()
    connection.post(f"/jasminewind.v1.{GET_CONFIG}", {})
    assert connection.response.status == 200
    connection.transport.clear()
    api.clock.advance(channel.READ_TIMEOUT_S * 2)
    connection.post(f"/jasminewind.v1.{GET_CONFIG}", {})
    assert connection.response.status == 200


def test_pipelined_requests_are_answered_in_order(api):
    """Guards against limits that break the second pipelined request."""
    connection = api.connect()
    head = (
        b"POST /jasminewind.v1.ConfigService/GetConfig HTTP/1.1\r\n"
        b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
    )
    connection.send(head + head)
    assert connection.transport.value().count(b"HTTP/1.1 200") == 2


def test_health_checks(api):
    """Guards against a load balancer that sends work to a stale entry."""
    for ready, status in ((True, 200), (False, 503)):
        api.backend.readiness = backends.Readiness(ready=ready, reason="why")
        for path, expected in (("healthz", 200), ("readyz", status)):
            connection = api.connect()
            connection.send(f"GET /{path} HTTP/1.1\r\n\r\n".encode())
            assert connection.response.status == expected


def test_decoded_message_round_trips():
    """Guards against JSON field names that differ from the schema."""
    message = work_pb2.SubmitJobRequest(team="t", deadline_s=2.5)
    message.tasks.add(name="a", expected_s=0.5).payload["run_s"] = 0.25
    body = connect.encode(message)
    assert json.loads(body)["deadlineS"] == 2.5
    decoded = connect.decode(body, work_pb2.SubmitJobRequest)
    assert decoded.unwrap() == message
