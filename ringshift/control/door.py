"""What callers are told: the free value, refusals with pause and wish, readiness, the life of connections."""

from ringshift import interface as face
from ringshift.control.connections import Connections
from ringshift.control.invocation import Inv, State
from ringshift.control.lines import CALM
from ringshift.control.measures import DecayingSum, S
from ringshift.interface import Advert, Effect

SOUGHT = 0.4  # share of what may be held at which the door is neither opened nor shut further
GAIN = 0.1  # of the way there at each beat: half open after some 0.7 s of a full line, as callers hear late
AJAR = 0.3  # a caller that hears nothing for a while forgets what it was told: it must go on trying


class Door(Connections):
    def __init__(self, machine: face.Machine, seed: int) -> None:
        super().__init__(machine, seed)
        self.open, self.advertised, self.full, self.unread = 1.0, -1.0, False, DecayingSum(1 * S)
        self.shown = (True, False, 0)

    def throttle(self, inv: Inv) -> None:
        """A door long half shut tells of a fleet without room: the next server would read it in vain, as what
        is beyond a share. By chance: one slow alone shuts its door as well, and others could run it."""
        self.within.add(self.now, not inv.over)
        if self.rations and self.limited() < self.limit and not inv.ruled:
            inv.line.missed.add(self.now, 1.0)
        longest, late = self.machine.longest_pause, self.now + self.latest(inv) > inv.goal
        give_up = not self.leaving_at and (late or inv.over or self.random.random() > self.open**2)
        excess = max(round(self.wait() - CALM * min(map(self.patience, self.lines))), 0)
        pause = 0 if inv.final else longest if self.leaving_at else 0 if late else min(excess, longest)
        self.out.append(face.Throttle(inv.id, pause, give_up or inv.final, inv.ruled or inv.final, inv.final))

    def end(self, inv: Inv) -> None:
        """An error is tried again in vain; an idempotent one may be turned away with the wish not to."""
        safe = inv.line.op.effect is Effect.IDEMPOTENT
        self.out.append(face.Throttle(inv.id, 0, True) if safe else face.Fail(inv.id))

    def invite(self) -> None:
        """How far the door stands open to callers, in steps by ratio: where each may go elsewhere, all doors
        must be nearly shut before one gives up. What lies unread counts, as reading it is paid for."""
        pressure = min((self.wait() + self.unread.mean(self.now)) / min(map(self.patience, self.lines)), 2.0)
        self.open = min(max(self.open * (1 + GAIN * (SOUGHT - pressure)), AJAR), 1.0)

    def show(self) -> None:
        if (shown := (*self.health(), self.idle_life())) != self.shown:
            self.shown = shown
            self.out += [face.Readiness(*shown[:2]), face.CloseIdle(shown[2])]
        if (min(map(self.level, self.lines)) >= 1) != self.full:
            self.full = not self.full
            self.out.append(face.Log("overload: line full" if self.full else "overload: line open"))
        told = self.open * self.speed()  # or the cold are given what the warm can do
        share, kind = 0.0 if 0 < self.silent_at <= self.now else told, self.machine.advert
        amount = self.credit(share) if kind is Advert.CREDIT else 1 - share if kind is Advert.LEVEL else share
        if kind is not Advert.NONE and abs(amount - self.advertised) > 0.1 * max(amount, self.advertised):
            self.advertised = amount
            self.out.append(face.Advertise(amount))

    def credit(self, share: float) -> float:
        """A caller's part of what is run and held; one that comes twice in a row tells how many, no more than
        told. A part under one has callers skip idle servers; cold cores ask half of what they survive."""
        mean = sum(line.core.mean(self.now) for line in self.lines) / len(self.lines)
        total = self.limited() * (1 + min(map(self.patience, self.lines)) / mean)
        total += self.count[State.STANDING] + self.count[State.CALLING]
        part = share * max(2 * total * max(self.same_caller.mean(self.now), self.same_caller.prior), 1.0)
        return min(part, self.open * self.crowd() / 2 * self.same_caller.prior) if self.speed() < 1 else part
