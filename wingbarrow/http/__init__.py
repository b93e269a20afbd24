"""HTTP/1.1 (RFC 9110, RFC 9112): `message`, `parse` and `write` without I/O; `server` and `client` on the hub.

`listwatch` serves lists and watches of a store, `watching` is the client for them.
"""
