"""Places in the table of connections: how long an unused one keeps its own."""

from ringshift import interface as face
from ringshift.control.measures import MEMORY, MS, RECENT, DecayingSum, S
from ringshift.control.readiness import Flags

KEPT = 16  # callers a core whose unused connections are taken to fit in the table
PACK, SPELL = 0.5, 10 * S  # part of the cores at the door from which a full table is kept; how long


class Connections(Flags):
    def __init__(self, machine: face.Machine, seed: int) -> None:
        super().__init__(machine, seed)
        self.within, self.last_caller, self.packed_until = DecayingSum(MEMORY, 1.0), -1, 0
        self.same_caller = DecayingSum(MEMORY, 1 / max(machine.callers, 1))

    def idle_life(self) -> int:
        """Where many callers come seldom a kept place earns nothing; a full table takes from cores and turns
        the next back unseen: the cheapest refusal once half of them are at the door, within their shares."""
        if self.machine.callers <= max(KEPT * self.machine.cores, self.same_caller.count * RECENT / MEMORY):
            return 0
        if self.wanted.mean(self.now) + 0.5 < self.machine.cores:
            self.packed_until = self.now
        elif self.at_door.mean(self.now) * self.within.mean(self.now) > PACK:
            self.packed_until = self.now + SPELL
        return 0 if self.now < self.packed_until else 10 * MS  # the shortest that may be set
