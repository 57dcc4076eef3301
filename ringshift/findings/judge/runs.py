"""A server's runs and its observers': how each ended, who came back, two under one name."""

from __future__ import annotations

from ringshift.findings.course import Stint
from ringshift.findings.judge.docket import AT_END, Docket, S
from ringshift.findings.judge.endings import BEAT_DUE, judge_end
from ringshift.findings.judge.finding import Part, What

SHORT_RUN, MANY_RUNS = 30 * S, 4


def judge_runs(docket: Docket, server: str, stints: list[Stint]) -> None:
    runs = [stint for stint in stints if not stint.digest.text or stint.digest.records > 1]
    for index, stint in enumerate(runs):
        follower = next((s for s in runs[index + 1 :] if s.start >= stint.last - S), None)
        gone = judge_end(docket, server, stint, follower)
        if gone is not None and follower is not None:
            away = max(follower.start - (gone.start if gone.what is not What.DRAINED else stint.last), 0)
            gone.end = follower.start
            docket.add(
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
                docket.add(
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
        docket.add(
            What.RESTARTS,
            [Part(server, "", runs[0].start, runs[-1].last)],
            runs[0].start,
            runs[0].start,
            [f"{s.node}/{s.digest.first_seq}" for s in runs],
            end=runs[-1].last,
            group=runs[0].group,
            runs=len(runs),
        )


def judge_observer(docket: Docket, server: str, stints: list[Stint]) -> None:
    """Who watches tells nothing any more: its service is gone for all, or for this program alone."""
    for index, stint in enumerate(stints):
        follower = stints[index + 1] if index + 1 < len(stints) else None
        if stint.digest.ended is not None or stint.last >= docket.course.end - AT_END:
            continue
        low = stint.last
        high = low + BEAT_DUE if follower is None else max(min(low + BEAT_DUE, follower.start), low)
        end = follower.start if follower is not None else None
        docket.add(
            What.ANNOUNCE_LOST,
            [Part(server, "", (low + high) // 2, end)],
            low - stint.error,
            high + stint.error,
            [f"{stint.node}/{stint.digest.last_seq}"],
            end=end,
            group=stint.group,
        )
