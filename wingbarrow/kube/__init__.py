"""The Kubernetes API's public conventions without I/O: Status errors, selectors, objects, store and watch window.

`names` has the labels and annotations of this project; `store.Store` is one sequence of resourceVersions.
"""
