/// \file
/// Services shared by all commands: API calls with failover, output and confirmation
/// prompts.
#ifndef HAWTHORNBEAM_LIB_CLI_CONTEXT_HPP
#define HAWTHORNBEAM_LIB_CLI_CONTEXT_HPP

#include "hawthornbeam/cli/command.hpp"

#include <nlohmann/json_fwd.hpp>

namespace hawthornbeam
{

/// Whether a request that may have taken effect can be retried on another instance.
enum class retry_policy
{
    safe,  ///< Reads and idempotent writes, such as those with a request id.
    unsafe ///< All other writes.
};

/// A column of an output table: its title and the JSON pointer to its value.
struct column
{
    const char* title;
    const char* pointer;
};

class command_context
{
public:
    command_context(std::vector<std::string> operands, const cli_options& options,
                    const cli_environment& environment);

    const std::vector<std::string>& operands() const { return operands_; }
    const cli_options& options() const { return options_; }
    const cli_environment& environment() const { return environment_; }

    /// Tries the instances in turn until one responds to \p request. Writes failures to
    /// the error stream; \p response is valid if the result is `done`.
    exit_code call(api_request request, retry_policy rule, api_response& response);
    /// Like call(), but also parses the response body as JSON.
    exit_code call_json(api_request request, retry_policy rule, nlohmann::json& body);

    /// Writes "hawthornctl: MESSAGE" to the error stream and returns \p code.
    exit_code fail(exit_code code, const std::string& message) const;
    exit_code fail(const findings& faults) const;
    /// Returns true if --yes is given or the user confirms at the terminal. Otherwise
    /// sets \p code.
    bool confirm(const std::string& question, exit_code& code) const;
    bool has(const char* flag) const { return options_.given_flags.contains(flag); }

    /// Writes \p body as JSON, or the objects in its array \p list as a table.
    void print(const nlohmann::json& body, const char* list,
               const std::vector<column>& columns) const;
    /// Writes \p body as JSON, or as one line for each name and value.
    void print(const nlohmann::json& body) const;

private:
    exit_code report_problem(const api_request& request,
                             const api_response& response) const;

    std::vector<std::string> operands_;
    const cli_options& options_;
    const cli_environment& environment_;
    std::size_t preferred_ = 0; ///< Index of the instance that responded last.
};

/// Percent-encodes a path segment or a query value.
std::string escape_segment(const std::string& text);
/// Returns the query string "?a=x&b=y"; pairs with an empty value are left out.
std::string query_string(const std::vector<std::pair<std::string, std::string>>& parts);
/// Returns the API path of the row "PARTNER/KIND"; empty if \p row is malformed.
std::string row_path(const std::string& row);
/// Returns the member \p key of \p object if it is a string, and otherwise an empty
/// string.
std::string text_member(const nlohmann::json& object, const char* key);
/// Formats a JSON value; a string has no quotes.
std::string plain_text(const nlohmann::json& value);
result<std::string> read_file(const std::string& path);

using command_function = exit_code (*)(command_context&);

exit_code table_show(command_context& context);
exit_code table_set(command_context& context);
exit_code table_apply(command_context& context);
exit_code table_history(command_context& context);
exit_code table_status(command_context& context);
exit_code table_delete(command_context& context);
exit_code jobs_submit(command_context& context);
exit_code jobs_show(command_context& context);
exit_code jobs_watch(command_context& context);
exit_code jobs_result(command_context& context);
exit_code jobs_list(command_context& context);
exit_code jobs_cancel(command_context& context);
exit_code workers_list(command_context& context);
exit_code workers_drain(command_context& context);
exit_code workers_undrain(command_context& context);
exit_code list_instances(command_context& context);
exit_code explain_job(command_context& context);
exit_code logs_of_job(command_context& context);
exit_code report_record(command_context& context);
exit_code report_burn(command_context& context);

} // namespace hawthornbeam

#endif
