"""Pure decision logic: events and a view in, verdicts out. No I/O, no clock, no other room."""
