"""The comparison of two texts of the decisions, where the newer one has other names."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.same import Renames, read_renames

OLD = "Throttle(inv=3, pause=5, why=Why.FULL, text='line full: inv')"


def test_names_are_replaced_and_every_value_stays() -> None:
    renames = Renames({"inv": "invocation", "Why": "Reason", "FULL": "QUEUE_FULL"}, {})
    assert renames(OLD) == "Throttle(invocation=3, pause=5, why=Reason.QUEUE_FULL, text='line full: inv')"


def test_a_text_is_replaced_whole_by_the_table_of_texts(tmp_path: Path) -> None:
    path = tmp_path / "renames.toml"
    path.write_text('[texts]\n"line full: inv" = "queue full"\n')
    assert read_renames(path)(OLD) == "Throttle(inv=3, pause=5, why=Why.FULL, text='queue full')"


def test_without_a_table_nothing_is_replaced(tmp_path: Path) -> None:
    assert read_renames(tmp_path / "none.toml")(OLD) == OLD


def test_two_names_that_became_one_are_refused() -> None:
    with pytest.raises(ValueError, match="two names became one"):
        Renames({"inv": "invocation", "job": "invocation"}, {})


def test_a_new_name_that_meant_something_else_before_is_refused() -> None:
    with pytest.raises(ValueError, match="pause: a new name that the older text has for something else"):
        Renames({"inv": "pause"}, {})(OLD)
