"""What stands outside, written from its published protocol: for tests and `make run`, never for load."""
