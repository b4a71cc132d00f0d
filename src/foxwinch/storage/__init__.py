"""Ports and clients of the table service, object store and machine list of the stand-ins."""
