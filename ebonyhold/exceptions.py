"""Errors that several packages raise, each with a stable code.

All of them derive from `EbonyholdError`, so that one except clause catches them.
`ebonyhold.callers` maps them onto the HTTP refusals that callers receive.
"""

from __future__ import annotations

from typing import ClassVar


class EbonyholdError(Exception):
    """Base class of the errors that ebonyhold raises.

    Attributes:
        code: Identifies the kind of error to programs and never changes; the message
            may.
    """

    code: ClassVar[str] = "internal"


class SettingsError(EbonyholdError):
    """A daemon's settings cannot be read, or a value in them is invalid."""

    code = "settings_invalid"


class DocumentError(EbonyholdError):
    """A fleet document has findings that make it unusable."""

    code = "document_invalid"


class ConfigurationError(EbonyholdError):
    """A configuration version is missing, damaged or cannot be put into force."""

    code = "configuration_damaged"


class LostRaceError(EbonyholdError):
    """A change was refused because its base version is not the one in force.

    Attributes:
        version: The version in force; 0 if there is none.
        author: The operator who published the version in force; empty if none is.
        changed: Paths of the parts that differ between the base version and the one
            in force.
    """

    code = "lost_race"

    def __init__(
        self, message: str, version: int, author: str, changed: tuple[str, ...] = ()
    ) -> None:
        super().__init__(message)
        self.version = version
        self.author = author
        self.changed = changed


class PlatformError(EbonyholdError):
    """A call to a platform service failed."""

    code = "platform_error"


class UnavailableError(PlatformError):
    """The platform service could not be reached, and the call had no effect."""

    code = "platform_unavailable"


class ThrottledError(UnavailableError):
    """The platform service refused the call for its rate limit; it had no effect."""

    code = "platform_throttled"


class UnknownOutcomeError(PlatformError):
    """The call may have taken effect; read the state back before repeating it."""

    code = "platform_outcome_unknown"


class ConflictError(PlatformError):
    """A precondition of a write did not hold, so nothing was written.

    Attributes:
        keys: Keys whose checks failed; empty if the platform does not name them.
        rows: Rows that the write checked, as they are now in the store; empty if the
            platform sends none.
    """

    code = "platform_conflict"

    def __init__(
        self,
        message: str,
        keys: tuple[str, ...] = (),
        rows: tuple[object, ...] = (),
    ) -> None:
        super().__init__(message)
        self.keys = keys
        self.rows = rows


class SealedError(EbonyholdError):
    """This incarnation may spend no more tokens: another router sealed its journal."""

    code = "incarnation_sealed"


class BudgetError(EbonyholdError):
    """Tokens could not be held, added or refunded, or a run or bill not settled."""

    code = "budget"


class BudgetExhaustedError(BudgetError):
    """The table shows that too few of the workspace's prepaid tokens remain."""

    code = "budget_exhausted"


class BudgetUnreachableError(BudgetError):
    """Tokens may remain, but this router could not obtain them in time."""

    code = "budget_unreachable"


class ClaimError(EbonyholdError):
    """A request got no claim, so it may not run."""

    code = "claim"


class KeyReusedError(ClaimError):
    """The idempotency key was used before for a request with another body."""

    code = "idempotency_key_reused"


class ClaimUnavailableError(ClaimError):
    """The claim could not be stored, so the request was not run."""

    code = "claim_unavailable"


class OutcomeUnknownError(ClaimError):
    """The request is refused: it may have run before, or was repeated too often."""

    code = "outcome_unknown"


class PeerError(EbonyholdError):
    """A call to another router got no answer, or an unusable one."""

    code = "peer_error"


class RefusedMessageError(PeerError):
    """A message from another router was refused.

    Attributes:
        reason: Code of the cause; refused messages are counted by it.
    """

    code = "peer_message_refused"

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class BackendError(EbonyholdError):
    """A backend server failed an attempt.

    Attributes:
        ran: Whether the attempt may have run; False only if it certainly did not.
    """

    code = "backend_error"

    def __init__(self, message: str, *, ran: bool) -> None:
        super().__init__(message)
        self.ran = ran


class DamagedRowError(PlatformError):
    """A table row does not have the form that ebonyhold writes."""

    code = "row_damaged"


class HistoryLostError(PlatformError):
    """The store has discarded the requested changes; read all rows again."""

    code = "platform_history_lost"


class MalformedEntryError(EbonyholdError):
    """An entry in the list of servers is malformed."""

    code = "server_entry_malformed"


class MalformedMessageError(EbonyholdError):
    """A message from another router is malformed."""

    code = "message_malformed"


class MalformedRequestError(EbonyholdError):
    """A caller's request is malformed."""

    code = "request_malformed"


class BackendLostError(EbonyholdError):
    """A connection to a backend server failed, or its answer broke the protocol."""

    code = "backend_lost"
