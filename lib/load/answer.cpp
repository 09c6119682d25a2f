#include "lib/load/answer.hpp"

#include "hawthornbeam/load/run.hpp"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

template <class T, std::size_t N>
std::optional<T> enum_from_name(const std::array<const char*, N>& names,
                                const std::string& name)
{
    for (std::size_t i = 0; i < N; ++i)
        if (name == names[i])
            return static_cast<T>(i);
    return std::nullopt;
}

std::optional<wire::job_verdict> parse_verdict(const std::string& name)
{
    static constexpr std::array<const char*, 5> names{"accepted", "done", "not_run",
                                                      "unknown", "cancelled"};
    return enum_from_name<wire::job_verdict>(names, name);
}

std::optional<task_state> parse_state(const std::string& name)
{
    static constexpr std::array<const char*, 4> names{"running", "finished", "failed",
                                                      "stopped"};
    return enum_from_name<task_state>(names, name);
}

/// Returns false when \p document is not a job status.
bool read_job_status(const json& document, load_answer& answer)
{
    const std::optional<wire::job_verdict> verdict =
        parse_verdict(document.value("verdict", ""));
    if (!verdict)
        return false;
    answer.verdict = *verdict;
    for (const json& entry : document.at("results"))
    {
        const std::optional<task_state> state = parse_state(entry.at("state"));
        if (!state)
            return false;
        answer.results.push_back(wire::task_result{
            entry.at("index").get<std::uint32_t>(), *state, entry.at("known").get<bool>(),
            entry.at("output").get<std::string>()});
    }
    return true;
}

void read_problem(const json& document, load_answer& answer)
{
    answer.not_run = document.value("not_run", false);
    answer.title = document.value("title", "");
    answer.retry_after =
        std::chrono::milliseconds(document.value("retry_after_ms", std::int64_t{0}));
    if (!answer.not_run && document.contains("job"))
        answer.has_status = read_job_status(document.at("job"), answer);
}

} // namespace

load_answer read_answer(unsigned status, const std::string& body)
{
    load_answer answer;
    answer.title = fmt::format("status {}", status);
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object())
        return answer;
    try
    {
        if (status == 200 || status == 202)
            answer.has_status = read_job_status(document, answer);
        else
            read_problem(document, answer);
    }
    catch (const json::exception& fault)
    {
        answer = load_answer();
        answer.title = fault.what();
    }
    return answer;
}

std::string answer_fault(const load_stream& stream, const load_job& job)
{
    if (job.verdict != wire::job_verdict::done)
        return std::string();
    std::vector<bool> has_result(stream.tasks, false);
    for (const wire::task_result& task : job.results)
    {
        if (task.index >= stream.tasks || has_result[task.index])
            return fmt::format("task {} is unknown or answered twice", task.index);
        has_result[task.index] = true;
        const bool ended_by_itself = task.known && task.state != task_state::stopped;
        if (ended_by_itself && task.output != job.payload)
            return fmt::format("task {} answered \"{}\" instead of \"{}\"", task.index,
                               task.output, job.payload);
    }
    for (std::size_t i = 0; i < has_result.size(); ++i)
        if (!has_result[i])
            return fmt::format("there is no result of task {}", i);
    return std::string();
}

} // namespace hawthornbeam
