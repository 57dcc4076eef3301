"""What happened, told from records: decisions free of I/O. `digest` reads one run, `course` puts runs on one
time, `judge` tells findings with their evidence, `cause` the likely first one.
"""
