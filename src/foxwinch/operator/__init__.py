"""The gRPC service for operators: server, handlers and client."""
