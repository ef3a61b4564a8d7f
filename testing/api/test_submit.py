"""Tests of submissions: forwarding, validation, and answers."""

import pytest
from twisted.internet import defer

from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import resources
from _jasminewind.api import backend as backends
from _jasminewind.api import submissions
from _jasminewind.api.pb import errors_pb2
from _jasminewind.messages import work

SUBMIT = "JobService/SubmitJob"
CALL = "RequestService/Call"


def complete(submit, payload='{"ok":true}'):
    """Return a complete answer to ``submit``."""
    return work.Answer(
        work_id=submit.work_id,
        state=work.WorkState.COMPLETE,
        outputs=tuple(
            work.TaskOutput(
                name=t.name, payload=payload, endpoint="worker-1", run_s=0.1
            )
            for t in submit.tasks
        ),
    )


def status_reply(state, work_id="", **fields):
    """Return the reply to a query for work in ``state``."""
    return defer.succeed(
        work.WorkStatus(work_id=work_id, query_id=0, state=state, **fields)
    )


def test_job_is_forwarded_and_answered_whole(api, job):
    """Guards against losing fields between caller and owner."""
    connection = api.call(SUBMIT, job, {"Connect-Timeout-Ms": "2500"})
    (submit,) = api.backend.submitted
    assert connection.response is None
    assert submit.kind is work.WorkKind.JOB
    assert submit.budget_s == 2.5
    assert submit.config_version == 7
    assert ids.parse(submit.work_id).is_ok()
    assert [t.repeatable for t in submit.tasks] == [True, False]
    assert submit.tasks[0].payload == '{"run_s":0.1}'
    assert submit.tasks[1].demand == resources.Resources(
        cores=2, memory_mb=512
    )
    api.backend.answers[0].callback(complete(submit))
    body = connection.response.json
    assert connection.response.status == 200
    assert body["id"] == submit.work_id
    assert body["state"] == "COMPLETE"
    assert [o["name"] for o in body["outputs"]] == ["quote-1", "cut-1"]
    assert body["outputs"][0]["payload"] == {"ok": True}


def test_request_is_forwarded_and_answered(api, request_body):
    """Guards against a request forwarded with a worker's demand."""
    connection = api.call(CALL, request_body)
    (submit,) = api.backend.submitted
    assert submit.kind is work.WorkKind.REQUEST
    assert submit.tasks[0].demand == resources.ONE_SLOT
    api.backend.answers[0].callback(complete(submit, '"a quote"'))
    assert connection.response.json["payload"] == "a quote"
    assert connection.response.json["runS"] == 0.1


def test_whole_numbers_stay_whole(api, request_body):
    """Guards against integers that endpoints receive as 12.0, not 12."""
    request_body["payload"] = {"pallets": 12, "rows": [1, 2.5, {"n": -3}]}
    connection = api.call(CALL, request_body)
    submit = api.backend.submitted[0]
    text = '{"pallets":12}'
    assert '"pallets":12' in submit.tasks[0].payload
    assert '"rows":[1,2.5,{"n":-3}]' in submit.tasks[0].payload
    assert "12.0" not in submit.tasks[0].payload
    api.backend.answers[0].callback(complete(submit, text))
    assert b'"payload": {"pallets": 12}' in connection.response.body


@pytest.mark.parametrize(
    "text", ['{"n":9007199254740995}', "not json", "NaN", "1e999"]
)
def test_output_that_json_numbers_cannot_hold_is_text(api, job, text):
    """Guards against changing outputs that a double cannot represent."""
    connection = api.call(SUBMIT, job)
    submit = api.backend.submitted[0]
    api.backend.answers[0].callback(complete(submit, text))
    assert connection.response.json["outputs"][0]["payload"] == text


def set_value(job, path, value):
    """Set one value in the body of a job."""
    target = job
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return job


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (("tasks",), [], "tasks"),
        (("tasks",), [{"name": str(i)} for i in range(111)], "tasks"),
        (("tasks", 1, "name"), "quote-1", "tasks[1].name"),
        (("tasks", 1, "name"), "", "tasks[1].name"),
        (("tasks", 1, "name"), "a\nb", "tasks[1].name"),
        (("tasks", 1, "expectedS"), -1, "tasks[1].expected_s"),
        (("tasks", 1, "expectedS"), "NaN", "tasks[1].expected_s"),
        (("tasks", 1, "demand"), {"cores": -1}, "tasks[1].demand.cores"),
        (("tasks", 1, "demand"), {}, "tasks[1].demand"),
        (("tasks", 1, "service"), "hutch-order", "tasks[1].service"),
        (("tasks", 1, "method"), "cutlist", "tasks[1].method"),
        (("team",), "", "team"),
        (("team",), "karri", "team"),
        (("deadlineS",), -1, "deadline_s"),
        (("deadlineS",), 1e6, "deadline_s"),
        (("deadlineS",), "NaN", "deadline_s"),
        (("id",), "PO-77", "id"),
        (("id",), "6ba7b810-9dad-41d1-80b4-00c04fd430c8", "id"),
        (("urgent",), True, "urgent"),
        (("tasks", 1, "nmae"), "x", "tasks[1].nmae"),
    ],
)
def test_bad_job_is_refused_as_not_run(api, job, path, value, field):
    """Guards against forwarding invalid input, and against vague errors."""
    connection = api.call(SUBMIT, set_value(job, path, value))
    assert api.backend.submitted == []
    response = connection.response
    assert response.status in (400, 504)
    assert response.json["message"].startswith(field)
    assert response.failure.outcome == errors_pb2.NOT_RUN
    assert response.failure.field == field


def test_id_far_ahead_is_refused(api, job):
    """Guards against forwarding an id that no owner accepts."""
    job["id"] = api.new_id(ahead_ms=60_001)
    response = api.call(SUBMIT, job).response
    assert response.failure.outcome == errors_pb2.NOT_RUN
    assert response.failure.field == "id"
    job["id"] = api.new_id(ahead_ms=60_000)
    api.call(SUBMIT, job)
    assert len(api.backend.submitted) == 1


def test_forwarded_job_fits_into_a_frame(api, job):
    """Guards against a valid body that exceeds the frame size.

    Quotes are escaped again inside a frame, which doubles their size.
    """
    job["tasks"][0]["payload"] = {"text": '"' * 400_000}
    response = api.call(SUBMIT, job).response
    assert response.status == 429
    assert response.failure.outcome == errors_pb2.NOT_RUN
    assert api.backend.submitted == []


def test_earlier_of_both_deadlines_counts(api, job):
    """Guards against work that runs after its caller timed out."""
    job["deadlineS"] = 9
    api.call(SUBMIT, job, {"Connect-Timeout-Ms": "4000"})
    api.call(SUBMIT, job, {"Connect-Timeout-Ms": "14000"})
    assert [s.budget_s for s in api.backend.submitted] == [4.0, 9.0]


@pytest.mark.parametrize("method", [SUBMIT, CALL])
def test_disconnected_caller_cancels_its_work(api, job, request_body, method):
    """Guards against running work for disconnected callers."""
    body = job if method == SUBMIT else request_body
    connection = api.call(method, body)
    connection.disconnect()
    submit = api.backend.submitted[0]
    assert api.backend.cancelled == [submit.work_id]
    api.backend.answers[0].callback(complete(submit))


def test_work_without_answer_ends_at_its_deadline(api, request_body):
    """Guards against callers that wait for ever after an answer is lost."""
    connection = api.call(CALL, request_body, {"Connect-Timeout-Ms": "500"})
    api.clock.advance(0.5 + submissions.DEADLINE_GRACE_S)
    response = connection.response
    assert response.status == 504
    assert response.failure.outcome == errors_pb2.MAY_HAVE_RUN
    assert api.backend.cancelled == [api.backend.submitted[0].work_id]
    api.backend.answers[0].callback(complete(api.backend.submitted[0]))


@pytest.mark.parametrize("outcome", list(errors.Outcome))
def test_failed_answer_keeps_its_outcome(api, job, outcome):
    """Guards against reporting a failure with another outcome."""
    connection = api.call(SUBMIT, job)
    work_id = api.backend.submitted[0].work_id
    api.backend.answers[0].callback(
        work.Answer(
            work_id=work_id,
            state=work.WorkState.FAILED,
            error=errors.WorkError(
                code=errors.Code.RESOURCE_EXHAUSTED,
                outcome=outcome,
                reason="no room",
            ),
        )
    )
    response = connection.response
    assert response.status == 429
    assert response.json["code"] == "resource_exhausted"
    detail = response.failure
    assert errors_pb2.Outcome.Name(detail.outcome) == outcome.value
    assert (detail.reason, detail.work_id) == ("no room", work_id)


def test_answer_to_other_tasks_is_not_passed_on(api, job):
    """Guards against reporting a partial or wrong answer as complete."""
    connection = api.call(SUBMIT, job)
    answer = complete(api.backend.submitted[0])
    partial = work.Answer(
        work_id=answer.work_id, state=answer.state, outputs=answer.outputs[:1]
    )
    api.backend.answers[0].callback(partial)
    assert connection.response.json["code"] == "already_exists"


def test_entry_that_is_not_ready_refuses(api, job):
    """Guards against accepting work under a stale configuration."""
    api.backend.readiness = backends.Readiness(ready=False, reason="stale")
    response = api.call(SUBMIT, job).response
    assert response.status == 503
    assert response.failure.outcome == errors_pb2.NOT_RUN
    assert api.backend.submitted == []


def test_entry_that_awaits_a_confirmation_holds_valid_work_only(api, job):
    """Guards against refusals of an entry that was paused for a moment.

    Input that its configuration does not know may be valid in a newer one.
    """
    api.backend.readiness = backends.Readiness(
        ready=False, reason="stale", accepts_work=True, confirmed=False
    )
    api.call(SUBMIT, job)
    assert len(api.backend.submitted) == 1
    job["tasks"][0]["method"] = "no-such-method"
    response = api.call(SUBMIT, job).response
    assert response.status == 503
    assert response.failure.outcome == errors_pb2.NOT_RUN


@pytest.mark.parametrize(
    ("state", "may_have_run", "outcome"),
    [
        (work.WorkState.UNKNOWN, False, errors_pb2.NOT_RUN),
        (work.WorkState.UNKNOWN, True, errors_pb2.MAY_HAVE_RUN),
        (work.WorkState.COMPLETE, False, errors_pb2.MAY_HAVE_RUN),
        (work.WorkState.RUNNING, False, errors_pb2.MAY_HAVE_RUN),
    ],
)
def test_refused_resubmission_is_not_called_not_run(
    api, job, state, may_have_run, outcome
):
    """Guards against NOT_RUN for an id that ran on its first submission.

    The team was removed between the submission and its resubmission.
    """
    work_id = api.new_id()
    job["id"] = work_id.upper()
    api.backend.configuration = configuration.Configuration(version=8)
    api.backend.status = status_reply(
        state, work_id, may_have_run=may_have_run
    )
    response = api.call(SUBMIT, job).response
    assert response.failure.outcome == outcome
    assert api.backend.queried == [work_id]


def test_refusal_does_not_wait_for_a_silent_owner(api, job):
    """Guards against slow refusals, and against an unproven NOT_RUN."""
    job["id"] = api.new_id()
    api.backend.status = defer.Deferred()
    api.backend.readiness = backends.Readiness(ready=False, reason="stale")
    connection = api.call(SUBMIT, job)
    api.clock.advance(submissions.REFUSAL_QUERY_TIMEOUT_S)
    assert connection.response.failure.outcome == errors_pb2.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("status", "not_run_if_first"),
    [
        (defer.Deferred(), True),
        (work.WorkState.UNKNOWN, True),
        (work.WorkState.RUNNING, False),
        (work.WorkState.COMPLETE, False),
    ],
)
def test_refusal_tells_what_is_known_of_this_submission(
    api, request_body, status, not_run_if_first
):
    """Guards against a caller that cannot tell its one refused call failed.

    An unknown method is refused while the owner of the id is slow, cannot
    tell, or knows an earlier submission.
    """
    request_body["id"] = api.new_id()
    request_body["method"] = "no-such-method"
    api.backend.status = status
    if isinstance(status, work.WorkState):
        api.backend.status = status_reply(
            status, request_body["id"], may_have_run=True
        )
    connection = api.call("RequestService/Call", request_body)
    api.clock.advance(submissions.REFUSAL_QUERY_TIMEOUT_S)
    failure = connection.response.failure
    assert failure.outcome == errors_pb2.MAY_HAVE_RUN
    assert failure.not_run_if_first is not_run_if_first
    assert api.backend.submitted == []


def test_detached_job_returns_when_its_owner_knows_it(api, job):
    """Guards against confirming a job that no process knows."""
    job["detach"] = True
    connection = api.call(SUBMIT, job)
    api.clock.advance(submissions.DETACH_POLL_INTERVAL_S)
    assert connection.response is None
    api.backend.status = status_reply(work.WorkState.QUEUED)
    api.clock.advance(submissions.DETACH_POLL_INTERVAL_S)
    assert connection.response.json["state"] == "QUEUED"
    connection.disconnect()
    assert api.backend.cancelled == []


def test_detached_job_reports_what_happens_at_once(api, job):
    """Guards against confirming a detached job that was refused."""
    job["detach"] = True
    refused = api.call(SUBMIT, job)
    broken = api.call(SUBMIT, job)
    error = errors.WorkError(
        code=errors.Code.RESOURCE_EXHAUSTED,
        outcome=errors.Outcome.NOT_RUN,
        reason="quota",
    )
    api.backend.answers[0].callback(
        work.Answer(
            work_id=api.backend.submitted[0].work_id,
            state=work.WorkState.FAILED,
            error=error,
        )
    )
    api.backend.answers[1].errback(RuntimeError("broken"))
    api.clock.advance(submissions.DETACH_POLL_INTERVAL_S)
    assert refused.response.failure.outcome == errors_pb2.NOT_RUN
    assert broken.response.failure.outcome == errors_pb2.MAY_HAVE_RUN


def test_detached_job_outlives_its_caller(api, job):
    """Guards against cancelling a detached job when its caller disconnects."""
    job["detach"] = True
    api.call(SUBMIT, job).disconnect()
    api.clock.advance(1)
    assert api.backend.cancelled == []


def test_get_job_shows_progress_answer_and_failure(api):
    """Guards against a finished job that is reported as unfinished."""
    work_id = api.new_id()
    api.backend.status = status_reply(
        work.WorkState.RUNNING, work_id, tasks_total=3, tasks_done=1
    )
    body = api.call("JobService/GetJob", {"id": work_id}).response.json
    assert (body["state"], body["tasksDone"]) == ("RUNNING", 1)
    failed = work.Answer(
        work_id=work_id,
        state=work.WorkState.FAILED,
        error=errors.WorkError(
            code=errors.Code.ABORTED,
            outcome=errors.Outcome.FAILED_WHILE_RUNNING,
            reason="saw broke",
        ),
    )
    api.backend.status = status_reply(
        work.WorkState.FAILED, work_id, answer=failed
    )
    body = api.call("JobService/GetJob", {"id": work_id}).response.json
    assert body["failure"]["outcome"] == "FAILED_WHILE_RUNNING"


def test_get_job_with_unknown_id_is_not_found(api):
    """Guards against clients that poll an unknown job for ever."""
    response = api.call("JobService/GetJob", {"id": api.new_id()}).response
    assert response.status == 404


@pytest.mark.parametrize(
    "method", ["JobService/CancelJob", "RequestService/Cancel"]
)
def test_cancel_reaches_the_backend(api, method):
    """Guards against cancellations that the entry drops."""
    work_id = api.new_id()
    assert api.call(method, {"id": work_id}).response.status == 200
    assert api.backend.cancelled == [work_id]
    assert api.call(method, {"id": "7"}).response.status == 400


def test_fault_of_the_backend_is_an_error_response(api, job):
    """Guards against sending tracebacks to callers."""
    connection = api.call(SUBMIT, job)
    api.backend.answers[0].errback(RuntimeError("broken"))
    assert connection.response.status == 500
    assert connection.response.failure.outcome == errors_pb2.MAY_HAVE_RUN
    assert b"Traceback" not in connection.response.body
