"""`python -m ringshift.benchlink`: answer each batch on standard input with one line on standard output."""

from __future__ import annotations

import sys

from ringshift.benchlink.hosts import Hosts
from ringshift.benchlink.wire import read_batch, write_reply
from ringshift.machine import Malformed


def main() -> int:
    hosts = Hosts()
    out = sys.stdout.buffer
    try:
        for line in sys.stdin.buffer:
            if line.strip():
                out.write(write_reply(hosts.answer(*read_batch(line))))
                out.flush()
    except Malformed as broken:
        print(f"ringshift.benchlink: {broken}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
