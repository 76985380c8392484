"""Entry point of the command `boragetiller`."""

from __future__ import annotations

import asyncio
import sys

import fire

from boragetiller.cli import apply as apply_command
from boragetiller.cli import check, read
from boragetiller.cli.exit_codes import ExitCode
from boragetiller.cli.invocation import DEFAULT_TIMEOUT_MS, Invocation
from boragetiller.cli.operator_client import OperatorUnreachable
from boragetiller.cli.operator_commands import OperatorCommands
from boragetiller.cli.options import (
    parse_office,
    parse_positive,
    parse_store_options,
    read_file,
)
from boragetiller.cli.report import parse_output_format
from boragetiller.errors import BoragetillerError, SettingsInvalid, StoreUnavailable
from boragetiller.records.schema import NEWEST_SCHEMA_VERSION


class Commands(OperatorCommands):
    """Write and read records, and query the state of routers."""

    def apply(
        self,
        file: str,
        store_url: str | None = None,
        office: str | None = None,
        output: str = "table",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Invocation:
        """
        Write the records of FILE (`-` for standard input); safe to run again.

        :param store_url: base URL of the store; default BORAGETILLER_STORE_URL
        :param office: name of the writing office; default BORAGETILLER_OFFICE
        :param output: table or json
        :param timeout_ms: time limit of one call to the store
        """
        return Invocation(
            lambda: apply_command.apply_records(
                read_file(file),
                str(file),
                parse_office(office),
                parse_store_options(store_url, timeout_ms, output),
            )
        )

    def get(
        self,
        record: str,
        store_url: str | None = None,
        schema_version: int = NEWEST_SCHEMA_VERSION,
        output: str = "table",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Invocation:
        """
        Print RECORD (kind/name) as a YAML document that `apply` accepts.

        :param store_url: base URL of the store; default BORAGETILLER_STORE_URL
        :param schema_version: schema version of the document
        :param output: table (YAML) or json
        :param timeout_ms: time limit of one call to the store
        """
        return Invocation(
            lambda: read.get_record(
                str(record),
                parse_positive("--schema-version", schema_version),
                parse_store_options(store_url, timeout_ms, output),
            )
        )

    def list(
        self,
        kind: str | None = None,
        store_url: str | None = None,
        output: str = "table",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Invocation:
        """
        List all records, or those of KIND (customer, class or group).

        :param store_url: base URL of the store; default BORAGETILLER_STORE_URL
        :param output: table or json
        :param timeout_ms: time limit of one call to the store
        """
        return Invocation(
            lambda: read.list_records(kind, parse_store_options(store_url, timeout_ms, output))
        )

    def history(
        self,
        record: str,
        store_url: str | None = None,
        output: str = "table",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Invocation:
        """
        Print the recent writes of RECORD (kind/name): office, time, version, changed fields.

        :param store_url: base URL of the store; default BORAGETILLER_STORE_URL
        :param output: table or json
        :param timeout_ms: time limit of one call to the store
        """
        return Invocation(
            lambda: read.show_history(
                str(record), parse_store_options(store_url, timeout_ms, output)
            )
        )

    def diff(
        self,
        file: str,
        store_url: str | None = None,
        office: str | None = None,
        output: str = "table",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Invocation:
        """
        Print what `apply FILE` would change, without writing; exit code 8 if there are changes.

        :param store_url: base URL of the store; default BORAGETILLER_STORE_URL
        :param office: name of the office that would write; default BORAGETILLER_OFFICE
        :param output: table or json
        :param timeout_ms: time limit of one call to the store
        """
        return Invocation(
            lambda: check.diff_file(
                read_file(file),
                str(file),
                parse_office(office),
                parse_store_options(store_url, timeout_ms, output),
            )
        )

    def validate(self, file: str, output: str = "table") -> Invocation:
        """
        Check the records of FILE without access to the store.

        :param output: table or json
        """
        return Invocation(
            lambda: check.validate_file(read_file(file), str(file), parse_output_format(output))
        )

    def demo(self, port: int | None = None) -> Invocation:
        """
        Run small versions of both users' deployments in one process until Ctrl-C.

        :param port: first of five consecutive ports, 0 for free ports
        """
        return Invocation(lambda: _run_demo(port))


async def _run_demo(port: int | None) -> ExitCode:
    from boragetiller.cli.demo import demo  # noqa: PLC0415  only this command needs the stand-ins

    return await (demo() if port is None else demo(port))


def main() -> None:
    """Run one command and exit with a code of :class:`ExitCode`."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """
    Run one command.

    :param arguments: command line without the program name
    :return: exit code
    """
    try:
        invocation = fire.Fire(
            Commands, command=arguments, name="boragetiller", serialize=_hide_invocation
        )
        if not isinstance(invocation, Invocation):
            return ExitCode.INVALID if arguments else ExitCode.DONE
        return asyncio.run(invocation.create_coroutine())
    except SettingsInvalid as error:
        return _fail(ExitCode.INVALID, str(error))
    except StoreUnavailable:
        return _fail(ExitCode.UNREACHABLE, "the store does not answer; try again later")
    except OperatorUnreachable as error:
        return _fail(ExitCode.UNREACHABLE, str(error))
    except BoragetillerError as error:
        return _fail(ExitCode.FAILED, f"{error.code}: {error}")
    except KeyboardInterrupt:
        return _fail(ExitCode.UNKNOWN, "interrupted; run the same command again to get its result")
    except BrokenPipeError:
        return ExitCode.FAILED
    except SystemExit as stop:  # fire printed help or a usage error
        return stop.code if isinstance(stop.code, int) else ExitCode.INVALID
    except Exception as error:  # noqa: BLE001
        return _fail(ExitCode.FAILED, f"unexpected {type(error).__name__}: {error}")


def _hide_invocation(result: object) -> object:
    return None if isinstance(result, Invocation) else result


def _fail(code: ExitCode, message: str) -> ExitCode:
    print(f"boragetiller: {message}", file=sys.stderr)
    return code


__all__ = ["Commands", "main", "run"]


if __name__ == "__main__":
    main()
