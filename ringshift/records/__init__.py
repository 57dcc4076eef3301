"""What a server did and what became of its work: one schema, who writes it, and who gathers it."""
