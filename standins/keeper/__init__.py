"""A stand-in of one etcd v3 member, spoken to through its published JSON gateway (see server.py)."""
