/// \file
/// Connects libsoup's server with the admission of connections and requests.
#include "hawthornbeam/server/http_server.hpp"

#include "hawthornbeam/support/log_limiter.hpp"
#include "lib/server/lingering_close.hpp"
#include "lib/server/metered_connection.hpp"
#include "lib/wire/listener.hpp"

#include <array>
#include <cassert>
#include <fmt/format.h>
#include <libsoup/soup.h>
#include <map>
#include <sys/resource.h>
#include <sys/socket.h>

namespace hawthornbeam
{

namespace
{

/// Key under which the remote address of a connection refers to its state.
constexpr const char* connection_key = "hawthornbeam-connection";
constexpr duration check_period = std::chrono::milliseconds(500);
/// Limit on what a client adds to the line of its refusal.
constexpr std::size_t max_logged_path = 80;

constexpr unsigned status_unavailable = 503;

} // namespace

std::size_t descriptor_limit()
{
    rlimit limit{};
    const int failed = getrlimit(RLIMIT_NOFILE, &limit);
    assert(failed == 0 && "the limit on descriptors can be read");
    static_cast<void>(failed);
    return static_cast<std::size_t>(limit.rlim_cur);
}

class http_server::implementation
{
public:
    implementation(const parts& given, const admission_limits& limits,
                   server_policy policy);
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation();

    /// A connection that libsoup serves, or that lingers after a refusal.
    struct client
    {
        implementation* server = nullptr;
        connection_id id;
        client_class of{};
        /// The request that is received, handled or awaited; null while it lingers.
        SoupServerMessage* message = nullptr;
        GSocketConnection* connection = nullptr; ///< Owned by libsoup or `lingering`.
        wire::object_ptr<GIOStream> stolen;      ///< Of libsoup, around `connection`.
        wire::object_ptr<GSocketAddress> address;
        std::string remote;
        std::string body;
        std::string path; ///< Of the request, once its header is complete.
        std::optional<refusal> refused;
        std::unique_ptr<lingering_close> lingering;
    };

    void keep_connections_alive();
    void accept(wire::object_ptr<GSocket> socket, client_class of);
    /// Closes a connection in favour of a new one.
    void replace(connection_id id);
    void report_failed_accept(client_class of, const std::string& reason);
    void carry_out(client& one, const request_verdict& verdict);
    /// Refuses the request as soon as libsoup is not working on it.
    void refuse(client& one, refusal why);
    /// Takes the connection away from libsoup, and ends it with the response of the rule.
    void end(connection_id id);
    std::string response_to(const refusal_rule& rule) const;
    void record(const client& one, refusal why);
    /// Closes a connection that has ended or failed; libsoup leaves it open if it served
    /// a request before. Unless \p in_any_phase, a request that awaits its response
    /// keeps the connection.
    void close_later(connection_id id, bool in_any_phase);
    /// Takes the connection away from libsoup.
    wire::object_ptr<GSocketConnection> detach(client& one);
    void forget(connection_id id);
    void dispatch(client& one, const char* path, GHashTable* query);
    void resume();
    void schedule_check();
    void check();
    static client* client_of(SoupServerMessage* message);

    static void on_started(SoupServer*, SoupServerMessage* message, gpointer data);
    static void on_header(SoupServerMessage* message, gpointer data);
    static void on_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data);
    static void on_request(SoupServer*, SoupServerMessage* message, const char* path,
                           GHashTable* query, gpointer data);
    static void on_finished(SoupServer*, SoupServerMessage* message, gpointer data);
    static void on_aborted(SoupServer*, SoupServerMessage* message, gpointer data);
    static void on_disposed(gpointer data, GObject* connection);

    /// Context of on_disposed(), which may run after the server was destroyed.
    struct disposal
    {
        std::weak_ptr<implementation*> server;
        connection_id id;
    };

    event_loop& loop;
    const logger& log;
    metrics_registry& metrics;
    admission admitted;
    server_policy policy;
    SoupServer* server;
    std::vector<std::unique_ptr<wire::listener>> listeners;
    std::uint64_t last_id = 0;
    std::map<connection_id, std::unique_ptr<client>> clients;
    std::array<log_limiter, refusal_count> refusal_lines;
    std::optional<timer_handle> check_timer;
    std::shared_ptr<implementation*> alive = std::make_shared<implementation*>(this);
};

http_server::implementation::implementation(const parts& given,
                                            const admission_limits& limits,
                                            server_policy given_policy)
    : loop(given.loop), log(given.log), metrics(given.metrics), admitted(limits),
      policy(std::move(given_policy)),
      server(soup_server_new("server-header", "hawthornbeam", nullptr))
{
    keep_connections_alive();
    soup_server_add_handler(server, nullptr, on_request, this, nullptr);
    g_signal_connect(server, "request-started", G_CALLBACK(on_started), this);
    g_signal_connect(server, "request-finished", G_CALLBACK(on_finished), this);
    g_signal_connect(server, "request-aborted", G_CALLBACK(on_aborted), this);
}

/// libsoup closes each connection after its first response unless the server listens
/// itself, so it gets a socket that listens no more.
void http_server::implementation::keep_connections_alive()
{
    wire::gio_error failure;
    const wire::object_ptr<GSocketAddress> loopback =
        wire::make_socket_address("127.0.0.1", 0);
    const wire::object_ptr<GSocket> silent(
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                     failure.out()));
    const bool listens =
        silent && g_socket_bind(silent.get(), loopback.get(), TRUE, failure.out()) &&
        g_socket_listen(silent.get(), failure.out()) &&
        soup_server_listen_socket(server, silent.get(), SoupServerListenOptions(0),
                                  failure.out());
    if (!listens)
        return log.warning("server", "connections are closed after each response",
                           {{"reason", failure.message()}});
    // libsoup stops watching the socket at its first failure to accept.
    shutdown(g_socket_get_fd(silent.get()), SHUT_RDWR);
}

http_server::implementation::~implementation()
{
    alive.reset();
    listeners.clear();
    for (const auto& [id, one] : clients)
        g_object_set_data(G_OBJECT(one->address.get()), connection_key, nullptr);
    soup_server_disconnect(server);
    g_object_unref(server);
}

void http_server::implementation::accept(wire::object_ptr<GSocket> socket,
                                         client_class of)
{
    const connection_id id(++last_id);
    const admission::open_verdict verdict = admitted.open(id, of, loop.clock().now());
    if (verdict.replaced)
        replace(*verdict.replaced);
    std::unique_ptr<client> added = std::make_unique<client>();
    added->server = this;
    added->id = id;
    added->of = of;
    added->address.reset(g_socket_get_remote_address(socket.get(), nullptr));
    const wire::object_ptr<GSocketAddress> local(
        g_socket_get_local_address(socket.get(), nullptr));
    // The client may have left already.
    const bool connected = added->address && local;
    if (connected)
        added->remote = wire::socket_address_text(added->address.get());
    if (!verdict.admitted)
        record(*added, refusal::connections_exhausted);
    if (!verdict.admitted || !connected)
        return admitted.close(id);
    client& one = *clients.emplace(id, std::move(added)).first->second;
    g_object_set_data(G_OBJECT(one.address.get()), connection_key, &one);
    wire::object_ptr<GSocketConnection> connection = make_metered_connection(
        socket.get(),
        [this, id, weak = std::weak_ptr<implementation*>(alive)](std::size_t bytes)
        {
            if (weak.expired())
                return;
            const auto found = clients.find(id);
            if (found == clients.end())
                return;
            if (bytes == 0)
                return close_later(id, false);
            schedule_check();
            carry_out(*found->second, admitted.received(id, bytes, loop.clock().now()));
        });
    one.connection = connection.get();
    g_object_weak_ref(G_OBJECT(connection.get()), on_disposed, new disposal{alive, id});
    wire::gio_error failure;
    if (soup_server_accept_iostream(server, G_IO_STREAM(connection.get()), local.get(),
                                    one.address.get(), failure.out()) == FALSE)
        log.warning("server", "cannot serve a connection",
                    {{"remote", one.remote}, {"reason", failure.message()}});
}

void http_server::implementation::replace(connection_id id)
{
    client& one = *clients.at(id);
    if (one.lingering)
        return forget(id);
    if (!one.refused)
        record(one, refusal::connection_replaced);
    one.refused = refusal::connection_replaced;
    end(id);
}

void http_server::implementation::on_disposed(gpointer data, GObject* /*connection*/)
{
    const std::unique_ptr<disposal> gone(static_cast<disposal*>(data));
    const std::shared_ptr<implementation*> alive = gone->server.lock();
    if (!alive)
        return;
    implementation& self = **alive;
    const auto found = self.clients.find(gone->id);
    // A client that lingers is forgotten when its lingering ends.
    if (found == self.clients.end() || found->second->lingering)
        return;
    g_object_set_data(G_OBJECT(found->second->address.get()), connection_key, nullptr);
    self.clients.erase(found);
    self.admitted.close(gone->id);
    self.resume();
}

void http_server::implementation::report_failed_accept(client_class of,
                                                       const std::string& reason)
{
    metrics.add("hawthornbeam_failed_accepts_total",
                {{"class", of == client_class::callers ? "callers" : "monitors"}});
    log.warning("server", "cannot accept connections", {{"reason", reason}});
}

http_server::implementation::client*
http_server::implementation::client_of(SoupServerMessage* message)
{
    GSocketAddress* address = soup_server_message_get_remote_address(message);
    return address == nullptr ? nullptr
                              : static_cast<client*>(
                                    g_object_get_data(G_OBJECT(address), connection_key));
}

void http_server::implementation::on_started(SoupServer*, SoupServerMessage* message,
                                             gpointer data)
{
    client* one = client_of(message);
    if (one == nullptr)
        return;
    one->message = message;
    one->body.clear();
    one->path.clear();
    g_signal_connect(message, "got-headers", G_CALLBACK(on_header), data);
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), data);
}

void http_server::implementation::on_header(SoupServerMessage* message, gpointer data)
{
    implementation& self = *static_cast<implementation*>(data);
    client* one = client_of(message);
    if (one == nullptr || one->refused)
        return;
    // The body is collected here, where it is counted.
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message),
                                     FALSE);
    one->path = g_uri_get_path(soup_server_message_get_uri(message));
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    // Lengths that libsoup cannot represent are negative, and so the largest here.
    std::optional<std::uint64_t> announced;
    if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED)
        announced =
            static_cast<std::uint64_t>(soup_message_headers_get_content_length(headers));
    self.carry_out(*one, self.admitted.header_received(one->id, announced,
                                                       self.policy.max_body_bytes(),
                                                       self.loop.clock().now()));
}

void http_server::implementation::on_chunk(SoupServerMessage* message, GBytes* chunk,
                                           gpointer data)
{
    implementation& self = *static_cast<implementation*>(data);
    client* one = client_of(message);
    if (one == nullptr || one->refused)
        return;
    gsize size = 0;
    const char* bytes = static_cast<const char*>(g_bytes_get_data(chunk, &size));
    const request_verdict verdict =
        self.admitted.body_received(one->id, size, self.loop.clock().now());
    if (verdict.next != request_verdict::action::refuse)
        one->body.append(bytes, size);
    self.carry_out(*one, verdict);
}

void http_server::implementation::carry_out(client& one, const request_verdict& verdict)
{
    if (one.refused || verdict.next == request_verdict::action::proceed)
        return;
    if (verdict.next == request_verdict::action::refuse)
        return refuse(one, verdict.why);
    soup_server_message_pause(one.message);
}

void http_server::implementation::refuse(client& one, refusal why)
{
    if (one.refused)
        return;
    one.refused = why;
    record(one, why);
    std::string().swap(one.body);
    admitted.refused(one.id, loop.clock().now());
    resume();
    if (one.message != nullptr)
        soup_server_message_pause(one.message);
    loop.post(
        [this, id = one.id, weak = std::weak_ptr<implementation*>(alive)]
        {
            if (!weak.expired())
                end(id);
        });
}

std::string http_server::implementation::response_to(const refusal_rule& rule) const
{
    if (rule.status == 0)
        return std::string();
    const std::string body = policy.describe(rule);
    const std::string retry_after =
        rule.status == status_unavailable
            ? fmt::format("Retry-After: {}\r\n", policy.retry_after().count())
            : std::string();
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
                       "Content-Length: {}\r\nConnection: close\r\n{}\r\n{}",
                       rule.status, soup_status_get_phrase(rule.status), body.size(),
                       retry_after, body);
}

void http_server::implementation::end(connection_id id)
{
    const auto found = clients.find(id);
    if (found == clients.end() || found->second->lingering)
        return;
    client& one = *found->second;
    assert(one.refused && "only refused connections are ended");
    const refusal_rule& rule = rule_of(*one.refused);
    wire::object_ptr<GSocketConnection> connection = detach(one);
    if (rule.status == 0)
    {
        g_io_stream_close(G_IO_STREAM(connection.get()), nullptr, nullptr);
        return forget(id);
    }
    one.lingering = std::make_unique<lingering_close>(
        loop, std::move(connection), response_to(rule), [this, id] { forget(id); });
}

wire::object_ptr<GSocketConnection> http_server::implementation::detach(client& one)
{
    g_object_set_data(G_OBJECT(one.address.get()), connection_key, nullptr);
    wire::object_ptr<GSocketConnection> connection(
        G_SOCKET_CONNECTION(g_object_ref(one.connection)));
    SoupServerMessage* message = std::exchange(one.message, nullptr);
    if (message != nullptr)
        one.stolen.reset(soup_server_message_steal_connection(message));
    return connection;
}

void http_server::implementation::close_later(connection_id id, bool in_any_phase)
{
    loop.post(
        [this, id, in_any_phase, weak = std::weak_ptr<implementation*>(alive)]
        {
            if (weak.expired() || (!in_any_phase && admitted.awaits_response(id)))
                return;
            const auto found = clients.find(id);
            if (found == clients.end() || found->second->refused)
                return;
            const wire::object_ptr<GSocketConnection> connection = detach(*found->second);
            g_io_stream_close(G_IO_STREAM(connection.get()), nullptr, nullptr);
            forget(id);
        });
}

void http_server::implementation::forget(connection_id id)
{
    clients.erase(id);
    admitted.close(id);
    resume();
}

void http_server::implementation::record(const client& one, refusal why)
{
    const refusal_rule& rule = rule_of(why);
    metrics.add("hawthornbeam_refused_clients_total", {{"reason", rule.name}});
    const std::optional<std::uint64_t> left_out =
        refusal_lines[static_cast<std::size_t>(why)].admit(loop.clock().now());
    if (!left_out)
        return;
    log.info("server", "client refused",
             {{"reason", rule.name},
              {"remote", one.remote},
              {"path", one.path.substr(0, max_logged_path)},
              {"request_bytes", std::uint64_t{admitted.request_bytes()}},
              {"connections", std::uint64_t{admitted.connections(one.of)}},
              {"not_logged", *left_out}});
}

void http_server::implementation::on_request(SoupServer*, SoupServerMessage* message,
                                             const char* path, GHashTable* query,
                                             gpointer data)
{
    client* one = client_of(message);
    if (one == nullptr || one->refused)
        return;
    static_cast<implementation*>(data)->dispatch(*one, path, query);
}

void http_server::implementation::dispatch(client& one, const char* path,
                                           GHashTable* query)
{
    admitted.request_received(one.id);
    SoupServerMessage* message = one.message;
    soup_server_message_pause(message);
    const bool reads_state = soup_server_message_get_method(message) == SOUP_METHOD_GET;
    if (reads_state && !admitted.may_read_state())
    {
        const refusal_rule& rule = rule_of(refusal::memory_exhausted);
        record(one, rule.why);
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "Retry-After",
            std::to_string(policy.retry_after().count()).c_str());
        return respond(message, rule.status, "application/json", policy.describe(rule));
    }
    policy.handle(received_request{message, path, query, std::move(one.body), one.of});
}

void http_server::implementation::on_finished(SoupServer*, SoupServerMessage* message,
                                              gpointer data)
{
    client* one = client_of(message);
    if (one == nullptr || one->refused)
        return;
    one->message = nullptr;
    implementation& self = *static_cast<implementation*>(data);
    self.admitted.response_finished(one->id, self.loop.clock().now());
    self.resume();
}

void http_server::implementation::on_aborted(SoupServer*, SoupServerMessage* message,
                                             gpointer /*data*/)
{
    client* one = client_of(message);
    if (one == nullptr)
        return;
    one->message = nullptr;
    if (!one->refused)
        one->server->close_later(one->id, true);
}

void http_server::implementation::resume()
{
    for (const connection_id id : admitted.take_resumed())
    {
        const auto found = clients.find(id);
        if (found != clients.end() && found->second->message != nullptr)
            soup_server_message_unpause(found->second->message);
    }
}

void http_server::implementation::schedule_check()
{
    if (!check_timer)
        check_timer = loop.after(check_period, [this] { check(); });
}

void http_server::implementation::check()
{
    check_timer.reset();
    for (const admission::overdue& late : admitted.check(loop.clock().now()))
    {
        const auto found = clients.find(late.id);
        if (found == clients.end() || found->second->refused)
            continue;
        found->second->refused = late.why;
        record(*found->second, late.why);
        std::string().swap(found->second->body);
        end(late.id);
    }
    resume();
    metrics.set_gauge("hawthornbeam_unfinished_request_bytes", {},
                      static_cast<double>(admitted.request_bytes()));
    metrics.set_gauge("hawthornbeam_client_connections", {},
                      static_cast<double>(clients.size()));
    if (admitted.needs_checks())
        schedule_check();
}

http_server::http_server(const parts& given, const admission_limits& limits,
                         server_policy policy)
    : implementation_(std::make_unique<implementation>(given, limits, std::move(policy)))
{
}

http_server::~http_server() = default;

result<std::uint16_t> http_server::listen(const std::string& ip, std::uint16_t port,
                                          client_class of)
{
    implementation& self = *implementation_;
    const wire::object_ptr<GSocketAddress> address = wire::make_socket_address(ip, port);
    if (!address)
        return make_error(error_code::invalid_input, ip + " is not an IP address");
    wire::listener::events handlers;
    handlers.accepted = [&self, of](wire::object_ptr<GSocket> socket)
    { self.accept(std::move(socket), of); };
    handlers.failed = [&self, of](const std::string& reason)
    { self.report_failed_accept(of, reason); };
    result<std::unique_ptr<wire::listener>> opened = wire::listener::open(
        self.loop, address.get(), receive_buffer_bytes, std::move(handlers));
    if (!opened)
        return opened.error();
    self.listeners.push_back(std::move(opened).value());
    return self.listeners.back()->port();
}

std::size_t http_server::connections(client_class of) const
{
    return implementation_->admitted.connections(of);
}

std::size_t http_server::request_bytes() const
{
    return implementation_->admitted.request_bytes();
}

void http_server::respond(SoupServerMessage* message, unsigned status,
                          const char* content_type, const std::string& body)
{
    implementation::client* one = implementation::client_of(message);
    // A message must not be unpaused after its connection has been closed.
    if (one == nullptr || one->message != message || one->refused)
        return;
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, content_type, SOUP_MEMORY_COPY, body.data(),
                                     body.size());
    implementation& server = *one->server;
    server.admitted.response_started(one->id, body.size(), server.loop.clock().now());
    server.schedule_check();
    soup_server_message_unpause(message);
}

} // namespace hawthornbeam
