"""Old versions of an operation retired step by step: decisions only (docs/retirement.md)."""
