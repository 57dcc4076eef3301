"""How a run's records end, and what that says of its server."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from ringshift.findings.course import Stint
from ringshift.findings.judge.docket import AT_END, MS, Docket, S
from ringshift.findings.judge.finding import Finding, Part, What

BEAT_DUE = 1300 * MS  # after a heartbeat the next one is due by then, a busy core included
HEARD_LATER = 1500 * MS


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


class Ending(NamedTuple):
    """A run that is over: its successor under the name, when an observer last heard of it, and when and by
    which record it was told to leave."""

    server: str
    stint: Stint
    follower: Stint | None
    heard: int | None
    leaving: tuple[int, int] | None


def judge_end(docket: Docket, server: str, stint: Stint, follower: Stint | None) -> Finding | None:
    digest = stint.digest
    leaving = next(((up, seq) for up, phase, seq in digest.phases if phase == "leaving"), None)
    close = Close.NONE if digest.ended is None else Close.FAILED if digest.ended[0] else Close.CLEAN
    heard = last_heard(docket, server, stint, follower)
    if follower is None and stint.last >= docket.course.end - AT_END:
        after = After.END
    elif heard is not None and heard > stint.last + HEARD_LATER:
        after = After.HEARD
    else:
        after = After.SILENT
    what = ENDINGS[close, leaving is not None, after]
    if what is None:
        return None
    return ENDED[what](docket, Ending(server, stint, follower, heard, leaving))


def last_heard(docket: Docket, server: str, stint: Stint, follower: Stint | None) -> int | None:
    """When an observer last heard of it before its next run."""
    latest = None
    until = follower.start if follower is not None else docket.course.end
    for observers in docket.course.observers.values():
        for observer in observers:
            for name, what, detail, up, _ in observer.digest.saw:
                if name != server:
                    continue
                at = observer.time(up, docket.course.alignment)
                if what == "lapsed":
                    # Its detail is how many milliseconds ago it was last heard.
                    at -= round(float(detail) * MS) if detail.replace(".", "", 1).isdigit() else 3 * S
                if stint.start < at < until and (latest is None or at > latest):
                    latest = at
    return latest


def end_gone(docket: Docket, over: Ending) -> Finding:
    """Between its last word and the heartbeat that did not come; an observer may know better."""
    server, stint, follower, heard, leaving = over
    digest, alignment = stint.digest, docket.course.alignment
    low = stint.last
    if digest.last_beat >= 0:
        high = max(stint.time(digest.last_beat, alignment) + BEAT_DUE, low)
    else:
        high = docket.course.end
    if heard is not None and low < heard <= high:
        low = heard
    if follower is not None:
        high = max(min(high, follower.start), low)
    what = What.DRAIN_CUT if leaving is not None else What.VANISHED
    return docket.add(
        what,
        [Part(server, "", (low + high) // 2, None)],
        low - stint.error,
        high + stint.error,
        [f"{stint.node}/{digest.last_seq}"],
        start=(low + high) // 2,
        group=stint.group,
        last_heard_s=(high - low) / S,
    )


def end_missing(docket: Docket, over: Ending) -> Finding:
    server, stint, follower, heard, _ = over
    until = follower.start if follower is not None else heard
    found = docket.add(
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


def end_drained(docket: Docket, over: Ending) -> Finding:
    server, stint, _, _, leaving = over
    digest = stint.digest
    assert digest.ended is not None
    _, owed, up, seq = digest.ended
    began, began_seq = leaving if leaving is not None else (up, seq)
    start, end = stint.time(began, docket.course.alignment), stint.time(up, docket.course.alignment)
    return docket.add(
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


def end_crashed(docket: Docket, over: Ending) -> Finding:
    server, stint, _, _, _ = over
    digest = stint.digest
    assert digest.ended is not None
    status, owed, up, seq = digest.ended
    at = stint.time(up, docket.course.alignment)
    why = digest.errors[-1][1] if digest.errors else ""
    return docket.add(
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


End = Callable[[Docket, Ending], Finding]
ENDED: dict[What, End] = {
    What.VANISHED: end_gone,
    What.DRAIN_CUT: end_gone,
    What.DRAINED: end_drained,
    What.CRASHED: end_crashed,
    What.RECORDS_MISSING: end_missing,
}
