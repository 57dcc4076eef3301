"""The loop: news in, actions out; who is let in, and who begins next."""

from collections.abc import Callable, Iterable
from heapq import heappop

from ringshift import interface as face
from ringshift.control.door import Door
from ringshift.control.invocation import HELD, PLAIN_NEWS, RUNNING, Inv, News
from ringshift.control.measures import BEAT, MS
from ringshift.control.readiness import LAST
from ringshift.interface import Effect, Outcome

PROBE = 0.1  # of what arrives is still run while most runs err, to see when that ends


class Controller(Door):
    def decide(self, now: int, inputs: Iterable[face.Input]) -> list[face.Action]:
        self.now, self.out, self.forgotten = now, list[face.Action](), list[int]()
        if self.born < 0:
            self.born, self.warm_at, self.warm = now, now, not self.machine.cold
            self.out.append(face.Wake(0, BEAT))
            self.show()
        for news in inputs:
            HANDLERS[type(news)](self, news)
        self.ring()
        self.make_room()
        self.fill()
        return self.out

    def on_arrived(self, news: face.Arrived) -> None:
        now, line = self.now, self.lines[news.operation]
        self.invs[news.inv] = inv = Inv(news, line, now)
        self.count[HELD], line.work = self.count[HELD] + 1, line.work + inv.size
        self.same_caller.add(now, news.caller == self.last_caller)
        self.unread.add(now, min(news.unread, line.op.objective))
        self.memory, self.last_caller = self.memory + inv.kb, news.caller
        kept = news.repeats is not None and line.op.effect is Effect.TOKENED  # what ran is never turned away
        if not kept and (self.closed(inv) or (self.ruled and self.ruled_out(inv, news.lot))):
            self.step_to(inv, News.TURN)
        elif kept or (news.repeats is not None and self.machine.fresh):
            self.step_to(inv, News.REPEAT)
            self.alarm(inv.due - BEAT, inv, News.DUE)
        elif self.lost(self.runs_lost) and self.random.random() > PROBE:
            self.step_to(inv, News.TURN)  # runs that err at once look the quickest and draw the fleet's work
        elif now >= inv.due - BEAT or (not line.op.late_share and now + self.latest(inv) > inv.goal):
            self.step_to(inv, News.LATE)
        elif (
            self.worth_rank(inv, news) < self.level(line)
            or inv.kb * self.machine.run_factor > self.room
            or (inv.over and self.open < 1.0)
            or (self.speed() < 1.0 and len(self.invs) > self.crowd())
            or self.rationed(face.Unit.RATE, news.operation)
            or (self.ruled and self.outpaced(inv))
        ):
            self.step_to(inv, News.TURN)  # the rates were asked last: they take a token
        else:
            if news.customer >= 0:
                self.admitted[news.customer].add(now, 1.0)
            if line.op.effect is Effect.TOKENED and not self.remember(inv, line.op.window):
                self.step_to(inv, News.TURN)
                return
            line.turn = max(line.turn, self.turn)
            line.queue[inv.id] = inv
            self.alarm(inv.due - BEAT, inv, News.DUE)
            if line.op.late_share == 0:
                self.alarm(inv.goal - self.latest(inv), inv, News.LATE)

    def on_plain(self, news: face.Finished | face.CallerGone | face.CallWanted) -> None:
        if inv := self.invs.get(news.inv):
            moot, erred = (getattr(news, "outcome", None) is o for o in (Outcome.MOOT, Outcome.ERRORED))
            if not moot:  # what never ran tells nothing of runs: a bad client's requests all end so
                self.runs_lost.add(self.now, erred)
            self.step_to(inv, News.ERRED if moot or erred else PLAIN_NEWS[type(news)])

    def on_leaving(self, news: face.Leaving) -> None:
        self.leave(news.left, news.since)
        self.show()

    def on_timer(self, news: face.TimerFired) -> None:
        self.out.append(face.Wake(0, BEAT))
        wanting = dict(zip(self.machine.gauges, news.gauges, strict=False)).get("runnable")
        self.learn(self.machine.cores if wanting is None else wanting)
        for look in (self.invite, self.warm_up, self.watch_dependency, self.show):
            look()

    def ring(self) -> None:
        while self.entries and self.entries[0] + 20 * MS <= self.now:
            heappop(self.entries)
            self.memory -= self.machine.entry_kb
        while self.lingering and self.lingering[0] <= self.now:
            heappop(self.lingering)
        if self.leaving_at and self.now >= self.kill_at - LAST - BEAT:
            for left in list(self.invs.values()):
                self.step_to(left, News.DUE)
        for index, news in self.alarms.due(self.now):
            inv = self.invs.get(index)
            if inv and news is News.LATE and inv.state is RUNNING and self.now < inv.goal:
                self.alarm(inv.goal, inv, News.LATE)
            elif inv:
                self.step_to(inv, news)

    def fill(self) -> None:
        while self.at_call and (room := self.call_room()) > BEAT:
            self.at_call[0].call_by = self.now + room
            self.step_to(self.at_call.popleft(), News.PLACE)
        more = self.machine.run_factor - 1
        while self.may_run() and (inv := self.next_held()) and self.memory + inv.kb * more <= self.room:
            self.turn = inv.line.turn
            inv.line.turn += inv.line.core.mean(self.now) / inv.line.weight
            self.step_to(inv, News.START)

    def next_held(self) -> Inv | None:
        for line in self.lines:
            while line.queue and not self.useful(line.first()):
                pass  # what is not useful has left the queue
        jam = len(self.at_call) > self.call_cap  # held, work costs less than standing before its call
        ready = [line for line in self.lines if line.queue and not (jam and line.op.calls)]
        return min(ready, key=lambda line: line.turn).first() if ready else None

    def useful(self, inv: Inv) -> bool:
        """Work that cannot end within its objective is not begun, unless late work earns and little waits."""
        vain = not inv.line.op.late_share or self.level(inv.line) > 0
        if inv.state is HELD and self.closed(inv):
            self.step_to(inv, News.TURN)
        elif vain and self.now + self.latest(inv) > inv.goal and inv.state is HELD:
            self.step_to(inv, News.LATE)
        return inv.state is HELD


HANDLERS: dict[type, Callable[..., None]] = dict.fromkeys(PLAIN_NEWS, Controller.on_plain) | {
    face.Arrived: Controller.on_arrived, face.CallEnded: Controller.on_call_ended,
    face.Leaving: Controller.on_leaving, face.TimerFired: Controller.on_timer,
    face.Granted: Controller.on_granted, face.Ruled: Controller.on_ruled}  # fmt: skip
