"""The terms of leases, budgets and reading leases, as the operators state them: each checked as a whole.

Words only, shared by the settings that read them and the decisions that keep them (ringshift/fleet,
ringshift/rulebook). Times in whole nanoseconds, drift in millionths.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import floor, inf

from ringshift.interface import Unit

S = 1_000_000_000
MS = 1_000_000
MILLION = 1_000_000


class LeaseTermsError(ValueError):
    """Terms that leave no time to act; the message names the field."""


@dataclass(frozen=True)
class LeaseTerms:
    """How a lease is held. Times in nanoseconds, `drift_ppm` in millionths of a second a second.

    `renew_share`: a renewal is sent this share of the time to live after the last one was sent (etcd's own
    clients use a third). `seek_after`: how long a holder that found the key taken waits before it looks
    again, when no watch told it that the key was freed; drawn between it and twice it.
    """

    ttl: int = 10 * S
    margin: int = 500 * MS
    drift_ppm: int = 10_000  # 1%: a clock at most that much faster than the keeper's
    renew_share: float = 1 / 3
    seek_after: int = 1 * S
    answer_within: int = 2 * S  # a request unanswered this long is given up and may be sent again
    grace: int = 4 * S  # from the notice to leave to the kill
    leave_share: float = 0.25  # of the grace, for letting the lease go; the rest is the task's

    def __post_init__(self) -> None:
        if self.ttl < S or self.ttl % S:
            raise LeaseTermsError(f"ttl: {self.ttl} ns; etcd grants whole seconds, at least one")
        if not 0 <= self.drift_ppm < MILLION // 2:
            raise LeaseTermsError(f"drift_ppm: {self.drift_ppm}; from 0 to under 500000")
        if self.margin < 0:
            raise LeaseTermsError(f"margin: {self.margin} ns is below 0")
        if self.acting_time <= self.renew_after:
            raise LeaseTermsError(
                f"margin: {self.margin} ns with drift_ppm {self.drift_ppm} leaves {self.acting_time} ns to "
                f"act of a ttl of {self.ttl} ns, not more than the {self.renew_after} ns before a renewal"
            )
        if not 0 < self.renew_share < 1:
            raise LeaseTermsError(f"renew_share: {self.renew_share}; between 0 and 1")
        if not 0 < self.answer_within <= self.renew_after:
            raise LeaseTermsError(f"answer_within: {self.answer_within} ns; above 0, at most one renewal's")
        if not 0 < self.leave_share <= 1:
            raise LeaseTermsError(f"leave_share: {self.leave_share}; above 0, at most 1")
        if self.grace <= 0:
            raise LeaseTermsError(f"grace: {self.grace} ns; above 0")

    @property
    def acting_time(self) -> int:
        """Nanoseconds after a renewal's send time during which its holder may act."""
        return self.ttl - self.ttl * self.drift_ppm // MILLION - self.margin

    @property
    def leave_within(self) -> int:
        """Nanoseconds after the notice to leave in which the keeper's answer to the release is waited for."""
        return int(self.grace * self.leave_share)

    @property
    def renew_after(self) -> int:
        return int(self.ttl * self.renew_share)


class BudgetError(ValueError):
    """Terms that can't be kept; the message names the field."""


@dataclass(frozen=True)
class Budget:
    """`whole` of calls under way at once (CALLS), invocations a second of one operation (RATE), or repeated
    attempts a second (RETRIES). `safe`: what a backend may use without a grant; `most`: the largest fleet
    that is ever alive at once, which the operators promise; `weight`: this backend's, in the division. Times
    in nanoseconds; `longest`: how long one use may last, 0 where a use is over at once (RATE, RETRIES)."""

    name: str
    unit: Unit
    whole: float
    most: int
    safe: float = 0.0
    weight: float = 1.0
    operation: str = ""
    life: int = 8 * S
    refresh: int = 1 * S
    margin: int = 250 * MS
    longest: int = 2 * S
    drift_ppm: int = 10_000

    def __post_init__(self) -> None:
        if not 0 < self.whole < inf:
            raise BudgetError(f"whole: {self.whole}; above 0")
        if self.most < 1:
            raise BudgetError(f"most: {self.most}; at least 1")
        if not 0 <= self.safe < inf:
            raise BudgetError(f"safe: {self.safe}; not below 0")
        if self.unit is Unit.CALLS and (self.whole % 1 or self.safe % 1):
            raise BudgetError(f"whole: {self.whole} with safe {self.safe}; calls are whole numbers")
        if self.safe * self.most > self.whole:
            raise BudgetError(
                f"whole: {self.whole} is less than the safe shares of {self.most} backends, "
                f"{self.safe * self.most}"
            )
        if not 0 < self.weight < inf:
            raise BudgetError(f"weight: {self.weight}; above 0")
        if not 0 <= self.drift_ppm < MILLION // 2:
            raise BudgetError(f"drift_ppm: {self.drift_ppm}; from 0 to under 500000")
        if self.margin < 0 or self.longest < 0:
            raise BudgetError(f"margin: {self.margin} ns, longest {self.longest} ns; not below 0")
        if self.refresh <= 0 or self.usable <= 2 * self.refresh:
            raise BudgetError(
                f"refresh: {self.refresh} ns; two must fit into what a grant of {self.life} ns "
                f"leaves beside margin and longest, {self.usable} ns"
            )

    @property
    def usable(self) -> int:
        """Nanoseconds after an ask's sending during which its grant lets something begin."""
        return self.life - self.margin - self.longest

    @property
    def counted(self) -> int:
        """Nanoseconds on the divider's clock after it read an ask until the ask's grant has surely ended."""
        return self.drifted(self.life)

    def drifted(self, life: int) -> int:
        return life + life * self.drift_ppm // MILLION

    @property
    def pool(self) -> float:
        """What is divided: the whole less the safe shares of the largest fleet."""
        return self.whole - self.safe * self.most

    def whole_units(self, amount: float) -> float:
        return float(floor(amount + 1e-9)) if self.unit is Unit.CALLS else amount


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
