"""ConfigService: read, change and watch the configuration."""

import math

import result

from _jasminewind import changes
from _jasminewind import configuration
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind.api import backend as backends
from _jasminewind.api import calls
from _jasminewind.api import connect
from _jasminewind.api import convert
from _jasminewind.api import submissions
from _jasminewind.api.pb import config_pb2
from _jasminewind.api.pb import errors_pb2

MAX_WATCH_S = 30.0
# An entry with an older configuration gets the newer one within this time.
WAIT_FOR_VERSION_S = 2.0
PROPOSE_TIMEOUT_S = 10.0

ProposalResult = result.Result[int, connect.CallError]


class ConfigProposer:
    """Proposes configuration changes for the services."""

    def __init__(self, submitter: submissions.Submitter) -> None:
        self.submitter = submitter
        self.backend: backends.Backend = submitter.backend

    def new_change_id(self) -> str:
        """Return an id for a change without one."""
        wall_ms = self.backend.now().wall_ms
        return ids.new(wall_ms=wall_ms, rng=self.submitter.rng)

    async def wait_for_version(
        self, version: int
    ) -> configuration.Configuration:
        """Wait for ``version``, with a timeout; return the configuration."""
        config = self.backend.config()
        if config.version >= version:
            return config
        newer = self.backend.wait_config(version - 1, WAIT_FOR_VERSION_S)
        await calls.with_timeout(
            self.submitter.clock, newer, WAIT_FOR_VERSION_S
        )
        return self.backend.config()

    async def propose(self, change: changes.ConfigChange) -> ProposalResult:
        """Propose a change and return the version that contains it."""
        config = await self.wait_for_version(change.expected_version)
        if change.change_id in config.change_ids:
            return result.Ok(config.version)
        if change.expected_version != config.version:
            return result.Err(conflict_error(change, config))
        applied = changes.apply(config, change)
        if isinstance(applied, result.Err):
            error = applied.err_value
            return result.Err(connect.failure(error.reason, field=error.field))
        pending = self.backend.propose(change)
        proposed = await calls.with_timeout(
            self.submitter.clock, pending, PROPOSE_TIMEOUT_S
        )
        if isinstance(proposed, calls.TimedOut):
            reason = f"no outcome within {PROPOSE_TIMEOUT_S:g} s"
            unknown = changes.ConfigUnknown(reason=reason)
            return result.Err(refusal_error(change, unknown))
        if isinstance(proposed, result.Err):
            return result.Err(refusal_error(change, proposed.err_value))
        return result.Ok(proposed.ok_value.version)


def conflict_error(
    change: changes.ConfigChange, config: configuration.Configuration
) -> connect.CallError:
    """Return the error for a change based on another version."""
    last_change_id = config.change_ids[-1] if config.change_ids else ""
    return refusal_error(
        change,
        changes.ConfigConflict(
            version=config.version,
            change_id=last_change_id,
            author=config.author,
        ),
    )


def refusal_error(
    change: changes.ConfigChange, refusal: changes.ConfigRefusal
) -> connect.CallError:
    """Return the error for a change that was not accepted."""
    match refusal:
        case changes.ConfigConflict(
            version=version, change_id=change_id, author=author
        ):
            error = connect.failure(
                f"version {version} is in force, by change {change_id!r} of "
                f"{author!r}, and the change is for version "
                f"{change.expected_version}; read the configuration and "
                "propose again",
                code=errors.Code.ABORTED,
                field="expected_version",
            )
            conflict = errors_pb2.ConflictDetail(
                version=version, change_id=change_id, author=author
            )
            return connect.CallError(
                code=error.code,
                message=error.message,
                details=(*error.details, conflict),
            )
        case changes.ConfigUnavailable(reason=reason):
            return connect.failure(
                f"the change was not made: {reason}; propose it again later",
                code=errors.Code.UNAVAILABLE,
            )
        case changes.ConfigUnknown(reason=reason):
            return connect.failure(
                f"the change may have been made: {reason}; propose it again "
                f"with the same change id {change.change_id!r}, which is "
                "applied once",
                code=errors.Code.UNKNOWN,
                outcome=errors.Outcome.MAY_HAVE_RUN,
            )


class ConfigService:
    """Lets operators read, change and watch the configuration."""

    name = "jasminewind.v1.ConfigService"

    def __init__(
        self, submitter: submissions.Submitter, proposer: ConfigProposer
    ) -> None:
        self.submitter = submitter
        self.proposer = proposer

    def methods(self) -> dict[str, calls.Method]:
        """Return the methods by name."""
        return {
            "GetConfig": calls.Method(
                request=config_pb2.GetConfigRequest, handler=self.get_config
            ),
            "ProposeChange": calls.Method(
                request=config_pb2.ProposeChangeRequest,
                handler=self.propose_change,
                has_own_timeout=True,
            ),
            "ListChanges": calls.Method(
                request=config_pb2.ListChangesRequest,
                handler=self.list_changes,
            ),
            "WatchConfig": calls.Method(
                request=config_pb2.WatchConfigRequest,
                handler=self.watch_config,
            ),
        }

    async def get_config(
        self, request: config_pb2.GetConfigRequest, context: calls.CallContext
    ) -> calls.Reply:
        """Return the configuration in force."""
        del request, context
        config = self.submitter.backend.config()
        return result.Ok(
            config_pb2.GetConfigResponse(
                config=convert.configuration_message(config)
            )
        )

    async def propose_change(
        self,
        request: config_pb2.ProposeChangeRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Propose one change."""
        del context
        current = self.submitter.backend.config()
        operation = convert.operation(request, current)
        if operation is None:
            return result.Err(
                connect.failure(
                    "names no operation; give one of set_team, remove_team, "
                    "set_service, remove_service, set_policy, set_limits, "
                    "drain, undrain, replace_all",
                    field="operation",
                )
            )
        change = changes.ConfigChange(
            change_id=request.change_id or self.proposer.new_change_id(),
            expected_version=request.expected_version,
            author=request.author,
            operation=operation,
        )
        proposed = await self.proposer.propose(change)
        return proposed.map(
            lambda version: config_pb2.ProposeChangeResponse(
                change_id=change.change_id, version=version
            )
        )

    async def list_changes(
        self,
        request: config_pb2.ListChangesRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Return the ids of the last changes."""
        del request, context
        config = self.submitter.backend.config()
        return result.Ok(
            config_pb2.ListChangesResponse(
                version=config.version,
                change_ids=config.change_ids,
                author=config.author,
            )
        )

    async def watch_config(
        self,
        request: config_pb2.WatchConfigRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Long-poll for a newer configuration."""
        timeout_s = request.timeout_s
        if not (math.isfinite(timeout_s) and 0 <= timeout_s <= MAX_WATCH_S):
            return result.Err(
                connect.failure(
                    f"is {timeout_s:g}, need seconds from 0 to "
                    f"{MAX_WATCH_S:g}",
                    field="timeout_s",
                )
            )
        if context.timeout_s is not None:
            timeout_s = min(timeout_s, context.timeout_s)
        after = request.after_version
        if self.submitter.backend.config().version <= after:
            newer = self.submitter.backend.wait_config(after, timeout_s)
            await calls.with_timeout(self.submitter.clock, newer, timeout_s)
        config = self.submitter.backend.config()
        if config.version <= after:
            return result.Ok(config_pb2.WatchConfigResponse(changed=False))
        return result.Ok(
            config_pb2.WatchConfigResponse(
                changed=True, config=convert.configuration_message(config)
            )
        )
