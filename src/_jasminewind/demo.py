"""Runs both deployments in one process and submits their examples."""

import json
import pathlib
import random
import sys
import time
import typing

from twisted.internet import defer
from twisted.internet import reactor as installed
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

REACTOR = typing.cast(typing.Any, installed)
EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
READY_LIMIT_S = 30.0
POLL_S = 0.1
THREADS = 8
# Starts are spread so that one reactor does not have to open the sockets
# of all processes in one turn.
START_PAUSE_S = 0.01


class InProcessFleet:
    """The processes of a deployment, all in this one."""

    def __init__(self, layout: layouts.Layout) -> None:
        self.layout = layout
        self.nodes: list[daemon.Process] = []
        self.standins = standins.Process(
            reactor=REACTOR,
            wanted=standin_settings.Settings(
                standins=(
                    layout.table,
                    layout.balancer,
                    *layout.minions,
                    *layout.workers,
                )
            ),
        )

    async def start(self) -> None:
        """Open the ports of every process."""
        self.standins.start()
        for chosen in (*self.layout.entries, *self.layout.agents):
            process = daemon.Process(reactor=REACTOR, settings=chosen)
            process.start()
            self.nodes.append(process)
            await task.deferLater(REACTOR, START_PAUSE_S)

    async def wait_ready(self) -> None:
        """Return once every process takes work."""
        until_s = time.monotonic() + READY_LIMIT_S
        while not self.is_ready():
            if time.monotonic() > until_s:
                raise fleets.FleetError(
                    f"{self.layout.deployment.name} is not ready after "
                    f"{READY_LIMIT_S:g} s"
                )
            await task.deferLater(REACTOR, POLL_S)

    def is_ready(self) -> bool:
        """Tell whether each entry knows every agent and shard owner."""
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
    """Return the settings of a deployment with its example configuration."""
    return layouts.build(
        deployment,
        config_file=EXAMPLES / deployment.name / "config.json",
        allocator=allocator,
        log_level=settings.LogLevel.WARNING,
    )


async def submit(
    layout: layouts.Layout, name: str, method: str
) -> fleets.Reply:
    """Submit one example through the balancer and print its answer."""
    path = EXAMPLES / layout.deployment.name / name
    body = json.loads(path.read_text())
    began_s = time.monotonic()
    reply = await threads.deferToThread(
        fleets.call, layout.url(), method, body
    )
    took_s = time.monotonic() - began_s
    print(f"{layout.deployment.name} {name}: {summary(reply)} {took_s:.2f} s")
    for output in reply.body.get("outputs", ()):
        print(f"    {output['name']}: ran on {output['endpoint']}")
    if reply.status != 200:
        print(f"    {json.dumps(reply.body)}")
    return reply


def summary(reply: fleets.Reply) -> str:
    """Return the state of an answer in a word or two."""
    if reply.status != 200:
        return f"HTTP {reply.status}"
    outputs = reply.body.get("outputs")
    if outputs is None:
        return f"answered by {reply.body['endpoint']} in"
    return f"{reply.body['state']}, {len(outputs)} outputs in"


async def run() -> int:
    """Run the demo and return the exit status."""
    # The seed makes two demos draw the same examples of placement.
    random.seed(1)
    logs.configure(level=settings.LogLevel.WARNING)
    REACTOR.suggestThreadPoolSize(THREADS)
    allocator = ports.PortAllocator()
    running = []
    for deployment in deployments.DEPLOYMENTS:
        found = InProcessFleet(build_layout(deployment, allocator))
        await found.start()
        running.append(found)
    for each in running:
        await each.wait_ready()
        layout = each.layout
        print(
            f"{layout.deployment.name}: {len(layout.entries)} entries, "
            f"{len(layout.minions)} minions and {len(layout.workers)} workers "
            f"in {len(layout.deployment.failure_domains)} failure domains"
        )
    replies = []
    for each in running:
        job = "jasminewind.v1.JobService/SubmitJob"
        request = "jasminewind.v1.RequestService/Call"
        replies.append(await submit(each.layout, "job.json", job))
        replies.append(await submit(each.layout, "request.json", request))
    return 0 if all(reply.status == 200 for reply in replies) else 1


def main() -> None:
    """Run the demo and exit."""
    statuses: list[int] = []

    def begin() -> None:
        running = defer.ensureDeferred(run())
        running.addCallbacks(statuses.append, failed)
        running.addBoth(lambda _: REACTOR.stop())

    def failed(failure: typing.Any) -> None:
        print(failure.getTraceback(), file=sys.stderr)
        statuses.append(1)

    REACTOR.callWhenRunning(begin)
    REACTOR.run()
    sys.exit(statuses[0] if statuses else 1)


if __name__ == "__main__":
    main()
