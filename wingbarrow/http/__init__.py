"""HTTP/1.1 (RFC 9110, RFC 9112): a parser and writer without I/O, a server and a client pool on the hub."""
