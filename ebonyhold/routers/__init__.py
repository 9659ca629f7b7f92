"""The other routers: messages, heartbeats, the membership view."""

from ebonyhold.routers._interface import (
    ConfigurationReply,
    ConfigurationRequest,
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
    "ConfigurationReply",
    "ConfigurationRequest",
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
