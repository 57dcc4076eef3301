"""What the rulebook's own steps cost on one core, for benchmarks/rulebook.py: a publisher's look, a document
checked and taken in, one invocation judged, one decided under many quotas."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any


def ms(step: Callable[[], object], times: int) -> str:
    spent = []
    for _ in range(times):
        began = time.perf_counter()
        step()
        spent.append((time.perf_counter() - began) * 1e3)
    return f"{statistics.median(spent):.2f}"


def look(sizes: list[int], times: int) -> int:
    """The answer to its read is there already: what is told is what this process does with it."""
    import orjson

    from ringshift.rulebook.bound import ReadingTerms
    from ringshift.rulebook.version import Publisher
    from standins.fleet.emulated_readers import Fleet, Inside

    class Answered(Inside):
        answer = b""

        def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
            self.answer = self.answer or orjson.dumps(super().call(path, body))
            return dict(orjson.loads(self.answer))

    print(
        "| readers | answer KB | read, ms | looked at, all but one have acknowledged, ms | all "
        "silent, ms |\n| --- | --- | --- | --- | --- |"
    )
    for size in sizes:
        run = Fleet(size, 1)
        assert run.settled()
        held = run.publisher.read()
        assert held.told is not None
        link = Answered(run.store, run.traffic, run.shared)
        link.books = run.publisher.books
        read, looks = ms(link.read, times), []
        for acked in (True, False):
            one = Publisher(ReadingTerms(), held.told.in_force, held.highest, held.told.place)
            (effect,) = one.publish(run.listed(3))
            rows = {
                name: replace(row, acked=effect.version.mark) if acked and place else row
                for place, (name, row) in enumerate(held.rows.items())
            }
            told = replace(held.told, proposed=effect.version)
            looks.append(ms(lambda one=one, told=told, rows=rows: one.look(0, told, rows), times))  # type: ignore[misc]
        print(f"| {size:,} | {len(link.answer) / 1e3:.0f} | {read} | {looks[0]} | {looks[1]} |", flush=True)
    return 0


def document(entries: int, other: int = 0) -> str:
    """TOML of `entries` in four lists and quotas; `other` of them are named anew."""

    def names(of: str, count: int) -> str:
        return ", ".join(f'"{of}-{n:06}{"-new" if n < other else ""}"' for n in range(count))

    part = entries // 4
    lists = "".join(
        f'[[lists]]\nof = "{of}"\neffect = "held_back"\nentries = [{names(of, part)}]\n'
        for of in ("callers", "customers")
    )
    lists += f'[[lists]]\nof = "places"\neffect = "let_through"\nentries = [{names("places", part)}]\n'
    quotas = "".join(f'[[quotas]]\nof = "customers"\nentry = "c{n}"\nmost = {n + 1}\n' for n in range(part))
    return f"{lists}{quotas}[alone]\n"


def book(entries: int, times: int) -> int:
    from ringshift.rulebook.document import canonical, digest, read
    from ringshift.rulebook.indices import Names, ruled
    from ringshift.rulebook.kinds import differences
    from ringshift.rulebook.meet import Judge, meet
    from ringshift.rulebook.version import Version
    from ringshift.wire.rules import read_version, write_version

    text, changed = document(entries), document(entries, entries // 40)
    old, new = read(text), read(changed)
    version = Version((0, 2), old, digest(old))
    wire = write_version(version)
    names = Names(tuple(f"o{n}" for n in range(40)), tuple(f"customers-{n:06}" for n in range(50)), "p")
    steps: dict[str, Callable[[], object]] = {
        f"read and checked, {len(text) / 1e3:.0f} KB of TOML": lambda: read(text),
        "canonical bytes": lambda: canonical(old),
        "digest": lambda: digest(old),
        f"{len(differences(old, new)):,} differences of two": lambda: differences(old, new),
        f"written for the keeper, {len(wire) / 1e3:.0f} KB": lambda: write_version(version),
        "read from the keeper, its digest checked": lambda: read_version((0, 2), wire),
        "meet of two": lambda: meet(old.rules(), new.rules()),
        "a judge made": lambda: Judge(old.rules()),
        "taken in as indices (Ruled)": lambda: ruled(old.rules(), names),
    }
    print(f"| a document of {entries:,} entries | ms, median of {times} |\n| --- | --- |")
    for name, step in steps.items():
        print(f"| {name} | {ms(step, times)} |", flush=True)
    return 0


def ns(step: Callable[[Any], object], given: list[Any], rounds: int) -> str:
    """Of one call, least of several rounds, the loop's own time taken off."""
    spent, empty = [], []
    for _ in range(rounds):
        began = time.perf_counter_ns()
        for one in given:
            step(one)
        spent.append(time.perf_counter_ns() - began)
        began = time.perf_counter_ns()
        for _one in given:
            pass
        empty.append(time.perf_counter_ns() - began)
    return f"{(min(spent) - min(empty)) / len(given):.0f}"


def lookup(sizes: list[int], count: int) -> int:
    import random

    from ringshift.rulebook.document import Listing, Rulebook, Rules
    from ringshift.rulebook.indices import Names, ruled
    from ringshift.rulebook.meet import Invocation, Judge

    print(
        "| entries | Judge.refused, of those named ns | of others ns | a caller's index in Ruled ns | "
        "beside: a dict's get ns |\n| --- | --- | --- | --- | --- |"
    )
    chance = random.Random(1)
    for size in sizes:
        book = Rulebook([Listing("callers", "held_back", [str(n) for n in range(size)])], alone=Rules())
        judge, inner = Judge(book.rules()), ruled(book.rules(), Names())
        callers = [str(chance.randrange(size)) for _ in range(count)]
        named, others = ([Invocation(one + tail, "c", "p", "o") for one in callers] for tail in ("", "-"))
        indices, plain = [int(one) for one in callers], dict.fromkeys(range(size), True)
        held = inner.held_back[2]
        print(
            f"| {size:,} | {ns(judge.refused, named, 7)} | {ns(judge.refused, others, 7)} | "
            f"{ns(held.__contains__, indices, 7)} | {ns(plain.get, indices, 7)} |",
            flush=True,
        )
    return 0


def amounts(sizes: list[int], count: int, rounds: int = 7) -> int:
    """The sizes take turns, so that what else runs on the machine falls on all; told is the least of each."""
    worlds = {size: under(size) for size in sizes}
    spent: dict[int, list[tuple[float, ...]]] = {size: [] for size in sizes}
    for _ in range(rounds):
        for size, controller in worlds.items():
            spent[size].append(decided(controller, size, count))
    print(
        "| quotas | both look-ups of an invocation, us | an invocation from its arrival to its end, us | "
        "beside: a walk of all quotas, twice, us |\n| --- | --- | --- | --- |"
    )
    for size in sizes:
        looked, whole, walked = (min(one) for one in zip(*spent[size], strict=True))
        print(f"| {size:,} | {looked:.1f} | {whole:.0f} | {walked:,.1f} |", flush=True)
    return 0


def under(size: int) -> Any:
    """Decisions that have taken in so many quotas: half are of callers, half of customers."""
    from ringshift import interface as face
    from ringshift.control import Controller
    from ringshift.rulebook.document import Quota, Rules
    from ringshift.rulebook.indices import Names, ruled

    customers = tuple(face.Customer(f"c{n}", 1e9) for n in range(size // 2))
    look = face.Operation("look", face.Effect.IDEMPOTENT, 10**10, 0.0, 10**11, 1.0, 0.0, 10**9, False, 0.0)
    machine = face.Machine(
        cores=8,
        memory_kb=1e9,
        run_factor=1.0,
        entry_kb=1.0,
        cold=False,
        cold_speed=0.5,
        ramp=10**9,
        fall_multiple=8.0,
        grace=10**9,
        tick=10**6,
        fleet=1,
        callers=9,
        halt=face.Halt.NONE,
        advert=face.Advert.NONE,
        heeded=0,
        fresh=0,
        longest_pause=10**9,
        over_quota_share=0.1,
        operations=(look,),
        customers=customers,
        gauges=(),
        dependency=face.Dependency(face.Below.NONE, 1.0, 10**9, 0),
    )
    names = tuple(one.name for one in customers)
    quotas = [
        Quota(of, one, 1e9)
        for of in ("callers", "customers")
        for one in (map(str, range(size // 2)) if of == "callers" else names)
    ]
    controller = Controller(machine, 1)
    controller.decide(10**12, [ruled(Rules(quotas=quotas), Names(("look",), names))])
    return controller


def decided(controller: Any, size: int, count: int) -> tuple[float, ...]:
    """Microseconds of CPU an invocation, of callers and customers with a quota each."""
    import random

    from ringshift import interface as face
    from ringshift.control.invocation import Inv

    chance, now = random.Random(1), controller.now
    came = [
        face.Arrived(
            n,
            0,
            chance.randrange(size // 2),
            None,
            0.0,
            1.0,
            1.0,
            False,
            chance.randrange(size // 2),
            0,
            None,
        )
        for n in range(count)
    ]
    invs = [Inv(one, controller.lines[0], now) for one in came]
    marks = [time.process_time_ns()]
    for inv in invs:
        controller.ruled_out(inv, -1)
        controller.outpaced(inv)
    marks.append(time.process_time_ns())
    for one in came:
        now += 10**6
        controller.decide(now, [one])
        controller.decide(now, [face.Finished(one.inv, face.Outcome.SUCCEEDED, 10**6)])
    marks.append(time.process_time_ns())
    every, few = [one for ones in controller.rules.clauses[0].values() for one in ones], invs[:20]
    for inv in few * 2:
        assert sum(one.concerns(inv.who) for one in every) == 2
    marks.append(time.process_time_ns())
    spent = [(after - before) / 1e3 for before, after in zip(marks, marks[1:], strict=False)]
    return spent[0] / count, spent[1] / count, spent[2] / len(few)
