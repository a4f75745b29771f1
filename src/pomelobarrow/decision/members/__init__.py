"""Which VMs are live, by whose clock, and their roles; imports common."""
