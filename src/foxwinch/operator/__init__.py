"""The operator side: gRPC by grpclib."""
