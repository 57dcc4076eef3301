"""`python -m ringshift` and the script `ringshift`: one real backend, told by its environment; with words
behind it, a command."""

from __future__ import annotations

import sys


def main() -> int:
    if len(sys.argv) > 1:
        from ringshift.cli.main import command

        return command()
    from ringshift.lifecycle.entry import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
