"""Names, formats and calls of the users' platform, in the project's own words."""
