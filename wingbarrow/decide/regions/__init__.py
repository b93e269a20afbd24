"""What regions tell each other: load reports, and Jobs that are forwarded to another region."""
