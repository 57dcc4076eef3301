"""From one time's course to findings: what happened, to whom, when, and on which records that rests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ringshift.findings.course import Course, Placed, Stint
from ringshift.findings.digest import ARRIVED, COUNTS, GONE, SUCCEEDED
from ringshift.findings.signs import Kind

MS, S = 10**6, 10**9
BEAT_DUE = 1300 * MS  # after a heartbeat the next one is due by then, a busy core included
AT_END = 2500 * MS  # who is heard of that shortly before all records end was there to the end
HEARD_LATER = 1500 * MS
TOGETHER = 3 * S  # troubles of one kind that begin within it of each other are one
WAVE = 6 * S  # the same of shedding, which spreads from server to server
MOST_SERVERS_SLOW = (
    0.6  # share of those that serve from which on not the servers are slow but what they share
)
MOVED = 1.3  # times the load before: less than that is the same load on fewer servers
CLOCK_OFF = 1 * S  # worth telling
CLOCK_DRIFT = 5e-5
SHORT_RUN, MANY_RUNS = 30 * S, 4
MOST_EVIDENCE = 12


class What(Enum):
    """What a finding tells of."""

    VANISHED = "vanished"
    CRASHED = "crashed"
    DRAINED = "drained"
    DRAIN_CUT = "killed in its drain"
    RETURNED = "came back"
    COLD = "cold start"
    SLOW = "slow"
    ALL_SLOW = "everything slower"
    HUNG = "agent hung"
    PAUSED = "paused"
    JUMP = "traffic jump"
    STORM = "retry storm"
    ERRORS = "runs err"
    SHEDDING = "shedding"
    NOT_READY = "not ready"
    LINK_LOST = "agent lost"
    ANNOUNCE_LOST = "announce service lost"
    GAP = "gap in records"
    RECORDS_MISSING = "records missing"
    CLOCK = "clock off"
    STEP = "clock stepped"
    SAME_NAME = "two under one name"
    RESTARTS = "only ever restarted"
    UNTIED = "clock tied to nothing"


@dataclass(slots=True)
class Part:
    """One server's, and where it has one, one operation's share of a finding."""

    server: str
    operation: str
    start: int
    end: int | None


@dataclass(slots=True)
class Finding:
    """Times are nanoseconds on the course's time; the start lies from `low` to `high`."""

    what: What
    parts: list[Part]
    start: int
    end: int | None
    low: int
    high: int
    evidence: list[str]
    """server/run/seq of the records it rests on."""
    figures: dict[str, float] = field(default_factory=dict)
    detail: str = ""
    group: int = 0

    @property
    def servers(self) -> list[str]:
        return list(dict.fromkeys(part.server for part in self.parts))

    @property
    def operations(self) -> list[str]:
        return [name for name in dict.fromkeys(part.operation for part in self.parts) if name]


class Close(Enum):
    """How a run's records end."""

    CLEAN = "clean"
    FAILED = "failed"
    NONE = "none"


class After(Enum):
    """What is known of the time after a run's last record."""

    END = "all records end"
    HEARD = "heard of later"
    SILENT = "silent"


# how it closed, whether it was told to leave, what came after -> what it was; None where it goes on.
ENDINGS: dict[tuple[Close, bool, After], What | None] = {
    (Close.CLEAN, True, After.END): What.DRAINED,
    (Close.CLEAN, True, After.HEARD): What.DRAINED,
    (Close.CLEAN, True, After.SILENT): What.DRAINED,
    (Close.CLEAN, False, After.END): What.DRAINED,  # told before it listened
    (Close.CLEAN, False, After.HEARD): What.DRAINED,
    (Close.CLEAN, False, After.SILENT): What.DRAINED,
    (Close.FAILED, True, After.END): What.CRASHED,
    (Close.FAILED, True, After.HEARD): What.CRASHED,
    (Close.FAILED, True, After.SILENT): What.CRASHED,
    (Close.FAILED, False, After.END): What.CRASHED,
    (Close.FAILED, False, After.HEARD): What.CRASHED,
    (Close.FAILED, False, After.SILENT): What.CRASHED,
    (Close.NONE, True, After.END): None,
    (Close.NONE, True, After.HEARD): What.DRAIN_CUT,
    (Close.NONE, True, After.SILENT): What.DRAIN_CUT,
    (Close.NONE, False, After.END): None,
    (Close.NONE, False, After.HEARD): What.RECORDS_MISSING,
    (Close.NONE, False, After.SILENT): What.VANISHED,
}

# A trouble that another one of the same server explains: kind, the kinds that explain it. It began within a
# second and a half before the other, while that lasted, or within three seconds after.
ECHOES: dict[Kind, tuple[Kind, ...]] = {
    Kind.SLOW: (Kind.HUNG, Kind.PAUSED, Kind.COLD, Kind.LINK_LOST),
    Kind.JUMP: (Kind.PAUSED, Kind.HUNG, Kind.GAP, Kind.LINK_LOST),
    Kind.STORM: (Kind.PAUSED, Kind.HUNG, Kind.GAP, Kind.LINK_LOST),
    Kind.HUNG: (Kind.PAUSED, Kind.LINK_LOST),
    Kind.ERRORS: (Kind.PAUSED,),
}
STOPS = (Kind.HUNG, Kind.PAUSED, Kind.LINK_LOST)  # a server with one of these ends nothing
ECHO_BEFORE, ECHO_AFTER = 1500 * MS, 3 * S


class Ending(NamedTuple):
    """A run that is over: its successor under the name, when an observer last heard of it, and when and by
    which record it was told to leave."""

    server: str
    stint: Stint
    follower: Stint | None
    heard: int | None
    leaving: tuple[int, int] | None


@dataclass(frozen=True, slots=True)
class Loss:
    """Service of one operation over the whole course."""

    operation: str
    arrived: int
    succeeded: int
    throttled: int
    errored: int
    gone: int
    worst_at: int
    """The begin of the bucket with the least share succeeded, of those with a hundredth of its work."""
    worst_share: float

    @property
    def answered(self) -> int:
        return self.succeeded + self.throttled + self.errored + self.gone

    @property
    def lost_share(self) -> float:
        return 1 - self.succeeded / self.answered if self.answered else 0.0


@dataclass(slots=True)
class Verdict:
    findings: list[Finding]
    """In the order of their starts."""
    losses: list[Loss]
    echoes: list[Placed]
    """Spells that another trouble explains; told beside what was ruled out."""
    moved: list[Finding]
    """Traffic jumps that were the load of servers that had gone."""


class Judge:
    def __init__(self, course: Course) -> None:
        self.course = course
        self.findings: list[Finding] = []
        self.moved: list[Finding] = []
        self.by_server: dict[str, list[Placed]] = defaultdict(list)
        for one in course.spells:
            self.by_server[one.server].append(one)
        self.echoes, self.spells = list[Placed](), list[Placed]()
        for one in course.spells:
            (self.echoes if self.echo(one) else self.spells).append(one)

    def verdict(self) -> Verdict:
        for server, stints in self.course.stints.items():
            self.judge_runs(server, stints)
        for server, stints in self.course.observers.items():
            self.judge_observer(server, stints)
        by_kind: dict[Kind, list[Placed]] = defaultdict(list)
        for one in self.spells:
            by_kind[one.kind].append(one)
        for kind, some in by_kind.items():
            TELL[kind](self, some)
        self.judge_clocks()
        self.findings.sort(key=lambda one: (one.start, one.what.value, one.servers))
        return Verdict(self.findings, losses(self.course), self.echoes, self.moved)

    def echo(self, one: Placed) -> bool:
        for other in self.by_server[one.server]:
            if other.kind not in ECHOES.get(one.kind, ()):
                continue
            end = other.end if other.end is not None else self.course.end
            if other.start - ECHO_BEFORE <= one.start <= end + ECHO_AFTER:
                return True
        return False

    def add(
        self,
        what: What,
        parts: Sequence[Part],
        low: int,
        high: int,
        evidence: Iterable[str],
        end: int | None = None,
        start: int | None = None,
        detail: str = "",
        group: int = 0,
        **figures: float,
    ) -> Finding:
        middle = (low + high) // 2 if start is None else start
        found = Finding(
            what,
            list(parts),
            middle,
            end,
            low,
            high,
            list(evidence)[:MOST_EVIDENCE],
            {name: round(value, 3) for name, value in figures.items()},
            detail,
            group,
        )
        self.findings.append(found)
        return found

    # Runs.

    def judge_runs(self, server: str, stints: list[Stint]) -> None:
        runs = [stint for stint in stints if not stint.digest.text or stint.digest.records > 1]
        for index, stint in enumerate(runs):
            follower = next((s for s in runs[index + 1 :] if s.start >= stint.last - S), None)
            gone = self.judge_end(server, stint, follower)
            if gone is not None and follower is not None:
                away = max(follower.start - (gone.start if gone.what is not What.DRAINED else stint.last), 0)
                gone.end = follower.start
                self.add(
                    What.RETURNED,
                    [Part(server, "", follower.start, None)],
                    follower.start - follower.error,
                    follower.start + follower.error,
                    [f"{follower.node}/{follower.digest.first_seq}"],
                    start=follower.start,
                    group=follower.group,
                    away_s=away / S,
                )
            for other in runs[index + 1 :]:
                both = min(stint.last, other.last) - max(stint.start, other.start)
                if both > 2 * S and stint.group == other.group:
                    start = max(stint.start, other.start)
                    self.add(
                        What.SAME_NAME,
                        [Part(server, "", start, start + both)],
                        start,
                        start,
                        [f"{stint.node}/{stint.digest.last_seq}", f"{other.node}/{other.digest.first_seq}"],
                        end=start + both,
                        group=stint.group,
                    )
        short = [stint for stint in runs if stint.last - stint.start < SHORT_RUN]
        if len(runs) >= MANY_RUNS and len(short) == len(runs):
            self.add(
                What.RESTARTS,
                [Part(server, "", runs[0].start, runs[-1].last)],
                runs[0].start,
                runs[0].start,
                [f"{s.node}/{s.digest.first_seq}" for s in runs],
                end=runs[-1].last,
                group=runs[0].group,
                runs=len(runs),
            )

    def judge_end(self, server: str, stint: Stint, follower: Stint | None) -> Finding | None:
        digest = stint.digest
        leaving = next(((up, seq) for up, phase, seq in digest.phases if phase == "leaving"), None)
        close = Close.NONE if digest.ended is None else Close.FAILED if digest.ended[0] else Close.CLEAN
        heard = self.last_heard(server, stint, follower)
        if follower is None and stint.last >= self.course.end - AT_END:
            after = After.END
        elif heard is not None and heard > stint.last + HEARD_LATER:
            after = After.HEARD
        else:
            after = After.SILENT
        what = ENDINGS[close, leaving is not None, after]
        if what is None:
            return None
        return ENDED[what](self, Ending(server, stint, follower, heard, leaving))

    def last_heard(self, server: str, stint: Stint, follower: Stint | None) -> int | None:
        """When an observer last heard of it before its next run."""
        latest = None
        until = follower.start if follower is not None else self.course.end
        for observers in self.course.observers.values():
            for observer in observers:
                for name, what, detail, up, _ in observer.digest.saw:
                    if name != server:
                        continue
                    at = observer.time(up, self.course.alignment)
                    if what == "lapsed":
                        # Its detail is how many milliseconds ago it was last heard.
                        at -= round(float(detail) * MS) if detail.replace(".", "", 1).isdigit() else 3 * S
                    if stint.start < at < until and (latest is None or at > latest):
                        latest = at
        return latest

    def end_gone(self, over: Ending) -> Finding:
        """Between its last word and the heartbeat that did not come; an observer may know better."""
        server, stint, follower, heard, leaving = over
        digest, alignment = stint.digest, self.course.alignment
        low = stint.last
        if digest.last_beat >= 0:
            high = max(stint.time(digest.last_beat, alignment) + BEAT_DUE, low)
        else:
            high = self.course.end
        if heard is not None and low < heard <= high:
            low = heard
        if follower is not None:
            high = max(min(high, follower.start), low)
        what = What.DRAIN_CUT if leaving is not None else What.VANISHED
        return self.add(
            what,
            [Part(server, "", (low + high) // 2, None)],
            low - stint.error,
            high + stint.error,
            [f"{stint.node}/{digest.last_seq}"],
            start=(low + high) // 2,
            group=stint.group,
            last_heard_s=(high - low) / S,
        )

    def end_missing(self, over: Ending) -> Finding:
        server, stint, follower, heard, _ = over
        until = follower.start if follower is not None else heard
        found = self.add(
            What.RECORDS_MISSING,
            [Part(server, "", stint.last, until)],
            stint.last,
            stint.last + S,
            [f"{stint.node}/{stint.digest.last_seq}"],
            end=until,
            start=stint.last,
            group=stint.group,
        )
        return found

    def end_drained(self, over: Ending) -> Finding:
        server, stint, _, _, leaving = over
        digest = stint.digest
        assert digest.ended is not None
        _, owed, up, seq = digest.ended
        began, began_seq = leaving if leaving is not None else (up, seq)
        start, end = stint.time(began, self.course.alignment), stint.time(up, self.course.alignment)
        return self.add(
            What.DRAINED,
            [Part(server, "", start, end)],
            start - stint.error,
            start + stint.error,
            [f"{stint.node}/{began_seq}", f"{stint.node}/{seq}"],
            end=end,
            start=start,
            group=stint.group,
            owed=owed,
            took_s=(end - start) / S,
        )

    def end_crashed(self, over: Ending) -> Finding:
        server, stint, _, _, _ = over
        digest = stint.digest
        assert digest.ended is not None
        status, owed, up, seq = digest.ended
        at = stint.time(up, self.course.alignment)
        why = digest.errors[-1][1] if digest.errors else ""
        return self.add(
            What.CRASHED,
            [Part(server, "", at, None)],
            at - stint.error,
            at + stint.error,
            [f"{stint.node}/{seq}"],
            start=at,
            detail=why,
            group=stint.group,
            status=status,
            owed=owed,
        )

    def judge_observer(self, server: str, stints: list[Stint]) -> None:
        """Who watches tells nothing any more: its service is gone for all, or for this program alone."""
        for index, stint in enumerate(stints):
            follower = stints[index + 1] if index + 1 < len(stints) else None
            if stint.digest.ended is not None or stint.last >= self.course.end - AT_END:
                continue
            low = stint.last
            high = low + BEAT_DUE if follower is None else max(min(low + BEAT_DUE, follower.start), low)
            end = follower.start if follower is not None else None
            self.add(
                What.ANNOUNCE_LOST,
                [Part(server, "", (low + high) // 2, end)],
                low - stint.error,
                high + stint.error,
                [f"{stint.node}/{stint.digest.last_seq}"],
                end=end,
                group=stint.group,
            )

    # Spells.

    def clusters(self, some: Sequence[Placed], within: int) -> list[list[Placed]]:
        """Those of one group of clocks that begin within a span of each other."""
        found: list[list[Placed]] = []
        for one in sorted(some, key=lambda placed: placed.start):
            for cluster in reversed(found):
                near = one.start - cluster[-1].start <= within
                if near and self.group(one) == self.group(cluster[0]):
                    cluster.append(one)
                    break
            else:
                found.append([one])
        return found

    def group(self, one: Placed) -> int:
        return self.course.alignment.placed[one.node].group

    def serving(self, at: int) -> list[Stint]:
        return [
            stint
            for stints in self.course.stints.values()
            for stint in stints
            if stint.start <= at <= stint.last + S
        ]

    def told(self, what: What, cluster: Sequence[Placed], detail: str = "", **figures: float) -> Finding:
        first = min(cluster, key=lambda one: one.start)
        ends = [one.end for one in cluster]
        end = None if None in ends else max(end for end in ends if end is not None)
        parts = [Part(one.server, one.spell.operation, one.start, one.end) for one in cluster]
        return self.add(
            what,
            parts,
            first.start - first.error,
            first.start + first.error,
            [ref for one in cluster for ref in one.refs[:3]],
            end=end,
            start=first.start,
            detail=detail,
            group=self.group(first),
            **figures,
        )

    def tell_each(self, what: What, some: Sequence[Placed]) -> None:
        for one in some:
            self.told(what, [one], before=one.spell.before, worst=one.spell.after)

    def tell_slow(self, some: Sequence[Placed]) -> None:
        for cluster in self.clusters(some, TOGETHER):
            servers = {one.server for one in cluster}
            there = {stint.digest.server for stint in self.serving(cluster[0].start)}
            if len(there) >= 3 and len(servers) >= MOST_SERVERS_SLOW * len(there):
                worst = max(one.spell.after for one in cluster)
                self.told(What.ALL_SLOW, cluster, worst=worst, of=len(there))
            else:
                self.tell_each(What.SLOW, cluster)

    def tell_jump(self, some: Sequence[Placed]) -> None:
        """More fresh work for the fleet, or the same work on fewer servers."""
        for cluster in self.clusters(some, TOGETHER):
            start = cluster[0].start
            jumped = {one.server for one in cluster}
            others = sum(
                stint.digest.rate for stint in self.serving(start) if stint.digest.server not in jumped
            )
            before = sum(one.spell.before for one in cluster) + others
            after = sum(one.spell.after for one in cluster) + others
            lost, who = self.lost_load(start, jumped)
            moved = bool(who) and after <= MOVED * (before + lost)
            detail = f"the load of {', '.join(sorted(who))}" if moved else ""
            found = self.told(What.JUMP, cluster, detail, before=before, after=after)
            if moved:
                self.findings.remove(found)
                self.moved.append(found)

    def lost_load(self, start: int, jumped: set[str]) -> tuple[float, set[str]]:
        """What servers took until shortly before that take no more: gone, leaving, hung, paused."""
        lost, who = 0.0, set[str]()
        span = range(start - 8 * S, start + 2 * S)
        for server, stints in self.course.stints.items():
            if server in jumped:
                continue
            for stint in stints:
                left = [
                    stint.time(up, self.course.alignment)
                    for up, phase, _ in stint.digest.phases
                    if phase == "leaving"
                ]
                ended = stint.last if stint.last < self.course.end - AT_END else None
                if any(at in span for at in [*left, *([ended] if ended else [])]):
                    lost, who = lost + stint.digest.rate, who | {server}
        for one in self.course.spells:
            if one.kind in STOPS and one.start in span and one.server not in jumped:
                stints = [stint for stint in self.course.stints.get(one.server, []) if stint.node == one.node]
                lost, who = lost + sum(stint.digest.rate for stint in stints), who | {one.server}
        return lost, who

    def tell_storm(self, some: Sequence[Placed]) -> None:
        for cluster in self.clusters(some, TOGETHER):
            worst = max(one.spell.after for one in cluster)
            self.told(What.STORM, cluster, share=worst, before=max(one.spell.before for one in cluster))

    def tell_shedding(self, some: Sequence[Placed]) -> None:
        for cluster in self.clusters(some, WAVE):
            self.told(What.SHEDDING, cluster)

    def tell_together(self, what: What, some: Sequence[Placed]) -> None:
        for cluster in self.clusters(some, TOGETHER):
            self.told(what, cluster, worst=max(one.spell.after for one in cluster))

    def tell_gap(self, some: Sequence[Placed]) -> None:
        for one in some:
            self.told(What.GAP, [one], records=one.spell.after)

    def judge_clocks(self) -> None:
        course = self.course
        lead = [stint for stints in course.stints.values() for stint in stints]
        for group in sorted({stint.group for stint in lead}):
            members = [stint for stint in lead if stint.group == group]
            servers = list(dict.fromkeys(stint.digest.server for stint in members))
            start = min(stint.start for stint in members)
            tied = {
                s.digest.server
                for some in (course.stints, course.observers)
                for stints in some.values()
                for s in stints
                if s.group == group
            }
            first = group == min(stint.group for stint in lead)
            if not first or (len(tied) == 1 and len({s.digest.server for s in lead}) > 1):
                self.add(
                    What.UNTIED,
                    [Part(server, "", start, None) for server in servers],
                    start,
                    start,
                    [f"{stint.node}/{stint.digest.first_seq}" for stint in members],
                    group=group,
                )
            if len(tied) < 2:
                continue
            for server in servers:
                mine = [stint for stint in members if stint.digest.server == server]
                placed = [course.alignment.placed[stint.node] for stint in mine]
                off = max((one.wall_off for one in placed), key=abs)
                rate = max((one.rate for one in placed), key=abs)
                if abs(off) >= CLOCK_OFF or abs(rate) >= CLOCK_DRIFT:
                    self.add(
                        What.CLOCK,
                        [Part(server, "", mine[0].start, None)],
                        mine[0].start,
                        mine[0].start,
                        [f"{mine[0].node}/{mine[0].digest.first_seq}"],
                        group=group,
                        ahead_s=off / S,
                        drift_ppm=-rate * 1e6,
                    )


End = Callable[[Judge, Ending], Finding]
ENDED: dict[What, End] = {
    What.VANISHED: Judge.end_gone,
    What.DRAIN_CUT: Judge.end_gone,
    What.DRAINED: Judge.end_drained,
    What.CRASHED: Judge.end_crashed,
    What.RECORDS_MISSING: Judge.end_missing,
}
TELL: dict[Kind, Callable[[Judge, Sequence[Placed]], None]] = {
    Kind.SLOW: Judge.tell_slow,
    Kind.JUMP: Judge.tell_jump,
    Kind.STORM: Judge.tell_storm,
    Kind.SHEDDING: Judge.tell_shedding,
    Kind.GAP: Judge.tell_gap,
    Kind.HUNG: lambda judge, some: judge.tell_each(What.HUNG, some),
    Kind.PAUSED: lambda judge, some: judge.tell_each(What.PAUSED, some),
    Kind.STEP: lambda judge, some: judge.tell_each(What.STEP, some),
    Kind.COLD: lambda judge, some: judge.tell_each(What.COLD, some),
    Kind.ERRORS: lambda judge, some: judge.tell_together(What.ERRORS, some),
    Kind.NOT_READY: lambda judge, some: judge.tell_together(What.NOT_READY, some),
    Kind.LINK_LOST: lambda judge, some: judge.tell_together(What.LINK_LOST, some),
    Kind.ANNOUNCE_LOST: lambda judge, some: judge.tell_together(What.ANNOUNCE_LOST, some),
}


def losses(course: Course) -> list[Loss]:
    told = []
    for operation, series in sorted(course.work.items()):
        sums = [int(sum(series[offset::COUNTS])) for offset in range(COUNTS)]
        worst, at = 1.0, course.start
        for bucket in range(course.buckets):
            figures = series[bucket * COUNTS : (bucket + 1) * COUNTS]
            answered = sum(figures[SUCCEEDED : GONE + 1])
            if answered * 100 >= max(sum(sums[SUCCEEDED : GONE + 1]), 1):
                share = figures[SUCCEEDED] / answered
                if share < worst:
                    worst, at = share, course.start + bucket * course.width
        arrived, succeeded, throttled, errored, gone = sums[ARRIVED : GONE + 1]
        told.append(Loss(operation, arrived, succeeded, throttled, errored, gone, at, worst))
    return told
