"""A retirement at the keeper, as etcd v3 calls: rows of backends, the fleet's counts, the ramp's position.

Under `/ringshift/retire/NAME/` lie `rows/BACKEND`, what one backend tells; `state`, the ramp's position, read
by every backend; `counts`, the warnings of backends that are no more, read by the ramp's holder only, so that
a refresh stays small; `word`, an operator's pause. `/ringshift/retire-heads/NAME` is the state's head,
written with it. A backend's refresh is one transaction: its row put, the head read; the state is fetched by
another call where it is not held (ringshift/retirement/holding.py). What the holder writes holds only while
the lease's key is at its token, and `state`, `counts` and `word` are as it read them: so the keeper is the
fence, a holder that was stalled writes nothing, and no step overtakes a pause that was there before it. It
reads what changed since its last look, whose mark is `/ringshift/retire-looks/NAME`
(ringshift/retirement/sight.py).

**A warning is counted once.** A row's counts are all of its backend's, so one that is put again adds nothing.
The row of a backend that is no more is added to `counts` and deleted in one transaction, which compares the
row as read; a backend that was only silent finds by the compare of its next refresh that its row went, and
begins another from nothing. A backend's first row has no counts: where its answer was lost, nothing could be
told twice. Blocking calls, for threads.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ringshift.retirement.figures import Figures
from ringshift.retirement.holding import Holding, Seen
from ringshift.retirement.position import Head, Position, head_of
from ringshift.retirement.sight import Ask, Told
from ringshift.retirement.warn import Counted, Counts
from ringshift.wire.keeper import KeeperLink, b64
from ringshift.wire.rules import at_revision as at_rules

HEADS, CLEARED = "/ringshift/retire-heads/", "/ringshift/retire-cleared"
MOST_FOLDED = 60  # rows in one transaction: a compare and a write each, and etcd takes 128 of either
MOST_NAME = 200  # characters of a backend's name
MOST_ROW = 512 * 1024  # bytes


class Row(msgspec.Struct, frozen=True):
    """What one backend tells. `n`: a number that grows with each; `warned`: by caller, since the row was
    begun; `leaving`: its last."""

    n: int
    figures: Figures = Figures()
    warned: dict[int, Counted] = {}
    leaving: bool = False


class Word(msgspec.Struct, frozen=True):
    """An operator's: no step is moved while `paused`."""

    paused: bool = False
    reason: str = ""
    author: str = ""


@dataclass(frozen=True)
class Answer:
    """Of a row's putting. `created`: the row's create revision, 0 where it went."""

    created: int
    position: Position | None


@dataclass(frozen=True)
class Held:
    """All that the keeper has of one retirement, read at once; revisions are 0 of what isn't there."""

    rows: Mapping[str, Row] = field(default_factory=dict)
    revisions: Mapping[str, int] = field(default_factory=dict)
    position: Position | None = None
    revision: int = 0
    counts: Counts = field(default_factory=dict)
    counts_revision: int = 0
    word: Word = Word()
    word_revision: int = 0


Kept = Row | Position | Word | dict[int, Counted] | None


def read_row(backend: str, data: bytes) -> Row | None:
    """None for what is no row: whoever wrote it is not counted."""
    try:
        if len(backend) > MOST_NAME or len(data) > MOST_ROW:
            return None
        return msgspec.json.decode(data, type=Row)
    except ValueError:
        return None


def kept(key: str, data: bytes) -> Kept:
    """One key's value, by its name under the retirement's; None for what nobody reads."""
    if key.startswith("rows/"):
        return read_row(key.removeprefix("rows/"), data)
    if key == "counts":
        return msgspec.json.decode(data, type=dict[int, Counted])
    if key == "state":
        return msgspec.json.decode(data, type=Position)
    return msgspec.json.decode(data, type=Word) if key == "word" else None


def held(keys: Mapping[str, tuple[int, Kept]]) -> Held:
    rows = {key.removeprefix("rows/"): one for key, one in keys.items() if key.startswith("rows/") and one[1]}
    position, counts, word = (keys.get(one, (0, None)) for one in ("state", "counts", "word"))
    return Held(
        {name: row for name, (_, row) in rows.items() if isinstance(row, Row)},
        {name: revision for name, (revision, _) in rows.items()},
        position[1] if isinstance(position[1], Position) else None,
        position[0],
        counts[1] if isinstance(counts[1], dict) else {},
        counts[0],
        word[1] if isinstance(word[1], Word) else Word(),
        word[0],
    )


def read_head(data: bytes) -> Head:
    """Without a digest for what is no head: then the state is fetched."""
    try:
        return msgspec.json.decode(data, type=Head)
    except ValueError:
        return Head("")


def found(response: dict[str, Any]) -> list[dict[str, Any]]:
    kvs: list[dict[str, Any]] = response["response_range"].get("kvs", [])
    return kvs


def value(kv: dict[str, Any]) -> bytes:
    return base64.b64decode(kv.get("value", ""))


def ranged(key: str, keys_only: bool = False) -> dict[str, Any]:
    """`keys_only`: with the revisions, without the value."""
    return {"request_range": {"key": b64(key.encode()), **({"keys_only": True} if keys_only else {})}}


def revision(kvs: list[dict[str, Any]], name: str = "mod_revision") -> int:
    return int(kvs[0][name]) if kvs else 0


def put(key: str, data: bytes) -> dict[str, Any]:
    return {"request_put": {"key": b64(key.encode()), "value": b64(data)}}


def deleted(key: str) -> dict[str, Any]:
    return {"request_delete_range": {"key": b64(key.encode())}}


def at_revision(key: str, revision: int) -> dict[str, Any]:
    return {"key": b64(key.encode()), "result": "EQUAL", "target": "MOD", "mod_revision": str(revision)}


class RetireLink(KeeperLink):
    """Raises whatever the client raises where the keeper does not answer, ValueError where it answers oddly:
    a position that can't be read is never taken for none."""

    @staticmethod
    def prefix(name: str) -> str:
        return f"/ringshift/retire/{name}/"

    @staticmethod
    def head(name: str) -> str:
        """Not beside the state: whoever looks for all retirements finds heads, and no more."""
        return HEADS + name

    @staticmethod
    def mark(name: str) -> str:
        return f"/ringshift/retire-looks/{name}"

    def heads(self) -> dict[str, Head]:
        """Of all retirements that the keeper has anything of."""
        span = {"key": b64(HEADS.encode()), "range_end": b64(f"{HEADS[:-1]}0".encode())}  # '0' follows '/'
        kvs = self.call("/kv/range", span).get("kvs", [])
        return {
            base64.b64decode(kv["key"]).decode(errors="replace").removeprefix(HEADS): read_head(value(kv))
            for kv in kvs
        }

    def put(self, name: str, backend: str, row: Row, created: int, holding: Holding | None = None) -> Answer:
        """The row put, where it is at its create revision `created` still (0: nowhere yet). Where one is
        there although `created` is 0, an earlier first was put: its revision is answered, nothing is put.
        `holding`: what this backend has of the state; where that is not current, it is fetched as well."""
        holding, prefix = holding or Holding(), self.prefix(name)
        key = f"{prefix}rows/{backend}"
        reads = [ranged(self.head(name)), ranged(f"{prefix}state", True), ranged(key, True)]
        answer = self.call(
            "/kv/txn",
            {
                "compare": [
                    {
                        "key": b64(key.encode()),
                        "result": "EQUAL",
                        "target": "CREATE",
                        "create_revision": str(created),
                    }
                ],
                "success": [put(key, msgspec.json.encode(row)), *reads],
                "failure": reads,
            },
        )
        named, state, mine = (found(one) for one in answer["responses"][-3:])
        said = read_head(value(named[0])).digest if named else ""
        if holding.told(Seen(revision(state), revision(named), said)):
            holding.come(self.position(name))
        there = revision(mine, "create_revision")
        return Answer(there if answer.get("succeeded") or not created else 0, holding.position)

    def position(self, name: str) -> Position | None:
        kvs = self.call("/kv/range", {"key": b64(f"{self.prefix(name)}state".encode())}).get("kvs", [])
        return msgspec.json.decode(value(kvs[0]), type=Position) if kvs else None

    @classmethod
    def span(cls, name: str) -> dict[str, str]:
        """All keys of a retirement but its head and its mark."""
        prefix = cls.prefix(name)
        return {"key": b64(prefix.encode()), "range_end": b64(f"{prefix[:-1]}0".encode())}  # '0' follows '/'

    @classmethod
    def under(cls, name: str, since: int = 0) -> dict[str, Any]:
        """All keys of a retirement, of which those are told that were written at `since` or later."""
        least = {"min_mod_revision": str(since)} if since else {}
        return {"request_range": {**cls.span(name), **least}}

    def read(self, name: str) -> Held:
        answer = self.call("/kv/txn", {"compare": [], "failure": [], "success": [self.under(name)]})
        return held(self.keys(name, found(answer["responses"][0])))

    def look(self, name: str, ask: Ask) -> Told[Kept]:
        """The ramp holder's: what `ask` says, and its mark written, in one transaction."""
        key = self.mark(name)
        expects = {
            "key": b64(key.encode()),
            "result": "EQUAL",
            "target": "VALUE",
            "value": b64(ask.expects.encode()),
        }
        mark = put(key, ask.mark.encode())
        answer = self.call(
            "/kv/txn",
            {
                "compare": [expects] if ask.since else [],
                "success": [mark, self.under(name, ask.since)],
                "failure": [mark, self.under(name)],
            },
        )
        whole = not ask.since or not answer.get("succeeded")
        count = int(answer["responses"][1]["response_range"].get("count", 0))
        keys = self.keys(name, found(answer["responses"][1]))
        return Told(int(answer["header"]["revision"]), count, keys, whole)

    def keys(self, name: str, kvs: list[dict[str, Any]]) -> dict[str, tuple[int, Kept]]:
        prefix, out = self.prefix(name), dict[str, tuple[int, Kept]]()
        for kv in kvs:
            key = base64.b64decode(kv["key"]).decode(errors="replace").removeprefix(prefix)
            out[key] = int(kv["mod_revision"]), kept(key, value(kv))
        return out

    def write(
        self,
        name: str,
        task_key: bytes,
        token: int,
        held: Held,
        position: Position | None = None,
        counts: Counts | None = None,
        gone: Iterable[str] = (),
    ) -> bool:
        """Whether it was written; not where the lease is another's by now, or what it was decided on changed
        since `held` was read. Rows may have, but for those of `gone`: they go, added up in `counts`."""
        prefix = self.prefix(name)
        compares = self.unchanged(name, task_key, token, held)
        writes = list[dict[str, Any]]()
        if position is not None:
            writes.append(put(f"{prefix}state", msgspec.json.encode(position)))
            writes.append(put(self.head(name), msgspec.json.encode(head_of(position))))
        if counts is not None:
            writes.append(put(f"{prefix}counts", msgspec.json.encode(dict(counts))))
        for backend in gone:
            compares.append(at_revision(f"{prefix}rows/{backend}", held.revisions[backend]))
            writes.append(deleted(f"{prefix}rows/{backend}"))
        answer = self.call("/kv/txn", {"compare": compares, "success": writes, "failure": []})
        return bool(answer.get("succeeded"))

    def unchanged(self, name: str, task_key: bytes, token: int, held: Held) -> list[dict[str, Any]]:
        prefix = self.prefix(name)
        return [
            *self.fence(task_key, token),
            at_revision(f"{prefix}state", held.revision),
            at_revision(f"{prefix}counts", held.counts_revision),
            at_revision(f"{prefix}word", held.word_revision),
        ]

    def cleared(self) -> tuple[int, int]:
        """The highest edition of all retirements whose keys went, and the revision of its key; 0 for none."""
        kvs = self.call("/kv/range", {"key": b64(CLEARED.encode())}).get("kvs", [])
        return (msgspec.json.decode(value(kvs[0]), type=int) if kvs else 0), revision(kvs)

    def clear(
        self, name: str, task_key: bytes, token: int, held: Held, rules: int, highest: int, cleared: int
    ) -> bool:
        """Whether all that the keeper has of it went, and `highest` is written instead, for all names; not
        where the lease is another's by now, or what it was decided on changed: `rules` and `cleared` are the
        revisions of the rulebook's head and of the number's key. A backend that told of it all the same finds
        its row gone, and begins another from nothing."""
        compares = [
            *self.unchanged(name, task_key, token, held),
            at_rules("head", rules),
            at_revision(CLEARED, cleared),
        ]
        gone = {"request_delete_range": self.span(name)}
        writes = [
            gone,
            deleted(self.head(name)),
            deleted(self.mark(name)),
            put(CLEARED, msgspec.json.encode(highest)),
        ]
        return bool(
            self.call("/kv/txn", {"compare": compares, "success": writes, "failure": []}).get("succeeded")
        )

    def name_head(self, name: str, task_key: bytes, token: int, head: Head) -> bool:
        """The head alone is written, of a ramp that is withdrawn: whoever still follows it fetches its state
        at each refresh."""
        answer = self.call(
            "/kv/txn",
            {
                "compare": self.fence(task_key, token),
                "failure": [],
                "success": [put(self.head(name), msgspec.json.encode(head))],
            },
        )
        return bool(answer.get("succeeded"))

    @staticmethod
    def fence(task_key: bytes, token: int) -> list[dict[str, Any]]:
        return [{"key": b64(task_key), "result": "EQUAL", "target": "CREATE", "create_revision": str(token)}]

    def say(self, name: str, word: Word) -> None:
        """An operator's word: whatever is written after it was decided with it."""
        key = f"{self.prefix(name)}word"
        self.call("/kv/put", {"key": b64(key.encode()), "value": b64(msgspec.json.encode(word))})
