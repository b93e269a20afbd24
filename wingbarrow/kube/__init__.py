"""The Kubernetes API's public conventions without I/O: Status errors, selectors, objects, store and watch window.

`names` defines this project's labels and annotations; a `store.Store` has one sequence of resourceVersions.
"""
