"""Tests of the decisions under more load than a process can take."""
