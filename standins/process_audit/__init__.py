"""An audit of a backend's structures for measurements: `site/` goes on the measured PYTHONPATH."""

from __future__ import annotations

from pathlib import Path

SITE = Path(__file__).parent / "site"
