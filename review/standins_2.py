"""Stand-ins of the platform for the scripts of the second review.

Only the standard library is used. Everything listens on loopback addresses:
one address for each machine, as on the platform. The programs of the project
are started with the commands and templates of ``deploy/system.toml``.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
FRONT_PORT, CONTROL_PORT, READY_PORT, APP_PORT = 8161, 8166, 8167, 8165
INTERNAL_PORTS = [7720, 7735]
STORE_PORT = 8169
HEARTBEAT_S = 1.5
HOLD_MAXIMUM_MS = 1_000
STOP_MS = 50
# A process that has ended is started again after this time.
RESTART_DELAY_S = 0.2
GRACE_S = 6.0
CPU_MILLICORES, MEMORY_MB = 32_000, 131_072
SERVICE, HOST_NAME, PREFIX = "hutch-orders", "orders.example", "/quotes/"
PLACEHOLDER = re.compile(r"\{\{([a-z0-9.-]+)(\|json)?\}\}")


def now_s():
    """Return steady seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began_s = now_s()

    def write(self, text):
        """Write one line with the time since the start."""
        self.file.write(f"{now_s() - self.began_s:8.3f} {text}\n")
        self.file.flush()


# HTTP


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """HTTP/1.1 server; subclasses define ``handle``."""

    server = None
    writers = ()

    async def serve(self, host, port):
        """Listen at an address."""
        self.writers = set()
        self.server = await asyncio.start_server(self.on_client, host, port)

    async def shut(self):
        """Reset every connection and listen no more."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def on_client(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    break
                status, fields = answer
                text = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    """Connection of an HTTP client, with one request at a time."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.reader = self.writer = None

    async def open(self):
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(
            self.host, self.port, limit=1 << 20
        )

    async def call(self, method, path, body=None, headers=None):
        """Send a request; return status, headers and body."""
        if self.writer is None:
            await self.open()
        text = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(text)}"]
        fields = {"host": self.host, "content-type": "application/json"}
        fields.update(headers or {})
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        await self.writer.drain()
        first, found, answer = await read_message(self.reader)
        return int(first.split(" ")[1]), found, answer

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


async def call_once(host, port, method, path, body=None, headers=None):
    """Make one call on a connection of its own."""
    connection = Connection(host, port)
    try:
        return await connection.call(method, path, body, headers)
    finally:
        connection.close()


# The platform's store


def parse_query(target):
    """Return path and query of a target."""
    from urllib import parse

    split = parse.urlsplit(target)
    return split.path, dict(parse.parse_qsl(split.query))


class Store(Server):
    """Rows in tables, with a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row."""
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        """Return a row as the store lists it."""
        version, value = self.rows[table, key]
        return {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "version-number": version,
        }

    def listed(self, table, after=0, start="", limit=500):
        """Return the answer that lists rows of a table."""
        keys = sorted(
            key
            for (name, key), (version, _) in self.rows.items()
            if name == table and version > after and key >= start
        )
        return {
            "rows": [self.row(table, key) for key in keys[:limit]],
            "has-more": len(keys) > limit,
            "version-number": self.version,
            "now-ms": int(now_s() * 1000),
        }

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        await asyncio.sleep(0.004)
        path, query = parse_query(target)
        if path == "/-/rows-get":
            return 200, self.listed(
                query["table"],
                start=query.get("range-start", ""),
                limit=int(query.get("limit", 500)),
            )
        if path == "/-/rows-feed":
            after = int(query["after"])
            end_s = now_s() + int(query["wait-ms"]) / 1000
            while True:
                found = self.listed(query["table"], after=after)
                left_s = end_s - now_s()
                if found["rows"] or left_s <= 0:
                    return 200, found
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    pass
        if path == "/-/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    def transact(self, call):
        """Apply a transaction if its conditions hold."""
        expected = call.get("expect", [])
        for each in expected:
            known = self.rows.get((each["table"], each["key"]), (0, b""))[0]
            if known != each["version-number"]:
                return 412, {
                    "rows": [
                        self.row(e["table"], e["key"])
                        for e in expected
                        if (e["table"], e["key"]) in self.rows
                    ],
                    "version-number": self.version,
                }
        for each in call.get("puts", []):
            value = base64.b64decode(each["value"])
            self.put(each["table"], each["key"], value)
        for each in call.get("remove", []):
            self.rows.pop((each["table"], each["key"]), None)
        return 200, {"version-number": self.version}


# Minions


class Run:
    """A run in progress on a minion."""

    def __init__(self, task, number, began_s, work_s, cpu):
        self.task = task
        self.number = number
        self.began_s = began_s
        self.work_s = work_s
        self.cpu = cpu
        self.stop_at_s = None


class Minion(Server):
    """Runs tasks under leases; registers with the agent beside it."""

    # Time from the start of a minion to its first heartbeat.
    first_beat_s = 0.0

    def __init__(self, world, machine, name, labels):
        self.world = world
        self.machine = machine
        self.name = name
        self.labels = labels
        self.born_ms = int(time.time() * 1000)
        self.born_s = now_s()
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}
        self.ended = []
        self.last_number = 0
        self.highest = {}
        self.seen = 0
        self.sequence = 0
        self.state = "ready"
        self.is_down = False
        self.changed = asyncio.Event()

    def clock_ms(self):
        """Return the time on the own steady clock."""
        return int((now_s() - self.born_s) * 1000) + 1

    def end(self, run, how):
        """End a run and list its end."""
        del self.runs[run.task]
        self.last_number += 1
        self.ended.append([self.last_number, run.task, run.number, how, ""])
        self.highest[run.task] = max(
            self.highest.get(run.task, 0), run.number
        )
        self.world.on_end(self, run, how)
        self.changed.set()

    def advance(self):
        """End what is done, was stopped or has lost its lease."""
        at_s = now_s()
        for run in list(self.runs.values()):
            if run.stop_at_s is not None and at_s >= run.stop_at_s:
                self.end(run, "stopped")
            elif at_s >= run.began_s + run.work_s:
                self.end(run, "done")
            elif self.clock_ms() > self.deadline_ms:
                self.end(run, "lapsed")

    async def live(self):
        """End runs in time, and send heartbeats."""
        next_s = now_s() + self.first_beat_s
        while not self.is_down:
            self.advance()
            if now_s() >= next_s:
                next_s = now_s() + HEARTBEAT_S
                asyncio.ensure_future(self.beat())
            await asyncio.sleep(0.005)

    async def beat(self):
        """Send one heartbeat to the agent."""
        self.sequence += 1
        try:
            await asyncio.wait_for(
                call_once(
                    self.machine.ip,
                    CONTROL_PORT,
                    "POST",
                    f"/-/Instances.Heartbeat/{self.name}",
                    {
                        "service": SERVICE,
                        "address": f"{self.machine.ip}:{APP_PORT}",
                        "zone": self.machine.zone,
                        "version": "v1",
                        "slots": 8,
                        "state": self.state,
                        "cold-remaining-ms": 0,
                        "capacity": {
                            "cpu-millicores": CPU_MILLICORES,
                            "memory-request-mb": MEMORY_MB,
                            "gpus": 0,
                        },
                        "labels": self.labels,
                        "clock-ms": self.clock_ms(),
                        "sequence": self.sequence,
                        "born": self.born_ms,
                    },
                ),
                1.0,
            )
        except (OSError, EOFError, TimeoutError):
            pass

    def extend(self, deadline_ms):
        """Extend the lease of everything that runs."""
        longest_ms = self.clock_ms() + HOLD_MAXIMUM_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    async def handle(self, method, target, headers, body):
        """Answer one call of the agent, unless the path holds it up."""
        delay_s = self.world.late_s(self, target, json.loads(body))
        if delay_s is None:
            return await self.carry_out(target, headers, body)
        asyncio.ensure_future(
            self.world.deliver_late(self, target, headers, body, delay_s)
        )
        # No answer ever comes.
        await asyncio.sleep(60.0)
        return None

    async def carry_out(self, target, headers, body):
        """Carry out one call of the agent."""
        self.advance()
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body)
        token = call.get("fencing-token", 0)
        if token < self.token:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        if target == "/-/run-start":
            return self.start(call)
        if target == "/-/run-stop":
            return self.stop(call)
        if target == "/-/hold":
            return await self.hold(call)
        return 404, {}

    def start(self, call):
        """Start a run."""
        task, number = call["task"], call["run"]
        clock = {"clock-ms": self.clock_ms()}
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, clock
        if call["deadline-ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self.extend(call["deadline-ms"])
        if number <= self.highest.get(task, 0):
            return 409, {**clock, "reason": "old"}
        job = self.world.jobs.get(task.partition(".")[0])
        work_s, cpu = (job.work_s, job.cpu) if job else (0.1, 0)
        run = Run(task, number, now_s(), work_s, cpu)
        self.runs[task] = run
        self.world.on_start(self, run, call)
        return 200, clock

    def stop(self, call):
        """Stop a run, or make sure that it never starts."""
        task, number = call["task"], call["run"]
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            if run.stop_at_s is None:
                run.stop_at_s = now_s() + STOP_MS / 2000
        else:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {"clock-ms": self.clock_ms()}

    async def hold(self, call):
        """Extend the lease; list what runs and what has ended."""
        seen = call.get("last-seen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.world.on_seen(self, end)
        self.ended = [end for end in self.ended if end[0] > seen]
        self.extend(call.get("deadline-ms", 0))
        end_s = now_s() + min(call.get("wait-ms", 0), 2_000) / 1000
        while not self.ended and now_s() < end_s:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), end_s - now_s())
            except TimeoutError:
                pass
        self.advance()
        return 200, {
            "clock-ms": self.clock_ms(),
            "born": self.born_ms,
            "running": [
                [
                    run.task,
                    run.number,
                    "",
                    min(99, int(100 * (now_s() - run.began_s) / run.work_s)),
                    run.cpu,
                ]
                for run in self.runs.values()
            ],
            "ended": self.ended[:500],
        }


# Machines and their processes


def look_up(fields, path):
    """Return a value of the settings by its dotted path."""
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)]
        else:
            fields = fields.get(name)
        if fields is None:
            return None
    return fields


def render(text, fields):
    """Fill in the placeholders of a template of the deploy file."""

    def replace(match):
        value = look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(replace, text)


class Machine:
    """A machine with one program of the system."""

    def __init__(self, world, role, name, zone, ip):
        self.world = world
        self.role = role
        self.name = name
        self.zone = zone
        self.ip = ip
        self.child = None
        self.is_wanted = False
        # Ends that no signal of the script but SIGHUP came before.
        self.own_ends = []
        self.may_end = False
        self.starts = 0
        self.started_s = 0.0

    def fields(self):
        """Return the settings of the platform for this machine."""
        is_entry = self.role == "entry"
        listen = {"control": f"{self.ip}:{CONTROL_PORT}"}
        if is_entry:
            listen["front"] = f"{self.ip}:{FRONT_PORT}"
            listen["ready"] = f"{self.ip}:{READY_PORT}"
        return {
            "node-name": self.name,
            "role": self.role,
            "ip-address": self.ip,
            "zone": self.zone,
            "region": "wa-south",
            "internal-ports": INTERNAL_PORTS,
            "listen-addresses": listen,
            "limits": {
                "memory-mb": 300 if is_entry else 168,
                "file-descriptors": 4100 if is_entry else 4096,
            },
            "bounds": {"remote-slowdown": 1.5},
            "platform": {"address": f"{self.world.store_ip}:{STORE_PORT}"},
        }

    async def start(self):
        """Start the program as the deploy file says."""
        role = self.world.deploy["roles"][self.role]
        fields = self.fields()
        path = self.world.folder / f"{self.name}.json"
        path.write_text(render((ROOT / role["template"]).read_text(), fields))
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["JASMINEWIND_NODE_FILE"] = str(path)
        for name, text in role.get("env", {}).items():
            environment[name] = render(text, fields)
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.starts += 1
        self.started_s = now_s()
        self.is_wanted = True
        self.may_end = False
        self.world.record.write(f"{self.name} is started")
        asyncio.ensure_future(self.watch(self.child))

    async def watch(self, child):
        """Start the program again after it has ended."""
        status = await child.wait()
        lived_s = now_s() - self.started_s
        self.world.record.write(
            f"{self.name} has ended after {lived_s:.3f} s, status {status}"
        )
        if not self.may_end:
            self.own_ends.append((now_s(), status))
        if self.is_wanted and not self.world.is_closing:
            await asyncio.sleep(RESTART_DELAY_S)
            if self.is_wanted and not self.world.is_closing:
                await self.start()

    def signal(self, number):
        """Send a signal to the program, if it runs."""
        if self.child is None or self.child.returncode is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.may_end = True
        name = signal.Signals(number).name
        self.world.record.write(f"{self.name} gets {name}")
        self.child.send_signal(number)

    async def leave(self):
        """Stop the program for good."""
        self.is_wanted = False
        if self.child is not None and self.child.returncode is None:
            self.may_end = True
            self.child.kill()
            await self.child.wait()


class Job:
    """A job of a client."""

    def __init__(self, job_id, *, count=1, work_s=0.1, cpu=3_100, **step):
        self.id = job_id
        self.work_s = work_s
        self.cpu = cpu
        self.body = {
            "specification": step.pop("specification", "quote"),
            "best-effort": True,
            "steps": [
                {
                    "count": count,
                    "cpu-millicores": cpu,
                    "memory-request-mb": 64,
                    "estimated-ms": step.pop("estimated_ms", work_s * 1000),
                    **step,
                }
            ],
        }


class World:
    """The platform: store, machines, minions, and what they have seen."""

    def __init__(self, record_path, *, entries=3, agents=11):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )
        self.net = free_net(entries + agents + 2)
        self.store_ip = f"{self.net}.1"
        self.store = Store()
        self.is_closing = False
        self.jobs = {}
        self.starts = []
        self.ends = []
        self.seen = []
        self.overlaps = []
        # Further processes that a case has started.
        self.others = []
        zones = ("wa-south-a", "wa-south-b", "wa-south-c")
        self.entries = [
            Machine(
                self,
                "entry",
                f"frontend-{zones[n % 3]}-{n // 3 + 1}",
                zones[n % 3],
                f"{self.net}.{n + 2}",
            )
            for n in range(entries)
        ]
        self.agents = [
            Machine(
                self,
                "agent",
                f"side-{zones[n % 3]}-{n // 3 + 1}",
                zones[n % 3],
                f"{self.net}.{n + 2 + entries}",
            )
            for n in range(agents)
        ]
        self.minions = [
            Minion(
                self,
                machine,
                f"i-{n:08x}",
                ["aab"[n % 3], f"r1-{n // 3 + 1}"],
            )
            for n, machine in enumerate(self.agents)
        ]
        self.tasks = []

    def config(self, version, routes=None):
        """Write a configuration."""
        body = {
            "version": version,
            "routes": routes
            or [
                {
                    "name": "store-quote",
                    "host": HOST_NAME,
                    "prefix": PREFIX,
                    "kind": "non_idempotent",
                    "timeout-ms": 1500,
                    "target-completion-ms": 60,
                    "service": SERVICE,
                    "attempt-limit": 2,
                    "stretch": 1.6,
                    "priority": 1,
                }
            ],
            "services": [{"name": SERVICE, "enforces-capacity": False}],
            "limits": {"body-bytes": 262144},
        }
        self.store.put("op", "config", json.dumps(body).encode())

    async def open(self):
        """Start the store and the minions, but no program."""
        self.config(1)
        await self.store.serve(self.store_ip, STORE_PORT)
        for minion in self.minions:
            await minion.serve(minion.machine.ip, APP_PORT)
            self.tasks.append(asyncio.ensure_future(minion.live()))

    async def start(self, limit_s=20.0):
        """Start all programs, and wait until the entries are ready."""
        await self.open()
        for machine in (*self.entries, *self.agents):
            await machine.start()
        return await self.wait_ready(self.entries, limit_s)

    async def wait_ready(self, entries, limit_s):
        """Wait until entries are ready and know all agents; tell if so."""
        end_s = now_s() + limit_s
        while now_s() < end_s:
            found = [await self.is_ready(entry) for entry in entries]
            if all(found):
                # Heartbeats come 0.4 s apart at most.
                await asyncio.sleep(3.0)
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, entry):
        """Return whether an entry says that it is ready."""
        try:
            status, _, _ = await asyncio.wait_for(
                call_once(entry.ip, READY_PORT, "GET", "/-/readiness"), 1.0
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200

    # Calls that are held up on their way to a minion

    def late_s(self, minion, target, call):
        """Return how late a call is carried out, ``None`` if at once."""
        return None

    async def deliver_late(self, minion, target, headers, body, delay_s):
        """Deliver a call to whichever life of a minion is there then."""
        call = json.loads(body)
        self.record.write(
            f"{minion.name} gets {target} {call.get('task', '')} run "
            f"{call.get('run', '')}, which is not answered"
        )
        await asyncio.sleep(delay_s)
        found = next(m for m in self.minions if m.machine is minion.machine)
        if found.is_down:
            self.record.write("the late call finds no minion")
            return
        status, fields = await found.carry_out(target, headers, body)
        self.record.write(
            f"{found.name} carries it out after {delay_s:.1f} s: {status} "
            f"{fields}"
        )

    async def restart_minion(self, minion, down_s, first_beat_s):
        """Crash a minion; it starts again under the same identifier."""
        self.record.write(f"{minion.name} crashes")
        minion.is_down = True
        minion.runs.clear()
        await minion.shut()
        await asyncio.sleep(down_s)
        found = Minion(self, minion.machine, minion.name, minion.labels)
        found.first_beat_s = first_beat_s
        self.minions[self.minions.index(minion)] = found
        await found.serve(found.machine.ip, APP_PORT)
        self.tasks.append(asyncio.ensure_future(found.live()))
        self.record.write(f"{found.name} is back, born {found.born_ms}")
        return found

    # What minions see

    def on_start(self, minion, run, call):
        """Note a start, and whether its task runs elsewhere."""
        self.record.write(
            f"{minion.name} starts {run.task} run {run.number}"
        )
        self.starts.append((now_s(), minion, run))
        for other in self.minions:
            for known in other.runs.values():
                if known is not run and known.task == run.task:
                    self.overlaps.append((now_s(), run.task))
                    self.record.write(
                        f"TWICE {run.task}: run {known.number} is at work on "
                        f"{other.name}"
                    )

    def on_end(self, minion, run, how):
        """Note the end of a run."""
        self.record.write(
            f"{minion.name} ends {run.task} run {run.number}: {how}"
        )
        self.ends.append((now_s(), minion, run, how))

    def on_seen(self, minion, end):
        """Note that an end was taken note of."""
        self.seen.append((now_s(), minion, end))

    # Clients

    def job(self, job_id, **options):
        """Return a new job, which minions can run."""
        found = self.jobs[job_id] = Job(job_id, **options)
        return found

    async def submit(self, connection, job, deadline_ms=None):
        """Submit a job on a connection; return the status, 0 for none."""
        headers = {"host": HOST_NAME}
        if deadline_ms is not None:
            headers["X-Deadline-Milliseconds"] = str(deadline_ms)
        self.record.write(f"client sends {job.id} to {connection.host}")
        try:
            status, found, body = await connection.call(
                "POST", PREFIX + job.id, job.body, headers
            )
        except (OSError, EOFError) as error:
            self.record.write(
                f"{job.id}: the connection ends without an answer "
                f"({type(error).__name__})"
            )
            return 0
        text = body.decode(errors="replace")[:120]
        self.record.write(
            f"{job.id}: answer {status} {found.get('connection', '')} {text}"
        )
        return status

    async def close(self):
        """End all programs and remove the folder."""
        self.is_closing = True
        for machine in (*self.entries, *self.agents):
            await machine.leave()
        for child in self.others:
            if child.returncode is None:
                child.kill()
                await child.wait()
        for task in self.tasks:
            task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_net(count):
    """Return the beginning of loopback addresses whose ports are free."""
    for number in range(os.getpid() % 200, 250):
        net = f"127.{20 + number % 200}.{number % 250}"
        if all(is_free(f"{net}.{host}") for host in range(1, count + 1)):
            return net
    raise SystemExit(2)


def is_free(ip):
    """Tell whether the ports of a machine are free at an address."""
    for port in (FRONT_PORT, CONTROL_PORT, READY_PORT, APP_PORT, STORE_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


async def run_case(case, record_path, *, world=World, **options):
    """Run a case in a world; return its exit status."""
    world = world(record_path, **options)
    try:
        return await asyncio.wait_for(case(world), float(os.environ.get("CASE_LIMIT_S", "110")))
    except TimeoutError:
        world.record.write("the case took too long")
        return 2
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(world.folder, keep, dirs_exist_ok=True)
        await world.close()


def main(case, file, **options):
    """Run the case of a script, and exit with its status."""
    folder = pathlib.Path(file).resolve().parent
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    status = asyncio.run(
        run_case(
            lambda world: case(world, is_troubled),
            folder / "record.txt",
            **options,
        )
    )
    sys.exit(status)
