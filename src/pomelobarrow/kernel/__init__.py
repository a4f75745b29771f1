"""The core: named hooks, plug-ins, shared parts and the daemon's lifecycle."""
