"""The page docs/CAPACITY.md, made from the committed measurements."""
