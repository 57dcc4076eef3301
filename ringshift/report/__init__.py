"""An incident's report: from a store to findings, and from findings to one page."""
