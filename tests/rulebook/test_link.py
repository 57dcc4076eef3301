"""The rulebook at the keeper: each compare holding and failing, at the stand-in keeper's process."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Iterator
from dataclasses import replace

import msgspec
import orjson
import pytest

from ringshift.rulebook.bound import MS
from ringshift.rulebook.document import Rulebook, Rules, canonical, digest
from ringshift.rulebook.reader import News, Reader
from ringshift.rulebook.version import (
    KEPT,
    Effect,
    PublicationError,
    Publisher,
    Row,
    Stamp,
    State,
    Version,
    opening,
)
from ringshift.wire import rules, rulewords
from ringshift.wire.keeper import b64
from ringshift.wire.rules import Held, OddBook, RulesLink
from ringshift.wire.rulewords import read_row, read_version, write_row, write_version
from tests.rulebook.emulated import BASE, FIRST, TERMS, held
from tests.test_keeper import Member

ENDED = TERMS.surely_ended


@pytest.fixture(scope="module")
def member(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Member]:
    started = Member(tmp_path_factory.mktemp("keeper") / "member")
    yield started
    started.stop()


@pytest.fixture
def link(member: Member) -> RulesLink:
    made = RulesLink([f"127.0.0.1:{member.port}"], time.monotonic_ns, 10.0)
    made.call("/kv/deleterange", rules.under(""))
    assert made.begin(FIRST)
    return made


def book(*entries: str) -> Rulebook:
    return Rulebook(held(*entries), alone=BASE.alone)


def begun(link: RulesLink) -> Publisher:
    stands = link.read()
    assert stands.told is not None
    return Publisher.begun(TERMS, stands.told, stands.highest, stands.undoes, stands.by_all, link.versions())


def look(link: RulesLink, publisher: Publisher, now: int) -> list[tuple[str, bool]]:
    """One look, and what came of each effect."""
    stands, done = link.read(), list[tuple[str, bool]]()
    assert stands.told is not None
    for effect in publisher.look(now, stands.told, stands.rows, stands.absent, stands.highest):
        done.append((effect.kind, link.do(effect, stands)))
        if effect.kind == "put_in_force":
            publisher.landed(done[-1][1])
    return done


def propose(link: RulesLink, publisher: Publisher, next_book: Rulebook) -> Version:
    (effect,) = publisher.publish(next_book, "someone", "a reason")
    assert link.do(effect, link.read())
    return effect.version


def test_a_confirmation_is_answered_with_the_head_and_a_book_is_fetched_once(link: RulesLink) -> None:
    assert not link.begin(FIRST)  # only where no head is
    calls, fetched = link.call, list[str]()
    link.call = lambda path, body: fetched.append(path) or calls(path, body)  # type: ignore[method-assign, func-returns-value]
    told = link.confirm("a", Row(1, seen=(0, 3)))
    again = link.confirm("a", Row(2))
    assert told == again and told is not None and told.in_force == FIRST and told.proposed is None
    assert fetched == ["/kv/txn", "/kv/range", "/kv/txn"]
    assert told.place == (0, link.read().head_revision) and link.read().rows == {"a": Row(2)}


def test_nothing_published_is_told_as_such_and_a_first_publication_is_above_all_seen(link: RulesLink) -> None:
    link.call("/kv/deleterange", rules.under(""))  # a keeper that lost all
    row = Row(4, seen=(1, 70), high=(1, 6, "d"), floor=(1, 5))
    assert link.confirm("a", row) is None and link.read().told is None
    stamp = opening(link.read().rows)
    assert stamp == (2, 7) and opening({}) == (0, 1) == opening({"a": Row(9)})
    assert link.begin(replace(FIRST, stamp=stamp))
    told = link.confirm("a", row)
    assert told is not None and told.place > row.seen and told.in_force.stamp > row.high[:2]


def test_a_join_between_look_and_put_in_force_breaks_it(link: RulesLink) -> None:
    publisher = begun(link)
    version = propose(link, publisher, book("y"))
    link.confirm("a", Row(1, acked=version.mark))
    stands = link.read()
    assert stands.told is not None
    (put,) = publisher.look(0, stands.told, stands.rows)
    told = link.confirm("late", Row(1))
    assert told is not None and told.in_force == FIRST  # it acts by the old one from here on
    assert not link.do(put, stands)
    publisher.landed(False)
    assert look(link, publisher, 0) == []  # waited for, like any other
    link.confirm("late", Row(2, acked=version.mark))
    assert look(link, publisher, 0) == [("put_in_force", True)]
    told = link.confirm("late", Row(3))
    assert told is not None and told.in_force == version and told.proposed is None


def test_one_that_confirms_after_its_lease_was_read_as_ended_breaks_the_compare(link: RulesLink) -> None:
    link.confirm("a", Row(1))
    publisher = begun(link)
    propose(link, publisher, book("y"))
    assert look(link, publisher, 0) == [] == look(link, publisher, ENDED - 1)
    stands = link.read()
    assert stands.told is not None
    (put,) = publisher.look(ENDED, stands.told, stands.rows)
    assert put.ended == {"a": 1}
    link.confirm("a", Row(2))
    assert not link.do(put, stands) and link.read().absent == frozenset()


class Between(RulesLink):
    """Something happens after the ended readers were moved and before the head is written."""

    happens: Callable[[], object] = staticmethod(lambda: None)

    def write(self, *args: object) -> bool:
        self.happens()
        return super().write(*args)  # type: ignore[arg-type]


def test_an_ended_reader_is_moved_and_joins_anew_if_it_comes_back(member: Member, link: RulesLink) -> None:
    link.confirm("a", Row(1, seen=(0, 2)))
    publisher = begun(link)
    version = propose(link, publisher, book("y"))
    look(link, publisher, 0)
    stands, odd = link.read(), Between([f"127.0.0.1:{member.port}"], time.monotonic_ns, 10.0)
    assert stands.told is not None
    (put,) = publisher.look(ENDED, stands.told, stands.rows)
    odd.happens = lambda: link.confirm("a", Row(2))
    assert not odd.do(put, stands)
    publisher.landed(False)
    assert link.read().absent == frozenset() and link.read().rows == {"a": Row(2)}
    # Silent again for its whole lease, it is moved, and nothing stands between any more.
    assert look(link, publisher, ENDED) == []
    assert look(link, publisher, 2 * ENDED) == [("put_in_force", True)]
    after = link.read()
    assert after.absent == {"a"} and after.rows == {"a": Row(2)} and after.revisions == {}
    assert after.told is not None and after.told.in_force == version
    # The next publication does not wait for it, by whichever publisher.
    other = begun(link)
    propose(link, other, book("z"))
    assert look(link, other, 0) == [("put_in_force", True)]
    joins = link.read().joins_revision
    link.confirm("a", Row(3))
    assert link.read().absent == frozenset() and link.read().joins_revision > joins


def test_a_change_of_alone_waits_for_the_absent_too_until_it_is_forgotten(link: RulesLink) -> None:
    link.confirm("a", Row(1))
    publisher = begun(link)
    propose(link, publisher, book("y"))
    look(link, publisher, 0)
    assert look(link, publisher, ENDED) == [("put_in_force", True)]
    announced = Rulebook(held("y"), alone=BASE.alone, alone_next=Rules(lists=held("z")))
    version = propose(link, publisher, announced)
    assert link.read().by_all and look(link, publisher, 9 * ENDED) == []
    assert look(link, begun(link), 9 * ENDED) == []  # nor does a publisher started anew put it in force
    link.gone("a")
    assert look(link, publisher, 9 * ENDED) == [("put_in_force", True)]
    assert not link.read().by_all
    told = link.confirm("b", Row(1))
    assert told is not None and told.in_force == version


def test_no_number_is_used_twice_after_a_withdrawal_whoever_withdrew(link: RulesLink) -> None:
    publisher = begun(link)
    first = propose(link, publisher, book("y"))
    (back,) = begun(link).withdraw()
    assert link.do(back, link.read()) and not link.do(back, link.read())
    assert link.version(first.stamp) is None and link.read().highest == first.stamp
    # Its own publisher does not write it anew under the number that is used.
    assert look(link, publisher, 0) == [] and publisher.play is None
    second = propose(link, begun(link), book("z"))
    assert second.stamp == (0, 3) and first.stamp == (0, 2)
    again = replace(second, stamp=(0, 3), digest=digest(book("w")), book=book("w"))
    (back,) = begun(link).withdraw()
    assert link.do(back, link.read())
    assert not link.do(Effect("propose", again), link.read())


def test_withdrawing_what_is_in_force_says_what_it_undoes(link: RulesLink) -> None:
    publisher = begun(link)
    bad = propose(link, publisher, book("y"))
    assert look(link, publisher, 0) == [("put_in_force", True)]
    publisher = begun(link)
    (effect,) = publisher.withdraw("someone", "wrong")
    assert link.do(effect, link.read()) and link.read().undoes == bad.stamp
    anew = begun(link)  # one started anew leads it on, and knows what it undoes
    assert look(link, anew, 0) == [("put_in_force", True)]
    assert anew.in_force.digest == FIRST.digest and anew.in_force.stamp == (0, 3)
    assert [one.state for one in anew.past] == [State.SUPERSEDED, State.WITHDRAWN, State.IN_FORCE]


def test_of_two_publishers_at_once_exactly_one_proposes(link: RulesLink) -> None:
    one, other = begun(link), begun(link)
    stands = link.read()
    effects = [one.publish(book("y"))[0], other.publish(book("z"))[0]]
    assert [link.do(effect, stands) for effect in effects] == [True, False]
    assert look(link, other, 0) == [] and other.play is None  # beaten, and told so
    assert look(link, one, 0) == [("put_in_force", True)]
    with pytest.raises(PublicationError, match="two in play"):
        propose(link, one, book("v"))
        one.publish(book("w"))


def test_a_proposal_is_made_on_the_version_that_it_was_checked_against(link: RulesLink) -> None:
    stale, quick = begun(link), begun(link)
    propose(link, quick, book("y"))
    assert look(link, quick, 0) == [("put_in_force", True)]
    (effect,) = stale.publish(book("z"))
    effect = replace(effect, version=replace(effect.version, stamp=(0, 9)))  # its number alone is no bar
    assert not link.do(effect, link.read()) and link.do(replace(effect, base=(0, 2)), link.read())


class Losing(RulesLink):
    """The answer to each write of the head is lost; the write is not."""

    def write(self, *args: object) -> bool:
        assert super().write(*args)  # type: ignore[arg-type]
        raise ConnectionError("lost")


def test_a_lost_answer_of_put_in_force_is_found_by_the_next_look(member: Member, link: RulesLink) -> None:
    publisher = begun(link)
    version = propose(link, publisher, book("y"))
    losing = Losing([f"127.0.0.1:{member.port}"], time.monotonic_ns, 10.0)
    with pytest.raises(ConnectionError):
        look(losing, publisher, 0)
    assert publisher.play is not None and publisher.play.state is State.ACKNOWLEDGED
    assert look(link, publisher, 1) == [] and publisher.in_force == version and publisher.play is None
    # The same of a proposal: written once, found, and led on.
    (effect,) = publisher.publish(book("z"))
    with pytest.raises(ConnectionError):
        losing.do(effect, link.read())
    assert look(link, publisher, 2) == [("put_in_force", True)]


def test_old_versions_are_compacted_under_a_bound(link: RulesLink) -> None:
    publisher, most = begun(link), 0
    for number in range(KEPT + 12):
        propose(link, publisher, book(f"entry{number}"))
        most = max(most, len(link.call("/kv/range", rules.under("versions/"))["kvs"]))
        assert look(link, publisher, 0) == [("put_in_force", True)]
    assert most == KEPT + 2
    stamps = [one.stamp for one in link.versions()]
    assert stamps == sorted(stamps) and len(stamps) == KEPT + 2 and stamps[-1] == publisher.in_force.stamp
    assert link.version((0, 1)) is None and len(link.books) <= rules.BOOKS
    assert len(begun(link).past) == KEPT + 2


def test_many_ended_readers_are_moved_in_batches(link: RulesLink) -> None:
    for number in range(2 * rules.MOST_MOVED + 5):
        link.confirm(f"n{number}", Row(1))
    publisher = begun(link)
    propose(link, publisher, book("y"))
    look(link, publisher, 0)
    assert look(link, publisher, ENDED) == [("put_in_force", True)]
    assert len(link.read().absent) == 2 * rules.MOST_MOVED + 5 and not link.read().revisions


def test_absent_readers_are_kept_under_a_bound_and_none_is_dropped_for_it(
    link: RulesLink,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rules, "MOST_ABSENT", 1)
    for name in ("a", "b"):
        link.confirm(name, Row(1))
    publisher = begun(link)
    propose(link, publisher, book("y"))
    look(link, publisher, 0)
    with pytest.raises(ValueError, match="more than 1 absent readers: `ringshift rules forget`"):
        look(link, publisher, ENDED)
    link.gone("b")
    publisher = begun(link)
    look(link, publisher, 0)
    assert look(link, publisher, ENDED) == [("put_in_force", True)] and link.read().absent == {"a"}


def newer(stamp: Stamp) -> Version:
    """Of a program that knows more: its book has a field that this one can't read."""
    raw = canonical(book("y"))[:-1] + b',"spells":[]}'
    return Version(stamp, BASE, hashlib.sha256(raw).hexdigest(), reason=raw.decode())


def write_newer(version: Version) -> bytes:
    return msgspec.json.encode(rulewords.Stored(version.digest, msgspec.Raw(version.reason.encode())))


def test_a_proposal_that_an_older_program_cannot_read_is_refused_with_the_reason(
    link: RulesLink,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reader = Reader(TERMS, BASE.alone)
    row = reader.hear(News.TICK, 0)
    assert row is not None
    monkeypatch.setattr(rules, "write_version", write_newer)
    assert link.do(Effect("propose", newer((0, 2))), link.read())
    told = link.confirm("old", row)
    assert told is not None and told.proposed is not None and "spells" in told.proposed.odd
    refusal = reader.hear(News.ANSWERED, MS, told, row.n)
    assert refusal is not None and refusal.refused[:2] == (0, 2) and "spells" in refusal.why
    assert reader.acting(MS) and reader.basis == (FIRST,)  # it acts on by what it can read
    link.confirm("old", refusal)
    publisher = begun(link)
    assert look(link, publisher, 0) == [("take_back", True)] and publisher.play is None


def test_what_is_in_force_and_cannot_be_read_gives_no_time(
    link: RulesLink,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rules, "write_version", write_newer)
    link.call("/kv/deleterange", rules.under(""))
    assert link.begin(newer((0, 1)))
    with pytest.raises(OddBook, match="spells"):
        link.confirm("old", Row(1))
    assert len(link.call("/kv/range", rules.under("readers/"))["kvs"]) == 1  # known as a reader all the same
    with pytest.raises(OddBook):
        link.read()


def test_bytes_that_are_not_those_of_the_digest_are_never_a_version(link: RulesLink) -> None:
    data = write_version(FIRST)
    assert read_version((0, 1), data) == FIRST
    with pytest.raises(ValueError, match="another digest"):
        read_version((0, 1), data.replace(b'"x"', b'"y"'))
    with pytest.raises(ValueError, match=r"version \(0, 1\)"):
        read_version((0, 1), data[:-5])
    with pytest.raises(ValueError, match=r"^digest: "):
        write_version(replace(FIRST, digest="0" * 64))
    with pytest.raises(ValueError, match=r"^author: "):
        write_version(replace(FIRST, author="a" * 2000))
    big = book(*(f"{number:0200d}" for number in range(6000)))
    with pytest.raises(ValueError, match=r"^book: \d+ bytes"):
        write_version(Version((0, 1), big, digest(big)))
    # A head that names another digest than the version's own is asked for anew, never acted by.
    head = rulewords.Head((0, 1, "f" * 64), None, None, (0, 1), False)
    link.call("/kv/put", {"key": rules.key("head"), "value": b64(msgspec.json.encode(head))})
    with pytest.raises(ValueError, match="not what the head named"):
        link.confirm("a", Row(1))


def test_rows_go_both_ways_and_one_that_cannot_be_read_is_a_reader_that_lives_while_it_writes() -> None:
    row = Row(7, (1, 2, "ab"), (1, 3, "cd"), "too new", (1, 44), (1, 3, "cd"), (1, 2))
    assert read_row(write_row(row), 9) == row
    long = replace(row, why="\N{HANGUL SYLLABLE GAG}" * 5000)
    assert len(write_row(long)) <= rulewords.MOST_ROW
    assert len(read_row(write_row(long), 9).why) <= rulewords.MOST_WHY
    assert read_row(orjson.dumps([*orjson.loads(write_row(row)), "more"]), 9) == row
    for data in (b"", b"[]", b"{", b'[1,"a"]', b"[" * 3000, b'{"n": 1}'):
        assert read_row(data, 9) == Row(9)


@pytest.mark.parametrize("name", ["", "a/b", "a" * 201, "../head", "a b", "\u00e9"])
def test_a_name_that_is_no_key_is_refused(link: RulesLink, name: str) -> None:
    with pytest.raises(ValueError, match=r"^reader: "):
        link.confirm(name, Row(1))
    with pytest.raises(ValueError, match=r"^reader: "):
        link.gone(name)
    rulewords.check_name(rulewords.reader_name(name))


def test_held_says_nothing_where_nothing_is(link: RulesLink) -> None:
    link.call("/kv/deleterange", rules.under(""))
    assert link.read() == Held(None, keeper=link.cluster) and link.versions() == [] and link.cluster
    assert not link.do(Effect("propose", FIRST), link.read())
