"""The operators' interface as an ASGI application."""

from __future__ import annotations

import logging

from attrs import frozen

from ebonyhold._asgi import (
    CallerGoneError,
    NotFound,
    Receive,
    Request,
    Scope,
    Send,
    answer_lifespan,
)
from ebonyhold.exceptions import EbonyholdError, SettingsError
from ebonyhold.operators import _money_endpoints as _money_endpoints
from ebonyhold.operators import _part_endpoints as _part_endpoints
from ebonyhold.operators import _recovery_endpoints as _recovery_endpoints
from ebonyhold.operators import _status_endpoints as _status_endpoints
from ebonyhold.operators._context import OperatorsContext, endpoints
from ebonyhold.operators._document_endpoints import OPERATOR
from ebonyhold.operators._errors import (
    NotFoundError,
    Refusal,
    UnauthorizedError,
    refusal_of,
    send_refusal,
)

logger = logging.getLogger(__name__)


@frozen
class OperatorsApp:
    """Answers operators, the metrics collector and health checks."""

    context: OperatorsContext

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one ASGI connection."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.answer(Request(scope, receive), send)

    async def answer(self, request: Request, send: Send) -> None:
        """Answer one request, whatever goes wrong."""
        try:
            await self.dispatch(request, send)
        except CallerGoneError:
            return
        except EbonyholdError as error:
            refusal = refusal_of(error)
            logger.info(
                "operator's request refused",
                extra={"path": request.path, "code": refusal.code},
            )
            await send_refusal(request, send, refusal)
        except Exception:
            # A fault here must not end the daemon's listener: the operator gets
            # a refusal, and the log has the cause.
            logger.exception("operator's request failed", extra={"path": request.path})
            refusal = Refusal(500, "internal", "see the router's log")
            await send_refusal(request, send, refusal)

    async def dispatch(self, request: Request, send: Send) -> None:
        """Find the endpoint, check the key, and let it answer."""
        found = endpoints.find(request.method, request.path)
        if isinstance(found, NotFound) or not found.endpoint.open:
            self.authenticate(request)
        if isinstance(found, NotFound):
            raise NotFoundError(f"nothing at {request.method} {request.path}")
        request.parameters = found.parameters
        await found.endpoint.handler(self.context, request, send)

    def authenticate(self, request: Request) -> None:
        """Find out which operator asks.

        Raises:
            UnauthorizedError: The request carries no operator's key.
        """
        try:
            self.context.keys.reload()
        except SettingsError:
            # A file that is being replaced may be missing for a moment; the
            # keys read before stay valid.
            logger.warning("operators' keys could not be read again")
        key = request.bearer()
        operator = self.context.keys.find(key) if key else None
        if operator is None:
            raise UnauthorizedError("the request carries no operator's key")
        request.scope[OPERATOR] = operator
