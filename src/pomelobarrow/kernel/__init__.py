"""The core: hooks, plug-ins, shared parts and the daemon's lifecycle."""
