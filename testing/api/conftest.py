"""Harness: the API over in-memory connections with a fake backend."""

import base64
import dataclasses
import json
import random

import pytest
import result
from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import task
from twisted.internet import testing as internet_testing
from twisted.python import failure

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind import ids
from _jasminewind.api import backend as backends
from _jasminewind.api import server
from _jasminewind.api.pb import errors_pb2
from _jasminewind.decisions import core
from _jasminewind.messages import work

WALL_MS = 1_796_000_000_000
CONFIG = configuration.Configuration(
    version=7,
    change_ids=("change-6", "change-7"),
    author="els",
    teams=(
        configuration.Team(name="karri-creek"),
        configuration.Team(name="federation"),
    ),
    services=(
        configuration.Service(
            name="hutch-orders",
            methods=(
                configuration.Method(name="quote", repeatable=True),
                configuration.Method(name="cut-list"),
            ),
        ),
    ),
)


class RecordingBackend(backends.Backend):
    """Backend that records calls and returns what the test has set."""

    def __init__(self, clock):
        self.clock = clock
        self.rng = random.Random(7)
        self.configuration = CONFIG
        self.readiness = backends.Readiness(ready=True)
        self.member_list = ()
        self.submitted = []
        self.answers = []
        self.cancelled = []
        self.queried = []
        self.status = None
        self.proposed = []
        self.propose_result = None
        self.released = []
        self.release_error = None
        self.explained = ()

    def new_id(self):
        return ids.new(wall_ms=self.now().wall_ms, rng=self.rng)

    def submit(self, submit):
        self.submitted.append(submit)
        self.answers.append(defer.Deferred())
        return self.answers[-1]

    def cancel(self, work_id):
        self.cancelled.append(work_id)

    def query(self, work_id, *, refuse_unknown=False):
        del refuse_unknown
        self.queried.append(work_id)
        if self.status is None:
            status = work.WorkStatus(
                work_id=work_id, query_id=0, state=work.WorkState.UNKNOWN
            )
            return defer.succeed(status)
        return self.status

    def explain(self, work_id):
        return defer.succeed(
            work.ExplainReply(
                work_id=work_id, query_id=0, entries=self.explained
            )
        )

    def config(self):
        return self.configuration

    def propose(self, change):
        self.proposed.append(change)
        if self.propose_result is not None:
            return defer.succeed(self.propose_result)
        self.configuration = changes.apply(self.configuration, change).unwrap()
        return defer.succeed(
            result.Ok(
                changes.ConfigAccepted(version=self.configuration.version)
            )
        )

    def wait_config(self, after_version, timeout_s):
        return defer.Deferred()

    def members(self):
        return self.member_list

    def release_shard(self, shard):
        self.released.append(shard)
        if self.release_error is not None:
            return defer.succeed(result.Err(self.release_error))
        return defer.succeed(result.Ok(None))

    def is_ready(self):
        return self.readiness

    def now(self):
        return core.Instant(
            self.clock.seconds(), WALL_MS + int(self.clock.seconds() * 1000)
        )


@dataclasses.dataclass
class Response:
    """A parsed HTTP response."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def failure(self):
        """Return the ``FailureDetail`` of an error response."""
        return self.detail("FailureDetail", errors_pb2.FailureDetail)

    def detail(self, name, kind):
        found = [
            d
            for d in self.json["details"]
            if d["type"] == f"jasminewind.v1.{name}"
        ]
        value = found[0]["value"]
        padded = value + "=" * (-len(value) % 4)
        return kind.FromString(base64.b64decode(padded))


class Connection:
    """In-memory connection of a caller."""

    def __init__(self, site):
        self.protocol = site.buildProtocol(None)
        self.transport = internet_testing.StringTransport()
        self.protocol.makeConnection(self.transport)

    def send(self, data):
        self.protocol.dataReceived(data)

    def post(self, path, body, headers=None):
        """Send one request; ``body`` is bytes or JSON-serialisable."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        fields = {
            "Host": "entry",
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        fields.update(headers or {})
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in fields.items() if v is not None]
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def disconnect(self):
        reason = failure.Failure(internet_error.ConnectionDone())
        self.protocol.connectionLost(reason)

    @property
    def response(self):
        """Return the response, or ``None`` if none was sent yet."""
        data = self.transport.value()
        if not data:
            return None
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            rest = dechunk(rest)
        return Response(int(lines[0].split()[1]), headers, rest)


def dechunk(data):
    """Return the body of a chunked response."""
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        body += data[:length]
        data = data[length + 2 :]
    return body


class ApiHarness:
    """The API under test, with a fake clock and backend."""

    def __init__(self):
        self.clock = task.Clock()
        self.backend = RecordingBackend(self.clock)
        self.rng = random.Random(11)
        self.server = server.ApiServer(
            backend=self.backend, clock=self.clock, rng=self.rng
        )
        self.site = self.server.site(reactor=self.clock)

    def connect(self):
        return Connection(self.site)

    def call(self, method, body, headers=None):
        """Call ``Service/Method`` on a new connection."""
        connection = self.connect()
        connection.post(f"/jasminewind.v1.{method}", body, headers)
        return connection

    def new_id(self, ahead_ms=0):
        return ids.new(wall_ms=WALL_MS + ahead_ms, rng=self.rng)


@pytest.fixture
def api():
    """Return the API of an entry with a fake clock and backend."""
    return ApiHarness()


@pytest.fixture
def job():
    """Return the body of a valid job with two tasks."""
    return {
        "team": "karri-creek",
        "tasks": [
            {
                "name": "quote-1",
                "service": "hutch-orders",
                "method": "quote",
                "payload": {"run_s": 0.1},
            },
            {
                "name": "cut-1",
                "service": "hutch-orders",
                "method": "cut-list",
                "demand": {"cores": 2, "memoryMb": 512},
            },
        ],
    }


@pytest.fixture
def request_body():
    """Return the body of a valid request."""
    return {
        "team": "karri-creek",
        "service": "hutch-orders",
        "method": "quote",
        "payload": {"run_s": 0.1},
    }
