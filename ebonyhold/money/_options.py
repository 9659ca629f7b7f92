"""Intervals, timeouts and batch sizes of the tasks for grants, journal and bills."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.types import Seconds


@frozen
class MoneyOptions:
    """Intervals, timeouts and batch sizes; times are in seconds.

    Attributes:
        filing_interval: Maximum time for which bills of a workspace are collected, to
            be filed in one transaction.
        outcome_delay: Maximum time a chat's outcome waits for other journal entries.
            The delay exceeds the filing interval because an outcome need not be written
            if its bill is filed first. If the router crashes before either, recovery
            looks up the attempt at its backend server.
        bills_per_transaction: Maximum number of bills in one transaction.
        resize_interval: Interval between checks of a grant's size if no request needs
            tokens.
        evict_after: Time without requests after which a workspace's grant is returned
            and its state is discarded.
        table_backoff: Time for which the journal does not use the table after a failed
            append.
        conflict_delay: Maximum random delay after a settlement conflicted with another
            writer.
        min_retry_delay: Delay after a first failure; doubled with each further one. A
            router that drains also polls its grants at this interval.
        max_retry_delay: Maximum delay between retries.
        acquire_timeout: Maximum time a request waits for tokens.
        peer_timeout: Maximum time to wait for one peer's answer.
        recheck_interval: Interval at which the budget is read again while requests wait
            for tokens that other requests hold.
        max_peers: Maximum number of peers from which tokens are requested in one round.
        give_timeout: Maximum time a giver waits until a transfer is in its journal;
            after that it answers that it gives nothing.
        deletions_per_append: Maximum number of settled journal segments that one append
            to the table deletes.
    """

    filing_interval: Seconds = 1.0
    outcome_delay: Seconds = 2.0
    bills_per_transaction: int = 10
    resize_interval: Seconds = 15.0
    evict_after: Seconds = 900.0
    table_backoff: Seconds = 2.0
    conflict_delay: Seconds = 0.03
    min_retry_delay: Seconds = 0.05
    max_retry_delay: Seconds = 10.0
    acquire_timeout: Seconds = 8.0
    peer_timeout: Seconds = 0.5
    recheck_interval: Seconds = 0.25
    max_peers: int = 8
    give_timeout: Seconds = 0.4
    deletions_per_append: int = 16
