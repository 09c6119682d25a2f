/// \file
/// HTTP server port on libsoup.
#include "test/standins/http_endpoint.hpp"

#include <fmt/format.h>
#include <libsoup/soup.h>
#include <list>

namespace hawthornbeam::standins
{

namespace
{

/// Delays are randomized by this fraction so that responses may be reordered.
constexpr double delay_spread = 0.5;
constexpr const char* first_seen_key = "hawthornbeam-first-seen";

bool is_write(const http_exchange& exchange)
{
    // Event calls are long polls sent as POST. They change no state whose loss matters.
    return exchange.method != "GET" && exchange.path != "/events";
}

} // namespace

class http_endpoint::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& loop, std::uint64_t seed, handler handle)
        : loop_(loop), random_(seed), handle_(std::move(handle)),
          server_(soup_server_new(nullptr, nullptr))
    {
        soup_server_add_handler(server_, nullptr, accept_request, this, nullptr);
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation() { g_object_unref(server_); }

    void listen(std::uint16_t requested_port);
    void close()
    {
        soup_server_remove_handler(server_, nullptr);
        soup_server_disconnect(server_);
        timers_.clear();
    }
    void disconnect() { soup_server_disconnect(server_); }
    bool is_silent(GSocket* socket) const;
    void silence_open_connections() { ++silence_epoch_; }
    /// Returns true if the response must be lost, and consumes one lose_answers fault.
    bool consume_lost_answer(const http_exchange& exchange);

    std::uint16_t port = 0;
    fault_settings faults;
    traffic received;

private:
    static void accept_request(SoupServer* server, SoupServerMessage* message,
                               const char* path, GHashTable* query, gpointer self);
    void dispatch(const exchange_pointer& exchange);

    event_loop& loop_;
    random_source random_;
    handler handle_;
    SoupServer* server_;
    /// Number of silence_open_connections() calls so far. Connections first seen at a
    /// lower value are silent.
    std::size_t silence_epoch_ = 0;
    std::list<timer_handle> timers_;
};

namespace
{

/// An exchange that holds a paused libsoup message until the reply.
class soup_exchange final : public http_exchange
{
public:
    soup_exchange(std::weak_ptr<http_endpoint::implementation> endpoint,
                  SoupServerMessage* message)
        : endpoint_(std::move(endpoint)),
          message_(SOUP_SERVER_MESSAGE(g_object_ref(message)))
    {
        finished_signal_ =
            g_signal_connect(message_, "finished", G_CALLBACK(mark_finished), this);
        soup_server_message_pause(message_);
    }
    soup_exchange(const soup_exchange&) = delete;
    soup_exchange& operator=(const soup_exchange&) = delete;
    ~soup_exchange() override
    {
        g_signal_handler_disconnect(message_, finished_signal_);
        g_object_unref(message_);
    }

    void reply(unsigned status, std::string json) override;

private:
    static void mark_finished(SoupServerMessage* /*message*/, gpointer self)
    {
        static_cast<soup_exchange*>(self)->answered_ = true;
    }

    std::weak_ptr<http_endpoint::implementation> endpoint_;
    SoupServerMessage* message_;
    gulong finished_signal_ = 0;
    bool answered_ = false;
};

void soup_exchange::reply(unsigned status, std::string json)
{
    const std::shared_ptr<http_endpoint::implementation> endpoint = endpoint_.lock();
    if (answered_ || !endpoint)
        return;
    answered_ = true;
    GSocket* socket = soup_server_message_get_socket(message_);
    if (endpoint->is_silent(socket))
        return;
    if (endpoint->consume_lost_answer(*this) && socket != nullptr)
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    endpoint->received.bytes += json.size();
    soup_server_message_set_status(message_, status, nullptr);
    soup_server_message_set_response(message_, "application/json", SOUP_MEMORY_COPY,
                                     json.data(), json.size());
    soup_server_message_unpause(message_);
}

void add_query_value(gpointer name, gpointer value, gpointer query)
{
    (*static_cast<std::map<std::string, std::string>*>(query))[static_cast<char*>(name)] =
        static_cast<char*>(value);
}

} // namespace

void http_endpoint::implementation::listen(std::uint16_t requested_port)
{
    GError* failure = nullptr;
    if (!soup_server_listen_local(server_, requested_port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                  &failure))
        g_error("cannot listen on port %u: %s", static_cast<unsigned>(requested_port),
                failure->message);
    GSList* uris = soup_server_get_uris(server_);
    port = static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
}

bool http_endpoint::implementation::is_silent(GSocket* socket) const
{
    if (faults.silent || socket == nullptr)
        return true;
    GObject* object = G_OBJECT(socket);
    const std::size_t first_seen =
        GPOINTER_TO_SIZE(g_object_get_data(object, first_seen_key));
    if (first_seen == 0) // The value is stored plus one; zero means unset.
        g_object_set_data(object, first_seen_key, GSIZE_TO_POINTER(silence_epoch_ + 1));
    return first_seen != 0 && first_seen <= silence_epoch_;
}

bool http_endpoint::implementation::consume_lost_answer(const http_exchange& exchange)
{
    if (faults.lose_answers == 0 || !is_write(exchange))
        return false;
    --faults.lose_answers;
    return true;
}

void http_endpoint::implementation::accept_request(SoupServer* /*server*/,
                                                   SoupServerMessage* message,
                                                   const char* path, GHashTable* query,
                                                   gpointer self)
{
    implementation& endpoint = *static_cast<implementation*>(self);
    const std::shared_ptr<soup_exchange> exchange =
        std::make_shared<soup_exchange>(endpoint.weak_from_this(), message);
    exchange->method = soup_server_message_get_method(message);
    exchange->path = path;
    if (query != nullptr)
        g_hash_table_foreach(query, add_query_value, &exchange->query);
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    if (body->length > 0)
        exchange->body.assign(body->data, static_cast<std::size_t>(body->length));
    ++endpoint.received.calls;
    endpoint.received.bytes += exchange->body.size();
    // A paused message that never gets a reply leaves its connection open and silent.
    if (endpoint.is_silent(soup_server_message_get_socket(message)))
        return;
    if (endpoint.faults.unreachable)
    {
        exchange->reply(SOUP_STATUS_SERVICE_UNAVAILABLE, R"({"error":"out of service"})");
        return;
    }
    endpoint.dispatch(exchange);
}

void http_endpoint::implementation::dispatch(const exchange_pointer& exchange)
{
    if (faults.delay == duration::zero())
    {
        handle_(exchange);
        return;
    }
    const std::list<timer_handle>::iterator timer =
        timers_.insert(timers_.end(), timer_handle());
    *timer = loop_.after(random_.jitter(faults.delay, delay_spread),
                         [this, timer, exchange]
                         {
                             handle_(exchange);
                             timers_.erase(timer);
                         });
}

http_endpoint::http_endpoint(event_loop& loop, std::uint16_t port, std::uint64_t seed,
                             handler handle)
    : implementation_(std::make_shared<implementation>(loop, seed, std::move(handle)))
{
    implementation_->listen(port);
}

http_endpoint::~http_endpoint()
{
    implementation_->close();
}

std::uint16_t http_endpoint::port() const
{
    return implementation_->port;
}

std::string http_endpoint::address() const
{
    return fmt::format("127.0.0.1:{}", implementation_->port);
}

const http_endpoint::traffic& http_endpoint::received() const
{
    return implementation_->received;
}

fault_settings& http_endpoint::faults()
{
    return implementation_->faults;
}

void http_endpoint::silence_open_connections()
{
    implementation_->silence_open_connections();
}

void http_endpoint::stop_listening()
{
    implementation_->disconnect();
}

void http_endpoint::listen_again()
{
    implementation_->listen(implementation_->port);
}

} // namespace hawthornbeam::standins
