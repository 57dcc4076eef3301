"""The fault harness: N holder processes of the program, a keeper, faults between them, a history.

Everything on loopback with ports the kernel picks. Each holder runs `python -m ringshift lease hold` with
its own operators' TOML, reaching the keeper through a `Proxy` of its own (standins/fleet/proxy.py) and the
guarded resource (standins/fleet/resource.py) directly. A script of faults is drawn from one seed (`draw`),
written as TOML beside the histories, and can be played again from that file (`Script.read`). Faults: a
holder stopped (SIGSTOP, later SIGCONT) or killed (SIGKILL, later started again), or every one at once; its
link to the keeper delayed, blackholed one way or both, cut between messages or in the middle of one, or
refused; the keeper killed and started again on its disk, or stopped, or its disk at its last byte; a
holder's clock run fast or slow or stepped back, the keeper's too; a holder paused after its last look
before a step, or killed between the resource's acceptance and its own record; two holders of one name.
Bounded: a script lasts `seconds`, then every process is told to leave and, past a grace, killed. The
checker is standins/checkers/leases.py; `plant` runs the processes with a bug (standins/fleet/planted.py).
"""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent import subprocess
from gevent.event import Event

from standins.fleet.proxy import DOWN, UP, Proxy
from standins.fleet.resource import Resource
from standins.fleet.scripts import Fault as Fault
from standins.fleet.scripts import Script as Script
from standins.fleet.scripts import draw as draw
from standins.fleet.scripts import revealing as revealing

ROOT = Path(__file__).parent.parent.parent
TASK = "gather"
STARTING = 60  # seconds that the holders may take to start, many at once on a loaded machine
WAYS = {"blackhole": {UP, DOWN}, "blackhole_up": {UP}, "blackhole_down": {DOWN}}


class Fleet:
    """A played script. `folder` gets the script, each holder's TOML, and every history."""

    def __init__(self, script: Script, folder: Path, plant: str = "") -> None:
        self.script, self.folder, self.plant = script, folder, plant
        folder.mkdir(parents=True, exist_ok=True)
        script.write(folder / "script.toml")
        self.resource_log = (folder / "resource.jsonl").open("ab")
        self.faults_log = (folder / "faults.jsonl").open("ab")
        self.resource = Resource(self.resource_log, fenced=plant != "no_fence")
        self.keeper: subprocess.Popen[bytes] | None = None
        self.keeper_port = 0
        self.proxies: list[Proxy] = []
        self.addresses: list[str] = []
        self.resource_port = 0
        self.holders: list[subprocess.Popen[bytes] | None] = []
        self.ready: dict[int, Event] = {}
        self.holding = -1
        self.first_held = Event()  # the first holder was heard to hold, or has ended
        self.died: set[int] = set()  # holders that were started to die by themselves, once

    def program(self, what: str) -> list[str]:
        """The command line up to its own arguments: the keeper or `ringshift`, with the planted bug if
        any."""
        if self.plant and self.plant != "no_fence":
            planted = [sys.executable, "-m", "standins.fleet.planted", self.plant]
            return planted + ["keeper"] * (what == "keeper")
        return [sys.executable, "-m", "standins.keeper" if what == "keeper" else "ringshift"]

    def start_keeper(self) -> None:
        argv = self.program("keeper") + [
            str(self.folder / "keeper"),
            "--listen",
            "127.0.0.1:0",
            "--rate",
            str(self.script.keeper_rate),
            "--history",
            str(self.folder / "keeper.jsonl"),
        ]
        if self.script.keeper_bytes:
            argv += ["--disk-bytes", str(self.script.keeper_bytes)]
        self.keeper = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE)
        if self.ending:
            self.keeper.kill()  # as in `started`
        assert self.keeper.stdout is not None
        line = self.keeper.stdout.readline().decode()
        if not line and (self.ending or self.keeper.poll() is not None):
            return  # killed while it started, by the script's next fault or its end
        if not line.startswith("keeper listening on "):
            raise RuntimeError(f"the keeper did not start: {line!r}")
        # Started again it has another port: its old one may be taken meanwhile. All reach it by proxies.
        self.keeper_port = int(line.rsplit(":", 1)[1])
        for proxy in self.proxies:
            proxy.upstream = "127.0.0.1", self.keeper_port

    def start_holder(self, number: int) -> subprocess.Popen[bytes]:
        script = self.script
        settings = self.folder / f"h{number}.toml"
        settings.write_text(
            f'[leases]\nkeepers = ["{self.addresses[number]}"]\n'
            f"ttl_s = {script.ttl_s}\nmargin_ms = {script.margin_ms}\ndrift_ppm = {script.drift_ppm}\n"
            f"answer_within_ms = {script.answer_within_ms}\n"
        )
        skew = script.skew_ppm[number] if number < len(script.skew_ppm) else 0
        back = script.step_back_ms[number] if number < len(script.step_back_ms) else 0
        name = "h0" if script.one_name and number == 1 else f"h{number}"
        argv = self.program("ringshift") + [
            "lease",
            "hold",
            TASK,
            "--settings",
            str(settings),
            "--name",
            name,
            "--resource",
            f"127.0.0.1:{self.resource_port}",
            "--history",
            str(self.folder / f"h{number}.jsonl"),
            "--seed",
            str(script.seed * 100 + number),
            "--skew-ppm",
            str(skew),
            "--step-ms",
            str(-back),
            "--step-at-ms",
            str(int(script.seconds * 400)),
        ]
        if script.pause and script.pause[0] == number:
            argv += ["--pause-at-step", str(script.pause[1]), "--pause-ms", str(script.pause[2])]
        if script.die and script.die[0] == number and number not in self.died:
            self.died.add(number)
            argv += ["--die-at-step", str(script.die[1])]
        return self.started(number, argv)

    def started(self, number: int, argv: list[str], told: bool = False) -> subprocess.Popen[bytes]:
        """`told`: the process takes orders on its standard input."""
        stdin = subprocess.PIPE if told else None
        process = subprocess.Popen(argv, cwd=self.directory(number), stdin=stdin, stderr=subprocess.PIPE)
        if self.ending:
            process.kill()  # the end came while it was being started, and did not see it
        self.ready[number] = Event()
        gevent.spawn(self.copy, process, number, self.ready[number])
        return process

    def directory(self, number: int) -> Path:
        """Where a holder is started: the root of the program that it runs."""
        return ROOT

    def copy(self, process: subprocess.Popen[bytes], number: int, ready: Event) -> None:
        """A holder's standard error into its log; `ready` once it says that it seeks."""
        assert process.stderr is not None
        with (self.folder / f"h{number}.log").open("ab") as log:
            for line in process.stderr:
                log.write(line)
                if b"seeking as" in line:
                    ready.set()
                if b"-> HOLDING" in line:
                    self.holding = number  # the last that was heard to hold
                    if number == 0:
                        self.first_held.set()
                self.heard(number, line)
        ready.set()  # it ended: nobody waits for it any more
        if number == 0:
            self.first_held.set()

    def heard(self, number: int, line: bytes) -> None:
        """A line that a holder wrote; a wider harness listens for its own words."""

    def play(self) -> None:
        self.resource_port = self.resource.start()
        self.start_keeper()
        self.proxies = [Proxy(("127.0.0.1", self.keeper_port)) for _ in range(self.script.holders)]
        self.addresses = [proxy.start() for proxy in self.proxies]
        try:
            with gevent.Timeout(STARTING):
                self.start_all()
            began = time.monotonic()
            for fault in self.script.faults:
                gevent.sleep(max(0.0, began + fault.at_ms / 1000 - time.monotonic()))
                self.inflict(fault)
            gevent.sleep(max(0.0, began + self.script.seconds - time.monotonic()))
            self.closing()
        finally:
            self.end()

    def start_all(self) -> None:
        for number in range(self.script.holders):
            self.holders.append(self.start_holder(number))
            if number == 0 and self.script.first_holds:
                self.first_held.wait()
            if self.script.stagger_ms:
                self.ready[number].wait()
                gevent.sleep(self.script.stagger_ms / 1000)
        for ready in self.ready.values():
            ready.wait()  # the script's times count from when every holder seeks

    def closing(self) -> None:
        """What a wider harness waits for before the end."""

    def inflict(self, fault: Fault) -> None:
        held, holder = self.resource.last_token, self.resource.last_holder
        target = fault.target
        if target == -2 and (target := self.aimed()) < 0:
            return  # nobody holds yet: the fault has no target
        hit = held if holder == f"h{target}" or fault.kind == "kill_all" else 0
        line = {"t": time.monotonic_ns(), "kind": fault.kind, "target": target, "token": hit}
        self.faults_log.write(orjson.dumps(line) + b"\n")
        self.carry_out(fault, target)

    def aimed(self) -> int:
        """Whoever holds now, -1 where nobody is known to."""
        holder = self.resource.last_holder
        return int(holder[1:]) if holder else self.holding  # before its first step: as heard

    def carry_out(self, fault: Fault, target: int) -> None:
        lasting = fault.lasting_ms / 1000
        if fault.kind == "kill_all":
            for number in range(len(self.holders)):
                self.kill(number, lasting)
        elif fault.kind == "keeper_kill" and self.keeper is not None and self.keeper.poll() is None:
            self.keeper.send_signal(signal.SIGKILL)
            self.keeper.wait()
            gevent.spawn_later(lasting, self.restart_keeper)
        elif fault.kind == "keeper_stop" and self.keeper is not None:
            self.pause(self.keeper, lasting)
        elif target >= 0:
            self.inflict_holder(fault.kind, target, lasting)

    def inflict_holder(self, kind: str, number: int, lasting: float) -> None:
        proxy, process = self.proxies[number], self.holders[number]
        if kind == "stop" and process is not None:
            self.pause(process, lasting)
        elif kind == "kill":
            self.kill(number, lasting)
        elif kind == "delay":
            # A quarter of the time to live at most each way: longer ones are a blackhole to its clients.
            self.for_a_while(proxy, "delay_ns", min(int(lasting * 1e9) // 4, 450_000_000), lasting)
        elif kind in WAYS:
            self.for_a_while(proxy, "blackhole", WAYS[kind], lasting)
        elif kind == "refuse":
            proxy.cut()
            self.for_a_while(proxy, "refuse", True, lasting)
        elif kind == "cut_mid":
            proxy.faults.cut_mid = True
        elif kind == "cut":
            proxy.cut()

    def kill(self, number: int, lasting: float) -> None:
        process = self.holders[number]
        if process is not None:
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.holders[number] = None
            gevent.spawn_later(lasting, self.restart_holder, number)

    def pause(self, process: subprocess.Popen[bytes], lasting: float) -> None:
        process.send_signal(signal.SIGSTOP)
        gevent.spawn_later(lasting, self.wake, process)

    def wake(self, process: subprocess.Popen[bytes]) -> None:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def restart_keeper(self) -> None:
        if not self.ending:
            self.start_keeper()

    def for_a_while(self, proxy: Proxy, name: str, value: Any, lasting: float) -> None:
        before = getattr(proxy.faults, name)
        setattr(proxy.faults, name, value)
        gevent.spawn_later(lasting, setattr, proxy.faults, name, type(before)())

    # Joins, leaves and a rolling replacement, for the fleets that have them.

    def add(self) -> None:
        number = len(self.holders)
        self.proxies.append(Proxy(("127.0.0.1", self.keeper_port)))
        self.addresses.append(self.proxies[number].start())
        self.holders.append(None)
        self.holders[number] = self.start_holder(number)

    def leave(self, number: int) -> None:
        process = self.holders[number]
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGTERM)
            gevent.spawn(self.gone, number, process)

    def gone(self, number: int, process: subprocess.Popen[bytes]) -> None:
        process.wait()
        if self.holders[number] is process:
            self.holders[number] = None

    def replace(self, number: int) -> None:
        self.leave(number)
        while self.holders[number] is not None and not self.ending:
            gevent.sleep(0.02)
        if not self.ending:
            self.holders[number] = self.start_holder(number)

    def restart_holder(self, number: int) -> None:
        if self.holders[number] is None and not self.ending:
            self.holders[number] = self.start_holder(number)

    ending = False

    def end(self) -> None:
        """Every process told to leave, woken if stopped, and killed past a grace of two seconds."""
        self.ending = True
        live = [process for process in [*self.holders, self.keeper] if process is not None]
        for process in live:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 2
        for process in live:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for proxy in self.proxies:
            proxy.stop()
        self.resource.stop()
        self.resource_log.close()
        self.faults_log.close()
