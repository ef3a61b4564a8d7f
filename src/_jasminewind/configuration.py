"""Dynamic configuration, which operators change through the API."""

import dataclasses

DEFAULT_MAX_TASKS = 110
DEFAULT_MAX_DEADLINE_S = 3600.0
DEFAULT_LONG_TASK_S = 2.0
DEFAULT_RESERVED_SHARE = 0.25
DEFAULT_RETRY_BUDGET = 0.10
CHANGE_IDS_KEPT = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Team:
    """A team and its quota.

    ``max_in_flight`` limits tasks that are queued or running;
    ``starts_per_s`` is a rate limit with a burst of one second. ``weight``
    is the relative share of the team when teams compete for capacity.
    """

    name: str
    max_in_flight: int = 10_000
    starts_per_s: float = 10_000.0
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Method:
    """A method of a service.

    ``repeatable``: running a task twice does no harm, so it may be retried or
    hedged. ``expected_s`` is the run time before any was measured, or 0.
    """

    name: str
    repeatable: bool = False
    expected_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service that minions provide."""

    name: str
    methods: tuple[Method, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policy:
    """Scheduling policy.

    ``routing`` names a policy of :mod:`_jasminewind.decisions.routing`. Tasks
    that run, or are expected to run, for more than ``long_task_s`` seconds
    are long; ``reserved_share`` is the share of an endpoint's capacity that
    they may not use; ``retry_budget`` is the number of retries per successful
    task.
    """

    routing: str = "expected_completion"
    long_task_s: float = DEFAULT_LONG_TASK_S
    reserved_share: float = DEFAULT_RESERVED_SHARE
    retry_budget: float = DEFAULT_RETRY_BUDGET
    shed_by_deadline: bool = True
    fair_share: bool = True
    separate_long_work: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on submissions. Times are in seconds, sizes in bytes."""

    max_tasks: int = DEFAULT_MAX_TASKS
    max_deadline_s: float = DEFAULT_MAX_DEADLINE_S
    max_body_bytes: int = 1 << 20
    max_queued: int = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """A complete configuration. Version 0 means that none is known yet."""

    version: int = 0
    change_ids: tuple[str, ...] = ()
    author: str = ""
    teams: tuple[Team, ...] = ()
    services: tuple[Service, ...] = ()
    policy: Policy = Policy()
    limits: Limits = Limits()
    drained: tuple[str, ...] = ()
    shard_count: int = 4
    cell_count: int = 1

    def team(self, name: str) -> Team | None:
        """Return the team called ``name``."""
        return next((t for t in self.teams if t.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``."""
        return next((s for s in self.services if s.name == name), None)


NO_CONFIGURATION = Configuration()
CONFIG_KEY = "config"
