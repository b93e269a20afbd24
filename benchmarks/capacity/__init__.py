"""What grows with the size of a deployment: measurements at several sizes and the lines fitted to them."""
