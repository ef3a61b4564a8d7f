"""Fakes of the users' platform over HTTP: row store and endpoint."""

import base64
import json

from twisted.web import resource
from twisted.web import server

from _jasminewind import resources
from _jasminewind.decisions.jobs import actions
from _jasminewind.messages import runs
from testing.decisions.jobs import endpoint as fake

HISTORY_TRUNCATED_STATUS = 410
CONFLICT_STATUS = 412
CONFLICT_REASONS = {
    actions.CallOutcome.FENCED: "fence",
    actions.CallOutcome.OUTDATED: "old",
    actions.CallOutcome.LATE: "late",
}


class FakeStore(resource.Resource):
    """Row store with one version counter and a change feed.

    A ``status`` other than 200 is returned to every call. ``oldest`` is the
    first version whose changes the feed still has.
    """

    isLeaf = True

    def __init__(self, reactor):
        super().__init__()
        self.reactor = reactor
        self.rows = {}
        # Versions of the deletions of rows that do not exist any more.
        self.deleted = {}
        self.version = 0
        self.status = 200
        self.oldest = 0
        self.calls = []
        self.waiting = []
        self.is_losing_answers = False
        self.late = []

    def put(self, table, key, value):
        """Write a row and wake the long polls."""
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self.deleted.pop((table, key), None)
        self.wake()

    def delete(self, table, key):
        """Delete a row if it exists, and wake the long polls."""
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self.deleted[table, key] = self.version
            self.wake()

    def wake(self):
        """Respond to the long polls."""
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()

    def row(self, table, key):
        """Return a row in its JSON form."""
        version, value = self.rows[table, key]
        return {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "version-number": version,
        }

    def render_POST(self, request):  # noqa: N802
        """Apply a transaction."""
        self.calls.append(request.path)
        if self.status != 200:
            request.setResponseCode(self.status)
            return b"{}"
        transaction = json.loads(request.content.read())
        if self.is_losing_answers:
            # It takes effect later, once the test applies it.
            self.late.append(transaction)
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        if not self.apply(transaction):
            request.setResponseCode(CONFLICT_STATUS)
            found = [
                self.row(each["table"], each["key"])
                for each in transaction.get("expect", ())
                if (each["table"], each["key"]) in self.rows
            ]
            return json.dumps({"rows": found}).encode()
        return json.dumps({"version-number": self.version}).encode()

    def apply(self, transaction):
        """Apply a transaction if its conditions hold; tell whether so."""
        for each in transaction.get("expect", ()):
            version, _ = self.rows.get((each["table"], each["key"]), (0, b""))
            if version != each["version-number"]:
                return False
        for row in transaction["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return True

    def render_GET(self, request):  # noqa: N802
        """Read a table, or long-poll for its changes."""
        self.calls.append(request.path)
        if self.status != 200:
            request.setResponseCode(self.status)
            return b"{}"
        query = {k.decode(): v[0].decode() for k, v in request.args.items()}
        if request.path == b"/-/rows-get":
            return self.page(query["table"], 0)
        after = int(query["after"])
        if after < self.oldest:
            request.setResponseCode(HISTORY_TRUNCATED_STATUS)
            return b"{}"
        if self.changed(query["table"], after) or self.deletions(
            query["table"], after
        ):
            return self.page(query["table"], after)
        self.wait(request, query, after)
        return server.NOT_DONE_YET

    def wait(self, request, query, after):
        """Respond to a long poll after a change or its timeout."""
        done = []

        def wake():
            if not done and not request._disconnected:
                done.append(True)
                request.write(self.page(query["table"], after))
                request.finish()

        request.notifyFinish().addErrback(done.append)
        self.waiting.append(wake)
        self.reactor.callLater(int(query["wait-ms"]) / 1000, wake)

    def changed(self, table, after):
        """Return the keys of a table that changed after a version."""
        return sorted(
            key
            for (name, key), (version, _) in self.rows.items()
            if name == table and version > after
        )

    def deletions(self, table, after):
        """Return the rows of a table that were deleted after a version.

        A snapshot lists none.
        """
        return [
            {
                "table": table,
                "part": "",
                "key": key,
                "version-number": version,
                "deleted": True,
            }
            for (name, key), version in sorted(self.deleted.items())
            if name == table and version > after > 0
        ]

    def page(self, table, after):
        """Return the rows of a table that changed after a version."""
        rows = [self.row(table, key) for key in self.changed(table, after)]
        rows += self.deletions(table, after)
        body = {
            "rows": rows,
            "has-more": False,
            "version-number": self.version,
        }
        return json.dumps(body).encode()


class FakeMachine(resource.Resource):
    """Endpoint that serves the calls of its agent, unless it is cut off.

    With ``names_birth`` its lists of runs contain the time of its start.
    """

    isLeaf = True
    names_birth = False

    def __init__(self, reactor, name, *, born_s):
        super().__init__()
        self.reactor = reactor
        self.fake = fake.FakeEndpoint(name, born_s=born_s)
        self.is_cut_off = False
        self.calls = []

    def render_POST(self, request):  # noqa: N802
        """Handle a call."""
        if self.is_cut_off:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        request.setHeader("Content-Type", "application/json")
        expected = request.getHeader("X-Expected-Instance")
        if expected != self.fake.record.name:
            request.setResponseCode(421)
            return b"{}"
        body = json.loads(request.content.read())
        self.calls.append((request.path, body))
        now_s = self.reactor.seconds()
        if request.path == b"/-/hold":
            return self.renew(request, body, now_s)
        if request.path == b"/-/run-stop":
            call = actions.CallStop(
                endpoint=self.fake.record,
                fencing_token=body["fencing-token"],
                key=runs.RunKey(body["task"], body["run"]),
            )
            return self.reply_body(request, self.fake.stop(call, now_s))
        return self.reply_body(request, self.start(body))

    def start(self, body):
        """Carry out a start; return the reply."""
        need, work_s = self.work(body)
        order = runs.RunOrder(
            key=runs.RunKey(body["task"], body["run"]),
            specification=body["specification"],
            need=need,
            estimate_s=work_s,
            slack_s=0.0,
        )
        call = actions.CallStart(
            endpoint=self.fake.record,
            fencing_token=body["fencing-token"],
            order=order,
            deadline_ms=body["deadline-ms"],
        )
        return self.fake.start(call, self.reactor.seconds(), work_s)

    def work(self, body):
        """Return what a task needs, and its run time in seconds."""
        del body
        return resources.Resources(cores=1.0), 0.05

    def reply_body(self, request, reply):
        """Return the response to a start or a stop."""
        body = {"clock-ms": reply.clock_ms}
        if reply.outcome is not actions.CallOutcome.DONE:
            request.setResponseCode(409)
            body["reason"] = CONFLICT_REASONS[reply.outcome]
        return json.dumps(body).encode()

    def renew(self, request, body, now_s):
        """Renew the lease; return running and ended runs."""
        call = actions.CallRenew(
            endpoint=self.fake.record,
            fencing_token=body["fencing-token"],
            deadline_ms=body.get("deadline-ms", 0),
            last_end=body.get("last-seen", 0),
            wait_s=0.0,
        )
        reply = self.fake.renew(call, now_s, now_s)
        if reply.outcome is not actions.CallOutcome.DONE:
            return self.reply_body(request, reply)
        state = {
            "clock-ms": reply.clock_ms,
            "running": [
                [r.key.task, r.key.number, "", r.percent]
                for r in reply.running
            ],
            "ended": [
                [e.number, e.key.task, e.key.number, e.outcome.value, ""]
                for e in reply.ended
            ],
        }
        if self.names_birth:
            state["born"] = self.fake.record.born_ms
        wait_s = min(body.get("wait-ms", 0) / 1000, 0.02)

        def respond():
            if not request._disconnected:
                request.write(json.dumps(state).encode())
                request.finish()

        if reply.ended or not wait_s:
            return json.dumps(state).encode()
        self.reactor.callLater(wait_s, respond)
        return server.NOT_DONE_YET


CONFIGURATION = {
    "version": 4,
    "routes": [
        {
            "name": "r-1",
            "host": "orders.example",
            "prefix": "/quotes/",
            "kind": "non_idempotent",
            "timeout-ms": 1500,
            "target-completion-ms": 60,
            "service": "orders",
            "attempt-limit": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "orders"}],
    "limits": {"body-bytes": 262144},
}
HEARTBEAT = {
    "service": "orders",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "capacity": {
        "cpu-millicores": 10000,
        "memory-request-mb": 4096,
        "gpus": 0,
    },
    "labels": ["a", "r1"],
    "born": 1,
}
JOB = {
    "specification": "text",
    "best-effort": True,
    "steps": [
        {
            "count": 3,
            "cpu-millicores": 1000,
            "memory-request-mb": 64,
            "estimated-ms": 50,
        }
    ],
}
