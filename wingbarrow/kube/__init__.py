"""The Kubernetes API's public conventions without I/O: Status errors, selectors, objects, store and watch window."""
