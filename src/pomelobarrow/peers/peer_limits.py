"""Limits on what is read of other VMs, and on what waits to be read by them.

What is kept of their messages has its limits beside the tables that keep it.
"""

# The longest message is a hand-over: all kept answers, and the most request ids at 256 bytes each.
MAX_MESSAGE_BYTES = 48 << 20
# What a forwarded request adds to its body.
MAX_FORWARD_OVERHEAD_BYTES = 1 << 20
# A peer shows its key in the head of its first call.
MAX_BYTES_WITHOUT_KEY = 256 << 10
# The most that is received and handled at once: a thousand pings, which take some 30 ms.
RECEIVE_BYTES = 16 << 10
# Answers of HTTP/2 itself, to pings and settings, that a peer has not read. Calls write no more
# while their connection isn't read.
MAX_UNREAD_BYTES = 4 << 20
# Queued messages on a stream beyond which no more are read from it: each may need an answer that is
# far larger than itself.
MAX_OUTBOX_BYTES = 8 << 20
# Queued messages, this VM's own updates included, beyond which the stream ends.
MAX_QUEUED_BYTES = 24 << 20
# Messages up to this size are read and decoded without further checks.
SMALL_MESSAGE_BYTES = 64 << 10
# All longer messages that are read at a time.
MESSAGES_BYTES = MAX_MESSAGE_BYTES + (16 << 20)
# A message that has begun must arrive within this time, the wait for memory included.
MESSAGE_TIMEOUT_S = 10.0
# An exchanged message: the delta of a whole keyspace, or any other update.
MAX_EXCHANGE_BYTES = 6 << 20
MAX_UPDATE_BYTES = 1 << 20
# Calls and answers that hold a few names and numbers.
MAX_CALL_BYTES = 1 << 20
# Messages inside a message: a hand-over has an entry for each request id, with headers.
MAX_ITEMS = 400_000
# The same of an exchanged message.
MAX_UPDATE_ITEMS = 32_768
# The bodies of all forwarded requests that run here.
MAX_RUNNING_BODY_BYTES = 64 << 20
