"""A lease for a fleet-wide task: one holder at a time, acting only before its own deadline.

Decisions only: no I/O, no clock, no gevent. Facts come in as `Heard` with times in whole nanoseconds of
the holder's own monotonic clock; what to do goes out as `Effect` data for the keeper's client and the task.
The keeper is an etcd v3 member: the key of the task is created only if its create revision is 0, bound to a
lease of `ttl`; that create revision is the fencing token (docs/leases.md). Sources: etcd's lease and
transaction API; Burrows, "The Chubby lock service" (OSDI 2006), section 2.4, for sequencers; Kleppmann's
fencing tokens.

The rule of safety: a holder acts only before its deadline, `sent + ttl * (1 - drift) - margin`, where `sent`
is when the last grant or renewal that was answered *was sent*. The keeper started its time to live no earlier
than that, on a clock that runs at most `drift` faster than ours; so the keeper can't have let the lease go
before our deadline, and no other holder can have been granted the key. A holder that finds itself past its
deadline (a stall, a pause, a cut) is doubtful and halts before anything else; it acts again only after a
renewal sent after waking is answered with the key still at its token. While in doubt it asks whether the
key is still its own before it renews: it never keeps alive what it can't know that it holds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from ringshift.settings.terms import MS as MS
from ringshift.settings.terms import LeaseTerms as LeaseTerms
from ringshift.settings.terms import LeaseTermsError as LeaseTermsError
from ringshift.settings.terms import S as S

Phase = IntEnum("Phase", "SEEKING HOLDING DOUBTFUL RELEASED")
SEEKING, HOLDING, DOUBTFUL, RELEASED = Phase.SEEKING, Phase.HOLDING, Phase.DOUBTFUL, Phase.RELEASED


class News(Enum):
    """What a lease hears. GRANTED, RENEWED: answered, still before the deadline they give; STALE: answered,
    but that deadline has passed already; TAKEN: another holds the key; LOST: the keeper says the lease or the
    key at our token is gone; UNANSWERED: a request failed or timed out; FREED: the key was deleted."""

    TICK = 1
    GRANTED = 2
    TAKEN = 3
    RENEWED = 4
    STALE = 5
    LOST = 6
    UNANSWERED = 7
    FREED = 8
    LATE = 9  # the deadline has passed: found by a tick, never told
    LEAVE = 10
    STANDING = 11  # a doubtful holder's question answered: the key is there still, at our token


# The specification: phases | news | next phase | effects. What is missing can't happen in that phase
# (answers to requests that a phase does not send) and changes nothing.
SPECIFICATION = """
SEEKING                    | TICK       | SEEKING  | seek_when_due
SEEKING                    | GRANTED    | HOLDING  | take act
SEEKING                    | STALE      | DOUBTFUL | take check
SEEKING                    | TAKEN      | SEEKING  | wait_out watch
SEEKING                    | FREED      | SEEKING  | seek_soon
SEEKING                    | UNANSWERED | SEEKING  | wait_out
HOLDING                    | TICK       | HOLDING  | renew_when_due
HOLDING                    | RENEWED    | HOLDING  | extend
HOLDING                    | STALE      | DOUBTFUL | halt check
HOLDING                    | LATE       | DOUBTFUL | halt check_when_due
HOLDING DOUBTFUL           | LOST FREED | SEEKING  | halt drop seek_now
HOLDING DOUBTFUL           | UNANSWERED | =        | unasked
DOUBTFUL                   | TICK       | DOUBTFUL | check_when_due
DOUBTFUL                   | STANDING   | DOUBTFUL | renew
DOUBTFUL                   | RENEWED    | HOLDING  | extend act
DOUBTFUL                   | STALE      | DOUBTFUL | check
HOLDING DOUBTFUL           | LEAVE      | RELEASED | halt revoke
SEEKING                    | LEAVE      | RELEASED |
RELEASED                   | GRANTED STALE | RELEASED | revoke_granted
"""
TABLE: dict[tuple[Phase, News], tuple[Phase | None, list[str]]] = {
    (Phase[phase], News[name]): (None if row[2].strip() == "=" else Phase[row[2].strip()], row[3].split())
    for row in (line.split("|") for line in SPECIFICATION.strip().splitlines())
    for phase in row[0].split()
    for name in row[1].split()
}


@dataclass(frozen=True)
class Heard:
    """One fact. `sent`: when the answered request was sent, on our clock; `lease`, `token`: the keeper's
    lease id and the key's create revision in a grant; `revision`: the keeper's revision to watch from, or
    of FREED, the revision at which the key was deleted."""

    news: News
    now: int
    sent: int = 0
    lease: int = 0
    token: int = 0
    revision: int = 0


@dataclass(frozen=True)
class Effect:
    """What to do. `kind` is one of: seek (grant a lease, create the key under it if absent), renew (keep the
    lease alive and read the key), check (read the key only), revoke, watch (the key's deletion, from
    `revision`), act (the task may act with `token` until `until`), halt (it must stop acting now), record (a
    lease change for the records)."""

    kind: str
    lease: int = 0
    token: int = 0
    until: int = 0
    revision: int = 0
    note: str = ""


@dataclass
class Lease:
    """One holder's lease of one task's key. `chance` is a draw in [0, 1) per call that needs one."""

    terms: LeaseTerms
    phase: Phase = SEEKING
    lease: int = 0  # the keeper's lease id while held
    token: int = 0  # the key's create revision while held
    deadline: int = 0  # before it the holder may act; after it, doubtful
    asked: int | None = None  # when the request in flight was sent, if one is
    next_ask: int = 0  # when to send the next seek or renewal
    handicap: int = 0  # how long a freed key is left to others first (ringshift/fleet/placement.py)
    out: list[Effect] = field(default_factory=list)

    def hear(self, heard: Heard, chance: float = 0.0) -> list[Effect]:
        """Takes one fact and returns what to do, in order. Unknown pairs change nothing."""
        self.out = []
        if heard.news in (News.GRANTED, News.RENEWED) and heard.sent + self.terms.acting_time <= heard.now:
            heard = Heard(News.STALE, heard.now, heard.sent, heard.lease, heard.token, heard.revision)
        if heard.news is News.TICK and self.phase is HOLDING and heard.now >= self.deadline:
            heard = Heard(News.LATE, heard.now)
        if heard.news is News.FREED and self.token and heard.revision < self.token:
            return []  # a watch's news of an older key, come after this holder created its own
        if (self.phase, heard.news) not in TABLE:
            return []
        phase, effects = TABLE[self.phase, heard.news]
        old = self.phase
        self.phase = old if phase is None else phase
        for effect in effects:
            getattr(self, effect)(heard, chance)
        if self.phase is not old:
            self.out.append(
                Effect(
                    "record",
                    self.lease,
                    self.token,
                    self.deadline,
                    note=f"{old.name} -> {self.phase.name} on {heard.news.name}",
                )
            )
        return self.out

    def acting(self, now: int) -> bool:
        """Whether the task may act at `now`: holding, and before the deadline."""
        return self.phase is HOLDING and now < self.deadline

    def picture(self) -> dict[str, int | str | None]:
        return {
            "phase": self.phase.name,
            "lease": self.lease,
            "token": self.token,
            "deadline": self.deadline,
            "asked": self.asked,
            "next_ask": self.next_ask,
        }

    # Effects, named in the specification.

    def seek_when_due(self, heard: Heard, chance: float) -> None:
        if self.asked is not None and heard.now - self.asked < self.terms.answer_within:
            return
        if heard.now >= self.next_ask:
            self.seek_now(heard, chance)

    def seek_now(self, heard: Heard, chance: float) -> None:
        self.asked = heard.now
        self.out.append(Effect("seek"))

    def seek_soon(self, heard: Heard, chance: float) -> None:
        if self.handicap:
            self.asked, self.next_ask = None, heard.now + self.handicap
        else:
            self.seek_now(heard, chance)

    def wait_out(self, heard: Heard, chance: float) -> None:
        self.asked = None
        self.next_ask = heard.now + self.terms.seek_after + int(self.terms.seek_after * chance)

    def watch(self, heard: Heard, chance: float) -> None:
        self.out.append(Effect("watch", revision=heard.revision + 1))

    def take(self, heard: Heard, chance: float) -> None:
        self.lease, self.token = heard.lease, heard.token
        self.extend(heard, chance)

    def extend(self, heard: Heard, chance: float) -> None:
        # Only a renewal's own send time counts: an answer that took long gives no more time (docs/leases.md).
        self.deadline = max(self.deadline, heard.sent + self.terms.acting_time)
        self.asked = None
        self.next_ask = heard.sent + self.terms.renew_after

    def act(self, heard: Heard, chance: float) -> None:
        self.out.append(Effect("act", self.lease, self.token, self.deadline))

    def halt(self, heard: Heard, chance: float) -> None:
        self.out.append(Effect("halt", self.lease, self.token))

    def renew_when_due(self, heard: Heard, chance: float) -> None:
        if self.asked is not None and heard.now - self.asked < self.terms.answer_within:
            return
        if heard.now >= self.next_ask:
            self.renew(heard, chance)

    def check_when_due(self, heard: Heard, chance: float) -> None:
        if self.asked is None or heard.now - self.asked >= self.terms.answer_within:
            self.check(heard, chance)

    def check(self, heard: Heard, chance: float) -> None:
        # Not a renewal: one whose answer can't come back (a network cut one way) would keep the key from
        # every other holder for as long as the cut lasts, while this one may not act.
        self.asked = heard.now
        self.out.append(Effect("check", self.lease, self.token))

    def renew(self, heard: Heard, chance: float) -> None:
        self.asked = heard.now
        self.out.append(Effect("renew", self.lease, self.token))

    def unasked(self, heard: Heard, chance: float) -> None:
        self.asked = None  # the next tick may ask again

    def drop(self, heard: Heard, chance: float) -> None:
        self.lease, self.token, self.deadline = 0, 0, 0

    def revoke(self, heard: Heard, chance: float) -> None:
        self.out.append(Effect("revoke", self.lease, self.token))
        self.deadline = 0

    def revoke_granted(self, heard: Heard, chance: float) -> None:
        # A seek sent before the notice to leave was granted after it: the key would stay taken for a ttl.
        self.out.append(Effect("revoke", heard.lease, heard.token))
