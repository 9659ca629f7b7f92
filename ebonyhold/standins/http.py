"""The stand-ins over HTTP, for tests that want one beside them.

It imports hypercorn, and runs on the asyncio backend only.
"""

from ebonyhold.standins._asgi import App
from ebonyhold.standins._engine_app import build_engine, engine_app
from ebonyhold.standins._members import (
    MemberList,
    MemberRow,
    MembersProfile,
    WeightsProfile,
    build_members,
    build_weights,
    members_app,
)
from ebonyhold.standins._server import running
from ebonyhold.standins._service import (
    BookingService,
    ServiceProfile,
    build_service,
    service_app,
)
from ebonyhold.standins._stores_app import objects_app, table_app

__all__ = [
    "App",
    "BookingService",
    "MemberList",
    "MemberRow",
    "MembersProfile",
    "ServiceProfile",
    "WeightsProfile",
    "build_engine",
    "build_members",
    "build_service",
    "build_weights",
    "engine_app",
    "members_app",
    "objects_app",
    "running",
    "service_app",
    "table_app",
]
