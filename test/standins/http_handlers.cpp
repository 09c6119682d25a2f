/// \file
/// Server side of the platform's HTTP/JSON protocols.
#include "test/standins/http_handlers.hpp"

#include "lib/platform/json_values.hpp"

#include <array>
#include <cstdlib>

namespace hawthornbeam::standins
{

namespace
{

constexpr std::array<const char*, 4> state_names{"running", "finished", "failed",
                                                 "stopped"};
constexpr std::array<const char*, 3> action_names{"stop", "checkpoint", "throttle"};

unsigned http_status(error_code code)
{
    if (code == error_code::conflict)
        return 409;
    if (code == error_code::limit_exceeded)
        return 413;
    return 500;
}

void reply_json(const exchange_pointer& exchange, const json& value)
{
    exchange->reply(200, print_json(value));
}

void reply_error(const exchange_pointer& exchange, unsigned status,
                 const std::string& message)
{
    exchange->reply(status, print_json({{"error", message}}));
}

template <class T, class Encode>
void reply_result(const exchange_pointer& exchange, const result<T>& outcome,
                  Encode encode)
{
    if (outcome)
        reply_json(exchange, encode(outcome.value()));
    else
        reply_error(exchange, http_status(outcome.error().code), outcome.error().message);
}

std::uint64_t query_number(const http_exchange& exchange, const char* name)
{
    const std::map<std::string, std::string>::const_iterator found =
        exchange.query.find(name);
    return found == exchange.query.end()
               ? 0
               : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string query_text(const http_exchange& exchange, const char* name)
{
    const std::map<std::string, std::string>::const_iterator found =
        exchange.query.find(name);
    return found == exchange.query.end() ? std::string() : found->second;
}

json encode_entry(const kv_entry& entry)
{
    return json{{"key", entry.key},
                {"value", encode_bytes(entry.value)},
                {"revision", entry.revision.value()}};
}

json encode_entries(const std::vector<kv_entry>& entries)
{
    json encoded = json::array();
    for (const kv_entry& entry : entries)
        encoded.push_back(encode_entry(entry));
    return encoded;
}

json encode_changes(const kv_changes& changes)
{
    return json{{"changed", encode_entries(changes.changed)},
                {"seen", changes.seen.value()},
                {"skipped", changes.skipped}};
}

bool is_empty(const kv_changes& changes)
{
    return changes.changed.empty() && !changes.skipped;
}

task_id parse_task_id(const std::string& text)
{
    const std::optional<task_id> id = task_id::parse(text);
    if (!id)
        throw malformed_json(text + " is no task id");
    return *id;
}

task_start decode_start(const json& task)
{
    task_start decoded;
    decoded.id = parse_task_id(text_at(task, "id"));
    decoded.row = row_id(text_at(task, "row"));
    decoded.size = resources_at(task, "size");
    decoded.declared_run_time =
        std::chrono::milliseconds(integer_at(task, "declared_run_ms"));
    decoded.idempotent = flag_at(task, "idempotent");
    decoded.job_owner = instance_id(text_at(task, "job_owner"));
    decoded.payload = bytes_at(task, "payload");
    return decoded;
}

std::int64_t to_milliseconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

json encode_lease(const lease_grant& lease)
{
    return json{{"generation", lease.granted.value()},
                {"lease_ms", to_milliseconds(lease.length)},
                {"task_lease_ms", to_milliseconds(lease.task_lease)}};
}

json encode_report(const task_report& report)
{
    return json{{"id", report.id.text()},
                {"row", report.row.value()},
                {"size", encode_resources(report.size)},
                {"idempotent", report.idempotent},
                {"job_owner", report.job_owner.value()},
                {"state", state_names[static_cast<std::size_t>(report.state)]},
                {"output", encode_bytes(report.output)},
                {"used_cores", encode_usage(report.used_cores)},
                {"used_memory", encode_usage(report.used_memory)}};
}

json encode_reports(const std::vector<task_report>& reports)
{
    json encoded = json::array();
    for (const task_report& report : reports)
        encoded.push_back(encode_report(report));
    return encoded;
}

json encode_events(const worker_events& events)
{
    return json{{"seen", events.seen},
                {"lease", encode_lease(events.lease)},
                {"tasks", encode_reports(events.tasks)}};
}

json encode_outcomes(const std::vector<start_outcome>& outcomes)
{
    json encoded = json::array();
    for (const start_outcome& outcome : outcomes)
        encoded.push_back({{"id", outcome.id.text()},
                           {"accepted", outcome.accepted},
                           {"reason", outcome.reason}});
    return json{{"outcomes", std::move(encoded)}};
}

using worker_route = void (*)(hosted_worker&, const json&, const exchange_pointer&);

generation generation_from(const json& body)
{
    return generation(unsigned_at(body, "generation"));
}

void acquire(hosted_worker& worker, const json& body, const exchange_pointer& exchange)
{
    reply_result(exchange, worker.state().acquire(instance_id(text_at(body, "owner"))),
                 encode_lease);
}

void release(hosted_worker& worker, const json& body, const exchange_pointer& exchange)
{
    reply_result(exchange, worker.state().release(generation_from(body)),
                 [](bool released) {
                     return json{{"released", released}};
                 });
}

void start(hosted_worker& worker, const json& body, const exchange_pointer& exchange)
{
    std::vector<task_start> tasks;
    for (const json& task : array_at(body, "tasks"))
        tasks.push_back(decode_start(task));
    reply_result(exchange, worker.state().start(generation_from(body), tasks),
                 encode_outcomes);
}

void events(hosted_worker& worker, const json& body, const exchange_pointer& exchange)
{
    worker.events(generation_from(body), unsigned_at(body, "after"),
                  std::chrono::milliseconds(integer_at(body, "wait_ms")),
                  [exchange](const result<worker_events>& found)
                  { reply_result(exchange, found, encode_events); });
}

void acknowledge(hosted_worker& worker, const json& body,
                 const exchange_pointer& exchange)
{
    std::vector<task_id> tasks;
    for (const json& id : array_at(body, "tasks"))
        tasks.push_back(parse_task_id(id.get_ref<const std::string&>()));
    reply_result(exchange, worker.state().acknowledge(generation_from(body), tasks),
                 [](bool done) {
                     return json{{"acknowledged", done}};
                 });
}

void control(hosted_worker& worker, const json& body, const exchange_pointer& exchange)
{
    const std::string action_name = text_at(body, "action");
    const task_id id = parse_task_id(text_at(body, "task"));
    for (std::size_t i = 0; i < action_names.size(); ++i)
    {
        if (action_name != action_names[i])
            continue;
        reply_result(exchange,
                     worker.state().control(generation_from(body), id,
                                            static_cast<task_action>(i)),
                     [](bool applied) {
                         return json{{"applied", applied}};
                     });
        return;
    }
    throw malformed_json(action_name + " is no action");
}

void list_tasks(hosted_worker& worker, const json& /*body*/,
                const exchange_pointer& exchange)
{
    reply_json(exchange, {{"tasks", encode_reports(worker.state().list())}});
}

void read_task(hosted_worker& worker, const exchange_pointer& exchange,
               const std::string& id)
{
    const std::optional<task_report> found = worker.state().task(parse_task_id(id));
    reply_json(exchange, {{"task", found ? encode_report(*found) : json()}});
}

const std::map<std::string, worker_route>& worker_routes()
{
    static const std::map<std::string, worker_route> routes{
        {"POST /lease/acquire", acquire},
        {"POST /lease/release", release},
        {"POST /start", start},
        {"POST /events", events},
        {"POST /acknowledge", acknowledge},
        {"POST /control", control},
        {"GET /tasks", list_tasks},
    };
    return routes;
}

void route_worker_request(hosted_worker& worker, const exchange_pointer& exchange)
{
    const std::string task_prefix = "/tasks/";
    if (exchange->method == "GET" && exchange->path.starts_with(task_prefix))
    {
        read_task(worker, exchange, exchange->path.substr(task_prefix.size()));
        return;
    }
    const std::map<std::string, worker_route>::const_iterator route =
        worker_routes().find(exchange->method + " " + exchange->path);
    if (route == worker_routes().end())
    {
        reply_error(exchange, 404, "no such resource");
        return;
    }
    route->second(worker, parse_json(exchange->body), exchange);
    worker.changed();
}

} // namespace

void handle_worker_request(hosted_worker& worker, const exchange_pointer& exchange)
{
    try
    {
        route_worker_request(worker, exchange);
    }
    catch (const json::exception& fault)
    {
        reply_error(exchange, 400, fault.what());
    }
    catch (const malformed_json& fault)
    {
        reply_error(exchange, 400, fault.what());
    }
}

void handle_host_list_request(host_list_state& hosts, const exchange_pointer& exchange)
{
    json encoded = json::array();
    for (const host_entry& host : hosts.shown())
        encoded.push_back({{"id", host.id.value()},
                           {"address", host.address.value()},
                           {"failure_domain", host.failure_domain.value()},
                           {"rack", host.rack.value()},
                           {"capacity", encode_resources(host.capacity)},
                           {"leaving", host.leaving}});
    reply_json(exchange, {{"hosts", std::move(encoded)}});
}

std::string history_line(const history_entry& entry)
{
    return print_json({{"at_ms", to_milliseconds(entry.at.time_since_epoch())},
                       {"worker", entry.worker.value()},
                       {"event", entry.event},
                       {"generation", entry.lease.value()},
                       {"subject", entry.subject},
                       {"detail", entry.detail},
                       {"size", encode_resources(entry.size)},
                       {"job_owner", entry.job_owner.value()}});
}

void kv_handler::handle(const exchange_pointer& exchange)
{
    const std::string key_prefix = "/kv/";
    const std::string& method = exchange->method;
    const bool names_key = exchange->path.starts_with(key_prefix);
    const std::string key =
        names_key ? exchange->path.substr(key_prefix.size()) : std::string();
    if (names_key && method == "GET")
        read(exchange, key);
    else if (names_key && method == "PUT")
        write(exchange, key);
    else if (names_key && method == "DELETE")
        remove(exchange, key);
    else if (exchange->path == "/kv" && method == "GET")
        list(exchange);
    else if (exchange->path == "/watch" && method == "GET")
        watch(exchange);
    else
        reply_error(exchange, 404, "no such resource");
}

void kv_handler::read(const exchange_pointer& exchange, const std::string& key)
{
    const std::optional<kv_entry> found = state_.read(key);
    reply_json(exchange, {{"entry", found ? encode_entry(*found) : json()}});
}

void kv_handler::list(const exchange_pointer& exchange)
{
    reply_json(
        exchange,
        {{"entries", encode_entries(state_.list(query_text(*exchange, "prefix")))}});
}

void kv_handler::write(const exchange_pointer& exchange, const std::string& key)
{
    reply_result(exchange,
                 state_.write(key, exchange->body,
                              kv_revision(query_number(*exchange, "revision"))),
                 [](kv_revision written) {
                     return json{{"revision", written.value()}};
                 });
    answer_ready_watches();
}

void kv_handler::remove(const exchange_pointer& exchange, const std::string& key)
{
    reply_result(exchange,
                 state_.remove(key, kv_revision(query_number(*exchange, "revision"))),
                 [](bool removed) {
                     return json{{"removed", removed}};
                 });
}

void kv_handler::watch(const exchange_pointer& exchange)
{
    const std::string prefix = query_text(*exchange, "prefix");
    const kv_revision after(query_number(*exchange, "after"));
    const kv_changes found = state_.changes(prefix, after);
    const std::uint64_t wait_ms = query_number(*exchange, "wait_ms");
    if (!is_empty(found) || wait_ms == 0)
    {
        reply_json(exchange, encode_changes(found));
        return;
    }
    const std::list<waiting_watch>::iterator watch =
        watches_.insert(watches_.end(), waiting_watch{prefix, after, exchange, {}});
    watch->timeout = loop_.after(
        std::chrono::milliseconds(wait_ms),
        [this, watch]
        {
            std::list<waiting_watch> ended;
            ended.splice(ended.end(), watches_, watch);
            reply_json(watch->exchange,
                       encode_changes(state_.changes(watch->prefix, watch->after)));
        });
}

void kv_handler::answer_ready_watches()
{
    for (std::list<waiting_watch>::iterator watch = watches_.begin();
         watch != watches_.end();)
    {
        const kv_changes found = state_.changes(watch->prefix, watch->after);
        if (is_empty(found))
        {
            ++watch;
            continue;
        }
        reply_json(watch->exchange, encode_changes(found));
        watch = watches_.erase(watch);
    }
}

} // namespace hawthornbeam::standins
