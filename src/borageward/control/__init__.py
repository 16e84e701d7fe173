"""The control role: a replicated log and the cluster state built from it.

``service`` runs a replica whose peers are listed in its settings; ``cluster``
runs a replica that discovers its peers from seed addresses. Each package
imports only the transports that it uses.
"""
