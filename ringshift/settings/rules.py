"""The table [rules] of the operators' file: how this backend reads the rulebook (docs/rulebook.md).

Two figures follow from `life`, `margin` and `drift`, which must be the same in every backend and publisher:

- B = life - margin / (1 - drift): for how long two backends may act on rules that contradict each other, at
  most; 7.495 s with the defaults (ringshift/rulebook/bound.py). 0 between backends that are heard.
- (life + margin) * (1 + drift): how long a publication waits for a silent backend; 8.585 s.
"""

from __future__ import annotations

import msgspec

from ringshift.settings.terms import MS, ReadingTerms, ReadingTermsError

NAMES = {"life": "life_ms", "margin": "margin_ms", "refresh": "refresh_ms"}


class RulesReading(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    installation: str
    """A rulebook's file: by its `alone` this backend acts until it has heard of any version."""
    place: str = ""
    """Where this backend serves, as rulebooks name it; empty where they name no places."""
    head_start: str = ""
    """A file on a lasting disk for the last version in force; empty where no disk lasts."""
    life_ms: int = 8_000
    """Of a reading lease, from a confirmation's sending."""
    margin_ms: int = 500
    """Taken off each lease, for a step under way to end."""
    drift_ppm: int = 10_000
    """How much any clock may gain or lose, in millionths of true time."""
    refresh_ms: int = 1_000
    """Between two confirmations."""
    answer_within_ms: int = 1_000
    """A confirmation unanswered this long is given up."""
    warn: bool = False
    """Answers carry Deprecation, Sunset and Link where a timeline of the rulebook retires their operation;
    off where callers know no such fields, and then no timeline turns anyone away."""

    def __post_init__(self) -> None:
        if not self.installation:
            raise ValueError("installation: empty; a backend needs the rules it keeps alone")
        if len(self.place) > 256 or not self.place.isprintable():
            raise ValueError(f"place: {self.place[:40]!r} is not up to 256 printable characters")
        if self.head_start == self.installation:
            raise ValueError("head_start: the file of installation; it would be written over")
        terms = self.terms()  # refused here, by field, rather than when the first confirmation is due
        if not 0 < self.answer_within_ms * MS < terms.acting_time:
            raise ValueError(
                f"answer_within_ms: {self.answer_within_ms}; above 0 and under the "
                f"{terms.acting_time // MS} ms left to act"
            )

    def terms(self) -> ReadingTerms:
        try:
            return ReadingTerms(self.life_ms * MS, self.margin_ms * MS, self.drift_ppm, self.refresh_ms * MS)
        except ReadingTermsError as wrong:
            field, _, told = str(wrong).partition(": ")
            raise ValueError(f"{NAMES.get(field, field)}: {told}") from None

    @property
    def answer_within(self) -> int:
        """Nanoseconds."""
        return self.answer_within_ms * MS
