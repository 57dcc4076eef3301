"""How long two backends may act on rules that contradict each other, and how long a publisher waits.

Decisions only. Times in whole nanoseconds; `drift_ppm`: every clock gains or loses at most that many
millionths of true time.
"""

from __future__ import annotations

from ringshift.settings.terms import MILLION as MILLION
from ringshift.settings.terms import MS as MS
from ringshift.settings.terms import ReadingTerms as ReadingTerms
from ringshift.settings.terms import ReadingTermsError as ReadingTermsError
from ringshift.settings.terms import S as S


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
