"""Limits on what is read of other VMs, and on what waits to be read by them.

What is kept of their messages has its limits beside the tables that keep it.
"""

# The longest message is a hand-over: all kept answers, and the most request ids at 256 bytes each.
MAX_MESSAGE_BYTES = 48 << 20
# What a forwarded request adds to its body.
MAX_FORWARD_OVERHEAD_BYTES = 1 << 20
# A peer shows its key in the head of its first call.
MAX_BYTES_WITHOUT_KEY = 256 << 10
# Answers of HTTP/2 itself, to pings and settings, that a peer has not read. Calls write no more
# while their connection isn't read.
MAX_UNREAD_BYTES = 4 << 20
# Queued messages on a stream beyond which no more are read from it: each may need an answer that is
# far larger than itself.
MAX_OUTBOX_BYTES = 8 << 20
# Queued messages, this VM's own updates included, beyond which the stream ends.
MAX_QUEUED_BYTES = 24 << 20
