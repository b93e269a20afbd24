"""Messages between placers over the project's own HTTP, and the operators' APIs for the state that placers agree on.

`host` applies the effects of the state machines of `decide` in order, `instances_api` receives messages, `outbox` sends
them, and `message` defines their wire format. None of the five rules depends on this package: a placer without peers
keeps them by itself.
"""
