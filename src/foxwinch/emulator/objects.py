"""In-memory model of the platform's object store: objects are written once."""

from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.storage.ports import Stored


class ObjectModel:
    """Objects by key."""

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, bytes] = {}

    def put(self, key: str, data: bytes) -> Stored | Refused:
        """Store an object; other bytes under a key that is taken are a `CONFLICT`."""
        if self.objects.setdefault(key, data) != data:
            return not_run(Reason.CONFLICT, "the object exists with other bytes")
        return Stored()

    def get(self, key: str) -> bytes | None:
        """Return an object, or None when it is absent."""
        return self.objects.get(key)

    def delete(self, key: str) -> Stored:
        """Delete an object if it is there."""
        self.objects.pop(key, None)
        return Stored()
