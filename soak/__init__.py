"""A randomized soak: real daemons, faults from outside, promises checked from both ends."""
