"""Pure decision logic: no I/O, no clock, and no imports from other packages of pomelobarrow."""
