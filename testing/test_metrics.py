"""Tests of metric definitions and of the OpenTelemetry export."""

import json
import subprocess
import sys

from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export

from _jasminewind import metrics

CHECK = """
import json, sys
from _jasminewind import metrics, settings
text = json.dumps(%r).encode()
meter = metrics.from_settings(settings.parse(text).unwrap())
meter.add(metrics.TASK_STARTS)
print(any(name.startswith("opentelemetry") for name in sys.modules))
"""
AGENT = {
    "role": "agent",
    "name": "agent-1",
    "region": "r",
    "failure_domain": "a",
    "rack": "r1",
    "host": "127.0.0.1",
    "port": 7401,
    "local_port": 7481,
    "table": {"host": "127.0.0.1", "port": 7300},
    "seeds": [{"host": "127.0.0.1", "port": 7400}],
}


def test_agent_without_export_does_not_load_the_sdk():
    """Guards against an agent that loads the unused SDK into memory."""
    text = CHECK % AGENT
    completed = subprocess.run(
        [sys.executable, "-c", text],
        env={"PYTHONPATH": ":".join(p for p in sys.path if p)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "False"


def test_agent_does_not_load_what_only_entries_need():
    """Guards against imports that exceed an agent's memory limit."""
    code = (
        "import sys\n"
        "from _jasminewind.nodes import daemon\n"
        "unused = ('opentelemetry', 'klein', 'treq', 'google', 'fire')\n"
        "print([n for n in unused if n in sys.modules])\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        env={"PYTHONPATH": ":".join(p for p in sys.path if p)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "[]"


def test_instruments_reach_the_exporter_with_their_units():
    """Guards against instruments that the SDK rejects or renames."""
    reader = export.InMemoryMetricReader()
    provider = sdk_metrics.MeterProvider(metric_readers=[reader])
    meter = metrics.OpenTelemetryMeter(provider)
    for instrument in metrics.INSTRUMENTS:
        if instrument.kind is metrics.Kind.COUNTER:
            meter.add(instrument, 2, reason="quota")
        else:
            meter.record(instrument, 1.5, state="serving")
    data = json.loads(reader.get_metrics_data().to_json())
    (scope,) = data["resource_metrics"][0]["scope_metrics"]
    found = {m["name"]: m for m in scope["metrics"]}
    assert set(found) == {i.name for i in metrics.INSTRUMENTS}
    for instrument in metrics.INSTRUMENTS:
        assert found[instrument.name]["unit"] == instrument.unit
    points = found["jasminewind.refusals"]["data"]["data_points"]
    assert points[0]["value"] == 2
    assert points[0]["attributes"] == {"reason": "quota"}
    points = found["jasminewind.response.ratio"]["data"]["data_points"]
    assert tuple(points[0]["explicit_bounds"]) == metrics.RATIO_BOUNDS
    meter.close()


def test_instrument_names_are_unique():
    """Guards against two instruments that are merged under one name."""
    names = [i.name for i in metrics.INSTRUMENTS]
    assert len(names) == len(set(names)) > 20
