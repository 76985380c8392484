"""Entry point of `boragetillerd`, which reports a module that cannot be loaded."""

from __future__ import annotations

from boragetiller.installation.load_errors import exit_on_load_error


def main() -> None:
    """Load the daemon and run it; see boragetiller.daemon."""
    with exit_on_load_error():
        from boragetiller.daemon import main as run_daemon  # noqa: PLC0415
    run_daemon()


__all__ = ["main"]

if __name__ == "__main__":
    main()
