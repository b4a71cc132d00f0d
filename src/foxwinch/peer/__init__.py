"""Communication between nodes: framed streams over TCP and gossip datagrams over UDP."""
