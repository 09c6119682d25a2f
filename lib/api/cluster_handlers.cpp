/// \file
/// Routing table, and handlers for instances, workers, metrics and health.
#include "lib/api/handlers.hpp"
#include "lib/api/job_json.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

const char* state_name(member_state state)
{
    static constexpr std::array<const char*, 4> names{"alive", "suspected", "leaving",
                                                      "dead"};
    return names.at(static_cast<std::size_t>(state));
}

/// Removes and returns the first segment of \p path, which begins with '/'.
std::string_view split_off_segment(std::string_view& path)
{
    path.remove_prefix(1);
    const std::string_view segment = path.substr(0, path.find('/'));
    path.remove_prefix(segment.size());
    return segment;
}

bool match(std::string_view pattern, std::string_view path,
           std::vector<std::string>& captures)
{
    captures.clear();
    while (!pattern.empty() && !path.empty())
    {
        const std::string_view expected = split_off_segment(pattern);
        const std::string_view found = split_off_segment(path);
        if (expected == "*" && !found.empty())
            captures.emplace_back(found);
        else if (expected != found)
            return false;
    }
    return pattern.empty() && path.empty();
}

} // namespace

const api_handlers::route* api_handlers::find(std::string_view method,
                                              std::string_view path,
                                              std::vector<std::string>& captures,
                                              bool& path_known)
{
    using self = api_handlers;
    static constexpr std::array routes{
        route{"POST", "/v1/jobs", required_access::authenticated, &self::submit},
        route{"GET", "/v1/jobs", required_access::authenticated, &self::list_jobs},
        route{"POST", "/v1/jobs/cancel", required_access::authenticated,
              &self::cancel_jobs},
        route{"GET", "/v1/jobs/*", required_access::authenticated, &self::show_job},
        route{"DELETE", "/v1/jobs/*", required_access::authenticated, &self::cancel_job},
        route{"GET", "/v1/jobs/*/explain", required_access::authenticated,
              &self::explain_job},
        route{"GET", "/v1/table", required_access::authenticated, &self::show_table},
        route{"PUT", "/v1/table", required_access::operators, &self::replace_table},
        route{"PATCH", "/v1/table/rows/*/*", required_access::operators,
              &self::patch_row},
        route{"DELETE", "/v1/table/rows/*/*", required_access::operators,
              &self::delete_row},
        route{"GET", "/v1/table/history", required_access::authenticated,
              &self::table_history},
        route{"GET", "/v1/table/status", required_access::authenticated,
              &self::table_status},
        route{"GET", "/v1/instances", required_access::authenticated,
              &self::list_instances},
        route{"GET", "/v1/workers", required_access::authenticated, &self::list_workers},
        route{"POST", "/v1/workers/*/drain", required_access::operators,
              &self::drain_worker},
        route{"POST", "/v1/workers/*/undrain", required_access::operators,
              &self::undrain_worker},
        route{"GET", "/metrics", required_access::authenticated, &self::show_metrics},
        route{"GET", "/v1/metrics/snapshot", required_access::authenticated,
              &self::show_snapshot},
        route{"GET", "/healthz", required_access::anyone, &self::show_health},
        route{"GET", "/readyz", required_access::anyone, &self::show_readiness},
    };
    path_known = false;
    for (const route& candidate : routes)
    {
        if (!match(candidate.path, path, captures))
            continue;
        path_known = true;
        if (method == candidate.method)
            return &candidate;
    }
    return nullptr;
}

void api_handlers::list_instances(const exchange_ref& request)
{
    services_.scheduler.statuses(
        wire::status_request{},
        [this, request](result<std::vector<wire::status_reply>> replies)
        {
            json instances = json::array();
            for (const wire::status_reply& reply : replies.value())
            {
                const member* known = services_.members.find(reply.id);
                json slices = json::array();
                for (const slice_id& slice : reply.slices)
                    slices.push_back(slice.value());
                json partitions = json::array();
                for (const partition_id& partition : reply.partitions)
                    partitions.push_back(partition.value());
                instances.push_back(
                    json{{"id", reply.id.value()},
                         {"failure_domain", reply.failure_domain.value()},
                         {"http", known == nullptr ? std::string() : known->http},
                         {"state", known == nullptr ? "dead" : state_name(known->state)},
                         {"table_version", reply.table.value()},
                         {"slices", std::move(slices)},
                         {"partitions", std::move(partitions)},
                         {"kv_reachable", reply.kv_reachable},
                         {"leaving", reply.leaving}});
            }
            request->respond_json(200, json{{"instances", std::move(instances)}});
        });
}

void api_handlers::list_workers(const exchange_ref& request)
{
    wire::status_request status_query;
    status_query.with_workers = true;
    services_.scheduler.statuses(
        status_query,
        [request](result<std::vector<wire::status_reply>> replies)
        {
            json workers = json::array();
            for (const wire::status_reply& reply : replies.value())
                for (const wire::worker_status& worker : reply.workers)
                    workers.push_back(
                        json{{"id", worker.id.value()},
                             {"failure_domain", worker.failure_domain.value()},
                             {"rack", worker.rack.value()},
                             {"owner", reply.id.value()},
                             {"leaving", worker.leaving},
                             {"drained", worker.drained},
                             {"lease_held", worker.lease_held},
                             {"unschedulable_reason", worker.unschedulable_reason},
                             {"capacity", resources_json(worker.capacity)},
                             {"free", resources_json(worker.free)},
                             {"tasks", worker.tasks}});
            request->respond_json(200, json{{"workers", std::move(workers)}});
        });
}

void api_handlers::drain_worker(const exchange_ref& request)
{
    set_drained(request, true);
}

void api_handlers::undrain_worker(const exchange_ref& request)
{
    set_drained(request, false);
}

void api_handlers::set_drained(const exchange_ref& request, bool drained)
{
    const worker_id worker(request->captures.at(0));
    services_.scheduler.drain_worker(
        worker, drained,
        [request, worker, drained](result<bool> done)
        {
            if (!done)
                return request->respond_problem(problem_of(done.error()));
            request->respond_json(200,
                                  json{{"id", worker.value()}, {"drained", drained}});
        });
}

void api_handlers::show_metrics(const exchange_ref& request)
{
    request->respond_text(200, "text/plain; version=0.0.4",
                          services_.metrics.prometheus_text());
}

void api_handlers::show_snapshot(const exchange_ref& request)
{
    request->respond_text(200, "text/plain", services_.metrics.snapshot());
}

void api_handlers::show_health(const exchange_ref& request)
{
    request->respond_text(200, "text/plain", "ok\n");
}

void api_handlers::show_readiness(const exchange_ref& request)
{
    const bool ready = services_.scheduler.is_ready();
    request->respond_text(ready ? 200 : 503, "text/plain",
                          ready ? "ready\n" : "not ready\n");
}

} // namespace hawthornbeam
