/// \file
/// HTTP/JSON implementation of worker_gateway.
#include "hawthornbeam/platform/http_worker_gateway.hpp"

#include "lib/platform/json_call.hpp"

#include <array>
#include <cassert>
#include <set>

namespace hawthornbeam
{

namespace
{

constexpr std::array<const char*, 4> state_names{"running", "finished", "failed",
                                                 "stopped"};
constexpr std::array<const char*, 3> action_names{"stop", "checkpoint", "throttle"};

std::int64_t to_milliseconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

json encode_start(const task_start& task)
{
    return json{{"id", task.id.text()},
                {"row", task.row.value()},
                {"size", encode_resources(task.size)},
                {"declared_run_ms", to_milliseconds(task.declared_run_time)},
                {"idempotent", task.idempotent},
                {"job_owner", task.job_owner.value()},
                {"payload", encode_bytes(task.payload)}};
}

json encode_ids(const std::vector<task_id>& ids)
{
    json texts = json::array();
    for (const task_id& id : ids)
        texts.push_back(id.text());
    return texts;
}

task_id task_id_at(const json& object, const char* name)
{
    const std::optional<task_id> id = task_id::parse(text_at(object, name));
    if (!id)
        throw malformed_json(std::string(name) + " is no task id");
    return *id;
}

task_state state_at(const json& object, const char* name)
{
    const std::string text = text_at(object, name);
    for (std::size_t i = 0; i < state_names.size(); ++i)
        if (text == state_names[i])
            return static_cast<task_state>(i);
    throw malformed_json(std::string(name) + " is no task state");
}

duration lease_length_at(const json& object, const char* name)
{
    // A longer lease could overflow when converted to nanoseconds, or let an owner rely
    // on it indefinitely.
    constexpr std::uint64_t max_lease_ms = std::uint64_t{60} * 60 * 1000;
    const std::uint64_t length = unsigned_at(object, name);
    if (length > max_lease_ms)
        throw malformed_json(std::string(name) + " is longer than an hour");
    return std::chrono::milliseconds(length);
}

lease_grant decode_lease(const json& lease)
{
    return lease_grant{generation(unsigned_at(lease, "generation")),
                       lease_length_at(lease, "lease_ms"),
                       lease_length_at(lease, "task_lease_ms")};
}

task_report decode_report(const json& report)
{
    task_report decoded;
    decoded.id = task_id_at(report, "id");
    decoded.row = row_id(text_at(report, "row"));
    decoded.size = resources_at(report, "size");
    decoded.idempotent = flag_at(report, "idempotent");
    decoded.job_owner = instance_id(text_at(report, "job_owner"));
    decoded.state = state_at(report, "state");
    decoded.output = bytes_at(report, "output");
    decoded.used_cores = usage_at(report, "used_cores");
    decoded.used_memory = usage_at(report, "used_memory");
    return decoded;
}

std::vector<task_report> decode_reports(const json& response)
{
    std::vector<task_report> reports;
    for (const json& report : array_at(response, "tasks"))
        reports.push_back(decode_report(report));
    return reports;
}

worker_events decode_events(const json& response)
{
    return worker_events{unsigned_at(response, "seen"),
                         decode_lease(response.at("lease")), decode_reports(response)};
}

std::optional<task_report> decode_task(const json& response)
{
    const json& task = response.at("task");
    if (task.is_null())
        return std::nullopt;
    return decode_report(task);
}

/// Requires exactly one outcome for each task of \p requested, because a task without an
/// outcome may be running.
std::vector<start_outcome> decode_outcomes(const json& response,
                                           std::set<task_id> requested)
{
    std::vector<start_outcome> outcomes;
    for (const json& outcome : array_at(response, "outcomes"))
    {
        outcomes.push_back(start_outcome{task_id_at(outcome, "id"),
                                         flag_at(outcome, "accepted"),
                                         text_at(outcome, "reason")});
        if (requested.erase(outcomes.back().id) == 0)
            throw malformed_json("an outcome is doubled or was not asked for");
    }
    if (!requested.empty())
        throw malformed_json("a task has no outcome");
    return outcomes;
}

} // namespace

class http_worker_gateway::implementation
{
public:
    implementation(event_loop& loop, const logger& log, http_worker_options options)
        : options_(options), client_(loop, log, {options.max_connections})
    {
    }

    http_request read_request(const worker_address& worker, const std::string& path) const
    {
        return http_request{
            "GET", "http://" + worker.value() + path, {}, options_.timeout};
    }
    http_request post_request(const worker_address& worker, const std::string& path,
                              const json& body) const
    {
        return http_request{"POST", "http://" + worker.value() + path, print_json(body),
                            options_.timeout};
    }
    /// Posts \p body and yields the boolean member \p verdict of the response.
    void post_verdict(const worker_address& worker, const std::string& path,
                      const json& body, const char* verdict, callback<bool> done)
    {
        call_json<bool>(
            client_, post_request(worker, path, body), call_effect::write,
            [verdict](const json& response) { return flag_at(response, verdict); },
            std::move(done));
    }

    http_client& client() { return client_; }
    const http_worker_options& options() const { return options_; }

private:
    http_worker_options options_;
    http_client client_;
};

http_worker_gateway::http_worker_gateway(event_loop& loop, const logger& log,
                                         http_worker_options options)
    : implementation_(std::make_unique<implementation>(loop, log, options))
{
}

http_worker_gateway::~http_worker_gateway() = default;

worker_capabilities http_worker_gateway::capabilities() const
{
    return implementation_->options().capabilities;
}

void http_worker_gateway::acquire(const worker_address& worker, const instance_id& owner,
                                  callback<lease_grant> done)
{
    call_json<lease_grant>(implementation_->client(),
                           implementation_->post_request(worker, "/lease/acquire",
                                                         {{"owner", owner.value()}}),
                           call_effect::write, decode_lease, std::move(done));
}

void http_worker_gateway::release(const worker_address& worker,
                                  generation lease_generation, callback<bool> done)
{
    implementation_->post_verdict(worker, "/lease/release",
                                  {{"generation", lease_generation.value()}}, "released",
                                  std::move(done));
}

void http_worker_gateway::start(const worker_address& worker, generation lease_generation,
                                std::vector<task_start> tasks,
                                callback<std::vector<start_outcome>> done)
{
    json encoded = json::array();
    std::set<task_id> requested;
    for (const task_start& task : tasks)
    {
        encoded.push_back(encode_start(task));
        requested.insert(task.id);
    }
    assert(requested.size() == tasks.size() && "task ids of a start call must be unique");
    call_json<std::vector<start_outcome>>(
        implementation_->client(),
        implementation_->post_request(
            worker, "/start",
            {{"generation", lease_generation.value()}, {"tasks", std::move(encoded)}}),
        call_effect::write,
        [requested = std::move(requested)](const json& response)
        { return decode_outcomes(response, requested); },
        std::move(done));
}

void http_worker_gateway::events(const worker_address& worker,
                                 generation lease_generation, std::uint64_t after,
                                 duration wait, callback<worker_events> done)
{
    http_request request =
        implementation_->post_request(worker, "/events",
                                      {{"generation", lease_generation.value()},
                                       {"after", after},
                                       {"wait_ms", to_milliseconds(wait)}});
    request.timeout = wait + implementation_->options().wait_margin;
    // Renewing a lease twice is harmless, so the call is treated as a read.
    call_json<worker_events>(implementation_->client(), std::move(request),
                             call_effect::read, decode_events, std::move(done));
}

void http_worker_gateway::list(const worker_address& worker,
                               callback<std::vector<task_report>> done)
{
    call_json<std::vector<task_report>>(
        implementation_->client(), implementation_->read_request(worker, "/tasks"),
        call_effect::read, decode_reports, std::move(done));
}

void http_worker_gateway::task(const worker_address& worker, const task_id& id,
                               callback<std::optional<task_report>> done)
{
    call_json<std::optional<task_report>>(
        implementation_->client(),
        implementation_->read_request(worker, "/tasks/" + id.text()), call_effect::read,
        decode_task, std::move(done));
}

void http_worker_gateway::acknowledge(const worker_address& worker,
                                      generation lease_generation,
                                      std::vector<task_id> tasks, callback<bool> done)
{
    implementation_->post_verdict(
        worker, "/acknowledge",
        {{"generation", lease_generation.value()}, {"tasks", encode_ids(tasks)}},
        "acknowledged", std::move(done));
}

void http_worker_gateway::control(const worker_address& worker,
                                  generation lease_generation, const task_id& id,
                                  task_action action, callback<bool> done)
{
    const std::size_t index = static_cast<std::size_t>(action);
    assert(index < action_names.size() && "task_action value out of range");
    implementation_->post_verdict(worker, "/control",
                                  {{"generation", lease_generation.value()},
                                   {"task", id.text()},
                                   {"action", action_names[index]}},
                                  "applied", std::move(done));
}

} // namespace hawthornbeam
