"""OperationsService: inspect the fleet, drain, release and explain."""

import json

import result
from google.protobuf import json_format
from google.protobuf import struct_pb2

from _jasminewind import changes
from _jasminewind import errors
from _jasminewind import ids
from _jasminewind import members
from _jasminewind import resources
from _jasminewind.api import backend as backends
from _jasminewind.api import calls
from _jasminewind.api import configs
from _jasminewind.api import connect
from _jasminewind.api import convert
from _jasminewind.api import submissions
from _jasminewind.api import validation
from _jasminewind.api.pb import operations_pb2

# A drain does not depend on other changes, so it is proposed again when
# another change was accepted first.
DRAIN_ATTEMPTS = 5


class OperationsService:
    """Lets operators inspect and drain the fleet and read decisions."""

    name = "jasminewind.v1.OperationsService"

    def __init__(
        self,
        submitter: submissions.Submitter,
        proposer: configs.ConfigProposer,
    ) -> None:
        self.submitter = submitter
        self.backend = submitter.backend
        self.proposer = proposer

    def methods(self) -> dict[str, calls.Method]:
        """Return the methods by name."""
        pb = operations_pb2
        return {
            "ListMembers": calls.Method(
                request=pb.ListMembersRequest, handler=self.list_members
            ),
            "ListWorkers": calls.Method(
                request=pb.ListWorkersRequest, handler=self.list_workers
            ),
            "ListMinions": calls.Method(
                request=pb.ListMinionsRequest, handler=self.list_minions
            ),
            "ListTeams": calls.Method(
                request=pb.ListTeamsRequest, handler=self.list_teams
            ),
            "Drain": calls.Method(
                request=pb.DrainRequest,
                handler=self.drain,
                has_own_timeout=True,
            ),
            "Undrain": calls.Method(
                request=pb.UndrainRequest,
                handler=self.undrain,
                has_own_timeout=True,
            ),
            "ReleaseShard": calls.Method(
                request=pb.ReleaseShardRequest, handler=self.release_shard
            ),
            "Explain": calls.Method(
                request=pb.ExplainRequest, handler=self.explain
            ),
            "GetStatus": calls.Method(
                request=pb.GetStatusRequest, handler=self.get_status
            ),
        }

    async def list_members(
        self,
        request: operations_pb2.ListMembersRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Return the live members."""
        del request, context
        found = sorted(self.backend.members(), key=lambda m: m.node)
        return result.Ok(
            operations_pb2.ListMembersResponse(
                members=[member_message(m) for m in found]
            )
        )

    async def list_workers(
        self,
        request: operations_pb2.ListWorkersRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Return the workers."""
        del request, context
        return result.Ok(
            operations_pb2.ListWorkersResponse(
                workers=self.list_endpoints(members.EndpointKind.WORKER)
            )
        )

    async def list_minions(
        self,
        request: operations_pb2.ListMinionsRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Return the minions, optionally of one service only."""
        del context
        found = self.list_endpoints(members.EndpointKind.MINION)
        if request.service:
            found = [e for e in found if e.service == request.service]
        return result.Ok(operations_pb2.ListMinionsResponse(minions=found))

    def list_endpoints(
        self, kind: members.EndpointKind
    ) -> list[operations_pb2.Endpoint]:
        """Return the endpoints of one kind, sorted by name."""
        drained = frozenset(self.backend.config().drained)
        found = [
            endpoint_message(m, m.endpoint, drained)
            for m in self.backend.members()
            if m.endpoint is not None and m.endpoint.kind is kind
        ]
        return sorted(found, key=lambda e: e.name)

    async def list_teams(
        self,
        request: operations_pb2.ListTeamsRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Return the teams and their quotas."""
        del request, context
        return result.Ok(
            operations_pb2.ListTeamsResponse(
                teams=[
                    convert.team_message(t)
                    for t in self.backend.config().teams
                ]
            )
        )

    async def drain(
        self, request: operations_pb2.DrainRequest, context: calls.CallContext
    ) -> calls.Reply:
        """Stop sending new work to an endpoint."""
        del context
        error = self.check_endpoint_name(request)
        if error is not None:
            return result.Err(error)
        proposed = await self.set_drained(
            changes.DrainEndpoint(name=request.name),
            request.change_id,
            request.author,
        )
        return proposed.map(lambda v: operations_pb2.DrainResponse(version=v))

    async def undrain(
        self,
        request: operations_pb2.UndrainRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Resume sending work to a drained endpoint."""
        del context
        if not request.name:
            return result.Err(
                connect.failure("name an endpoint", field="name")
            )
        proposed = await self.set_drained(
            changes.UndrainEndpoint(name=request.name),
            request.change_id,
            request.author,
        )
        return proposed.map(
            lambda v: operations_pb2.UndrainResponse(version=v)
        )

    def check_endpoint_name(
        self, request: operations_pb2.DrainRequest
    ) -> connect.CallError | None:
        """Return the error for an empty or unknown endpoint name."""
        if not request.name:
            return connect.failure("name an endpoint", field="name")
        known = [
            m.endpoint.name
            for m in self.backend.members()
            if m.endpoint is not None
        ]
        if request.name in known or request.even_if_unknown:
            return None
        return connect.failure(
            f"no endpoint {request.name[:64]!r} is known"
            + connect.suggestion(request.name, known)
            + "; set even_if_unknown to drain an endpoint that is down",
            code=errors.Code.NOT_FOUND,
            field="name",
        )

    async def set_drained(
        self,
        operation: changes.DrainEndpoint | changes.UndrainEndpoint,
        change_id: str,
        author: str,
    ) -> configs.ProposalResult:
        """Drain or undrain; retry if another change was accepted first."""
        change_id = change_id or self.proposer.new_change_id()
        proposed: configs.ProposalResult = result.Ok(0)
        version = 0
        for _ in range(DRAIN_ATTEMPTS):
            config = await self.proposer.wait_for_version(version)
            should_be_drained = isinstance(operation, changes.DrainEndpoint)
            if (operation.name in config.drained) == should_be_drained:
                return result.Ok(config.version)
            proposed = await self.proposer.propose(
                changes.ConfigChange(
                    change_id=change_id,
                    expected_version=config.version,
                    author=author,
                    operation=operation,
                )
            )
            if isinstance(proposed, result.Ok):
                return proposed
            if proposed.err_value.code is not errors.Code.ABORTED:
                return proposed
            version = config.version + 1
        return proposed

    async def release_shard(
        self,
        request: operations_pb2.ReleaseShardRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Close the row of a shard whose processes no longer run."""
        del context
        count = self.backend.config().shard_count
        if request.shard >= count:
            return result.Err(
                connect.failure(
                    f"is {request.shard}, need 0 to {count - 1}",
                    field="shard",
                )
            )
        if not request.earlier_processes_gone:
            return result.Err(
                connect.failure(
                    "make sure that the owner and the successors of the "
                    "shard no longer run, since tasks may start twice "
                    "otherwise; then set this to true",
                    code=errors.Code.FAILED_PRECONDITION,
                    field="earlier_processes_gone",
                )
            )
        released = await self.backend.release_shard(request.shard)
        if isinstance(released, result.Err):
            return result.Err(release_error(released.err_value))
        return result.Ok(operations_pb2.ReleaseShardResponse())

    async def explain(
        self,
        request: operations_pb2.ExplainRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Return the recent decision log entries of a job or a request."""
        del context
        error = validation.check_work_id(
            request.id, wall_ms=self.backend.now().wall_ms
        )
        if error is not None:
            return result.Err(error)
        reply = await calls.with_timeout(
            self.submitter.clock,
            self.backend.explain(ids.parse(request.id).unwrap()),
            submissions.QUERY_TIMEOUT_S,
        )
        if isinstance(reply, calls.TimedOut):
            return result.Err(
                connect.failure(
                    "the owner of this id did not answer; ask again",
                    code=errors.Code.UNAVAILABLE,
                )
            )
        entries = [log_entry_message(text) for text in reply.entries]
        return result.Ok(operations_pb2.ExplainResponse(entries=entries))

    async def get_status(
        self,
        request: operations_pb2.GetStatusRequest,
        context: calls.CallContext,
    ) -> calls.Reply:
        """Return a summary of the system as this entry sees it."""
        del request, context
        readiness = self.backend.is_ready()
        config = self.backend.config()
        live_members = self.backend.members()
        kinds = [
            m.endpoint.kind for m in live_members if m.endpoint is not None
        ]
        owned = {s for m in live_members for s in m.shards}
        roles = [m.role for m in live_members]
        return result.Ok(
            operations_pb2.GetStatusResponse(
                ready=readiness.ready,
                reason=readiness.reason,
                config_version=config.version,
                entries=roles.count(members.Role.ENTRY),
                agents=roles.count(members.Role.AGENT),
                workers=kinds.count(members.EndpointKind.WORKER),
                minions=kinds.count(members.EndpointKind.MINION),
                running=sum(m.load.running for m in live_members),
                queued=sum(m.load.queued for m in live_members),
                shards_owned=len(owned),
                shard_count=config.shard_count,
            )
        )


def release_error(error: backends.ReleaseError) -> connect.CallError:
    """Return the error for a shard that was not released."""
    if error.is_unchanged:
        return connect.failure(
            error.reason, code=errors.Code.FAILED_PRECONDITION
        )
    return connect.failure(
        error.reason,
        code=errors.Code.UNAVAILABLE,
        outcome=errors.Outcome.MAY_HAVE_RUN,
    )


def log_entry_message(text: str) -> struct_pb2.Struct:
    """Convert one entry of the decision log to a message."""
    entry = struct_pb2.Struct()
    try:
        json_format.ParseDict(json.loads(text), entry)
    except (json_format.Error, ValueError, TypeError):
        entry.Clear()
        entry["text"] = text
    return entry


def member_message(member: members.Member) -> operations_pb2.Member:
    """Convert a member to its message."""
    return operations_pb2.Member(
        name=member.node.name,
        incarnation=member.node.incarnation,
        address=f"{member.address.host}:{member.address.port}",
        role=member.role.value,
        region=member.region,
        failure_domain=member.failure_domain,
        rack=member.rack,
        state=member.state.value,
        shards=member.shards,
        config_version=member.config_version,
    )


def endpoint_message(
    member: members.Member,
    endpoint: members.Endpoint,
    drained: frozenset[str],
) -> operations_pb2.Endpoint:
    """Convert the endpoint of a member to its message."""
    return operations_pb2.Endpoint(
        name=endpoint.name,
        service=endpoint.service,
        agent=member.node.name,
        failure_domain=member.failure_domain,
        rack=member.rack,
        state=member.state.value,
        drained=endpoint.name in drained,
        capacity=resources_message(endpoint.capacity),
        free=resources_message(member.load.free),
        running=member.load.running,
        queued=member.load.queued,
        connections=endpoint.connections,
    )


def resources_message(value: resources.Resources) -> operations_pb2.Amounts:
    """Convert a resource vector to its message."""
    return operations_pb2.Amounts(
        slots=value.slots,
        cores=value.cores,
        memory_mb=value.memory_mb,
        accelerators=value.accelerators,
    )
