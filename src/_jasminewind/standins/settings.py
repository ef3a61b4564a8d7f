"""JSON settings of a process that runs stand-ins."""

import pathlib

import msgspec
import result

from _jasminewind import members
from _jasminewind import resources


class Base(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings common to all stand-ins; port 0 picks a free port."""

    name: str
    port: int = 0
    control_port: int = 0


class Table(Base, frozen=True, kw_only=True, tag_field="kind", tag="table"):
    """Settings of the simulated table."""

    sync_s: float = 0.004
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


class Worker(Base, frozen=True, kw_only=True, tag_field="kind", tag="worker"):
    """Settings of a worker; ``agent_port`` 0 disables announcements."""

    capacity: resources.Resources
    agent_port: int = 0
    speed: float = 1.0
    can_checkpoint: bool = True
    usage_lag_s: float = 1.0


class Minion(Base, frozen=True, kw_only=True, tag_field="kind", tag="minion"):
    """Settings of a minion; ``agent_port`` 0 disables announcements."""

    service: str
    agent_port: int = 0
    slots: int = 8
    connections: int = 64
    speed: float = 1.0


class Balancer(
    Base, frozen=True, kw_only=True, tag_field="kind", tag="balancer"
):
    """Settings of the balancer."""

    entries: tuple[members.Address, ...]
    health_path: str = "/v1/health"
    resend: bool = False


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of all stand-ins of one process.

    ``leave_limit_s`` is the drain timeout for running tasks at shutdown.
    """

    standins: tuple[Table | Worker | Minion | Balancer, ...]
    leave_limit_s: float = 10.0


def load(path: pathlib.Path) -> result.Result[Settings, str]:
    """Load the settings file ``path``, or return what is wrong with it."""
    try:
        return result.Ok(msgspec.json.decode(path.read_bytes(), type=Settings))
    except OSError as e:
        return result.Err(f"cannot read settings file {path}: {e.strerror}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        return result.Err(f"invalid settings file {path}: {e}")
