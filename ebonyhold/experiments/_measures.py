"""What the figures of runs are called, and which way is better."""

from __future__ import annotations

from attrs import frozen


@frozen
class Measure:
    """How one figure is shown.

    Attributes:
        label: What it is called.
        unit: Its unit; may be empty.
        scale: What a stored value is multiplied with to be shown.
        digits: Decimals shown.
        less_is_better: None where neither is better.
    """

    label: str
    unit: str = ""
    scale: float = 1.0
    digits: int = 1
    less_is_better: bool | None = True

    @property
    def heading(self) -> str:
        """The label with the unit."""
        return f"{self.label}, {self.unit}" if self.unit else self.label

    def number(self, value: float) -> str:
        """Write a stored value without its unit."""
        return f"{value * self.scale:,.{self.digits}f}"

    def show(self, value: float) -> str:
        """Write a stored value with its unit.

        >>> Measure("Refused", "%", 100).show(0.125)
        '12.5 %'
        """
        return f"{self.number(value)} {self.unit}".rstrip()


MILLISECONDS = 1000.0
PERCENT = 100.0


def _time(label: str) -> Measure:
    return Measure(label, "ms", MILLISECONDS)


def _part(label: str, *, less_is_better: bool | None = True) -> Measure:
    return Measure(label, "%", PERCENT, 2, less_is_better)


def _count(label: str, *, less_is_better: bool | None = True) -> Measure:
    return Measure(label, "", 1.0, 0, less_is_better)


MEASURES = {
    "requests": _count("Requests", less_is_better=None),
    "refused": _part("Refused"),
    "false_refusals": _part("False refusals"),
    "false_tokens": _part("Tokens falsely refused"),
    "overspend": Measure("Overspend", "tokens", digits=0),
    "stranded": Measure("Stranded at worst", "tokens", digits=0),
    "idle": Measure("Idle in grants", "tokens", digits=0, less_is_better=None),
    "added_p50": _time("Added latency p50"),
    "added_p95": _time("Added latency p95"),
    "writes": Measure("Table row writes", "/s", digits=2),
    "discrepancies": _count("Rows that do not add up"),
    "goodput": Measure("Goodput", "/s", digits=2, less_is_better=False),
    "offered": Measure("Offered", "/s", digits=2, less_is_better=None),
    "first_p50": _time("First token p50"),
    "first_p95": _time("First token p95"),
    "first_p99": _time("First token p99"),
    "gap_p50": _time("Gap p50"),
    "gap_p95": _time("Gap p95"),
    "gap_p99": _time("Gap p99"),
    "reuse": _part("Prompt reuse", less_is_better=False),
    "imbalance": Measure("Imbalance", digits=2),
    "resumed": _count("Streams resumed elsewhere", less_is_better=None),
    "late_work": _count("Late work at leaving engines"),
    "emptied": Measure("Longest until empty", "s"),
    "tries": _count("Tries", less_is_better=None),
    "whole": _count("Whole answers", less_is_better=None),
    "not_run": _count("Refused as not run", less_is_better=None),
    "other_refusals": _count("Other refusals", less_is_better=None),
    "cut": _count("Streams cut"),
    "promises_broken": _count("Promises broken"),
}
"""All figures by their names in the results."""
