"""Demo: runs both deployments in one process and submits the examples."""

import json
import pathlib
import random
import sys
import time
import typing

from twisted.internet import defer
from twisted.internet import reactor as installed_reactor
from twisted.internet import task
from twisted.internet import threads

from _jasminewind import logs
from _jasminewind import settings
from _jasminewind.experiment import deployments
from _jasminewind.experiment import fleets
from _jasminewind.experiment import layout as layouts
from _jasminewind.experiment import ports
from _jasminewind.nodes import daemon
from _jasminewind.standins import main as standins
from _jasminewind.standins import settings as standin_settings

REACTOR = typing.cast(typing.Any, installed_reactor)
EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
THREAD_POOL_SIZE = 8
# Starts are staggered, so that the reactor does not open the sockets of all
# processes in one iteration.
START_INTERVAL_S = 0.01


class InProcessFleet:
    """All processes of a deployment, run in the current process."""

    def __init__(self, layout: layouts.Layout) -> None:
        self.layout = layout
        self.nodes: list[daemon.Process] = []
        self.standins = standins.Process(
            reactor=REACTOR,
            process_settings=standin_settings.Settings(
                standins=(
                    layout.table,
                    layout.balancer,
                    *layout.minions,
                    *layout.workers,
                )
            ),
        )

    async def start(self) -> None:
        """Start every process and open its ports."""
        self.standins.start()
        for node_settings in (*self.layout.entries, *self.layout.agents):
            process = daemon.Process(reactor=REACTOR, settings=node_settings)
            process.start()
            self.nodes.append(process)
            await task.deferLater(REACTOR, START_INTERVAL_S)

    async def wait_ready(self) -> None:
        """Wait until every process accepts work."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > deadline_s:
                raise fleets.FleetError(
                    f"deployment {self.layout.deployment.name} is not ready "
                    f"after {READY_TIMEOUT_S:g} s"
                )
            await task.deferLater(REACTOR, POLL_INTERVAL_S)

    def is_ready(self) -> bool:
        """Tell whether entries see all shards owned and agents are ready."""
        count = len(self.layout.entries)
        for process in self.nodes[:count]:
            status = process.node.status()
            shards = process.node.config().shard_count
            if status.shards_owned < shards or not status.is_fresh:
                return False
        return not any(p.node.unready_reason() for p in self.nodes[count:])


def build_layout(
    deployment: deployments.Deployment, allocator: ports.PortAllocator
) -> layouts.Layout:
    """Return the layout of a deployment with its example configuration."""
    return layouts.build(
        deployment,
        config_file=EXAMPLES / deployment.name / "config.json",
        allocator=allocator,
        log_level=settings.LogLevel.WARNING,
    )


async def submit(
    layout: layouts.Layout, name: str, method: str
) -> fleets.Reply:
    """Submit an example through the load balancer and print the answer."""
    path = EXAMPLES / layout.deployment.name / name
    body = json.loads(path.read_text())
    started_s = time.monotonic()
    reply = await threads.deferToThread(
        fleets.call, layout.url(), method, body
    )
    duration_s = time.monotonic() - started_s
    print(
        f"{layout.deployment.name} {name}: {format_reply(reply)} "
        f"{duration_s:.2f} s"
    )
    for output in reply.body.get("outputs", ()):
        print(f"    {output['name']}: ran on {output['endpoint']}")
    if reply.status != 200:
        print(f"    {json.dumps(reply.body)}")
    return reply


def format_reply(reply: fleets.Reply) -> str:
    """Return a summary of a reply, to print before its duration."""
    if reply.status != 200:
        return f"HTTP {reply.status}"
    outputs = reply.body.get("outputs")
    if outputs is None:
        return f"answered by {reply.body['endpoint']} in"
    return f"{reply.body['state']}, {len(outputs)} outputs in"


async def run() -> int:
    """Run the demo and return the exit status."""
    # A fixed seed, so that every demo draws the same placements.
    random.seed(1)
    logs.configure(level=settings.LogLevel.WARNING)
    REACTOR.suggestThreadPoolSize(THREAD_POOL_SIZE)
    allocator = ports.PortAllocator()
    started_fleets = []
    for deployment in deployments.DEPLOYMENTS:
        fleet = InProcessFleet(build_layout(deployment, allocator))
        await fleet.start()
        started_fleets.append(fleet)
    for fleet in started_fleets:
        await fleet.wait_ready()
        layout = fleet.layout
        print(
            f"{layout.deployment.name}: {len(layout.entries)} entries, "
            f"{len(layout.minions)} minions and {len(layout.workers)} workers "
            f"in {len(layout.deployment.failure_domains)} failure domains"
        )
    replies = []
    for fleet in started_fleets:
        job = "jasminewind.v1.JobService/SubmitJob"
        request = "jasminewind.v1.RequestService/Call"
        replies.append(await submit(fleet.layout, "job.json", job))
        replies.append(await submit(fleet.layout, "request.json", request))
    return 0 if all(reply.status == 200 for reply in replies) else 1


def main() -> None:
    """Run the demo and exit."""
    statuses: list[int] = []

    def start_demo() -> None:
        demo = defer.ensureDeferred(run())
        demo.addCallbacks(statuses.append, on_failure)
        demo.addBoth(lambda _: REACTOR.stop())

    def on_failure(failure: typing.Any) -> None:
        print(failure.getTraceback(), file=sys.stderr)
        statuses.append(1)

    REACTOR.callWhenRunning(start_demo)
    REACTOR.run()
    sys.exit(statuses[0] if statuses else 1)


if __name__ == "__main__":
    main()
