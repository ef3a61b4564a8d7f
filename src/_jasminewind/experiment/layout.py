"""Builds the settings of every process of a deployment on loopback."""

import dataclasses
import pathlib

from _jasminewind import members
from _jasminewind import settings
from _jasminewind.experiment import deployments
from _jasminewind.experiment import ports
from _jasminewind.standins import settings as standin_settings


@dataclasses.dataclass(frozen=True, kw_only=True)
class Layout:
    """Settings of a fleet on one machine.

    Each stand-in has a ``control_port``, where tests inject faults and
    read the starts it recorded.
    """

    deployment: deployments.Deployment
    entries: tuple[settings.Settings, ...]
    agents: tuple[settings.Settings, ...]
    table: standin_settings.Table
    balancer: standin_settings.Balancer
    minions: tuple[standin_settings.Minion, ...]
    workers: tuple[standin_settings.Worker, ...]

    def url(self) -> str:
        """Return the base URL of the balancer."""
        return f"http://{ports.HOST}:{self.balancer.port}"

    def entry_url(self, index: int) -> str:
        """Return the base URL of one entry."""
        return f"http://{ports.HOST}:{self.entries[index].api_port}"

    def control_url(self, name: str) -> str:
        """Return the control URL of a stand-in."""
        standins = (
            self.table,
            self.balancer,
            *self.minions,
            *self.workers,
        )
        standin = next(s for s in standins if s.name == name)
        return f"http://{ports.HOST}:{standin.control_port}"


def build(
    deployment: deployments.Deployment,
    *,
    config_file: pathlib.Path,
    allocator: ports.PortAllocator,
    decision_log_share: float = 1.0,
    log_level: settings.LogLevel = settings.LogLevel.INFO,
) -> Layout:
    """Build the settings of ``deployment`` with free ports."""
    table = standin_settings.Table(
        name=f"{deployment.name}-table",
        port=allocator.take(),
        control_port=allocator.take(),
    )
    builder = SettingsBuilder(
        deployment=deployment,
        allocator=allocator,
        table=settings.HostPort(host=ports.HOST, port=table.port),
        decision_log_share=decision_log_share,
        log_level=log_level,
    )
    entries = tuple(
        builder.entry(index, config_file)
        for index in range(deployment.entries)
    )
    seeds = tuple(settings.HostPort(host=e.host, port=e.port) for e in entries)
    minion_agents = tuple(
        builder.agent("minion", index, seeds)
        for index in range(deployment.minions)
    )
    worker_agents = tuple(
        builder.agent("worker", index, seeds)
        for index in range(deployment.workers)
    )
    return Layout(
        deployment=deployment,
        entries=entries,
        agents=minion_agents + worker_agents,
        table=table,
        balancer=builder.balancer(entries),
        minions=tuple(
            builder.minion(index, agent)
            for index, agent in enumerate(minion_agents)
        ),
        workers=tuple(
            builder.worker(index, agent)
            for index, agent in enumerate(worker_agents)
        ),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingsBuilder:
    """Builds the settings of single processes from shared values."""

    deployment: deployments.Deployment
    allocator: ports.PortAllocator
    table: settings.HostPort
    decision_log_share: float
    log_level: settings.LogLevel

    def domain(self, index: int) -> str:
        """Return the failure domain of the process with this index."""
        domains = self.deployment.failure_domains
        return domains[index % len(domains)]

    def speed(self, index: int) -> float:
        """Return the speed factor of the endpoint with this index."""
        speeds = self.deployment.speeds
        return speeds[index % len(speeds)]

    def entry(
        self, index: int, config_file: pathlib.Path
    ) -> settings.Settings:
        """Return the settings of an entry."""
        return settings.Settings(
            role=members.Role.ENTRY,
            name=f"{self.deployment.name}-entry-{index}",
            region=self.deployment.region,
            failure_domain=self.domain(index),
            rack=f"entry-rack-{index}",
            host=ports.HOST,
            port=self.allocator.take(),
            api_port=self.allocator.take(),
            table=self.table,
            initial_config_file=str(config_file),
            decision_log_share=self.decision_log_share,
            log_level=self.log_level,
        )

    def agent(
        self, kind: str, index: int, seeds: tuple[settings.HostPort, ...]
    ) -> settings.Settings:
        """Return the settings of the agent beside an endpoint."""
        rack = index // self.deployment.workers_per_rack
        domain = self.domain(rack)
        return settings.Settings(
            role=members.Role.AGENT,
            name=f"{self.deployment.name}-{kind}-agent-{index}",
            region=self.deployment.region,
            failure_domain=domain,
            rack=f"{kind}-rack-{rack}",
            host=ports.HOST,
            port=self.allocator.take(),
            local_port=self.allocator.take(),
            table=self.table,
            seeds=seeds,
            decision_log_share=self.decision_log_share,
            log_level=self.log_level,
        )

    def balancer(
        self, entries: tuple[settings.Settings, ...]
    ) -> standin_settings.Balancer:
        """Return the settings of the balancer in front of the entries."""
        return standin_settings.Balancer(
            name=f"{self.deployment.name}-balancer",
            port=self.allocator.take(),
            control_port=self.allocator.take(),
            entries=tuple(
                members.Address(e.host, e.api_port) for e in entries
            ),
            health_path="/readyz",
        )

    def minion(
        self, index: int, agent: settings.Settings
    ) -> standin_settings.Minion:
        """Return the settings of the minion beside ``agent``."""
        return standin_settings.Minion(
            name=f"{self.deployment.name}-minion-{index}",
            port=self.allocator.take(),
            control_port=self.allocator.take(),
            agent_port=agent.local_port,
            service=self.deployment.service,
            slots=self.deployment.slots,
            connections=self.deployment.connections,
            speed=self.speed(index),
        )

    def worker(
        self, index: int, agent: settings.Settings
    ) -> standin_settings.Worker:
        """Return the settings of the worker beside ``agent``."""
        return standin_settings.Worker(
            name=f"{self.deployment.name}-worker-{index}",
            port=self.allocator.take(),
            control_port=self.allocator.take(),
            agent_port=agent.local_port,
            capacity=self.deployment.worker_capacity,
            speed=self.speed(index),
        )
