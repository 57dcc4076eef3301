"""What `ringshift rules` (and who else publishes) prints: the states as they pass, how it ended, who acts by
what. For people one line a fact, for programs JSON."""

from __future__ import annotations

import json
import os
import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from ringshift.lifecycle.publishing import Outcome, Publishing
    from ringshift.rulebook.bound import ReadingTerms
    from ringshift.rulebook.kinds import Difference
    from ringshift.rulebook.picture import Picture, Seen
    from ringshift.rulebook.version import Version
    from ringshift.wire.rules import RulesLink

MOST_NAMED = 8  # readers in one line for people

MOST_LINES = 40  # readers one by one, for people
USUAL = ("confirming", "acknowledged")

# how it ended | what to do
ADVICE = {
    "LATE": "it stands at the keeper: `ringshift rules settle` leads it on, `ringshift rules withdraw` takes "
    "it back",
    "BEATEN": "begin from what stands now, and publish again",
    "REFUSED": "it was taken back; change the document, or update the programs that refuse it",
}


def brief(one: Version) -> dict[str, Any]:
    from ringshift.lifecycle import publishing

    return publishing.brief(one)


@dataclass
class Progress:
    """Prints each state as it passes; for programs it is kept and printed with the end."""

    as_json: bool
    passed: list[dict[str, Any]] = field(default_factory=list)

    def on(self, kind: str, told: dict[str, Any]) -> None:
        if kind == "state" and told["stamp"] is not None:
            self.passed.append({"state": told["state"], "number": number(told["stamp"])})
        if self.as_json:
            return
        if kind == "state" and told["stamp"] is not None and told["state"] in ("PROPOSED", "ACKNOWLEDGED"):
            click.echo(f"{number(told['stamp'])}: {told['state'].lower()}")
        elif kind == "waiting":
            waiting(told["readers"])
        elif kind == "unanswered":
            click.echo(f"the keeper did not answer: {told['why']}", err=True)


def waiting(readers: dict[str, int]) -> None:
    names = list(readers)[:MOST_NAMED]
    more = f" and {len(readers) - len(names)} more" if len(readers) > len(names) else ""
    left = max(readers.values())
    until = "each must acknowledge it itself" if left < 0 else f"at most {left / 1e9:.1f} s"
    click.echo(f"  waiting for {len(readers)}: {', '.join(names)}{more} ({until})")


def number(stamp: Any) -> str:
    return f"{stamp[0]}.{stamp[1]}"


def leading(link: RulesLink, terms: ReadingTerms, progress: Progress, die_at: str = "") -> Publishing:
    """`die_at`: the place at which a fault test kills this process."""
    from ringshift.lifecycle.publishing import Publishing

    def pause(place: str) -> None:
        if place == die_at:
            os.kill(os.getpid(), signal.SIGKILL)

    return Publishing(link, terms, on=progress.on, pause=pause)


def ended(outcome: Outcome, progress: Progress) -> int:
    """The exit status: 0 where what was asked for is so."""
    if progress.as_json:
        click.echo(json.dumps(outcome.told() | {"done": outcome.done, "passed": progress.passed}))
        return 0 if outcome.done else 1
    told = outcome.told()
    name = f"{told['version']['number']}: " if told["version"] else ""
    why = f": {outcome.why}" if outcome.why else ""
    click.echo(f"{name}{outcome.state.name.lower().replace('_', ' ')}{why}", err=not outcome.done)
    if outcome.done:
        return 0
    if outcome.waited:
        waiting(outcome.waited)
    for role in ("in_force", "proposed"):
        one = told[role]
        if one is not None:
            click.echo(f"  {role.replace('_', ' ')}: {described(one)}", err=True)
    stands = told["proposed"] is not None and told["proposed"] == told["version"]
    advice = ADVICE.get(outcome.state.name, "")
    if outcome.state.name == "LATE" and not stands:
        advice = "`ringshift rules status` tells what stands at the keeper"
    if advice:
        click.echo(f"  {advice}", err=True)
    return 1


def described(one: dict[str, Any]) -> str:
    who = f" by {one['author']}" if one["author"] else ""
    return f"{one['number']}{who}" + (f": {one['reason']}" if one["reason"] else "")


def difference(one: Difference) -> dict[str, Any]:
    return {
        "kind": one.kind,
        "what": one.what,
        "old": finite(one.old),
        "new": finite(one.new),
        "verdict": one.verdict.name,
        "reason": one.reason,
    }


def finite(amount: float | None) -> float | None:
    """No limit is null in JSON, as no amount is."""
    return None if amount is None or amount == float("inf") else amount


def show_differences(found: list[Difference]) -> None:
    from ringshift.rulebook.kinds import Verdict

    means = {
        Verdict.ALWAYS: "contradict",
        Verdict.SUMMED: "contradict while both are summed",
        Verdict.NEVER: "no contradiction",
        Verdict.ENDLESS: "contradict without end",
    }
    for one in found:
        amounts = "" if one.old is None or one.new is None else f" {limit(one.old)} -> {limit(one.new)}"
        click.echo(f"  {one.kind}: {one.what}{amounts}; {means[one.verdict]}: {one.reason}")


def limit(amount: float) -> str:
    return "no limit" if amount == float("inf") else f"{amount:g}"


def as_words(told: Picture) -> dict[str, Any]:
    proposed = told.proposed
    return {
        "in_force": None if told.in_force is None else brief(told.in_force),
        "highest": list(told.highest),
        "lost": told.lost,
        "next": list(told.next),
        "proposed": None
        if proposed is None
        else brief(proposed.version)
        | {
            "state": proposed.state,
            "by_all": proposed.by_all,
            "waiting": list(proposed.waited),
            "undoes": None if proposed.undoes is None else number(proposed.undoes),
            "refused": dict(proposed.refused),
        },
        "readers": [
            {
                "name": one.name,
                "standing": one.standing,
                "silent": one.silent,
                "acts_by": [number(stamp) for stamp in one.acts_by],
                "ends_within_s": one.ends / 1e9,
                "waited": one.waited,
                "why": one.why,
            }
            for one in told.readers
        ],
    }


def show_picture(told: Picture) -> None:
    if told.in_force is None:
        click.echo("nothing was ever published")
    else:
        click.echo(f"in force: {described(brief(told.in_force))}")
    if told.proposed is not None:
        one = told.proposed
        undoes = f", withdraws {number(one.undoes)}" if one.undoes is not None else ""
        click.echo(f"{one.state.lower()}: {described(brief(one.version))}{undoes}")
    readers = told.readers
    if len(readers) > MOST_LINES:
        usual = [one for one in readers if one.standing in USUAL and not one.silent]
        click.echo(f"  {len(usual)} readers confirming or acknowledged")
        readers = tuple(one for one in readers if one.silent or one.standing not in USUAL)
    for reader in readers[:MOST_LINES]:
        click.echo(f"  {line(reader)}")
    if len(readers) > MOST_LINES:
        click.echo(f"  and {len(readers) - MOST_LINES} more; --json names all")
    for advice in told.next:
        click.echo(f"next: {advice}")


def line(one: Seen) -> str:
    from ringshift.rulebook.picture import acts

    until = f", at the latest for {one.ends / 1e9:.1f} s, then alone" if one.silent and one.ends else ""
    until = ", its lease has ended: alone, if it lives" if one.silent and not one.ends else until
    waited = "; waited for" if one.waited else ""
    silent = " silent," if one.silent else ""
    why = f" ({one.why})" if one.why else ""
    return f"{one.name}: {one.standing}{why},{silent} by {acts(one)}{until}{waited}"
