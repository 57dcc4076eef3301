"""What is spoken on sockets: FastCGI with sidecars, the agent's link, the announce service. No decisions."""
