"""`python -m ringshift` and the script `ringshift`: one real backend, told by its environment; with words
behind it, a command."""

from __future__ import annotations

import os
import signal
import sys

NOTICES = (signal.SIGTERM, signal.SIGINT)


def main() -> int:
    if len(sys.argv) > 1:
        from ringshift.cli.main import command

        return command()
    # While the program is imported nothing listens and nothing is owed: a notice to drain is already done.
    for number in NOTICES:
        signal.signal(number, lambda *_: os._exit(0))
    from ringshift.lifecycle.entry import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
