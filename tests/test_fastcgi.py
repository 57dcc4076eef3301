"""The codec: plain cases against the specification, and any split of any legal stream."""

from __future__ import annotations

import gc
import struct
import tracemalloc
from collections.abc import Callable, Iterable, Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringshift.wire import fastcgi
from ringshift.wire.fastcgi import Aborted, Answer, Decoder, NotFastCGI, Request
from ringshift.wire.half_sent import HalfSent
from ringshift.wire.lines import Lines, TooLong

BUFFER = fastcgi.new_buffer()
Half = Callable[[int], bytes]


def took(decoder: Decoder, piece: bytes) -> Iterator[fastcgi.Message]:
    """The messages of a piece that fits into the buffer at once."""
    decoder.space()[: len(piece)] = piece
    return decoder.took(len(piece))


def feed(decoder: Decoder, pieces: Iterable[bytes]) -> list[object]:
    """Messages as plain values, taken as the connection takes them: before the buffer is used again."""
    said: list[object] = []
    for piece in pieces:
        while piece:
            space = decoder.space()
            size = min(len(space), len(piece))
            space[:size], piece = piece[:size], piece[size:]
            for message in decoder.took(size):
                if isinstance(message, Request):
                    said.append((message.id, message.keep, message.params, message.body, message.wrong))
                    decoder.close(message.id)
                else:
                    said.append(message)
                    if isinstance(message, Aborted):
                        decoder.close(message.id)
    return said


def padded(kind: int, request: int, content: bytes, padding: int) -> bytes:
    return struct.pack("!BBHHBx", 1, kind, request, len(content), padding) + content + b"\xff" * padding


def begin(request: int, role: int = 1, flags: int = 1) -> bytes:
    return padded(fastcgi.BEGIN, request, struct.pack("!HB5x", role, flags), 0)


def test_bytes_of_an_answer() -> None:
    assert fastcgi.end(258, fastcgi.OVERLOADED) == b"\x01\x03\x01\x02\x00\x08\x00\x00" + b"\0\0\0\0\x02\0\0\0"
    answer = fastcgi.reply(1, 200, {"X-Advice": "1.5"}, b"\r\n\x00")
    assert answer.startswith(b"\x01\x06\x00\x01") and answer.endswith(fastcgi.record(6, 1) + fastcgi.end(1))
    assert b"Status: 200\r\n" in answer and b"X-Advice: 1.5\r\n\r\n\r\n\x00" in answer


def test_pairs_have_lengths_of_one_or_four_bytes() -> None:
    long = "v" * 300
    data = fastcgi.write_pairs({"a": "", "b": long})
    assert data == b"\x01\x00a" + b"\x01\x80\x00\x01\x2cb" + long.encode()
    assert fastcgi.read_pairs(memoryview(data)) == {"a": "", "b": long}
    for cut in (1, 2, 4, len(data) - 1):
        with pytest.raises(ValueError):
            fastcgi.read_pairs(data[:cut])


def test_records_of_closed_requests_are_passed_over_and_ids_can_come_again() -> None:
    decoder = Decoder()
    call = begin(1) + padded(fastcgi.PARAMS, 1, b"", 3) + padded(fastcgi.STDIN, 1, b"", 0)
    late = padded(fastcgi.STDIN, 1, b"late", 5) + padded(fastcgi.ABORT, 1, b"", 0)
    assert feed(decoder, [call, late, call]) == [(1, True, {}, b"", "")] * 2
    assert not decoder.open and not decoder.partial


def test_a_second_begin_of_an_open_request_is_no_fastcgi() -> None:
    with pytest.raises(NotFastCGI):
        feed(Decoder(), [begin(1) + begin(1)])


def test_oversized_streams_fail_their_request_alone_at_once_without_being_kept() -> None:
    """Its end may never come: one that waited for it was told nothing at all."""
    decoder = Decoder()
    huge = padded(fastcgi.STDIN, 1, bytes(60_000), 200)
    assert [m[4] for m in feed(Decoder(), [begin(1) + huge]) if isinstance(m, tuple)] == ["body over 2 KiB"]
    heads = [begin(n) + padded(fastcgi.PARAMS, n, b"", 0) for n in (1, 2)]
    ends = [padded(fastcgi.STDIN, n, b"", 0) for n in (1, 2)]
    said = feed(decoder, [heads[0] + huge + ends[0], heads[1] + ends[1]])
    assert [(m[0], m[3], m[4]) for m in said if isinstance(m, tuple)] == [
        (1, b"", "body over 2 KiB"),
        (2, b"", ""),
    ]


def test_big_unknown_management_records_are_answered_once() -> None:
    said = feed(Decoder(), [padded(99, 0, bytes(40_000), 255)])
    assert said == [Answer(fastcgi.record(fastcgi.UNKNOWN_TYPE, 0, b"\x63" + bytes(7)))]


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.tuples(st.integers(0, 1), st.integers(1, 900)), max_size=40))
def test_connections_that_share_a_buffer_read_as_with_their_own(pieces: list[tuple[int, int]]) -> None:
    """What one has not read whole must outlive what the other reads into the same place."""
    buffer = fastcgi.new_buffer()
    shared = [Decoder(buffer), Decoder(buffer)]
    calls = [
        begin(1)
        + padded(fastcgi.PARAMS, 1, fastcgi.write_pairs({"a": mark * 300}), 9)
        + padded(fastcgi.PARAMS, 1, b"", 0)
        + padded(fastcgi.STDIN, 1, mark.encode() * 900, 5)
        + padded(fastcgi.STDIN, 1, b"", 0)
        for mark in "xy"
    ]
    left, said = list(calls), list[list[object]]([[], []])
    for which, size in [*pieces, (0, 9999), (1, 9999)]:
        data, left[which] = left[which][:size], left[which][size:]
        said[which] += feed(shared[which], [data])
    for which, mark in enumerate("xy"):
        assert said[which] == [(1, True, {"a": mark * 300}, mark.encode() * 900, "")]


def test_half_sent_requests_of_one_connection_are_bounded_together() -> None:
    decoder = Decoder()
    said = feed(decoder, [begin(n) + padded(fastcgi.PARAMS, n, bytes(8000), 0) for n in range(1, 33)])
    held = sum(len(request.pairs) for request in decoder.coming.values())
    assert held <= decoder.held <= fastcgi.MOST_COMING + fastcgi.REQUEST_BYTES
    assert {m[4] for m in said if isinstance(m, tuple)} == {"too much half sent on one connection"}


FULL = {**{f"NAME_{n}": "" for n in range(50)}, "LONG": "v" * 200}
FULL_PARAMS = fastcgi.write_pairs(FULL)


def params_by(size: int) -> Half:
    return lambda n: begin(n) + padded(fastcgi.PARAMS, n, bytes(size), 0) * (1000 // size)


def all_params(number: int) -> bytes:
    return (
        begin(number)
        + padded(fastcgi.PARAMS, number, FULL_PARAMS, 0)
        + padded(fastcgi.PARAMS, number, b"", 0)
    )


def body_by_one(number: int) -> bytes:
    return all_params(number) + padded(fastcgi.STDIN, number, b"x", 0) * 500


HALVES: dict[str, Half] = {
    "begins": begin,
    **{f"params by {size}": params_by(size) for size in (1, 2, 16, 200, 1000)},
    "many params, no body": all_params,
    "body by 1": body_by_one,
    "a piece of a record": lambda n: begin(n) + padded(fastcgi.PARAMS, n, bytes(200), 0)[:-1],
}


@pytest.mark.parametrize("first", [1, 60_000], ids=["low ids", "high ids"])
@pytest.mark.parametrize("form", HALVES)
def test_what_is_half_sent_takes_no_more_memory_than_is_counted(form: str, first: int) -> None:
    """Counted by bytes on the wire it took up to forty times as much, and what had only begun was not:
    200 clients took a backend over its limit in seconds."""
    decoders = [Decoder(BUFFER) for _ in range(5)]
    wire = [HALVES[form](first + n) for n in range(8)]
    gc.collect()
    tracemalloc.start()
    for decoder in decoders:
        feed(decoder, wire if form != "a piece of a record" else wire[:1])
    gc.collect()
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert all(decoder.coming for decoder in decoders)
    assert taken <= sum(decoder.held for decoder in decoders)


def test_a_flood_of_small_records_gets_smaller_turns_until_it_ends() -> None:
    """A turn of 16 KiB in records of two bytes took thirty times as long as one of whole requests: with two
    hundred such clients sound ones were answered after their objectives."""
    decoder = Decoder()
    assert len(decoder.space()) == fastcgi.ROOM_FOR_SMALL, "the first turns of hundreds come at once"
    feed(decoder, [padded(fastcgi.PARAMS, 1, b"x" * 1000, 0)])
    assert len(decoder.space()) == fastcgi.ROOM
    flood = begin(1) + padded(fastcgi.PARAMS, 1, b"xx", 0) * 500
    feed(decoder, [flood])
    assert len(decoder.space()) == fastcgi.ROOM_FOR_SMALL
    feed(decoder, [padded(fastcgi.PARAMS, 1, b"x" * 1000, 0)])
    assert len(decoder.space()) == fastcgi.ROOM


@pytest.mark.parametrize("name", [b"", b"a"])
def test_fields_of_one_name_are_too_many_as_soon_as_those_of_many_names(name: bytes) -> None:
    """A head of 8,000 bytes with thousands of fields of one name took milliseconds to read, and hundreds of
    clients that sent such heads kept sound requests waiting for seconds."""
    field = bytes((len(name), 0)) + name
    assert fastcgi.read_pairs(field * fastcgi.MOST_PAIRS) == {name.decode(): ""}
    with pytest.raises(ValueError, match="too many"):
        fastcgi.read_pairs(field * (fastcgi.MOST_PAIRS + 1))


def test_a_decoder_whose_requests_are_over_holds_no_more_than_a_new_one() -> None:
    """Tables that are emptied one by one keep the size that they had."""
    wire = [
        begin(n) + padded(fastcgi.PARAMS, n, b"", 0) + padded(fastcgi.STDIN, n, b"", 0) for n in range(1, 33)
    ]
    decoders = [Decoder(BUFFER) for _ in range(50)]
    gc.collect()
    tracemalloc.start()
    for decoder in decoders:
        for message in [message for piece in wire for message in took(decoder, piece)]:
            assert isinstance(message, Request)
        for number in range(1, 33):
            decoder.close(number)
    gc.collect()
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert taken < 100 * len(decoders)


def test_half_sent_requests_in_pieces_of_a_byte_read_as_in_one() -> None:
    """Parameters that are whole before the body ends are kept as their bytes and read again."""
    call = (
        begin(1) + padded(fastcgi.PARAMS, 1, fastcgi.write_pairs(FULL), 1) + padded(fastcgi.PARAMS, 1, b"", 0)
    )
    call += padded(fastcgi.STDIN, 1, b"body", 3) + padded(fastcgi.STDIN, 1, b"", 0)
    decoder = Decoder()
    assert feed(decoder, [call]) == feed(Decoder(), [call[at : at + 1] for at in range(len(call))])
    assert decoder.held == 0


class Holding:
    """A connection as far as the bound on half-sent requests knows it."""

    def __init__(self, bound: HalfSent) -> None:
        self.bound, self.why = bound, ""

    def give_half_sent_up(self, why: str) -> None:
        self.why = why
        self.bound.hold(self, 0)


def test_beyond_the_bound_of_all_the_one_that_holds_most_loses_alone() -> None:
    """The one that sent last lost, which was a sound client as well as any."""
    bound = HalfSent(3000)
    first, second, third = (Holding(bound) for _ in range(3))
    for holder, size in ((first, 900), (second, 1200), (third, 900)):
        bound.hold(holder, size)
        bound.enforce()
    assert not (first.why or second.why or third.why) and bound.held == 3000
    bound.hold(first, 901)
    bound.enforce()
    assert [one.why for one in (first, second, third)] == ["", "too much half sent on all connections", ""]
    assert bound.held == 1801
    for holder in (first, third):
        bound.hold(holder, 0)
    assert bound.held == 0 and not bound.holders


def test_what_goes_on_without_end_after_its_answer_is_no_fastcgi() -> None:
    """60 MB sent for a request that was refused cost the others their turns."""
    late = padded(fastcgi.STDIN, 1, bytes(2048), 0)
    call = begin(2) + padded(fastcgi.PARAMS, 2, b"", 3) + padded(fastcgi.STDIN, 2, b"", 0)
    feed(Decoder(), [late * 31, call, late * 31])
    with pytest.raises(NotFastCGI):
        feed(Decoder(), [late * 33])


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(st.binary(max_size=50).map(lambda line: line.replace(b"\n", b"")), max_size=20),
    st.lists(st.integers(1, 90), max_size=20),
)
def test_any_split_of_lines_reads_as_the_same_lines(wanted: list[bytes], sizes: list[int]) -> None:
    lines, data, said = Lines(), b"".join(line + b"\n" for line in wanted), []
    for size in [*sizes, len(data)]:
        piece, data = data[:size], data[size:]
        lines.space()[: len(piece)] = piece
        said += [bytes(line) for line in lines.took(len(piece))]
    assert said == wanted


def test_a_line_without_end_is_given_up() -> None:
    lines = Lines()
    with pytest.raises(TooLong):
        while True:
            assert not list(lines.took(len(lines.space())))


CALLS = st.lists(
    st.tuples(
        st.dictionaries(st.sampled_from(["A", "HTTP_X_JOB_ID", "L" * 130]), st.text("ab\xff", max_size=200)),
        st.binary(max_size=2048),
        st.booleans(),
        st.lists(st.integers(0, 2048), max_size=3),
        st.integers(0, 255),
        st.sampled_from(["whole", "aborted", "other role"]),
    ),
    min_size=1,
    max_size=6,
)


def stream(kind: int, request: int, data: bytes, cuts: list[int], padding: int) -> list[bytes]:
    at = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    pieces = [data[a:b] for a, b in zip(at, at[1:], strict=False)]
    return [padded(kind, request, piece, padding) for piece in pieces] + [padded(kind, request, b"", padding)]


@settings(derandomize=True, deadline=None, max_examples=150)
@given(CALLS, st.randoms(use_true_random=False), st.lists(st.integers(1, 4000), max_size=12))
def test_any_split_of_any_interleaving_decodes_to_the_same_messages(calls, chance, sizes) -> None:  # type: ignore[no-untyped-def]
    lines: list[list[bytes]] = []
    wanted: dict[int, object] = {}
    for request, (params, body, keep, cuts, padding, how) in enumerate(calls, 1):
        if how == "other role":
            lines.append([begin(request, 3, keep)])
            wanted[request] = Answer(fastcgi.end(request, fastcgi.UNKNOWN_ROLE), not keep)
            continue
        pairs = stream(fastcgi.PARAMS, request, fastcgi.write_pairs(params), cuts, padding)
        bodies = stream(fastcgi.STDIN, request, body, cuts, padding)
        if how == "aborted":
            lines.append(
                [begin(request, flags=keep), *pairs, *bodies[:-1], padded(fastcgi.ABORT, request, b"", 0)]
            )
            wanted[request] = Aborted(request, 0)
        else:
            lines.append([begin(request, flags=keep), *pairs, *bodies])
            wanted[request] = (request, keep, params, body, "")
    mixed = []
    while lines:
        line = chance.choice(lines)
        mixed.append(line.pop(0))
        lines = [rest for rest in lines if rest]
    begun = [one[2] << 8 | one[3] for one in mixed if one[1] == fastcgi.BEGIN and one[9] == fastcgi.RESPONDER]
    for serial, request in enumerate(begun, 1):
        if isinstance(wanted[request], Aborted):
            wanted[request] = Aborted(request, serial)
    data, pieces = b"".join(mixed), []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    decoder = Decoder()
    said = feed(decoder, [*pieces, data])
    assert sorted(map(repr, said)) == sorted(map(repr, wanted.values()))
    assert not decoder.coming and not decoder.open and not decoder.partial


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=300),
            st.builds(
                padded, st.integers(0, 12), st.integers(0, 3), st.binary(max_size=40), st.integers(0, 9)
            ),
        ),
        max_size=12,
    )
)
def test_random_bytes_raise_nothing_but_not_fastcgi(pieces: list[bytes]) -> None:
    decoder = Decoder()
    try:
        feed(decoder, pieces)
    except NotFastCGI:
        return
    assert len(decoder.open) <= fastcgi.MOST_OPEN
