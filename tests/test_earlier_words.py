"""The count of the earlier style's words."""

from __future__ import annotations

from pathlib import Path

from benchmarks.earlier_words import counted

MODULE = '''"""The keeper's doors."""

KEEPER_DOOR = 1  # a lot


class OldNews:
    text = "a keeper in a text"
'''


def test_words_are_counted_in_parts_of_names_and_in_comments(tmp_path: Path) -> None:
    module = tmp_path / "ringshift" / "wire" / "link.py"
    module.parent.mkdir(parents=True)
    module.write_text(MODULE)
    (found,) = counted(tmp_path).items()
    package, (in_names, in_comments) = found
    assert package == "ringshift/wire"
    assert in_names == {"keeper": 1, "door": 1, "news": 1}
    assert in_comments == {"keeper": 1, "door": 1, "lot": 1}
