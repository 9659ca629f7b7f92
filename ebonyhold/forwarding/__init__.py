"""Forwards callers' requests to backend servers without parsing the request bodies."""

from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._caller import CallerConnection, RequestHead
from ebonyhold.forwarding._calls import (
    AnswerBounds,
    AnswerTooLargeError,
    CallNotSentError,
    HttpCalls,
)
from ebonyhold.forwarding._channel import AnswerHead, Channel, Outbound
from ebonyhold.forwarding._choice import choose
from ebonyhold.forwarding._crash_detection import CrashDetector
from ebonyhold.forwarding._dialect import Dialect
from ebonyhold.forwarding._endings import AnswerEnding
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._events import EventSplitter, StreamEvent
from ebonyhold.forwarding._exchange import CutCause, WholeAnswer
from ebonyhold.forwarding._flow_control import BufferAccount, FlowControl, FlowEvent
from ebonyhold.forwarding._forwarder import DELIVERED, Forwarder, RequestHold
from ebonyhold.forwarding._inbox import Traffic
from ebonyhold.forwarding._listener import CallerListener, Serve
from ebonyhold.forwarding._memory import MemoryRoom, RoomRequest, ServerMemory
from ebonyhold.forwarding._paths import Paths
from ebonyhold.forwarding._pool import ChannelPool, ConnectOutcome, outcome_of
from ebonyhold.forwarding._reach import Reach, Reachability
from ebonyhold.forwarding._refusals import Refusal, own_answer
from ebonyhold.forwarding._relay import (
    RELAY_PREFIX,
    NoPathError,
    Path,
    RelayAddress,
    RelayResult,
    Relays,
)
from ebonyhold.forwarding._relaying import RequestRelay
from ebonyhold.forwarding._retries import FleetRetryBudget, RetryRules
from ebonyhold.forwarding._routes import (
    Match,
    NoRouteError,
    UnknownKeyError,
    choose_service,
    find_route,
    match_request,
)
from ebonyhold.forwarding._runs import (
    MAX_REPORT,
    RunAnswer,
    RunChecks,
    read_no_start,
)
from ebonyhold.forwarding._shutdown import (
    LateRequest,
    RequestSize,
    RouteTimes,
    Shutdown,
    Stage,
    accepts_late,
)
from ebonyhold.forwarding._silence import SilenceOutcome, SilenceRecorder, StandbyResult
from ebonyhold.forwarding._slow_readers import SlowReaders
from ebonyhold.forwarding._stray import StrayAnswer, StrayFilter
from ebonyhold.forwarding._streams import (
    Found,
    NoKeepers,
    Origin,
    StreamVersions,
)
from ebonyhold.forwarding._types import (
    AnswerFacts,
    Backend,
    BackendState,
    CallerLimits,
    CallerRequest,
    Dispatch,
    Headers,
    PromptPart,
    Route,
    RouteKind,
    Ruleset,
    Service,
    ServiceName,
    ServiceShare,
    SoftwareVersion,
    Workspace,
)
from ebonyhold.forwarding._work import prompt_size
from ebonyhold.tasks import Guard, TaskStarter

__all__ = [
    "DELIVERED",
    "MAX_REPORT",
    "RELAY_PREFIX",
    "AnswerBounds",
    "AnswerEnding",
    "AnswerFacts",
    "AnswerHead",
    "AnswerTooLargeError",
    "Backend",
    "BackendEntry",
    "BackendState",
    "BackendTable",
    "BufferAccount",
    "CallNotSentError",
    "CallerConnection",
    "CallerLimits",
    "CallerListener",
    "CallerRequest",
    "Channel",
    "ChannelPool",
    "ConnectOutcome",
    "CrashDetector",
    "CutCause",
    "Dialect",
    "Dispatch",
    "EventSplitter",
    "FleetRetryBudget",
    "FlowControl",
    "FlowEvent",
    "Forwarder",
    "Found",
    "Guard",
    "Headers",
    "HttpCalls",
    "LateRequest",
    "Match",
    "MemoryRoom",
    "NoKeepers",
    "NoPathError",
    "NoRouteError",
    "Origin",
    "Outbound",
    "Path",
    "Paths",
    "PromptPart",
    "Reach",
    "Reachability",
    "Refusal",
    "RelayAddress",
    "RelayResult",
    "Relays",
    "RequestHead",
    "RequestHold",
    "RequestRelay",
    "RequestSize",
    "RetryRules",
    "RoomRequest",
    "Route",
    "RouteKind",
    "RouteTimes",
    "Ruleset",
    "RunAnswer",
    "RunChecks",
    "Serve",
    "ServerMemory",
    "Service",
    "ServiceName",
    "ServiceShare",
    "Shutdown",
    "SilenceOutcome",
    "SilenceRecorder",
    "SlowReaders",
    "SoftwareVersion",
    "Stage",
    "StandbyResult",
    "StrayAnswer",
    "StrayFilter",
    "StreamEvent",
    "StreamVersions",
    "TaskStarter",
    "Traffic",
    "UnknownKeyError",
    "WholeAnswer",
    "Workspace",
    "accepts_late",
    "choose",
    "choose_service",
    "find_route",
    "match_request",
    "outcome_of",
    "own_answer",
    "prompt_size",
    "read_no_start",
]
