"""The head start's file: whole or not at all, and never a reason to break."""

from __future__ import annotations

import hashlib
import os
from dataclasses import replace
from pathlib import Path

import pytest

from ringshift.rulebook.document import Rulebook, Rules, digest
from ringshift.rulebook.version import Version
from ringshift.store import headstart
from ringshift.store.headstart import HEAD, MAGIC, keep, kept
from tests.rulebook.emulated import held

BOOK = Rulebook(held("y"), alone=Rules(lists=held("x")), alone_next=Rules())
VERSION = Version((2, 7), BOOK, digest(BOOK), "someone", "a reason")


def test_what_was_kept_is_read_and_replaced_whole(tmp_path: Path) -> None:
    path = tmp_path / "head"
    assert kept(path) == (None, f"{path}: none yet")
    keep(path, VERSION)
    assert kept(path) == (VERSION, "")
    longer = Rulebook(held(*map(str, range(1000))), alone=Rules())
    for one in (Version((2, 8), longer, digest(longer)), VERSION):
        keep(path, one)
        found, why = kept(path)
        assert (found, why) == (one, "") and found is not None and digest(found.book) == one.digest
    assert [one.name for one in tmp_path.iterdir()] == ["head"]


def test_a_file_damaged_at_any_byte_or_cut_off_anywhere_is_no_head_start(tmp_path: Path) -> None:
    path = tmp_path / "head"
    keep(path, VERSION)
    data = path.read_bytes()
    for place in range(len(data)):
        for broken in (data[:place], data[:place] + bytes([data[place] ^ 0x10]) + data[place + 1 :]):
            path.write_bytes(broken)
            found, why = kept(path)
            assert found is None and why.startswith(f"{path}: ") and len(why) > len(f"{path}: ")
    path.write_bytes(data + b"\0")
    assert kept(path)[0] is None


def sealed(number: int, body: bytes) -> bytes:
    data = HEAD.pack(MAGIC, number, len(body)) + body
    return data + hashlib.sha256(data).digest()


@pytest.mark.parametrize(
    ("data", "told"),
    [
        (b"", "cut off"),
        (b"[records]\nlines = true\n" * 20, "no head start's file"),
        (sealed(2, b"{}"), "format 2, not 1"),
        (sealed(0, b"{}"), "format 0, not 1"),
        (sealed(1, b"{}"), "missing required field"),
        (sealed(1, b"no json"), "JSON is malformed"),
        (sealed(1, b'{"epoch":0,"number":1,"digest":"d","book":{}}'), "missing required field `alone`"),
        (sealed(1, b'{"epoch":0,"number":1,"digest":"d","book":{"spells":1}}'), "unknown field `spells`"),
        (b"RSRB" + bytes(headstart.MOST), "more than"),
    ],
)
def test_a_foreign_and_another_programs_file_tell_why(tmp_path: Path, data: bytes, told: str) -> None:
    path = tmp_path / "head"
    path.write_bytes(data)
    found, why = kept(path)
    assert found is None and told in why


def test_a_folder_in_its_place_and_a_path_without_folder_tell_why(tmp_path: Path) -> None:
    assert kept(tmp_path)[0] is None and "directory" in kept(tmp_path)[1]
    with pytest.raises(OSError, match="No such file"):
        keep(tmp_path / "none" / "head", VERSION)


@pytest.mark.parametrize("step", ["write", "fsync", "replace"])
def test_a_crash_before_the_rename_leaves_the_old_one_and_the_next_keep_succeeds(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    step: str,
) -> None:
    path, after = tmp_path / "head", replace(VERSION, stamp=(2, 8))
    keep(path, VERSION)

    def crash(*args: object) -> None:
        raise OSError("crash")

    with monkeypatch.context() as patch:
        if step == "write":
            patch.setattr(hashlib, "sha256", crash)  # within the writing of the file beside it
        elif step == "fsync":
            patch.setattr(os, "fsync", crash)
        else:
            patch.setattr(Path, "replace", crash)
        with pytest.raises(OSError, match="crash"):
            keep(path, after)
    assert kept(path) == (VERSION, "")
    keep(path, after)
    assert kept(path) == (after, "")


def test_the_bytes_are_synced_before_the_rename_and_the_folder_after(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    path, order = tmp_path / "head", list[str]()
    real_sync, real_replace = os.fsync, Path.replace

    def sync(number: int) -> None:
        order.append("folder" if os.path.isdir(f"/proc/self/fd/{number}") else "file")
        real_sync(number)

    def rename(self: Path, target: Path) -> Path:
        order.append("rename")
        return real_replace(self, target)

    monkeypatch.setattr(os, "fsync", sync)
    monkeypatch.setattr(Path, "replace", rename)
    keep(path, VERSION)
    assert order == ["file", "rename", "folder"]
