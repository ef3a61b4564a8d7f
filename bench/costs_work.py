"""Costs per task in the coordinator, executor, codec and decision log."""

import io
import random

from twisted.internet import task

from _jasminewind import logs
from _jasminewind import members
from _jasminewind import resources
from _jasminewind import timers
from _jasminewind.decisions import core
from _jasminewind.decisions import executor
from _jasminewind.messages import tasks
from _jasminewind.messages import work
from _jasminewind.wire import frames
from bench import costs
from bench import dispatcher_cost

EXECUTOR_COUNT = 128
MEASURED_STARTS = 3_000
BATCH_COUNT = 40
CODEC_ROUNDS = 50
COORDINATOR = members.NodeId("coordinator", 1)
EXECUTOR = members.NodeId("keeper", 1)
NOW = core.Instant(1.0, dispatcher_cost.START_WALL_MS)
TASK = work.Task(name="task", service="orders", method="quote")


def measure() -> list[costs.Cost]:
    """Return the cost of each operation over its sizes."""
    return [
        costs.sweep(
            "coordinator, a job",
            job_us,
            (1, 10, 40, 110),
            size_unit="tasks",
            unit="us",
            note="decisions alone, 128 keepers, twice the load they hold",
        ),
        costs.sweep(
            "coordinator, a request",
            request_us,
            (10, 32, 64, 128),
            size_unit="keepers",
            unit="us",
            note="decisions alone, twice the load that keepers hold",
        ),
        costs.sweep(
            "keeper, a batch of starts",
            executor_us,
            (1, 10, 50, 110),
            size_unit="tasks",
            unit="us",
            note="start, end, result and acknowledgement of each task",
        ),
        costs.sweep(
            "frames, a batch of starts",
            frames_us,
            (1, 10, 50, 110),
            size_unit="tasks",
            unit="us",
            note="encode and decode of one StartTasks, both sides",
        ),
        costs.sweep(
            "decision log, lines written",
            lambda count: log_us(count, share=1.0),
            (100, 300, 1_000, 3_000),
            size_unit="lines",
            unit="us",
        ),
        costs.sweep(
            "decision log, lines sampled out",
            lambda count: log_us(count, share=0.0),
            (100, 300, 1_000, 3_000),
            size_unit="lines",
            unit="us",
        ),
    ]


def job_us(count: int) -> float:
    """Return the coordinator's processor time per job of ``count`` tasks."""
    cost_us = dispatcher_cost.cost(
        executors=EXECUTOR_COUNT,
        count=count,
        is_job=True,
        starts=MEASURED_STARTS,
    )
    return cost_us.per_start_us * count


def request_us(executors: int) -> float:
    """Return the coordinator's processor time per request."""
    return dispatcher_cost.cost(
        executors=executors, count=1, is_job=False, starts=MEASURED_STARTS
    ).per_start_us


def start_batch(number: int, count: int) -> tasks.StartTasks:
    """Return a message that starts ``count`` tasks of one job."""
    work_id = f"0192d3c0-0000-7000-8000-{number:012x}"
    return tasks.StartTasks(
        keeper=EXECUTOR,
        starts=tuple(
            tasks.TaskStart(
                key=tasks.TaskKey(work_id, index, 0),
                team="team-1",
                task=TASK,
                budget_s=30.0,
                is_long=False,
            )
            for index in range(count)
        ),
        config_version=1,
    )


def executor_us(count: int) -> float:
    """Return the executor's processor time per batch of ``count`` tasks."""
    task_executor = executor.TaskExecutor(node=EXECUTOR)
    capacity = resources.Resources(slots=float(count))
    endpoint = members.Endpoint(
        name="minion",
        kind=members.EndpointKind.MINION,
        service="orders",
        capacity=capacity,
        connections=count,
    )
    task_executor.on_announcement(endpoint, NOW)
    task_executor.on_attached((), NOW)
    batches = [start_batch(number, count) for number in range(BATCH_COUNT)]

    def run() -> None:
        for message in batches:
            task_executor.on_message(COORDINATOR, message, NOW)
            keys = tuple(start.key for start in message.starts)
            for key in keys:
                task_executor.on_task_end(
                    core.TaskEnd(key=key, run_s=0.2), NOW
                )
            ack = tasks.ResultsAck(keys=keys)
            task_executor.on_message(COORDINATOR, ack, NOW)

    cost_us = costs.processor_us(run) / BATCH_COUNT
    if task_executor.sequence == 0 or task_executor.queue:
        raise RuntimeError(f"executor did not run all {count} tasks per batch")
    return cost_us


def frames_us(count: int) -> float:
    """Return the processor time to encode and decode one batch."""
    message = start_batch(1, count)

    def run() -> None:
        for _ in range(CODEC_ROUNDS):
            frames.decode(frames.encode(message)).unwrap()

    return costs.processor_us(run) / CODEC_ROUNDS


def log_us(count: int, *, share: float) -> float:
    """Return the processor time to log ``count`` decisions."""
    logs.configure(stream=io.StringIO())
    log = logs.DecisionLog(
        timer_service=timers.TimerService(clock=task.Clock()), share=share
    )
    rng = random.Random(1)
    lines = [
        core.LogDecision(
            kind="route",
            work_id=f"0192d3c0-0000-7000-8000-{rng.getrandbits(48):012x}",
            task="task-1",
            team="team-1",
            candidates=tuple(f"keeper-{n}" for n in range(5)),
            choice="keeper-1",
            reason="earliest expected completion",
        )
        for _ in range(count)
    ]

    def run() -> None:
        for line in lines:
            log.write(line)

    return costs.processor_us(run)
