"""What is held: how long it waits, whom a full line turns away, and whose turn it is."""

from ringshift import interface as face
from ringshift.control.calls import Calls
from ringshift.control.invocation import HELD, QUOTA_SPAN, Inv, Line
from ringshift.control.measures import HOUR, DecayingSum, S

HOLD = 0.6  # share of the time an objective leaves beside the run that may be spent held
CALM = 0.3  # share of that under which a short line is no reason to turn anything away
UNEVEN = 1.5  # callers don't spread a customer's work evenly over the fleet


class Lines(Calls):
    def __init__(self, machine: face.Machine, seed: int) -> None:
        super().__init__(machine, seed)
        self.heaviest = max(line.weight for line in self.lines)
        self.turn, self.admitted = 0.0, [DecayingSum(QUOTA_SPAN) for _ in machine.customers]

    def wait(self, line: Line | None = None) -> float:
        """How long what is held takes to get to the cores beside what fits on free ones, or a line's last:
        it waits only for what the turns of other lines let go before it."""
        if not (held := self.count[HELD]):
            return 0.0
        limit = self.limited()
        beyond = max(held - max(limit - self.on_cores(), 0), 0) / held
        cores = [(x, x.work * x.core.mean(self.now), max(x.turn, self.turn)) for x in self.lines]
        last = next((turn + work / x.weight for x, work, turn in cores if x is line), HOUR)
        work = beyond * sum(min(work, max(last - turn, 0) * x.weight) for x, work, turn in cores)
        cores_wait = work * self.slowness() * (1 - self.at_disk.mean(self.now)) / limit
        return max(cores_wait, self.call_wait() if line is None or line.op.calls else 0.0)

    def patience(self, line: Line) -> float:
        """How long work may be held before the line's objective is in danger."""
        objective, run = line.op.objective, line.run.mean(self.now) * self.slowness()
        return max(objective - run, objective * 0.1) * HOLD

    def level(self, line: Line) -> float:
        """The rank under which work is turned away: 0 with a short line, 1 where it eats the objective. One
        alone, half of the patience on two cores, is no line where nothing worth more can come."""
        alone = line.core.mean(self.now) / self.limited() if line.weight >= self.heaviest else 0.0
        beyond = self.wait(line) - alone
        return min(max(beyond / self.patience(line) - CALM, 0.0) / (1 - CALM), 1) if beyond > 0 else 0.0

    def worth_rank(self, inv: Inv, news: face.Arrived) -> float:
        """A customer beyond its part of the fleet's quota ranks as what its traffic is worth there."""
        if news.customer < 0:
            return inv.rank
        part = self.machine.customers[news.customer].quota_per_s / self.machine.fleet * QUOTA_SPAN / S
        inv.over = self.admitted[news.customer].sum(self.now) > UNEVEN * part + 1
        return inv.rank * self.machine.over_quota_share if inv.over else inv.rank
