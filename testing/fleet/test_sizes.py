"""Deployments at full size, and the limit on tasks of a job."""

import json

import pytest

from _jasminewind.experiment import deployments
from _jasminewind.experiment import fleets
from testing.fleet import system as systems
from testing.fleet import traffic


@pytest.mark.parametrize(
    "deployment", deployments.DEPLOYMENTS, ids=lambda d: d.name
)
def test_deployment_of_today_runs_its_examples(deployment, tmp_path):
    """Guards against a deployment that cannot start at full size."""
    folder = systems.EXAMPLES / deployment.name
    system = systems.build(deployment, tmp_path)
    try:
        for name, method in (
            ("job.json", traffic.SUBMIT_JOB),
            ("request.json", traffic.CALL),
        ):
            body = json.loads((folder / name).read_text())
            reply = fleets.call(system.layout.url(), method, body)
            assert reply.status == 200, reply.body
            tasks = body.get("tasks")
            if tasks is not None:
                outputs = [o["name"] for o in reply.body["outputs"]]
                assert outputs == [task["name"] for task in tasks]
            assert system.count_starts(reply.body["id"]) == len(tasks or "1")
    finally:
        system.stop()


def test_limit_of_110_tasks(system, client):
    """Guards against a task limit that is not exactly 110."""
    accepted = client.submit_until_answered(client.new(tasks=110, is_job=True))
    assert accepted.outcome == traffic.COMPLETE, accepted.body
    refused = client.submit_until_answered(client.new(tasks=111, is_job=True))
    assert refused.outcome == "NOT_RUN", refused.body
    assert system.count_starts(refused.work.work_id) == 0
