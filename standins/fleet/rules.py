"""The rulebook harness: backends that act by one rulebook, publishers, a keeper, faults between them.

As standins/fleet/harness.py, whose keeper, proxies and faults it plays. Slots 0 to `publishers` - 1 are
publishers (standins/fleet/publisher.py, told what to do on their standard input by `orders`), the others
backends (standins/fleet/ruled.py). Beside the faults there are joins, leaves, a rolling replacement, a
partition of some backends, and a keeper that lost data (`keeper_copy` takes the copy): restored from it as
etcd's documentation has it (`keeper_restore`), or its disk put back as it was (`keeper_rollback`). At
the script's end everything is healed and a last version is published; the play waits until every backend acts
by it, so a script that ends well was not wedged by its faults. The checker is standins/checkers/rules.py.
"""

from __future__ import annotations

import shutil
import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import gevent
import orjson
from gevent import subprocess
from gevent.event import Event

from standins.fleet.harness import Fault, Fleet
from standins.fleet.proxy import DOWN, UP
from standins.fleet.rulescript import LOSSES, RulesScript
from standins.keeper.store import restored

STOPPED = 3.0  # seconds for which a publisher lies stopped after its proposal
RESTARTED = 0.5  # seconds until one that was killed there is started again
CLOSING = 45  # seconds that the last version may take, on a loaded machine
BEGINNING = 60


def gone(process: subprocess.Popen[bytes]) -> bool:
    return process.poll() is not None


class RulesFleet(Fleet):
    def __init__(self, script: RulesScript, folder: Path, plant: str = "") -> None:
        super().__init__(script, folder, plant)
        self.terms = script
        self.changed = Event()
        self.idents = dict[object, str]()  # reader of the process whose lines a greenlet hears
        self.over = dict[str, int]()  # a landed change -> wall-clock ns by which it is over everywhere
        self.editions = dict[int, int]()  # decision of the ramp by which a backend acts
        self.dead = list[str]()  # readers whose process is no more
        self.closed, self.starting = False, False
        self.under_start = set[int]()  # slots whose process is being started just now
        self.acting = dict[int, str]()  # what a backend said last that it acts by
        self.last = ""  # the last version of all, once in force
        self.copy_at = folder / "keeper-copy.json"

    # Processes.

    def program(self, what: str) -> list[str]:
        return [sys.executable, "-m", "standins.keeper" if what == "keeper" else f"standins.fleet.{what}"]

    def is_publisher(self, number: int) -> bool:
        return number < self.terms.publishers

    def settings(self, number: int) -> Path:
        script, path = self.terms, self.folder / f"s{number}.toml"
        installation = self.folder / "installation-rules.toml"
        listed = '[{of = "callers", effect = "held_back", entries = ["c0"]}]'
        if not installation.exists():
            installation.write_text(f"[alone]\nlists = {listed}\n")
        head = self.folder / f"head{number}" if script.disk else ""
        path.write_text(
            f'[leases]\nkeepers = ["{self.addresses[number]}"]\nttl_s = 2\nmargin_ms = 200\n'
            f"answer_within_ms = 600\n"
            f'[rules]\ninstallation = "{installation}"\nhead_start = "{head}"\nlife_ms = {script.life_ms}\n'
            f"margin_ms = {script.margin_ms}\ndrift_ppm = {script.drift_ppm}\n"
            f'refresh_ms = {script.refresh_ms}\nplace = "p{number % 3}"\n'
            f"answer_within_ms = {script.answer_within_ms}\n"
        )
        return path

    def start_holder(self, number: int) -> subprocess.Popen[bytes]:
        self.under_start.add(number)
        try:
            return self.started(number, self.command(number), told=self.is_publisher(number))
        finally:
            self.under_start.discard(number)
            self.changed.set()

    def command(self, number: int) -> list[str]:
        script, publisher = self.terms, self.is_publisher(number)
        name = f"{'p' if publisher else 'h'}{number}"
        skew = script.skew_ppm[number % len(script.skew_ppm)] if script.skew_ppm else 0
        wall = script.wall_ms[number % len(script.wall_ms)] if script.wall_ms else 0
        argv = self.program("publisher" if publisher else "ruled") + [
            "--settings",
            str(self.settings(number)),
            "--name",
            name,
            "--history",
            str(self.folder / f"{name}.jsonl"),
            "--seed",
            str(script.seed * 100 + number),
            "--skew-ppm",
            str(skew),
            "--wall-ms",
            str(wall),
            "--plant",
            self.plant,
        ]
        if publisher:
            argv += ["--limit-ms", str(script.limit_ms)]
        if script.retires and not publisher:
            argv += ["--retires", "--ramp-pause", script.ramp_pause]
        if script.refuse and not publisher:
            argv += ["--refuse", script.refuse[number % len(script.refuse)]]
        if script.slow_answers_ms and not publisher:
            argv += ["--slow-answers-ms", str(script.slow_answers_ms[number % len(script.slow_answers_ms)])]
        if script.lose_acks_ms and not publisher:
            argv += ["--lose-acks-ms", str(script.lose_acks_ms[number % len(script.lose_acks_ms)])]
        return argv

    def start_all(self) -> None:
        for number in range(self.script.holders):
            self.holders.append(None)
            self.holders[number] = self.start_holder(number)
        for ready in self.ready.values():
            ready.wait()
        self.tell(0, "begin 0")
        self.wait_for(
            lambda: all(self.acting.get(number, "").endswith("fresh") for number in self.backends()),
            BEGINNING,
        )
        began = time.monotonic()
        gevent.spawn(self.give_orders, began)

    def heard(self, number: int, line: bytes) -> None:
        words = line.decode(errors="replace").split()
        if words[:2] == ["seeking", "as"]:
            self.idents[gevent.getcurrent()] = words[-1]
            self.acting.pop(number, None)
            if number == 0 and self.closed:  # the last order found it dying by one before
                self.close()
            self.editions.pop(number, None)
        elif words[:1] == ["acts"]:
            self.acting[number] = " ".join(words[1:])
        elif words[:1] == ["over"]:
            self.over[words[1]] = int(words[2])
        elif words[:1] == ["edition"]:
            self.editions[number] = int(words[1])
        elif words[:1] == ["closed"]:
            self.last = words[1]
        elif words[:1] == ["stopped"] and (process := self.holders[number]) is not None:
            gevent.spawn_later(STOPPED, self.wake, process)
        self.changed.set()

    def copy(self, process: subprocess.Popen[bytes], number: int, ready: Event) -> None:
        super().copy(process, number, ready)
        code = process.wait()
        self.note("crashed" if code > 0 else "ended", number, code=code)
        if self.is_publisher(number) and self.holders[number] is process and not self.ending:
            self.holders[number] = None  # by its own order
            gevent.spawn_later(RESTARTED, self.restart_holder, number)
        elif number == 0 and self.closed and not self.ending:  # told to leave while it lay stopped
            gevent.spawn_later(RESTARTED, self.restart_holder, number)
        ident = self.idents.pop(gevent.getcurrent(), "")
        if ident and not self.is_publisher(number):
            self.dead.append(ident)
            if self.terms.forgets and not self.ending:
                self.tell(0, f"forget 0 {ident}")
        self.changed.set()

    def wait_for(self, true: Callable[[], bool], seconds: float) -> bool:
        """Until `true()`, looked at whenever a process said something."""
        deadline = time.monotonic() + seconds
        while not true():
            self.changed.clear()
            if not self.changed.wait(max(deadline - time.monotonic(), 0)) and time.monotonic() >= deadline:
                return False
        return True

    def backends(self) -> list[int]:
        return [
            number
            for number, process in enumerate(self.holders)
            if process is not None and not self.is_publisher(number)
        ]

    # Orders.

    def tell(self, number: int, order: str) -> None:
        process = self.holders[number]
        if process is None or process.poll() is not None or process.stdin is None:
            return
        try:
            process.stdin.write(order.encode() + b"\n")
            process.stdin.flush()
        except OSError:
            return  # it was killed meanwhile

    def give_orders(self, began: float) -> None:
        for order in self.terms.orders:
            at, by, words = order.split(maxsplit=2)
            gevent.sleep(max(0.0, began + int(at) / 1000 - time.monotonic()))
            if not self.ending and not self.closed:  # one that comes late must not follow the last order
                self.tell(int(by), words)

    # Faults.

    def aimed(self) -> int:
        return 0

    def carry_out(self, fault: Fault, target: int) -> None:
        lasting = fault.lasting_ms / 1000
        if fault.kind == "join":
            self.join()
        elif fault.kind == "leave" and target >= 0:
            self.leave(target)
        elif fault.kind == "roll":
            chosen = self.backends()[: -(-len(self.backends()) * 6 // 10)]
            for place, number in enumerate(chosen):
                gevent.spawn_later(lasting * place / len(chosen), self.replace, number)
        elif fault.kind == "partition":
            for number in self.backends()[::3]:  # a third
                self.for_a_while(self.proxies[number], "blackhole", {UP, DOWN}, lasting)
        elif fault.kind == "keeper_copy":
            shutil.copy(self.folder / "keeper" / "member.json", self.copy_at)
        elif fault.kind in LOSSES and self.copy_at.exists() and self.keeper is not None:
            if self.keeper.poll() is None:
                self.keeper.send_signal(signal.SIGKILL)
                self.keeper.wait()
                image = orjson.loads(self.copy_at.read_bytes())
                image = restored(image) if fault.kind == "keeper_restore" else image
                (self.folder / "keeper" / "member.json").write_bytes(orjson.dumps(image))
                gevent.spawn_later(lasting, self.restart_keeper)
        else:
            super().carry_out(fault, target)

    def restart_keeper(self) -> None:
        if self.keeper is None or self.keeper.poll() is not None:  # else the end has started it already
            super().restart_keeper()

    def restart_holder(self, number: int) -> None:
        # Starting a process gives way to other greenlets: a second one of its slot would write its settings
        # anew while the first reads them.
        if number not in self.under_start and not (self.closed and 0 < number < self.terms.publishers):
            super().restart_holder(number)

    def join(self) -> None:
        if len(self.holders) >= self.terms.most or self.ending:
            return
        self.add()

    # The end: all healed, a last version everywhere.

    def closing(self) -> None:
        script = self.terms
        within = time.monotonic() + CLOSING
        self.wait_for(
            lambda: (
                min((self.editions.get(number, 0) for number in self.backends()), default=0)
                >= script.until_edition
            ),
            CLOSING,
        )
        while (left := max(self.over.values(), default=0) - time.time_ns()) > 0 and within > time.monotonic():
            gevent.sleep(min(left / 1e9, 0.5))
        for proxy in self.proxies:
            proxy.faults.delay_ns, proxy.faults.refuse, proxy.faults.cut_mid = 0, False, False
            proxy.faults.blackhole = set()
        if self.keeper is not None and self.keeper.poll() is not None:
            self.start_keeper()
        for process in [self.keeper, *self.holders]:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
        self.closed = True
        for number in range(1, self.terms.publishers):
            self.tell(number, "end 0")
        for process in self.holders[1 : self.terms.publishers]:
            if process is not None:
                self.wait_for(partial(gone, process), 2 * script.limit_ms / 1000)
        self.wait_for(lambda: 0 not in self.under_start, CLOSING)
        if self.holders[0] is None or self.holders[0].poll() is not None:
            self.holders[0] = self.start_holder(0)
            self.ready[0].wait()
        self.close()
        everywhere = self.wait_for(
            lambda: (
                bool(self.last)
                and all(self.acting.get(number) == f"{self.last} fresh" for number in self.backends())
            ),
            CLOSING,
        )
        self.note(
            "settled" if everywhere else "not settled",
            -1,
            last=self.last,
            acting={str(number): told for number, told in self.acting.items()},
        )

    def close(self) -> None:
        self.tell(0, f"close 0 {' '.join(self.dead)}")  # the operators forget them

    def note(self, kind: str, target: int, **more: object) -> None:
        """A line beside the faults'."""
        if not self.faults_log.closed:
            line = {"t": time.monotonic_ns(), "kind": kind, "target": target, **more}
            self.faults_log.write(orjson.dumps(line) + b"\n")

    def start_keeper(self) -> None:
        if self.starting:
            return  # it is started by its fault's end just now: two on one disk would be two truths
        self.starting = True
        (self.folder / "keeper").mkdir(exist_ok=True)
        try:
            super().start_keeper()
        finally:
            self.starting = False
