"""The other routers: messages, heartbeats, the membership view."""

from ebonyhold.routers._interface import (
    FateReply,
    FateRequest,
    Handler,
    Leaving,
    PeerLink,
    PeerMessage,
    TransferGiven,
    TransferRequest,
    VersionNotice,
)

__all__ = [
    "FateReply",
    "FateRequest",
    "Handler",
    "Leaving",
    "PeerLink",
    "PeerMessage",
    "TransferGiven",
    "TransferRequest",
    "VersionNotice",
]
