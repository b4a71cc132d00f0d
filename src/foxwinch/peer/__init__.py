"""The peer side: framed streams over TCP and gossip datagrams over UDP."""
