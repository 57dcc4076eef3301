"""`python -m standins.fleet.planner`: one planner's process, by the program's own planning, with hooks.

It carries out one wish (`--plan FILE`, a TOML of changes, or `--withdraw NAME`), ends with its status (0:
landed), and prints how it ended as one line of JSON. `--at PLACE` ("before propose", "after propose", "before
put_in_force") with `--kill` (SIGKILL there) or `--stop` ("stopped" on standard error, then it stands still
until it hears a line on its input, once). `--begin-in-ms`: the file's changes are moved in time so that the
first begins so long after now. `--plant no_compare`: it proposes whatever it judged, on whatever is in force
by then ("judged" is a place as well then).
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import sys
import time
import tomllib
from pathlib import Path

import msgspec

from ringshift.lifecycle.planning import Planning
from ringshift.lifecycle.publishing import WITHIN, Outcome, Publishing
from ringshift.rulebook.document import Rulebook
from ringshift.rulebook.version import Stamp
from ringshift.schedule.plan import DAY, Terms
from ringshift.schedule.planned import Planned, moment
from ringshift.schedule.planner import Document, Wish
from ringshift.settings.rules import RulesReading
from ringshift.wire.rules import RulesLink


class Hooks:
    def __init__(self, told: argparse.Namespace) -> None:
        self.told = told

    def pause(self, place: str) -> None:
        if place != self.told.at:
            return
        if self.told.kill:
            os.kill(os.getpid(), signal.SIGKILL)
        if self.told.stop:
            self.told.stop = False
            print("stopped", file=sys.stderr, flush=True)
            sys.stdin.readline()


class Blind(Publishing):
    """Planted: proposes on whatever is in force by then, whose changes are lost."""

    def publish(
        self,
        book: Rulebook,
        author: str = "",
        reason: str = "",
        undoes: Stamp | None = None,
        within: int = WITHIN,
        base: Stamp | None = None,
    ) -> Outcome:
        import ringshift.rulebook.version as version

        version.check_step = lambda old, new: False
        self.pause("judged")
        return super().publish(book, author, reason, undoes, within)


def begun_in(rows: tuple[Planned, ...], start: int) -> list[Planned]:
    first = min(one.start for one in rows if one.start is not None)
    by = moment(start) - first
    return [
        msgspec.structs.replace(one, start=one.start + by, end=one.end + by)
        for one in rows
        if one.start is not None and one.end is not None
    ]


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--settings", required=True)
    parser.add_argument("--plan", default="")
    parser.add_argument("--withdraw", nargs="*", default=[])
    parser.add_argument("--within-ms", type=int, default=40_000)
    parser.add_argument("--begin-in-ms", type=int, default=0)
    parser.add_argument("--at", default="")
    parser.add_argument("--kill", action="store_true")
    parser.add_argument("--stop", action="store_true")
    parser.add_argument("--plant", default="")
    told = parser.parse_args()
    settings = tomllib.loads(Path(told.settings).read_text())
    reading = msgspec.convert(settings["rules"], RulesReading)
    wish = Wish(withdrawn=frozenset(told.withdraw))
    if told.plan:
        wish = msgspec.convert(tomllib.loads(Path(told.plan).read_text()), Document).wish()
    link = RulesLink(settings["leases"]["keepers"], time.monotonic_ns, reading.answer_within / 1e9)
    kind = Blind if told.plant else Publishing
    publishing = kind(link, reading.terms(), pause=Hooks(told).pause, every=50_000_000)
    if told.begin_in_ms:
        wish = Wish(tuple(begun_in(wish.rows, time.time_ns() + told.begin_in_ms * 1_000_000)))
    planning = Planning(publishing, Terms.of(reading.terms(), DAY))
    ended = planning.carry(wish, "planner", "", told.within_ms * 1_000_000)
    planner, broken = ended.planner, ended.planner.broken
    against = broken and {
        "rule": broken.rule.name,
        "changes": [broken.first, broken.second],
        "first_ns": broken.instant,
    }
    print(
        json.dumps(
            {"state": planner.state.name, "why": planner.why, "lost": planner.lost, "against": against}
        ),
        flush=True,
    )
    return 0 if ended.landed else 1


if __name__ == "__main__":
    sys.exit(main())
