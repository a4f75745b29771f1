"""What is admitted, waits, is rejected or tried again; imports servers, accounts and below."""
