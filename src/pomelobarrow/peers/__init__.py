"""Communication between entry VMs: heartbeats, configuration, forwarding and hand-over."""
