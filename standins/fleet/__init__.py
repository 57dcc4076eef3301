"""Several processes of the program with faults between them: harness, proxy, guarded resource."""
