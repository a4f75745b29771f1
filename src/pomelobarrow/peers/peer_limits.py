"""Limits on what is read of other VMs, and on what waits to be read by them.

What is kept of their messages has its limits beside the tables that keep it.
"""

# Queued messages on a stream beyond which no more are read from it: each may need an answer that is
# far larger than itself.
MAX_OUTBOX_BYTES = 8 << 20
# Queued messages, this VM's own updates included, beyond which the stream ends.
MAX_QUEUED_BYTES = 24 << 20
