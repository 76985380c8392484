"""Commands that query routers or read their logs."""

from __future__ import annotations

from boragetiller.cli import status
from boragetiller.cli.invocation import DEFAULT_TIMEOUT_MS, Invocation
from boragetiller.cli.logs import explain_from_logs, parse_log_files, show_incident
from boragetiller.cli.options import parse_operator_options, read_file
from boragetiller.cli.report import parse_output_format
from boragetiller.cli.where import parse_headers, show_placement


class OperatorCommands:
    """Commands about the state and the decisions of routers."""

    def status(
        self,
        record: str | None = None,
        operator_url: str | None = None,
        operator_key: str | None = None,
        output: str = "table",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Invocation:
        """
        Print the state of routers and agents, or which nodes have applied a record.

        :param record: kind/name of a record
        :param operator_url: comma-separated operator URLs; default BORAGETILLER_OPERATOR_URL
        :param operator_key: their bearer key; default BORAGETILLER_OPERATOR_KEY
        :param output: table or json
        :param timeout_ms: time limit of one request
        """
        if record is None:
            return Invocation(
                lambda: status.show_status(
                    parse_operator_options(operator_url, operator_key, timeout_ms, output)
                )
            )
        return Invocation(
            lambda: status.show_record_status(
                str(record), parse_operator_options(operator_url, operator_key, timeout_ms, output)
            )
        )

    def explain(
        self,
        request_id: str,
        logs: str | None = None,
        operator_url: str | None = None,
        operator_key: str | None = None,
        output: str = "table",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Invocation:
        """
        Print each decision about REQUEST_ID (the response's x-request-id) with its reason.

        :param logs: comma-separated log files to read instead of asking routers; - for stdin
        :param operator_url: comma-separated operator URLs; default BORAGETILLER_OPERATOR_URL
        :param operator_key: their bearer key; default BORAGETILLER_OPERATOR_KEY
        :param output: table or json
        :param timeout_ms: time limit of one request
        """
        if logs is not None:
            return Invocation(
                lambda: explain_from_logs(
                    str(request_id), parse_log_files(logs), parse_output_format(output)
                )
            )
        return Invocation(
            lambda: status.explain_request(
                str(request_id),
                parse_operator_options(operator_url, operator_key, timeout_ms, output),
            )
        )

    def incident(
        self,
        logs: str,
        start_ms: int | None = None,
        end_ms: int | None = None,
        output: str = "table",
    ) -> Invocation:
        """
        Summarize LOGS (comma-separated, - for stdin): failures, outliers and state changes.

        :param start_ms: start in milliseconds since the epoch; default the first line
        :param end_ms: end in milliseconds since the epoch; default the last line
        :param output: table or json
        """
        return Invocation(
            lambda: show_incident(
                parse_log_files(logs), start_ms, end_ms, parse_output_format(output)
            )
        )

    def where(
        self,
        path: str,
        method: str = "POST",
        headers: str | None = None,
        body: str | None = None,
        operator_url: str | None = None,
        operator_key: str | None = None,
        output: str = "table",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Invocation:
        """
        Print where a request to PATH would go now and why; exit code 4 if it would be refused.

        :param method: HTTP method of the request
        :param headers: file with its headers, one in each line; - for stdin
        :param body: file with its body; - for stdin
        :param operator_url: comma-separated operator URLs; default BORAGETILLER_OPERATOR_URL
        :param operator_key: their bearer key; default BORAGETILLER_OPERATOR_KEY
        :param output: table or json
        :param timeout_ms: time limit of one request
        """
        return Invocation(
            lambda: show_placement(
                str(path),
                str(method),
                parse_headers(read_file(headers)) if headers is not None else {},
                read_file(body) if body is not None else "",
                parse_operator_options(operator_url, operator_key, timeout_ms, output),
            )
        )


__all__ = ["OperatorCommands"]
