"""What is kept: invocations in hand, results and keys in memory, records on their way and on disk."""
