"""Progress over what takes a second or more, by rich; silent where the output is no terminal."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from typing import TypeVar

T = TypeVar("T")


def steps(things: Sequence[T], what: str) -> Iterator[T]:
    if not sys.stderr.isatty() or len(things) < 2:
        yield from things
        return
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        yield from progress.track(things, description=what)
