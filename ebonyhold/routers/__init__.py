"""Communication with the other routers: messages, heartbeats and membership."""

from ebonyhold.routers._envelope import Envelopes, OpenedMessage
from ebonyhold.routers._fake import FakeLink, FakeNetwork
from ebonyhold.routers._interface import (
    ConfigurationReply,
    ConfigurationRequest,
    Handler,
    PeerLink,
    TransferGiven,
    TransferRequest,
    VersionNotice,
)
from ebonyhold.routers._keys import KeyRing, PeerKey, parse_keys
from ebonyhold.routers._listing import PeerStatus
from ebonyhold.routers._network import PeerNetwork
from ebonyhold.routers._registry import PeerMessage, peer_message

__all__ = [
    "ConfigurationReply",
    "ConfigurationRequest",
    "Envelopes",
    "FakeLink",
    "FakeNetwork",
    "Handler",
    "KeyRing",
    "OpenedMessage",
    "PeerKey",
    "PeerLink",
    "PeerMessage",
    "PeerNetwork",
    "PeerStatus",
    "TransferGiven",
    "TransferRequest",
    "VersionNotice",
    "parse_keys",
    "peer_message",
]
