"""The other routers: messages, heartbeats, the membership view."""

from ebonyhold.routers._fake import FakeLink, FakeNetwork
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
    "FakeLink",
    "FakeNetwork",
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
