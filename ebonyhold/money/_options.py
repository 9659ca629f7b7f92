"""Time constants of the money's tasks, in seconds unless said otherwise."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.types import Seconds


@frozen
class MoneyOptions:
    """How often and how long the money's tasks wait.

    Attributes:
        filing_interval: How long a bill may wait for others of its workspace.
        outcome_delay: How long a chat's outcome may wait for company in the
            journal.  It is longer than the filing interval, since an outcome
            whose bill is filed first need not be written at all; a router that
            dies meanwhile leaves the question to the engine.
        bills_at_once: Bills of one transaction.
        resize_interval: How often a grant's size is looked at without need.
        evict_after: How long a workspace may be idle before its grant returns
            and its state is forgotten.
        table_rest: How long the table is left alone after it failed an append.
        conflict_pause: The longest pause after a settlement met another writer.
        conflict_pause: Seconds = 0.03
    retry_pause: The first pause after a failure; it doubles.
        most_pause: The longest pause.
        acquire_within: The longest a request waits for tokens.
        ask_within: The longest wait for one peer's answer.
        patience_step: How often a patient request looks for returned tokens.
        peers_asked: Peers asked for tokens, at most, for one request.
        given_within: The longest a giver waits for its journal.
        drops_at_once: Settled segments that one append deletes.
    """

    filing_interval: Seconds = 1.0
    outcome_delay: Seconds = 2.0
    bills_at_once: int = 10
    resize_interval: Seconds = 15.0
    evict_after: Seconds = 900.0
    table_rest: Seconds = 2.0
    conflict_pause: Seconds = 0.03
    retry_pause: Seconds = 0.05
    most_pause: Seconds = 10.0
    acquire_within: Seconds = 8.0
    ask_within: Seconds = 0.5
    patience_step: Seconds = 0.25
    peers_asked: int = 8
    given_within: Seconds = 0.4
    drops_at_once: int = 16
