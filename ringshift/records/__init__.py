"""What a server did and what became of its work: one schema, its carriers, and their readers."""
