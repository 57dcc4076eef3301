"""What several files of crossings share."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.listening import Here, listening


@pytest.fixture
def here() -> Iterator[Here]:
    with listening() as door_and_heard:
        yield door_and_heard
