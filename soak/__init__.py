"""Randomized soak test: real daemons, injected faults, checks at clients and servers."""
