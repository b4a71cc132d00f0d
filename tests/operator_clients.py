"""Queries a node's health and reflection services with grpcio's clients and prints the results.

Runs as a separate process, because the generated messages of grpcio and grpclib cannot be loaded
into the same one.
"""

import json
import sys

import grpc
from grpc_health.v1 import health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha import reflection_pb2, reflection_pb2_grpc

SERVICE = "foxwinch.v1.Operator"
SECONDS = 20


def main(address: str) -> None:
    """Query the node at `address` and print the results as JSON."""
    with grpc.insecure_channel(address) as channel:
        health = health_pb2_grpc.HealthStub(channel)
        request = health_pb2.HealthCheckRequest(service=SERVICE)
        status = health.Check(request, timeout=SECONDS).status
        reflection = reflection_pb2_grpc.ServerReflectionStub(channel)
        requests = [
            reflection_pb2.ServerReflectionRequest(list_services=""),
            reflection_pb2.ServerReflectionRequest(file_containing_symbol=SERVICE),
        ]
        answers = list(reflection.ServerReflectionInfo(iter(requests), timeout=SECONDS))
    results = {
        "health": health_pb2.HealthCheckResponse.ServingStatus.Name(status),
        "services": [s.name for s in answers[0].list_services_response.service],
        "schema_names_drain": any(
            b"DrainNodeRequest" in file
            for file in answers[1].file_descriptor_response.file_descriptor_proto
        ),
    }
    print(json.dumps(results))


if __name__ == "__main__":
    main(sys.argv[1])
