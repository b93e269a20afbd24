"""What placers say to each other, over the project's own HTTP; what is decided among them is in `decide.peers`.

`host` carries out what the state machines ask for, `front` is the way in, `post` the way out, `message` the form.
Nothing here is a rule's ground, and the placer works without any of it.
"""
