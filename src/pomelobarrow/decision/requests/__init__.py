"""One request or order: its ids, attempts and needs; imports members, published, common."""
