"""Settings of a process that runs stand-ins, as a JSON file."""

import pathlib

import msgspec
import result

from _jasminewind import members
from _jasminewind import resources


class Base(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings that every stand-in has; port 0 chooses a free one."""

    name: str
    port: int = 0
    control_port: int = 0


class Table(Base, frozen=True, kw_only=True, tag_field="kind", tag="table"):
    """Settings of the table; times in seconds, rates per second."""

    sync_s: float = 0.004
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


class Worker(Base, frozen=True, kw_only=True, tag_field="kind", tag="worker"):
    """Settings of a worker; ``agent_port`` 0 means no announcements."""

    capacity: resources.Resources
    agent_port: int = 0
    speed: float = 1.0
    can_checkpoint: bool = True
    usage_lag_s: float = 1.0


class Minion(Base, frozen=True, kw_only=True, tag_field="kind", tag="minion"):
    """Settings of a minion; ``agent_port`` 0 means no announcements."""

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
    """All stand-ins of one process.

    ``leave_limit_s`` bounds how long a shutdown waits for running tasks.
    """

    standins: tuple[Table | Worker | Minion | Balancer, ...]
    leave_limit_s: float = 10.0


def load(path: pathlib.Path) -> result.Result[Settings, str]:
    """Return the settings in the file ``path``, or what is wrong."""
    try:
        return result.Ok(msgspec.json.decode(path.read_bytes(), type=Settings))
    except OSError as e:
        return result.Err(f"cannot read {path}: {e.strerror}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        return result.Err(f"{path} is not valid: {e}")
