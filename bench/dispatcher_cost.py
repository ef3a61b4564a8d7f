"""Measures the coordinator's processor time per task start.

Run with ``python -m bench.dispatcher_cost``. Executors are stubs that
finish tasks without running them; only time inside the coordinator counts,
from submission to answer, including the handling of results.
"""

import dataclasses
import random
import statistics
import time

import fire

from _jasminewind import configuration
from _jasminewind import ids
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions import coordinator
from _jasminewind.decisions import core
from _jasminewind.decisions import id_checks
from _jasminewind.messages import tasks
from _jasminewind.messages import work

ENTRY = members.NodeId("entry", 1)
START_WALL_MS = 1_796_000_000_000
SLOTS = 8
CORES = 32.0
TASK_CORES = 2.0
RUN_S = 0.2
# Open tasks, as a multiple of what the endpoints can run at once.
OFFERED_LOAD = 2.0
CLOCK_READS = 200


def clock_overhead_s() -> float:
    """Return the time that two reads of the processor clock add.

    On some virtual machines a read takes up to 80 us, more than a start.
    """
    times = []
    for _ in range(CLOCK_READS):
        began_s = time.process_time()
        times.append(time.process_time() - began_s)
    return statistics.median(times)


class AcceptingOwnership:
    """Stub ownership that owns every shard and accepts every id."""

    def check_id(self, work_id: str, now: core.Instant) -> id_checks.IdCheck:
        """Accept the id."""
        del work_id, now
        return id_checks.IdCheck(kind=id_checks.IdCheckKind.ACCEPT)

    def extend_for(self, work_id: str, now: core.Instant) -> core.Actions:
        """Do nothing: no id is past the owned interval."""
        del work_id, now
        return []

    def raise_floor(self, shard: int, floor_ms: int) -> None:
        """Do nothing: ids are not checked against a floor."""
        del shard, floor_ms

    def owned(self) -> tuple[int, ...]:
        """Return all shards."""
        return (0, 1, 2, 3)


class CoordinatorBench:
    """Drives a coordinator with stub executors."""

    def __init__(self, *, executors: int, is_job: bool, policy: str) -> None:
        self.rng = random.Random(1)
        self.clock_overhead_s = clock_overhead_s()
        self.is_job = is_job
        self.now_s = 0.0
        self.processor_s = 0.0
        self.starts = 0
        self.messages = 0
        self.open_work = 0
        self.running: dict[members.NodeId, list[tasks.TaskKey]] = {}
        self.sequence: dict[members.NodeId, int] = {}
        self.capacity = resources.Resources(slots=SLOTS)
        kind = members.EndpointKind.MINION
        if is_job:
            self.capacity = resources.Resources(
                cores=CORES, memory_mb=128_000.0
            )
            kind = members.EndpointKind.WORKER
        view = tuple(
            members.Member(
                node=members.NodeId(f"agent-{index}", 1),
                address=members.Address("127.0.0.1", index),
                role=members.Role.AGENT,
                region="here",
                failure_domain=f"domain-{index % 3}",
                rack=f"rack-{index // 9}",
                state=members.State.SERVING,
                endpoint=members.Endpoint(
                    name=f"endpoint-{index}",
                    kind=kind,
                    service="" if is_job else "orders",
                    capacity=self.capacity,
                    connections=64,
                ),
                load=members.Load(
                    sequence=1,
                    free=self.capacity,
                    free_long=self.capacity.scaled(0.75),
                ),
            )
            for index in range(executors)
        )
        for member in view:
            self.running[member.node] = []
            self.sequence[member.node] = 1
        self.coordinator = coordinator.Coordinator(
            member=view[0],
            ownership=AcceptingOwnership(),
            rng=random.Random(2),
        )
        config = configuration.Configuration(
            version=1,
            teams=tuple(
                configuration.Team(
                    name=f"team-{index}",
                    max_in_flight=10**9,
                    starts_per_s=1e9,
                )
                for index in range(10)
            ),
            policy=configuration.Policy(routing=policy),
        )
        self.call(self.coordinator.on_config, config)
        self.call(self.coordinator.on_members, view)

    def call(self, method: object, *args: object) -> None:
        """Call the coordinator, add its time and apply its messages."""
        now = core.Instant(self.now_s, START_WALL_MS + int(self.now_s * 1000))
        start_s = time.process_time()
        actions = method(*args, now)
        self.processor_s += (
            time.process_time() - start_s - self.clock_overhead_s
        )
        for action in actions:
            if not isinstance(action, core.Send):
                continue
            message = action.message
            self.messages += 1
            if isinstance(message, work.Answer):
                self.open_work -= 1
                assert message.error is None, message.error
            elif isinstance(message, tasks.StartTasks):
                running = self.running[action.to]
                running.extend(start.key for start in message.starts)
                self.starts += len(message.starts)

    def submit(self, count: int) -> None:
        """Submit one job or request."""
        task = work.Task(
            name="task",
            service="orders",
            method="quote",
            demand=(
                resources.Resources(cores=TASK_CORES, memory_mb=512.0)
                if self.is_job
                else resources.ONE_SLOT
            ),
        )
        message = work.Submit(
            work_id=ids.new(
                wall_ms=START_WALL_MS + int(self.now_s * 1000), rng=self.rng
            ),
            kind=(work.WorkKind.JOB if self.is_job else work.WorkKind.REQUEST),
            team=f"team-{self.rng.randrange(10)}",
            tasks=(task,) * count,
            budget_s=600.0,
            config_version=1,
        )
        self.open_work += 1
        self.call(self.coordinator.on_message, ENTRY, message)

    def finish_tasks(self) -> None:
        """Finish a few tasks on every executor."""
        for node, keys in self.running.items():
            count = self.rng.randrange(1, 4)
            finished, keys[:] = keys[:count], keys[count:]
            if not finished:
                continue
            self.sequence[node] += 1
            demand = resources.Resources(slots=1.0)
            if self.is_job:
                demand = resources.Resources(cores=TASK_CORES, memory_mb=512.0)
            free = self.capacity - demand.scaled(float(len(keys)))
            message = tasks.TaskResults(
                keeper=node,
                results=tuple(
                    tasks.TaskResult(
                        key=key, run_s=RUN_S * self.rng.uniform(0.8, 1.2)
                    )
                    for key in finished
                ),
                load=members.Load(
                    sequence=self.sequence[node], free=free, free_long=free
                ),
            )
            self.call(self.coordinator.on_message, node, message)


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartCost:
    """Processor time and messages of the coordinator per task start."""

    per_start_us: float
    messages: float


def cost(
    *,
    executors: int,
    count: int,
    is_job: bool,
    starts: int,
    policy: str = "expected_completion",
) -> StartCost:
    """Return the cost per start of jobs or requests of ``count`` tasks."""
    bench = CoordinatorBench(executors=executors, is_job=is_job, policy=policy)
    executor_slots = CORES / TASK_CORES if is_job else SLOTS
    target_open = int(executors * executor_slots * OFFERED_LOAD / count) + 1
    bench.processor_s = 0.0
    while bench.starts < starts:
        while bench.open_work < target_open:
            bench.submit(count)
        bench.finish_tasks()
        bench.now_s += RUN_S / 4
        bench.call(bench.coordinator.on_tick)
    return StartCost(
        per_start_us=bench.processor_s / bench.starts * 1e6,
        messages=bench.messages / bench.starts,
    )


def measure(
    *, executors: int, count: int, is_job: bool, policy: str, starts: int
) -> str:
    """Return the cost per start as one line of text."""
    found = cost(
        executors=executors,
        count=count,
        is_job=is_job,
        policy=policy,
        starts=starts,
    )
    kind = "job" if is_job else "request"
    return (
        f"{policy:20} {kind:8} executors={executors:4} tasks={count:4} "
        f"{found.per_start_us:7.1f} us/start "
        f"{found.messages:5.2f} messages/start"
    )


def main(*, starts: int = 30_000, policy: str = "expected_completion") -> None:
    """Print the cost per start of requests, small jobs and large jobs."""
    for is_job, count in ((False, 1), (True, 1), (True, 110)):
        for executors in (11, 110):
            line = measure(
                executors=executors,
                count=count,
                is_job=is_job,
                policy=policy,
                starts=starts,
            )
            print(line, flush=True)


if __name__ == "__main__":
    fire.Fire(main)
