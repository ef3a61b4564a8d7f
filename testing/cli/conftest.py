"""Fixtures that serve a scripted entry on loopback and run commands."""

import dataclasses
import http.server
import json
import threading

import pytest

from _jasminewind.cli import main


@dataclasses.dataclass
class CommandResult:
    """Exit code and output of a command."""

    exit_code: int
    out: str
    err: str


class ScriptedEntry:
    """Records API calls and answers them with scripted replies."""

    def __init__(self):
        self.replies = {}
        self.calls = []

    def script_replies(self, method, *replies):
        """Set the replies to calls of ``method``; the last one repeats.

        A reply is a body for status 200, a pair of status and body, or
        ``None`` to close the connection without a response.
        """
        self.replies[method] = list(replies)

    def script_error(self, method, code, outcome, status=400, **fields):
        """Answer every call of ``method`` with an error.

        ``fields`` are added to its ``FailureDetail``.
        """
        detail = {"outcome": outcome, "reason": "why", **fields}
        body = {
            "code": code,
            "message": "team: why",
            "details": [
                {"type": "jasminewind.v1.FailureDetail", "debug": detail}
            ],
        }
        self.script_replies(method, (status, body))

    def bodies_of(self, method):
        """Return the request bodies of the calls of ``method``."""
        return [body for name, body in self.calls if name == method]


@pytest.fixture
def entry(monkeypatch):
    """Serve a scripted entry and set JASMINEWIND_ENTRY to its URL."""
    scripted = ScriptedEntry()

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self):  # noqa: N802
            method = self.path.removeprefix("/jasminewind.v1.")
            size = int(self.headers["Content-Length"])
            scripted.calls.append((method, json.loads(self.rfile.read(size))))
            replies = scripted.replies.get(method, [(501, {})])
            reply = replies.pop(0) if len(replies) > 1 else replies[0]
            if reply is None:
                return
            status, body = reply if isinstance(reply, tuple) else (200, reply)
            data = body if isinstance(body, bytes) else json.dumps(body)
            data = data if isinstance(data, bytes) else data.encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *arguments):
            """Suppress the access log."""

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(
        target=server.serve_forever, args=(0.01,), daemon=True
    )
    thread.start()
    host, port = server.server_address
    monkeypatch.setenv("JASMINEWIND_ENTRY", f"http://{host}:{port}")
    yield scripted
    server.shutdown()
    server.server_close()


@pytest.fixture
def run(capsys):
    """Return a function that runs a command and captures its output."""

    def run_command(*arguments):
        exit_code = 0
        try:
            main.main([str(a) for a in arguments])
        except SystemExit as e:
            exit_code = e.code or 0
        captured = capsys.readouterr()
        assert "Traceback" not in captured.out + captured.err
        return CommandResult(exit_code, captured.out, captured.err)

    return run_command


@pytest.fixture
def job_file(tmp_path):
    """Return the path of a file with a job."""
    path = tmp_path / "job.json"
    path.write_text('{"team": "crew-desk", "tasks": [{"name": "a"}]}')
    return path
