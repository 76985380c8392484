"""HTTP connections of callers that read only what the budget of the process has room for."""
