/// \file
/// HTTP server: request limits, authentication and dispatch to the handlers.
#include "hawthornbeam/api/http_api.hpp"

#include "lib/api/handlers.hpp"

#include <libsoup/soup.h>

namespace hawthornbeam
{

namespace
{

/// Memory that limits on clients are derived from; docs/design.md, section 1.
constexpr std::size_t default_memory_bytes = std::size_t{256} << 20U;
constexpr std::int64_t retry_after_ms = 1000;

admission_limits client_limits(const instance_settings& settings)
{
    admission_limits limits = limits_for({default_memory_bytes, descriptor_limit()});
    limits.request_memory_bytes =
        settings.request_memory_bytes.value_or(limits.request_memory_bytes);
    std::size_t& connections =
        limits.max_connections[static_cast<std::size_t>(client_class::callers)];
    connections = settings.max_connections.value_or(connections);
    return limits;
}

error_code code_of(const refusal_rule& rule)
{
    return rule.why == refusal::request_too_slow ? error_code::deadline_exceeded
                                                 : error_code::limit_exceeded;
}

std::map<std::string, std::string> copy_query(GHashTable* query)
{
    std::map<std::string, std::string> copy;
    if (query == nullptr)
        return copy;
    GHashTableIter position;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&position, query);
    while (g_hash_table_iter_next(&position, &key, &value))
        copy[static_cast<const char*>(key)] =
            value == nullptr ? "" : static_cast<const char*>(value);
    return copy;
}

} // namespace

class http_api::implementation
{
public:
    explicit implementation(const parts& given)
        : services(given), handlers(given), access(given.settings),
          server({given.loop, given.log, given.metrics}, client_limits(given.settings),
                 make_policy())
    {
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    server_policy make_policy();
    result<bool> listen();
    void dispatch(const received_request& received);

    parts services;
    api_handlers handlers;
    access_control access;
    std::size_t open = 0;
    std::uint16_t port = 0;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    http_server server;
};

server_policy http_api::implementation::make_policy()
{
    server_policy policy;
    policy.handle = [this](const received_request& received) { dispatch(received); };
    policy.max_body_bytes = [this] { return services.settings.max_body_bytes; };
    policy.describe = [](const refusal_rule& rule) {
        return problem_text(
            problem{rule.status, code_of(rule), rule.message, true, 0, {}});
    };
    policy.retry_after = []
    {
        return std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::milliseconds(retry_after_ms));
    };
    return policy;
}

void http_api::implementation::dispatch(const received_request& received)
{
    const char* method = soup_server_message_get_method(received.message);
    const std::string& name = received.path;
    ++open;
    const exchange_ref request = std::make_shared<exchange>(
        received, copy_query(received.query),
        [this, server_alive = std::weak_ptr<int>(alive)](unsigned status)
        {
            // Requests held by the scheduler may outlive the server.
            if (server_alive.expired())
                return;
            --open;
            services.metrics.add("hawthornbeam_http_requests_total",
                                 {{"status", std::to_string(status)}});
        });
    bool path_known = false;
    const api_handlers::route* route =
        name.empty() || name.front() != '/'
            ? nullptr
            : api_handlers::find(method, name, request->captures, path_known);
    if (route == nullptr)
        return request->respond_problem(
            problem{path_known ? 405U : 404U,
                    path_known ? error_code::invalid_input : error_code::not_found,
                    path_known ? "the path has no such method" : "no such path",
                    true,
                    0,
                    {}});
    if (route->allowed != required_access::anyone)
    {
        result<caller_identity> caller =
            access.identify(request->header("Authorization"));
        if (!caller)
        {
            request->set_header("WWW-Authenticate", "Bearer");
            return request->respond_problem(
                problem{401, error_code::denied, caller.error().message, true, 0, {}});
        }
        request->caller = std::move(caller).value();
        if (route->allowed == required_access::operators && !request->caller.is_operator)
            return request->respond_problem(problem{
                403, error_code::denied, "only operators may do this", true, 0, {}});
        const bool within_limits =
            access.admit_request(request->caller, services.loop.clock().now()) &&
            open <= services.settings.max_open_requests;
        if (!within_limits)
            return request->respond_problem(problem{429,
                                                    error_code::limit_exceeded,
                                                    "too many requests at this instance",
                                                    true,
                                                    retry_after_ms,
                                                    {}});
    }
    (handlers.*route->run)(request);
}

result<bool> http_api::implementation::listen()
{
    result<std::uint16_t> bound = server.listen(
        services.settings.listen_ip, services.settings.http_port, client_class::callers);
    if (!bound)
        return bound.error();
    port = bound.value();
    return true;
}

result<std::unique_ptr<http_api>> http_api::open(const parts& services)
{
    std::unique_ptr<implementation> state = std::make_unique<implementation>(services);
    BOOST_OUTCOME_TRY(state->listen());
    return std::unique_ptr<http_api>(new http_api(std::move(state)));
}

http_api::http_api(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{
}

http_api::~http_api() = default;

std::uint16_t http_api::port() const
{
    return implementation_->port;
}

std::size_t http_api::open_requests() const
{
    return implementation_->open;
}

} // namespace hawthornbeam
