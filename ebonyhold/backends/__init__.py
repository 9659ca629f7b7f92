"""HTTP clients of the backend servers: model engines and plain services."""

from ebonyhold.backends._engine import EngineClient
from ebonyhold.backends._http import RefusedError, UnreachableError, make_client
from ebonyhold.backends._messages import (
    Answer,
    CacheAction,
    CacheEvent,
    CacheEvents,
    EngineCall,
    LoadReport,
    ServiceCall,
    Timeouts,
    Usage,
)
from ebonyhold.backends._placement import PlacementHolder
from ebonyhold.backends._service import (
    ServiceClient,
    answer_headers,
    request_headers,
)
from ebonyhold.backends._sse import (
    BrokenStreamError,
    EventSplitter,
    StreamCheck,
    read_usage,
)
from ebonyhold.backends._state import BackendState
from ebonyhold.backends._table import Backends

__all__ = [
    "Answer",
    "BackendState",
    "Backends",
    "BrokenStreamError",
    "CacheAction",
    "CacheEvent",
    "CacheEvents",
    "EngineCall",
    "EngineClient",
    "EventSplitter",
    "LoadReport",
    "PlacementHolder",
    "RefusedError",
    "ServiceCall",
    "ServiceClient",
    "StreamCheck",
    "Timeouts",
    "UnreachableError",
    "Usage",
    "answer_headers",
    "make_client",
    "read_usage",
    "request_headers",
]
