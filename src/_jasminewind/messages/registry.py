"""Registry of the message types that a frame may hold, by name."""

from _jasminewind.messages import configuration
from _jasminewind.messages import links
from _jasminewind.messages import membership
from _jasminewind.messages import ownership
from _jasminewind.messages import runs
from _jasminewind.messages import tasks
from _jasminewind.messages import work

MESSAGE_TYPES: tuple[type, ...] = (
    links.Hello,
    links.HelloRefused,
    links.Ping,
    links.Pong,
    membership.Join,
    membership.Welcome,
    membership.Heartbeat,
    membership.Beat,
    membership.RecordRequest,
    membership.Leave,
    membership.CellDigest,
    membership.DigestBeat,
    membership.DigestRequest,
    ownership.PromiseRequest,
    ownership.PromiseReply,
    ownership.OwnerAnnounce,
    ownership.TakeOverRequest,
    ownership.HandOver,
    ownership.HandOverAck,
    work.Submit,
    work.Answer,
    work.Redirect,
    work.Cancel,
    work.QueryWork,
    work.WorkStatus,
    work.ExplainRequest,
    work.ExplainReply,
    tasks.StartTasks,
    tasks.TasksRefused,
    tasks.TaskResults,
    tasks.ResultsAck,
    tasks.StopTasks,
    tasks.QueryTasks,
    tasks.TaskStatuses,
    tasks.LoadReport,
    configuration.ConfigPush,
    configuration.ConfigAck,
    configuration.ConfigFetch,
    configuration.ConfigBeacon,
    runs.AgentBeat,
    runs.BeatEcho,
    runs.LoadChanged,
    runs.StartRuns,
    runs.StopRuns,
    runs.QueryRuns,
    runs.RunsEnded,
    runs.CancelJob,
    runs.JobCancelled,
)
BY_NAME = {kind.__name__: kind for kind in MESSAGE_TYPES}
