"""A plain service: bookings that must not run twice, and a stock to read."""

from __future__ import annotations

import hashlib
import time

import cattrs
from attrs import define, field, frozen

from ebonyhold.standins._asgi import App, Reply, Request, json_reply
from ebonyhold.standins._kinds import standin
from ebonyhold.standins._records import ServiceRecord, ServiceRecords
from ebonyhold.types import Json


@frozen
class ServiceProfile:
    """Options of a plain service.

    Attributes:
        name: Its name in the records.
        honours_keys: Whether it runs each ``Idempotency-Key`` once.
    """

    name: str = "bookings"
    honours_keys: bool = False


@define
class BookingService:
    """The bookings of one service, and every call that ran."""

    profile: ServiceProfile = field(factory=ServiceProfile)
    bookings: list[Json] = field(factory=list)
    replies: dict[str, Reply] = field(factory=dict)
    calls: list[ServiceRecord] = field(factory=list)

    def book(self, request: Request) -> Reply:
        """Place a booking, unless the key was honoured before."""
        key = request.headers.get("idempotency-key", "")
        kept = self.replies.get(key) if self.profile.honours_keys and key else None
        self.note(request, replayed=kept is not None)
        if kept is not None:
            return kept
        order: Json = request.json()
        number = len(self.bookings) + 1
        self.bookings.append({"booking": number, "order": order})
        reply = json_reply({"booking": number, "order": order}, 201)
        self.replies[key] = reply
        return reply

    def note(self, request: Request, *, replayed: bool = False) -> None:
        """Record a call that ran."""
        headers = request.headers
        self.calls.append(
            ServiceRecord(
                self.profile.name,
                request.method,
                request.path,
                headers.get("idempotency-key", ""),
                headers.get("x-attempt-id", ""),
                hashlib.sha256(request.body).hexdigest(),
                headers.get("traceparent", ""),
                replayed,
                time.time(),
            )
        )


def service_app(service: BookingService) -> App:
    """Make the application of a plain service."""
    app = App()

    @app.route("POST", "/bookings")
    async def book(request: Request) -> Reply:
        return service.book(request)

    @app.route("GET", "/bookings")
    async def listing(request: Request) -> Reply:
        service.note(request)
        return json_reply({"bookings": service.bookings})

    @app.route("GET", "/stock")
    async def stock(request: Request) -> Reply:
        service.note(request)
        return json_reply({"oak": 40, "birch": 25, "booked": len(service.bookings)})

    @app.route("GET", "/records")
    async def records(request: Request) -> Reply:
        return json_reply(cattrs.unstructure(ServiceRecords(tuple(service.calls))))

    return app


@standin("service", ServiceProfile)
def build_service(profile: ServiceProfile) -> App:
    """Make a plain service."""
    return service_app(BookingService(profile))
