"""The table [rules] of the operators' file, and the examples in deploy/."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from ringshift.cli.main import command
from ringshift.machine import Malformed
from ringshift.rulebook.bound import MS, S
from ringshift.settings.operators import read_operators

DEPLOY = Path(__file__).parent.parent / "deploy"
LEASES = '[leases]\nkeepers = ["127.0.0.1:2379"]\n'
GOOD = LEASES + '[rules]\ninstallation = "rulebook.toml"\n'


def test_what_is_not_said_has_its_default_and_the_terms_are_nanoseconds(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(GOOD + 'place = "north"\nlife_ms = 6000\n')
    rules = read_operators(str(path)).rules
    assert rules is not None and rules.place == "north" and rules.head_start == ""
    assert (rules.terms().life, rules.terms().margin, rules.terms().refresh) == (6 * S, 500 * MS, S)
    assert rules.answer_within == S
    path.write_text(LEASES)
    assert read_operators(str(path)).rules is None


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (GOOD.replace(LEASES, ""), "rules: no [leases] table with keepers"),
        (GOOD.replace('["127.0.0.1:2379"]', "[]"), "rules: no [leases] table with keepers"),
        (GOOD.replace('"rulebook.toml"', '""'), "line 4: rules.installation: empty"),
        (GOOD.replace('"rulebook.toml"', "3"), "line 4: rules.installation: Expected `str`, got `int`"),
        (LEASES + "[rules]\n", "installation"),
        (GOOD + 'place = "a\\nb"\n', "line 5: rules.place: 'a\\nb' is not up to 256 printable"),
        (GOOD + 'head_start = "rulebook.toml"\n', "line 5: rules.head_start: the file of installation"),
        (GOOD + "life_ms = 0\n", "line 5: rules.life_ms: 0 ns; above 0"),
        (GOOD + "margin_ms = -1\n", "line 5: rules.margin_ms: -1000000 ns is below 0"),
        (GOOD + "drift_ppm = 600000\n", "line 5: rules.drift_ppm: 600000; from 0"),
        (GOOD + "refresh_ms = 4000\n", "line 5: rules.refresh_ms: 4000000000 ns; two must fit"),
        (GOOD + "answer_within_ms = 0\n", "line 5: rules.answer_within_ms: 0; above 0"),
        (
            GOOD + "answer_within_ms = 8000\n",
            "line 5: rules.answer_within_ms: 8000; above 0 and under the 7420",
        ),
        (GOOD + "lives_ms = 8000\n", "line 5: rules.lives_ms: Object contains unknown field `lives_ms`"),
    ],
)
def test_a_table_that_cannot_be_kept_is_refused_with_line_and_field(
    tmp_path: Path,
    text: str,
    told: str,
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(Malformed) as wrong:
        read_operators(str(path))
    assert told in str(wrong.value), str(wrong.value)


def uncommented(text: str) -> str:
    """The example tables of installation.toml as an installation would have them."""
    return re.sub(r"^# ?(?=\[|[a-z_]+ = )", "", text, flags=re.MULTILINE)


def test_the_examples_of_deploy_are_read_and_rules_are_off_where_they_stand_commented(tmp_path: Path) -> None:
    text = (DEPLOY / "installation.toml").read_text()
    off, on = tmp_path / "off.toml", tmp_path / "on.toml"
    off.write_text(text)
    on.write_text(uncommented(text))
    assert read_operators(str(off)).rules is None
    rules = read_operators(str(on)).rules
    assert rules is not None and Path(rules.installation).name == "rulebook.toml"


@pytest.mark.parametrize("path", sorted(DEPLOY.glob("rulebook*.toml")), ids=lambda path: path.name)
def test_the_command_accepts_each_example_and_its_alone_is_as_cautious_as_its_rules(
    path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert command(["rules", "check", str(path), "--strict", "--json"]) == 0
    told = json.loads(capsys.readouterr().out)
    kinds = ("changes", "timelines") if "changes" in path.name else ("lists", "quotas", "shares", "wholes")
    assert told["right"] and all(told[kind] for kind in kinds)
