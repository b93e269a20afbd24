"""Communication between regions: load reports, and forwarding of Jobs to another region."""
