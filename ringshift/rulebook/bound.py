"""How long two backends may act on rules that contradict each other, and how long a publisher waits.

Decisions only. Times in whole nanoseconds; `drift_ppm`: every clock gains or loses at most that many
millionths of true time.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
S = 1_000_000_000
MILLION = 1_000_000


class ReadingTermsError(ValueError):
    """Terms that can't be kept; the message names the field."""


@dataclass(frozen=True)
class ReadingTerms:
    """`life`: of a reading lease; `margin`: taken off, for a step under way to end; `refresh`: how often a
    reader confirms."""

    life: int = 8 * S
    margin: int = 500 * MS
    drift_ppm: int = 10_000
    refresh: int = 1 * S

    def __post_init__(self) -> None:
        if self.life <= 0:
            raise ReadingTermsError(f"life: {self.life} ns; above 0")
        if not 0 <= self.drift_ppm < MILLION // 2:
            raise ReadingTermsError(f"drift_ppm: {self.drift_ppm}; from 0 to under 500000")
        if self.margin < 0:
            raise ReadingTermsError(f"margin: {self.margin} ns is below 0")
        if self.refresh <= 0 or self.acting_time <= 2 * self.refresh:
            raise ReadingTermsError(
                f"refresh: {self.refresh} ns; two must fit into the {self.acting_time} ns left to act"
            )

    @property
    def acting_time(self) -> int:
        """Nanoseconds of the reader's clock, from a confirmation's sending, for which its answer holds."""
        return self.life - -(-self.life * self.drift_ppm // MILLION) - self.margin

    @property
    def surely_ended(self) -> int:
        """Nanoseconds of the publisher's clock from reading a confirmation until that one gives no more time.

        Never shorter in true time than `life + margin`, on a clock that gains all of the drift; the reader's
        end is at most `life - margin` of true time after the sending, which was before the reading.
        """
        most = self.life + self.margin
        return most + -(-most * self.drift_ppm // MILLION)


def bound(life: int, margin: int, drift_ppm: int) -> int:
    """B: the most nanoseconds of true time for which two backends act on rules that contradict.

    Let the switch from a to b be the instant t at which the keeper takes b as in force. Every confirmation
    that the keeper handles after t is answered with b; so one answered with a was sent before t. Its reader
    acts by a until `life * (1 - drift) - margin` of its own clock has passed since the sending; a clock that
    loses all of the drift takes `(life * (1 - drift) - margin) / (1 - drift)` of true time for it. No one
    acts by b before t. So B = life - margin / (1 - drift), rounded up: 7.494949495 s for 8 s, 500 ms, 1%.

    That is for readers that go from a to b at once. Those that act by the meet from their acknowledgement
    on never act by a while another acts by b: b is in force only when each acknowledged or surely ended, so
    all are by a or the meet before t, by the meet or b after it, and B is 0 (docs/rulebook.md).

    A stop between the last look at the clock and the act's effect is covered up to `margin` only. Raises
    ReadingTermsError where the terms leave no time to act.
    """
    ReadingTerms(life, margin, drift_ppm, refresh=1)
    return life - margin * MILLION // (MILLION - drift_ppm)
