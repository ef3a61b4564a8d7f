"""Sizes of the two known deployments."""

import dataclasses

from _jasminewind import resources

MINION_SPEEDS = (1.0, 1.0, 1.25, 0.8, 1.0, 1.5, 0.7, 1.0, 1.1, 0.9, 1.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Sizes of one deployment.

    Every minion and every worker has an agent. ``speeds`` are the speed
    factors of the endpoints, assigned round-robin.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    service: str
    minions: int = 11
    workers: int = 11
    slots: int = 8
    connections: int = 64
    worker_capacity: resources.Resources = resources.Resources()
    workers_per_rack: int = 3
    entries: int = 3
    speeds: tuple[float, ...] = MINION_SPEEDS


KARRI_CREEK = Deployment(
    name="karri-creek",
    region="wa-south",
    failure_domains=("wa-south-1", "wa-south-2", "wa-south-3"),
    service="hutch-orders",
    worker_capacity=resources.Resources(
        cores=32, memory_mb=128 * 1024, accelerators=1
    ),
)
FEDERATION = Deployment(
    name="federation",
    region="vlaanderen-oost",
    failure_domains=("gent-haven", "mechelen", "brugge"),
    service="ledenloket",
    worker_capacity=resources.Resources(
        cores=64, memory_mb=256 * 1024, accelerators=1
    ),
)
DEPLOYMENTS = (KARRI_CREEK, FEDERATION)
