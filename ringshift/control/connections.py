"""Places in the table of connections: how long an unused one keeps its own."""

from ringshift.control.measures import RECENT
from ringshift.control.readiness import Flags

KEPT = 16  # callers a core whose unused connections are taken to fit in the table


class Connections(Flags):
    def idle_life(self) -> int:
        """A full table turns callers back unseen: welcome while cores are wanted, a loss while some idle."""
        spare = self.machine.callers > KEPT * self.machine.cores > KEPT * (self.wanted.mean(self.now) + 0.5)
        return RECENT * spare
