"""Code generated from the schemas under proto/; never edited by hand."""
