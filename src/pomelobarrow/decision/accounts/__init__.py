"""What a client account may use, and how much of it is left; imports requests and below."""
