"""Base file and site overlays: parsing, validation and compilation."""
