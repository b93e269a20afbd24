"""Messages between placers over the project's own HTTP, and the APIs for operators on what placers agree on.

`host` carries out the effects of the state machines of `decide` in order, `api` receives, `mailbox` sends, `message` is
the wire form. None of the five rules rests on this package: a placer without peers keeps them alone.
"""
