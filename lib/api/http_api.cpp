/// \file
/// HTTP server: request limits, authentication and dispatch to the handlers.
#include "hawthornbeam/api/http_api.hpp"

#include "lib/api/handlers.hpp"

#include <cassert>
#include <fmt/format.h>
#include <libsoup/soup.h>

namespace hawthornbeam
{

namespace
{

/// Time limit for receiving a request; connections of slower clients are shut down.
constexpr duration receive_timeout = std::chrono::seconds(30);
constexpr duration receive_check_period = std::chrono::seconds(1);

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
          server(soup_server_new("server-header", "hawthornbeam", nullptr))
    {
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation()
    {
        soup_server_disconnect(server);
        g_object_unref(server);
    }

    result<bool> listen();
    void dispatch(SoupServerMessage* message, const char* path, GHashTable* query);
    void disconnect_slow_clients();

    static void on_headers(SoupServer*, SoupServerMessage* message, const char*,
                           GHashTable*, gpointer data);
    static void on_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data);
    static void on_request(SoupServer*, SoupServerMessage* message, const char* path,
                           GHashTable* query, gpointer data);
    static void on_started(SoupServer*, SoupServerMessage* message, gpointer data);
    static void on_received(SoupServer*, SoupServerMessage* message, gpointer data);

    parts services;
    api_handlers handlers;
    access_control access;
    SoupServer* server;
    std::size_t open = 0;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    /// Requests that are being received, with their start times.
    std::map<SoupServerMessage*, boot_time> receiving;
    timer_handle receive_check;
};

void http_api::implementation::on_headers(SoupServer*, SoupServerMessage* message,
                                          const char*, GHashTable*, gpointer data)
{
    const implementation& self = *static_cast<implementation*>(data);
    const goffset length = soup_message_headers_get_content_length(
        soup_server_message_get_request_headers(message));
    if (length > static_cast<goffset>(self.services.settings.max_body_bytes))
    {
        exchange refused(message, {}, [](unsigned) {});
        refused.respond_problem(problem{
            413, error_code::limit_exceeded, "the body is too large", true, 0, {}});
        return;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), data);
}

void http_api::implementation::on_chunk(SoupServerMessage* message, GBytes*,
                                        gpointer data)
{
    const implementation& self = *static_cast<implementation*>(data);
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    if (body->length <= static_cast<goffset>(self.services.settings.max_body_bytes))
        return;
    // The rest of the body is read and discarded; dispatch() rejects the request by its
    // length.
    soup_message_body_set_accumulate(body, FALSE);
}

void http_api::implementation::on_request(SoupServer*, SoupServerMessage* message,
                                          const char* path, GHashTable* query,
                                          gpointer data)
{
    static_cast<implementation*>(data)->dispatch(message, path, query);
}

void http_api::implementation::on_started(SoupServer*, SoupServerMessage* message,
                                          gpointer data)
{
    implementation& self = *static_cast<implementation*>(data);
    self.receiving[message] = self.services.loop.clock().now();
}

void http_api::implementation::on_received(SoupServer*, SoupServerMessage* message,
                                           gpointer data)
{
    static_cast<implementation*>(data)->receiving.erase(message);
}

void http_api::implementation::disconnect_slow_clients()
{
    const boot_time now = services.loop.clock().now();
    for (const auto& [message, since] : receiving)
    {
        GSocket* socket = now - since > receive_timeout
                              ? soup_server_message_get_socket(message)
                              : nullptr;
        if (socket != nullptr)
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

void http_api::implementation::dispatch(SoupServerMessage* message, const char* path,
                                        GHashTable* query)
{
    const char* method = soup_server_message_get_method(message);
    const std::string name(path);
    ++open;
    const exchange_ref request = std::make_shared<exchange>(
        message, copy_query(query),
        [this, name, server_alive = std::weak_ptr<int>(alive)](unsigned status)
        {
            // Requests held by the scheduler may outlive the server.
            if (server_alive.expired())
                return;
            --open;
            services.metrics.add("hawthornbeam_http_requests_total",
                                 {{"status", std::to_string(status)}});
        });
    const SoupMessageBody* body = soup_server_message_get_request_body(message);
    if (body->length > static_cast<goffset>(services.settings.max_body_bytes))
        return request->respond_problem(problem{
            413, error_code::limit_exceeded, "the body is too large", true, 0, {}});
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
                                                    1000,
                                                    {}});
    }
    (handlers.*route->run)(request);
}

result<bool> http_api::implementation::listen()
{
    soup_server_add_early_handler(server, nullptr, on_headers, this, nullptr);
    soup_server_add_handler(server, nullptr, on_request, this, nullptr);
    g_signal_connect(server, "request-started", G_CALLBACK(on_started), this);
    g_signal_connect(server, "request-read", G_CALLBACK(on_received), this);
    g_signal_connect(server, "request-aborted", G_CALLBACK(on_received), this);
    g_signal_connect(server, "request-finished", G_CALLBACK(on_received), this);
    GInetAddress* address =
        g_inet_address_new_from_string(services.settings.listen_ip.c_str());
    if (address == nullptr)
        return make_error(error_code::invalid_input,
                          services.settings.listen_ip + " is not an IP address");
    GSocketAddress* socket_address =
        g_inet_socket_address_new(address, services.settings.http_port);
    GError* failure = nullptr;
    const gboolean listening =
        soup_server_listen(server, socket_address, SoupServerListenOptions(0), &failure);
    g_object_unref(socket_address);
    g_object_unref(address);
    if (listening == FALSE)
    {
        error why = make_error(
            error_code::unavailable,
            fmt::format("cannot listen on {}:{}: {}", services.settings.listen_ip,
                        services.settings.http_port, failure->message));
        g_error_free(failure);
        return why;
    }
    receive_check =
        services.loop.every(receive_check_period, [this] { disconnect_slow_clients(); });
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
    GSList* uris = soup_server_get_uris(implementation_->server);
    assert(uris != nullptr && "the server listens");
    const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return static_cast<std::uint16_t>(port);
}

std::size_t http_api::open_requests() const
{
    return implementation_->open;
}

} // namespace hawthornbeam
