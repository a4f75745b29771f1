"""Between entry VMs: heartbeats, configuration relay, forwarding and hand-over."""
