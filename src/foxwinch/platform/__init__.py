"""What the platform gives: table service, object store, machine list; ports and adapters."""
