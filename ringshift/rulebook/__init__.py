"""What the fleet acts by: rulebooks in versions, on which backends agree by reading leases."""
