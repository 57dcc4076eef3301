"""Many instances in one process, with nothing shared between them."""

from __future__ import annotations

from typing import Any

from ringshift.benchlink import wire
from ringshift.benchlink.ids import Ids
from ringshift.control import Controller
from ringshift.interface import Input
from ringshift.machine import Malformed, need, read_machine


class Host:
    """One instance and the names its wire uses."""

    __slots__ = ("controller", "customers", "ids", "operations", "who")

    def __init__(self, who: int, seed: int, env: dict[str, Any]) -> None:
        self.who = who
        self.ids = Ids()
        machine = read_machine(env)
        self.operations = {op.name: index for index, op in enumerate(machine.operations)}
        self.customers = {customer.name: index for index, customer in enumerate(machine.customers)}
        self.controller = Controller(machine, seed)

    def answer(self, now: int, events: list[tuple[str, dict[str, Any]]]) -> list[dict[str, Any]]:
        inputs: list[Input] = []
        for name, fields in events:
            read = wire.read_input(name, fields, self.ids, self.operations, self.customers)
            if read is not None:
                inputs.append(read)
        actions = self.controller.decide(now, inputs)
        output = [wire.write_action(self.who, action, self.ids.by_index) for action in actions]
        for index in self.controller.forgotten:
            self.ids.drop(index)
        return output


class Hosts:
    __slots__ = ("hosts",)

    def __init__(self) -> None:
        self.hosts: dict[int, Host] = {}

    def answer(self, now: int, events: list[tuple[str, int, dict[str, Any]]]) -> list[dict[str, Any]]:
        batches: dict[int, list[tuple[str, dict[str, Any]]]] = {}
        output: list[dict[str, Any]] = []
        for name, who, fields in events:
            if name == "Stop":
                self.hosts.pop(who, None)
                batches.pop(who, None)
            elif name == "Create":
                env = need(fields, "env", name, dict)
                try:
                    self.hosts[who] = Host(who, need(fields, "seed", name, int), env)
                except ValueError as wrong:
                    raise Malformed(f"Create: env: {wrong}") from None
                batches[who] = []
            elif who in self.hosts:
                batches.setdefault(who, []).append((name, fields))
            else:
                raise Malformed(f"{name}: who: no instance {who}")
        for who, batch in batches.items():
            try:
                output += self.hosts[who].answer(now, batch)
            except Malformed:
                raise
            except Exception as bug:
                output.append({"Die": {"who": who, "reason_text": f"{type(bug).__name__}: {bug}"}})
        return output
