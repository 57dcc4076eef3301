"""What a timeline asks for before anyone is turned away, and before its ramp may go on: typed TOML.

Decisions only. Shares are fractions from 0 to 1 in the document and whole millionths in the decisions; spans
are whole seconds there and nanoseconds here.
"""

from __future__ import annotations

import msgspec

S = 1_000_000_000
WHOLE = 1_000_000  # a share of one, in millionths


def millionths(share: float) -> int:
    return round(share * WHOLE)


def fraction(field: str, share: float, least: float = 0.0) -> None:
    """Raises ValueError naming the field."""
    if not least <= share <= 1:
        raise ValueError(f"{field}: {share}; from {least:g} to 1")


class Floor(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """No caller is turned away before it was warned on `answers` answers over `over_s` seconds."""

    answers: int = 20
    over_s: int = 14 * 86_400
    clocks_apart_s: int = 5
    """By how much the backends' clocks may differ: the first and the last warning may come from two."""

    def __post_init__(self) -> None:
        if self.answers < 1:
            raise ValueError(f"answers: {self.answers}; at least 1")
        if self.over_s < 0:
            raise ValueError(f"over_s: {self.over_s}; not below 0")
        if self.clocks_apart_s < 0:
            raise ValueError(f"clocks_apart_s: {self.clocks_apart_s}; not below 0")

    @property
    def span(self) -> int:
        """Nanoseconds from the first to the last warning, as two clocks tell them."""
        return (self.over_s + self.clocks_apart_s) * S


class Conditions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Over the fleet, by fresh figures only. Between `errors_below` and `errors_above` nothing changes: that
    gap and the dwell times keep a ramp from going to and fro."""

    successor_share: float = 0.8
    """Of what a step plans to be the successor's, the part that it must serve before the next step."""
    errors_below: float = 0.01
    """Of the successor's answers: the ramp goes on, or on again, only below it."""
    errors_above: float = 0.03
    """The ramp pauses at it and above."""
    errors_back: float = 0.10
    """The ramp steps back at it and above."""
    moved: float = 0.8
    """Of the callers that a step turns away, the part that must have been served by the successor."""
    least_answers: int = 100
    """Of the successor over the fleet, in the stretch told of: below it its errors prove nothing."""
    heard: float = 0.9
    """Of the known backends, the part whose figures must be fresh."""
    fresh_s: int = 30
    """How old a figure may be."""
    dwell_s: int = 300
    """For how long one finding must stand before it pauses the ramp or lets it go on again."""
    back_after_s: int = 60
    """For how long `errors_back` must be reached before a step is taken back."""

    def __post_init__(self) -> None:
        for name in ("successor_share", "errors_below", "errors_above", "errors_back", "moved"):
            fraction(name, getattr(self, name))
        fraction("heard", self.heard)
        if self.heard <= 0.5:
            raise ValueError(f"heard: {self.heard}; above 0.5, or one half moves a ramp without the other")
        if not 0 < self.errors_below < self.errors_above <= self.errors_back:
            raise ValueError(
                f"errors_above: {self.errors_above}; above errors_below, {self.errors_below}, and at most "
                f"errors_back, {self.errors_back}"
            )
        for name in ("least_answers", "fresh_s"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: {getattr(self, name)}; at least 1")
        for name in ("dwell_s", "back_after_s"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: {getattr(self, name)}; not below 0")

    @property
    def fresh(self) -> int:
        return self.fresh_s * S

    @property
    def dwell(self) -> int:
        return self.dwell_s * S

    @property
    def back_after(self) -> int:
        return self.back_after_s * S
