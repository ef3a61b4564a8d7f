"""Stand-ins for the cases of the third review: store, minions, clients.

They use the standard library alone and speak HTTP/1.1 on loopback addresses.
They behave as PROTOCOL.md says, and like sound servers where it is silent.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SERVICE = "hutch-orders"
QUEUE_HOST = "orders.example"
PREFIX = "/quotes/"
# Bounds of SYSTEM.md for the two small deployments.
HEARTBEAT_MS = 1500
HOLD_MAXIMUM_MS = 1000
RESEND_S = 1.3
CONTACT_S = 3.0
CANCEL_S = 3.0
CORES = 32
MEMORY_MB = 131072
STORE_ANSWER_S = 0.004
END_LIMIT_S = 5.0
# Time for which a call to an agent or an entry may take at most.
CALL_LIMIT_S = 10.0


class Record:
    """Writes what was sent, answered and run to a file, with times."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began_s

    def write(self, text):
        """Write one line, in the file and on standard output."""
        line = f"{self.now_s():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# HTTP


async def read_message(reader):
    """Return the first line, headers and body of a request or response."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """HTTP server; ``handle`` returns a status and a body, or ``None``.

    ``None`` leaves the request without an answer.
    """

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        """Listen on a port, by default a free one."""
        self.port = port or free_port()
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, backlog=1024, limit=1 << 20
        )

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                reply = await self.handle(method, target, headers, body)
                if reply is None:
                    continue
                status, fields = reply
                data = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            # The peer has left, or the case ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Close the port and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(port, method, path, *, body=None, headers=(), limit_s):
    """Send one request; return its status and body, 0 without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            named = {"content-type": "application/json", **dict(headers)}
            named.setdefault("host", f"{HOST}:{port}")
            lines += [f"{name}: {value}" for name, value in named.items()]
            lines.append(f"content-length: {len(data)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer.decode()
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (OSError, EOFError, TimeoutError, asyncio.TimeoutError) as error:
        return 0, type(error).__name__


# The platform's store


class Store:
    """The platform's store, with one version for all rows."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, table, key, value):
        """Write a row."""
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        """Return a row as it is sent."""
        version, value = self.rows[table, key]
        return {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "version-number": version,
        }

    def page(self, table, after=0, start=""):
        """Return the rows of a table that changed after a version."""
        rows = [
            self.row(name, key)
            for (name, key), (version, _) in sorted(self.rows.items())
            if name == table and version > after and key >= start
        ]
        return {
            "rows": rows,
            "has-more": False,
            "version-number": self.version,
            "now-ms": int(time.monotonic() * 1000),
        }

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        del headers
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if method == "POST" and path == "/-/rows-tx":
            return self.transact(json.loads(body))
        if path == "/-/rows-get":
            start = query.get("range-start", "")
            return 200, self.page(query["table"], start=start)
        if path == "/-/rows-feed":
            return 200, await self.feed(query)
        return 404, {}

    def transact(self, transaction):
        """Apply a transaction if its conditions hold."""
        expected = transaction.get("expect", ())
        for each in expected:
            key = each["table"], each["key"]
            if self.rows.get(key, (0, b""))[0] != each["version-number"]:
                rows = [
                    self.row(e["table"], e["key"])
                    for e in expected
                    if (e["table"], e["key"]) in self.rows
                ]
                return 412, {"rows": rows}
        for row in transaction.get("puts", ()):
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value)
        return 200, {"version-number": self.version}

    async def feed(self, query):
        """Wait for the changes of a table after a version."""
        after = int(query["after"])
        end_s = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self.changed
            found = self.page(query["table"], after)
            left_s = end_s - time.monotonic()
            if found["rows"] or left_s <= 0:
                return found
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except (TimeoutError, asyncio.TimeoutError):
                pass

    def configure(self, version):
        """Write the configuration with one queue and one service."""
        config = {
            "version": version,
            "routes": [
                {
                    "name": "quotes",
                    "host": QUEUE_HOST,
                    "prefix": PREFIX,
                    "kind": "non_idempotent",
                    "service": SERVICE,
                    "timeout-ms": 20000,
                    "target-completion-ms": 60,
                    "attempt-limit": 2,
                    "stretch": 1.6,
                    "priority": 0,
                }
            ],
            "services": [{"name": SERVICE, "enforces-capacity": False}],
            "limits": {"body-bytes": 262144},
        }
        self.put("op", "config", json.dumps(config).encode())


# Minions


@dataclasses.dataclass
class Run:
    """A run on a minion; it works until ``ends_s``."""

    task: str
    number: int
    began_s: float
    ends_s: float
    work_s: float


@dataclasses.dataclass(frozen=True)
class Started:
    """A start that a minion has carried out."""

    task: str
    number: int
    minion: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Ran:
    """A run that has ended: when, where and how."""

    task: str
    number: int
    minion: str
    began_s: float
    ended_s: float
    how: str


class Minion:
    """One life of a minion, beside its agent."""

    def __init__(self, record, name, control_port, started, ran):
        self.record = record
        self.name = name
        self.control_port = control_port
        # Starts and ended runs of all minions.
        self.started = started
        self.ran = ran
        self.born_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}
        self.ended = []
        self.last_number = 0
        # The highest run of each task that was stopped or ended here.
        self.highest = {}
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.tasks = []

    async def start(self, port=0):
        """Serve calls at a port, by default a free one; send heartbeats."""
        await self.server.start(port)
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.tick()),
        ]

    def stop(self):
        """End this life; nothing runs on."""
        for task in self.tasks:
            task.cancel()
        self.server.stop()
        for run in list(self.running.values()):
            self.end(run, "crashed")

    def clock_ms(self):
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.born_s) * 1000)

    def heartbeat(self):
        """Return the body of a heartbeat."""
        self.sequence += 1
        return {
            "service": SERVICE,
            "address": f"{HOST}:{self.server.port}",
            "zone": "wa-south-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "capacity": {
                "cpu-millicores": CORES * 1000,
                "memory-request-mb": MEMORY_MB,
                "gpus": 0,
            },
            "labels": ["a", "r1-1"],
            "clock-ms": self.clock_ms(),
            "born": self.born_ms,
            "sequence": self.sequence,
        }

    async def beat(self):
        """Send a heartbeat to the agent every 1.5 s, and retry earlier."""
        while True:
            status, _ = await call(
                self.control_port,
                "POST",
                f"/-/Instances.Heartbeat/{self.name}",
                body=self.heartbeat(),
                limit_s=1.0,
            )
            pause_s = HEARTBEAT_MS / 1000 if 200 <= status < 300 else 0.2
            await asyncio.sleep(pause_s)

    async def tick(self):
        """End the runs whose work is done or whose lease has expired."""
        while True:
            await asyncio.sleep(0.003)
            now_s = time.monotonic()
            lapsed = self.clock_ms() >= self.deadline_ms
            for run in list(self.running.values()):
                if lapsed:
                    self.end(run, "lapsed")
                elif now_s >= run.ends_s:
                    self.end(run, "done")

    def end(self, run, how):
        """End a run, and list its end."""
        del self.running[run.task]
        self.last_number += 1
        self.ended.append([self.last_number, run.task, run.number, how, ""])
        self.raise_highest(run.task, run.number)
        now_s = self.record.now_s()
        self.ran.append(
            Ran(run.task, run.number, self.name, run.began_s, now_s, how)
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def raise_highest(self, task, number):
        """Record the highest run of a task that was stopped or ended."""
        self.highest[task] = max(self.highest.get(task, 0), number)

    async def handle(self, method, target, headers, body):
        """Answer one call of the agent."""
        if headers.get("x-expected-instance") not in (None, self.name):
            return 421, {}
        if method != "POST":
            return 404, {}
        fields = json.loads(body)
        token = fields.get("fencing-token", 0)
        if token < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if target == "/-/run-start":
            return self.begin(fields)
        if target == "/-/run-stop":
            return self.end_on_order(fields)
        if target == "/-/hold":
            return await self.hold(fields)
        return 404, {}

    def extend(self, deadline_ms):
        """Extend the lease, by no more than the maximum."""
        limit_ms = self.clock_ms() + HOLD_MAXIMUM_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def conflict(self, reason):
        """Return the answer to a start that is refused."""
        return 409, {"clock-ms": self.clock_ms(), "reason": reason}

    def begin(self, fields):
        """Start a run."""
        task, number = fields["task"], fields["run"]
        if fields["deadline-ms"] <= self.clock_ms():
            return self.conflict("late")
        self.extend(fields["deadline-ms"])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, {"clock-ms": self.clock_ms()}
        if present is not None or number <= self.highest.get(task, 0):
            return self.conflict("old")
        first_line = fields["specification"].partition("\n")[0]
        work_ms = json.loads(first_line)["work_ms"]
        work_s = max(work_ms, 1) / 1000
        now_s = time.monotonic()
        self.running[task] = Run(
            task, number, self.record.now_s(), now_s + work_s, work_s
        )
        self.started.append(
            Started(task, number, self.name, self.record.now_s())
        )
        self.on_start(task, number)
        return 200, {"clock-ms": self.clock_ms()}

    def on_start(self, task, number):
        """Record a start."""
        self.record.write(f"{self.name} starts {task}#{number}")

    def end_on_order(self, fields):
        """Stop a run."""
        task, number = fields["task"], fields["run"]
        run = self.running.get(task)
        if run is not None and run.number <= number:
            self.end(run, "stopped")
        self.raise_highest(task, number)
        return 200, {"clock-ms": self.clock_ms()}

    async def hold(self, fields):
        """Extend the lease, wait for an end, and list the runs."""
        self.extend(fields.get("deadline-ms", 0))
        seen = fields.get("last-seen", 0)
        self.ended = [each for each in self.ended if each[0] > seen]
        wait_ms = min(fields.get("wait-ms", 0), 2000)
        if wait_ms and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
            except (TimeoutError, asyncio.TimeoutError):
                pass
        now_s = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                "",
                int(100 * (1 - (run.ends_s - now_s) / run.work_s)),
            ]
            for run in self.running.values()
        ]
        return 200, {
            "clock-ms": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "ended": self.ended[:500],
        }


# Processes of the system


TAKEN_PORTS = set()


def free_port():
    """Return a port that is free now and was not returned before.

    It is below the ports that the system gives to outgoing connections.
    """
    while True:
        port = random.randrange(15_000, 30_000)
        if port in TAKEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        return port


class Process:
    """One process of the system, started as the deploy file says."""

    def __init__(self, record, folder, role, name, store_port, **environment):
        self.record = record
        self.name = name
        self.environment = environment
        self.path = pathlib.Path(folder) / f"{name}.json"
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.child = None
        self.link_port = free_port()
        self.settings = {
            "role": role,
            "name": name,
            "region": "wa-south",
            "failure_domain": "wa-south-a",
            "host": HOST,
            "link_port": self.link_port,
            "store": f"{HOST}:{store_port}",
            "metrics_port": free_port(),
        }
        self.port = free_port()
        if role == "entry":
            self.ready_port = free_port()
            self.settings["callers"] = f"{HOST}:{self.port}"
            self.settings["readiness"] = f"{HOST}:{self.ready_port}"
        else:
            self.settings["control"] = f"{HOST}:{self.port}"
            self.settings["early_moves"] = True

    def start(self):
        """Start the process with the command of the deploy file."""
        self.path.write_text(json.dumps(self.settings))
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self.child = subprocess.Popen(
            ["python3", "-S", "src/jasminewindd.py"],
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "JASMINEWIND_NODE_FILE": str(self.path),
                **self.environment,
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write(f"{self.name} is started")

    def is_running(self):
        """Tell whether the process has not ended."""
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        """Send a signal to the process."""
        self.record.write(
            f"{self.name} gets {signal.Signals(number).name}"
        )
        self.child.send_signal(number)

    async def end(self):
        """Kill the process and wait for its end."""
        if self.is_running():
            self.child.kill()
        while self.is_running():
            await asyncio.sleep(0.01)

    def memory_mb(self, field="VmHWM"):
        """Return the peak of the resident memory."""
        text = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith(field):
                return int(line.split()[1]) / 1024
        return 0.0


class Fleet:
    """Entries, agents and minions on loopback, with one store."""

    def __init__(self, record, folder, *, entries, agents, **environment):
        self.record = record
        self.folder = folder
        self.store = Store()
        self.entry_count = entries
        self.agent_count = agents
        self.environment = environment
        # Further variables of each role.
        self.environments = {}
        # Starts a minion elsewhere, if set.
        self.start_minion = None
        self.entries = []
        self.agents = []
        self.minions = []
        self.started = []
        self.ran = []

    async def start(self):
        """Start everything, and wait until the entries are ready."""
        await self.store.server.start()
        self.store.configure(1)
        for number in range(self.entry_count):
            self.add("entry", self.entries, f"entry-{number}")
        for number in range(self.agent_count):
            agent = self.add("agent", self.agents, f"agent-{number}")
            name = f"i-{number:08x}"
            if self.start_minion is not None:
                self.start_minion(name, agent)
                continue
            minion = self.new_minion(name, agent)
            self.minions.append(minion)
            await minion.start()
        for process in (*self.entries, *self.agents):
            process.start()
        for entry in self.entries:
            await self.wait_ready(entry)
        # Time for each agent to serve each entry.
        await asyncio.sleep(2.0)

    def new_minion(self, name, agent):
        """Return the minion of an agent."""
        return Minion(
            self.record, name, agent.port, self.started, self.ran
        )

    def add(self, role, processes, name):
        """Add a process."""
        port = self.store.server.port
        environment = self.environment | self.environments.get(role, {})
        process = Process(
            self.record, self.folder, role, name, port, **environment
        )
        processes.append(process)
        return process

    async def wait_ready(self, entry, limit_s=15.0):
        """Wait until the readiness check of an entry passes."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            path = "/-/readiness"
            status, _ = await call(
                entry.ready_port, "GET", path, limit_s=1.0
            )
            if status == 200:
                self.record.write(f"{entry.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{entry.name} does not become ready")

    async def stop(self):
        """End all processes and stand-ins."""
        for process in (*self.entries, *self.agents):
            await process.end()
        for minion in self.minions:
            minion.stop()
        self.store.server.stop()


class CannotRun(Exception):
    """The case could not run."""


# Clients


def job_body(*, count, work_ms, cpu_millicores=1000, memory_mb=64, **step):
    """Return the body of a job of one step."""
    return {
        "specification": json.dumps({"work_ms": work_ms}),
        "best-effort": True,
        "steps": [
            {
                "count": count,
                "cpu-millicores": cpu_millicores,
                "memory-request-mb": memory_mb,
                "estimated-ms": work_ms,
                **step,
            }
        ],
    }


async def submit(record, entry, job, body, *, limit_s, deadline_s=0.0):
    """Submit a job to an entry; return the status and body."""
    headers = {"host": QUEUE_HOST}
    if deadline_s:
        headers["x-deadline-milliseconds"] = str(int(deadline_s * 1000))
    record.write(f"POST {job} is sent to {entry.name}")
    status, text = await call(
        entry.port,
        "POST",
        PREFIX + job,
        body=body,
        headers=headers,
        limit_s=limit_s,
    )
    record.write(f"POST {job} at {entry.name} is answered: {status} {text}")
    return status, text


async def cancel(record, entry, job):
    """Cancel a job at an entry; return the status and body."""
    record.write(f"DELETE {job} is sent to {entry.name}")
    status, text = await call(
        entry.port,
        "DELETE",
        PREFIX + job,
        headers={"host": QUEUE_HOST},
        limit_s=CALL_LIMIT_S,
    )
    record.write(f"DELETE {job} at {entry.name} is answered: {status} {text}")
    return status, text


def has_trouble():
    """Tell whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(case, folder):
    """Run a case in a temporary folder; exit with its result.

    ``case`` is called with the record and the temporary folder, and returns
    what broke the rule.
    """
    import tempfile

    record = Record(pathlib.Path(folder) / "record.txt")

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            broken = await case(record, temporary)
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                import shutil

                shutil.copytree(temporary, kept, dirs_exist_ok=True)
            return broken

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError) as error:
        record.write(f"the case could not run: {error}")
        sys.exit(2)
    for text in broken:
        record.write(f"BROKEN: {text}")
    if not broken:
        record.write("the rule held")
    sys.exit(1 if broken else 0)


async def run_minion(name, control_port):
    """Be one minion in a process of its own, until it is killed.

    It writes once a second what it has started and which ends there were.
    """

    class Silent:
        """A record that is not kept."""

        def now_s(self):
            """Return the monotonic time."""
            return time.monotonic()

        def write(self, text):
            """Write nothing."""

    minion = Minion(Silent(), name, control_port, [], [])
    await minion.start()
    most = 0
    while True:
        await asyncio.sleep(1.0)
        most = max(most, len(minion.server.writers))
        ends = collections.Counter(each.how for each in minion.ran)
        print(
            f"{name}: {len(minion.started)} starts, ends {dict(ends)}, "
            f"at most {most} connections at a full second",
            flush=True,
        )


if __name__ == "__main__":
    asyncio.run(run_minion(sys.argv[1], int(sys.argv[2])))
