"""Models of the core protocols, for explicit-state checking.

They need minicheck, which only the development requirements bring.
"""

from ebonyhold.models._billing import BillingState, build_billing
from ebonyhold.models._checking import (
    FAMILIES,
    Family,
    Guard,
    Model,
    Result,
    Step,
    Trace,
    Transition,
    check,
    transitions,
)
from ebonyhold.models._claims import ClaimState, build_claims
from ebonyhold.models._configuration import ConfigState, build_configuration
from ebonyhold.models._grants import GrantState, build_grants
from ebonyhold.models._leases import LeaseState, build_leases
from ebonyhold.models._orders import OrderState, build_orders

__all__ = [
    "FAMILIES",
    "BillingState",
    "ClaimState",
    "ConfigState",
    "Family",
    "GrantState",
    "Guard",
    "LeaseState",
    "Model",
    "OrderState",
    "Result",
    "Step",
    "Trace",
    "Transition",
    "build_billing",
    "build_claims",
    "build_configuration",
    "build_grants",
    "build_leases",
    "build_orders",
    "check",
    "transitions",
]
