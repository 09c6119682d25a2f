/// \file
/// Table of the hawthornctl commands, command dispatch and help text.
#include "hawthornbeam/cli/command.hpp"

#include "context.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

struct command
{
    std::vector<std::string> words;
    const char* operands; ///< Names of the operands as shown in the help.
    std::size_t min_operands;
    std::size_t max_operands;
    std::vector<std::string> flags; ///< Flags accepted in addition to the common flags.
    command_function run;
    const char* summary;
    const char* example;
};

/// Limit on the log files of one command. Larger than the number of hosts in a
/// deployment.
constexpr std::size_t max_log_files = 1000;

const std::vector<std::string> common_flags{"instances", "token_file", "output",
                                            "timeout"};

const std::vector<std::string> submit_flags{
    "partner",  "kind",         "request_id", "tasks",       "processors",
    "memory",   "accelerators", "idempotent", "synchronous", "spread",
    "run_time", "deadline",     "payload"};

const std::vector<command>& commands()
{
    static const std::vector<command> all{
        {{"table", "show"},
         "",
         0,
         0,
         {},
         table_show,
         "show the operators' table in force",
         "hawthornctl table show --output=json"},
        {{"table", "set"},
         "ROW FIELD VALUE",
         3,
         3,
         {},
         table_set,
         "change one field of a row; limits are written limits.NAME",
         "hawthornctl table set partner-a/request limits.queue_length 500"},
        {{"table", "apply"},
         "FILE.toml",
         1,
         1,
         {"yes"},
         table_apply,
         "replace the table by that of a file, after showing the difference",
         "hawthornctl table apply table.toml --yes"},
        {{"table", "history"},
         "",
         0,
         0,
         {"limit"},
         table_history,
         "list the last edits, newest first",
         "hawthornctl table history --limit=10"},
        {{"table", "status"},
         "",
         0,
         0,
         {},
         table_status,
         "show the version in force at each instance",
         "hawthornctl table status"},
        {{"table", "delete"},
         "ROW",
         1,
         1,
         {"yes"},
         table_delete,
         "delete a row",
         "hawthornctl table delete partner-a/request --yes"},
        {{"jobs", "submit"},
         "[FILE.json]",
         0,
         1,
         submit_flags,
         jobs_submit,
         "submit a job, from a file or from flags",
         "hawthornctl jobs submit --partner=partner-a --kind=batch --tasks=10 "
         "--processors=2 --memory=4Gi --idempotent"},
        {{"jobs", "show"},
         "ID",
         1,
         1,
         {},
         jobs_show,
         "show the status of a job",
         "hawthornctl jobs show 0123456789abcdef0123456789abcdef"},
        {{"jobs", "watch"},
         "ID",
         1,
         1,
         {},
         jobs_watch,
         "write a line at each change of a job until it has ended",
         "hawthornctl jobs watch 0123456789abcdef0123456789abcdef"},
        {{"jobs", "result"},
         "ID",
         1,
         1,
         {},
         jobs_result,
         "show the outputs of a job that has ended",
         "hawthornctl jobs result 0123456789abcdef0123456789abcdef --output=json"},
        {{"jobs", "list"},
         "",
         0,
         0,
         {"partner", "kind", "limit"},
         jobs_list,
         "list jobs",
         "hawthornctl jobs list --partner=partner-a --limit=20"},
        {{"jobs", "cancel"},
         "[ID]",
         0,
         1,
         {"partner", "kind", "yes"},
         jobs_cancel,
         "cancel one job, or all of a partner and kind",
         "hawthornctl jobs cancel --partner=partner-a --kind=batch --yes"},
        {{"workers", "list"},
         "",
         0,
         0,
         {},
         workers_list,
         "list workers",
         "hawthornctl workers list"},
        {{"workers", "drain"},
         "ID",
         1,
         1,
         {},
         workers_drain,
         "give a worker no new tasks",
         "hawthornctl workers drain worker-17"},
        {{"workers", "undrain"},
         "ID",
         1,
         1,
         {},
         workers_undrain,
         "give a worker new tasks again",
         "hawthornctl workers undrain worker-17"},
        {{"instances"},
         "",
         0,
         0,
         {},
         list_instances,
         "list instances",
         "hawthornctl instances --instances=10.0.0.1:8080,10.0.0.2:8080"},
        {{"explain"},
         "JOB",
         1,
         1,
         {},
         explain_job,
         "say what a waiting job waits for",
         "hawthornctl explain 0123456789abcdef0123456789abcdef"},
        {{"logs"},
         "JOB [FILE...]",
         1,
         1 + max_log_files,
         {},
         logs_of_job,
         "lines of all hosts' logs that name a job, by time; reads standard input "
         "without files",
         "hawthornctl logs 0123456789abcdef front-*.log"},
        {{"report", "record"},
         "",
         0,
         0,
         {"file", "every", "count"},
         report_record,
         "append the metrics of all instances to a file",
         "hawthornctl report record --file=metrics.jsonl --every='5 min' --count=0"},
        {{"report", "burn"},
         "",
         0,
         0,
         {"file", "objectives"},
         report_burn,
         "show error budgets and burn rates; --output=html writes a page",
         "hawthornctl report burn --file=metrics.jsonl --objectives=objectives.toml "
         "--output=html > burn.html"}};
    return all;
}

bool begins_with(const std::vector<std::string>& words,
                 const std::vector<std::string>& prefix)
{
    return prefix.size() <= words.size() &&
           std::equal(prefix.begin(), prefix.end(), words.begin());
}

const command* find_command(const std::vector<std::string>& words)
{
    for (const command& one : commands())
        if (begins_with(words, one.words))
            return &one;
    return nullptr;
}

std::string join_words(const std::vector<std::string>& words, const char* separator)
{
    std::string text;
    for (const std::string& word : words)
        text += (text.empty() ? "" : separator) + word;
    return text;
}

bool contains(const std::vector<std::string>& list, const std::string& text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

std::string flag_spelling(std::string name)
{
    std::replace(name.begin(), name.end(), '_', '-');
    return "--" + name;
}

std::string flag_list(const std::vector<std::string>& flags)
{
    std::vector<std::string> spellings;
    for (const std::string& flag : flags)
        spellings.push_back(flag_spelling(flag));
    return join_words(spellings, " ");
}

/// Describes the first error in the operands or flags of \p selected; empty if they are
/// valid.
std::string usage_error(const command& selected, std::size_t operands,
                        const cli_options& options)
{
    const std::string name = join_words(selected.words, " ");
    if (operands < selected.min_operands || operands > selected.max_operands)
        return fmt::format("{}: {} operands (expected {})", name, operands,
                           selected.max_operands == 0 ? "none" : selected.operands);
    for (const std::string& flag : options.given_flags)
        if (!contains(common_flags, flag) && !contains(selected.flags, flag))
            return fmt::format("{} takes no {}", name, flag_spelling(flag));
    const bool is_burn = selected.run == report_burn;
    const bool known_output = options.output == "table" || options.output == "json" ||
                              (is_burn && options.output == "html");
    if (!known_output)
        return fmt::format("--output is \"{}\" (expected table{} json)", options.output,
                           is_burn ? ", html or" : " or");
    if (options.instances.empty())
        return "--instances is empty (expected IP:PORT,...)";
    return "";
}

} // namespace

exit_code run_command(const std::vector<std::string>& words, const cli_options& options,
                      const cli_environment& environment)
{
    const command* selected = find_command(words);
    command_context context(
        selected == nullptr
            ? words
            : std::vector<std::string>(
                  words.begin() + static_cast<std::ptrdiff_t>(selected->words.size()),
                  words.end()),
        options, environment);
    if (selected == nullptr)
        return context.fail(exit_code::usage,
                            fmt::format("unknown command \"{}\"; see hawthornctl --help",
                                        join_words(words, " ")));
    const std::string fault = usage_error(*selected, context.operands().size(), options);
    if (!fault.empty())
        return context.fail(exit_code::usage, fault);
    return selected->run(context);
}

std::string help_text(const std::vector<std::string>& words)
{
    std::string text;
    for (const command& one : commands())
    {
        if (!begins_with(one.words, words) && !begins_with(words, one.words))
            continue;
        text += fmt::format("hawthornctl {}{}{}\n    {}\n", join_words(one.words, " "),
                            *one.operands != '\0' ? " " : "", one.operands, one.summary);
        if (!one.flags.empty())
            text += fmt::format("    flags: {}\n", flag_list(one.flags));
        text += fmt::format("    example: {}\n", one.example);
    }
    if (text.empty())
        return "unknown command; see hawthornctl --help\n";
    return text +
           "\nFlags of all commands:\n"
           "    --instances IP:PORT,...  instances to try in turn (127.0.0.1:8080)\n"
           "    --token-file FILE        file with the token\n"
           "    --output table|json      form of the data on standard output\n"
           "    --timeout TIME           longest wait for an instance (\"30 s\")\n"
           "    --help, --version\n"
           "\nExit codes: 0 done, 1 refused or not run, 2 usage, 3 no instance "
           "reachable, "
           "4 outcome unknown\n";
}

} // namespace hawthornbeam
