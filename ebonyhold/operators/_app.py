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
from ebonyhold.operators._document_endpoints import OPERATOR_SCOPE_KEY
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
    """Handles requests of operators, metrics collectors and health checks."""

    context: OperatorsContext

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle an HTTP request or the lifespan events; ignore other scopes."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.answer(Request(scope, receive), send)

    async def answer(self, request: Request, send: Send) -> None:
        """Handle one request; answer errors with a refusal in JSON.

        Nothing is sent if the caller has closed the connection.
        """
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
            # An unexpected exception must not stop the daemon's listener. Its text
            # goes to the log only, as it may contain internal data.
            logger.exception("operator's request failed", extra={"path": request.path})
            refusal = Refusal(500, "internal", "see the router's log")
            await send_refusal(request, send, refusal)

    async def dispatch(self, request: Request, send: Send) -> None:
        """Check the operator's key if required, and call the endpoint's handler.

        An unknown path also requires a key.

        Raises:
            UnauthorizedError: A key is required, and the request has no valid one.
            NotFoundError: No endpoint matches the method and path.
        """
        found = endpoints.find(request.method, request.path)
        if isinstance(found, NotFound) or not found.endpoint.open:
            self.authenticate(request)
        if isinstance(found, NotFound):
            raise NotFoundError(f"nothing at {request.method} {request.path}")
        request.parameters = found.parameters
        await found.endpoint.handler(self.context, request, send)

    def authenticate(self, request: Request) -> None:
        """Find the operator by the request's key, and store the name in the ASGI scope.

        Raises:
            UnauthorizedError: The request has no key, or an unknown one.
        """
        try:
            self.context.keys.reload()
        except SettingsError:
            # The file may be missing briefly while it is replaced, so the keys
            # that were read before stay valid.
            logger.warning(
                "operator key file could not be read; the previous keys stay valid"
            )
        key = request.bearer()
        operator = self.context.keys.find(key) if key else None
        if operator is None:
            raise UnauthorizedError("the request carries no operator's key")
        request.scope[OPERATOR_SCOPE_KEY] = operator
