"""The two flags, warm and draining, and what makes a server unready: a lost dependency or runs that err."""

from ringshift import interface as face
from ringshift.control.invocation import RUNNING, Inv
from ringshift.control.lines import Lines
from ringshift.control.measures import HEARD, MS, S

WINDOW = 1 * S  # the least time the warm test compares
FALLING = 0.95  # latency under this share of the window before still falls
CAP = 6 * S  # after which it is ready all the same: what is told and let in keeps to the ramp by itself
GRACE, TOLD = 3 * S, 0.8  # the document's wait from flag to closed door; share of it with a free value told
LAST = 60 * MS  # before the kill, what still runs is failed
RETURN = (1 * S, 3 * S)  # after this long, by chance, a server that saw its dependency fail tries again


class Flags(Lines):
    warm, warm_at, warm_last = False, 0, 0.0
    leaving_at = kill_at = silent_at = lost_until = 0

    def closed(self, inv: Inv) -> bool:
        late = inv.arrived > self.leaving_at + min(self.machine.grace, GRACE)
        return self.leaving_at > 0 and (late or self.now + self.latest(inv) >= self.kill_at - LAST)

    def leave(self, left: int, since: int) -> None:
        self.leaving_at, self.kill_at = self.now - since, self.now + left
        self.silent_at = round(self.now + min(self.machine.grace, GRACE) * TOLD)  # sent till then, it is run
        self.out.append(face.Log(f"leaving: {len(self.invs)} in hand, {left // MS} ms left"))

    def warm_up(self) -> None:
        age, few = self.now - self.born, self.warm_runs < HEARD
        over = age >= min(self.machine.ramp, CAP)
        # Few cores end few runs in a window: it lasts while any run, and nobody sends once none does.
        short = self.now - self.warm_at < WINDOW or (few and self.count[RUNNING] and not over)
        if self.warm or short:
            return
        mean = self.warm_sum / max(self.warm_runs, 1)
        if few or over or 0 < FALLING * self.warm_last <= mean:
            self.warm = True
            self.out.append(face.Log(f"warm after {age // MS} ms{', too few runs to judge' * few}"))
        self.warm_at, self.warm_last, self.warm_sum, self.warm_runs = self.now, mean, 0.0, 0

    def watch_dependency(self) -> None:
        bad = self.lost(self.calls_lost) or self.lost(self.runs_lost)
        if bad and self.now >= self.lost_until:
            self.out.append(face.Log("not ready: most recent calls or runs fail"))
            self.lost_until = self.now + self.random.randint(*RETURN)
        elif 0 < self.lost_until <= self.now:
            self.lost_until = 0
            self.out.append(face.Log("ready again: calls and runs end well, or are few"))

    def health(self) -> tuple[bool, bool]:
        """Good or bad, and whether checks are answered from store."""
        good = self.warm and not self.leaving_at and not self.lost_until
        return good, not good or self.slowness() < 2
