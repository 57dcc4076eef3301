"""What is kept in memory: invocations in hand, results and keys."""
