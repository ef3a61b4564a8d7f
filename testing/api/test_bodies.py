"""Property tests: arbitrary bodies sent to every remote method."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from _jasminewind.api.pb import config_pb2
from _jasminewind.api.pb import errors_pb2
from _jasminewind.api.pb import operations_pb2
from _jasminewind.api.pb import work_pb2
from testing.api import conftest

FIELD_NAMES = sorted(
    {
        field.json_name
        for module in (config_pb2, errors_pb2, operations_pb2, work_pb2)
        for message in module.DESCRIPTOR.message_types_by_name.values()
        for field in message.fields
    }
)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.sampled_from(["", "karri-creek", "NaN", "-1", "1e400"]),
    strategies.text(max_size=5),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(FIELD_NAMES), inner, max_size=4
        ),
    ),
    max_leaves=12,
)
METHODS = sorted(
    f"{service}/{method}"
    for service, methods in conftest.ApiHarness().server.services.items()
    for method in methods
)


@pytest.mark.parametrize("method", METHODS)
def test_no_body_is_an_internal_error(method):
    """Guards against unvalidated input that causes an internal error."""
    services = conftest.ApiHarness().server.services
    service, _, name = method.partition("/")
    fields = [
        f.json_name for f in services[service][name].request.DESCRIPTOR.fields
    ]

    @hypothesis.settings(derandomize=True, max_examples=25, deadline=None)
    @hypothesis.given(
        body=strategies.dictionaries(
            strategies.sampled_from(fields or ["x"]), VALUES, max_size=6
        )
    )
    def check(body):
        api = conftest.ApiHarness()
        connection = api.connect()
        connection.post(f"/{method}", json.dumps(body).encode())
        response = connection.response
        # Forwarded work and watches get no immediate response.
        if response is not None:
            assert response.status != 500
            assert isinstance(response.json, dict)

    check()
