/// \file
/// HTTP client based on libsoup.
#include "lib/platform/http_client.hpp"

#include <array>
#include <cassert>
#include <deque>
#include <fmt/format.h>
#include <libsoup/soup.h>
#include <map>
#include <optional>
#include <set>

namespace hawthornbeam
{

namespace
{

/// An idle connection may have stopped working without being closed, so it is not kept
/// for long.
constexpr std::chrono::seconds max_idle_time(5);
/// How long requests to a host avoid kept connections after a timeout, in clients that
/// use kept connections for all requests.
constexpr duration kept_connection_suspicion_time = std::chrono::milliseconds(1500);
/// Limit on the body of a response, far above the largest page of a listing.
constexpr std::size_t max_response_bytes = std::size_t{32} << 20U;
constexpr std::size_t read_buffer_bytes = std::size_t{16} << 10U;

struct http_call
{
    http_call() : cancellable(g_cancellable_new()) {}
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    ~http_call() { g_object_unref(cancellable); }

    std::string description; ///< "METHOD URL", for error messages.
    std::string host;
    std::optional<http_request> request; ///< Until it is passed to the library.
    http_client::callback done;          ///< Null once the call has completed.
    timer_handle timeout;
    GCancellable* cancellable;
    bool sent = false;
};

using call_pointer = std::shared_ptr<http_call>;

/// Scheme, host and port of \p url.
std::string host_of(const std::string& url)
{
    const std::size_t scheme_end = url.find("://");
    if (scheme_end == std::string::npos)
        return url;
    return url.substr(0, url.find('/', scheme_end + 3));
}

/// Requests with side effects use a new connection each. When a kept connection breaks,
/// libsoup resends PUT and DELETE, and the retry of a compare-and-swap that was applied
/// would report a conflict. A kept connection may also have stopped responding, and a
/// start would then wait for its whole timeout.
bool has_side_effects(const std::string& method)
{
    return method != "GET";
}

void mark_sent(SoupMessage* /*message*/, gpointer data)
{
    (*static_cast<call_pointer*>(data))->sent = true;
}

void release_call(gpointer data, GClosure* /*closure*/)
{
    delete static_cast<call_pointer*>(data);
}

SoupSession* create_session(const connection_limits& limits)
{
    SoupSession* session = soup_session_new_with_options(
        "max-conns", static_cast<int>(limits.total), "max-conns-per-host",
        static_cast<int>(limits.per_host), "idle-timeout",
        static_cast<guint>(max_idle_time.count()), "timeout", 0U, nullptr);
    // Platform addresses are always reached directly; ignore proxies set in the
    // environment.
    soup_session_set_proxy_resolver(session, nullptr);
    return session;
}

} // namespace

class http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& loop, const logger& log, const connection_limits& limits,
                   connection_use use)
        : loop_(loop), log_(log), limits_(limits), use_(use),
          session_(create_session(limits))
    {
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation() { g_object_unref(session_); }

    void send(http_request request, callback done);
    pending_calls pending() const;
    void close();

private:
    /// Calls to one host.
    struct host_calls
    {
        std::size_t open = 0;
        std::deque<call_pointer> urgent; ///< Waiting calls of high priority.
        std::deque<call_pointer> normal; ///< The other waiting calls.

        bool is_idle() const { return open == 0 && urgent.empty() && normal.empty(); }
    };
    using host_entry = std::map<std::string, host_calls>::iterator;

    /// User data of the completion callback of one call, which holds one of the host's
    /// connections until the library has finished with it.
    struct completion
    {
        std::weak_ptr<implementation> client;
        call_pointer call;
        SoupMessage* message;
        GInputStream* stream = nullptr; ///< Of the body of the response.
        std::string body;
        std::array<char, read_buffer_bytes> buffer;

        completion() = default;
        completion(const completion&) = delete;
        completion& operator=(const completion&) = delete;
        ~completion()
        {
            g_clear_object(&stream);
            g_object_unref(message);
            const std::shared_ptr<implementation> sender = client.lock();
            if (sender)
                sender->release(call->host);
        }
    };

    static void handle_header(GObject* session, GAsyncResult* async_result,
                              gpointer data);
    static void handle_body(GObject* stream, GAsyncResult* async_result, gpointer data);
    static void read_body(std::unique_ptr<completion> response);
    static void fail(const completion& response, GError* failure);
    /// Removes and returns the next call that a connection to the host is free for;
    /// nullptr if there is none.
    call_pointer next_waiting(host_calls& host);
    void start_waiting(host_entry host);
    /// Sends the waiting calls of all hosts that have connections left.
    void start_all_waiting();
    void start(const call_pointer& call);
    /// Handles the end of a call in the library.
    void release(const std::string& host);
    SoupMessage* build_message(const http_request& request, const call_pointer& call);
    bool needs_fresh_connection(const http_request& request, const std::string& host);
    void time_out(const call_pointer& call);
    void finish(const call_pointer& call, result<http_reply> reply);

    event_loop& loop_;
    const logger& log_;
    connection_limits limits_;
    connection_use use_;
    SoupSession* session_;
    std::set<call_pointer> incomplete_; ///< Waiting or sent, without a result.
    std::map<std::string, host_calls> hosts_;
    std::size_t open_ = 0;     ///< Calls of all hosts in the library.
    std::string last_started_; ///< Host whose waiting calls were sent last.
    /// Hosts with a recent timeout. Until the stored time their idle connections may be
    /// unresponsive too; after it, the idle timeout has closed them.
    std::map<std::string, boot_time> suspected_until_;
};

void http_client::implementation::send(http_request request, callback done)
{
    const call_pointer call = std::make_shared<http_call>();
    call->description = request.method + " " + request.url;
    call->host = host_of(request.url);
    call->done = std::move(done);
    incomplete_.insert(call);
    call->timeout = loop_.after(request.timeout, [this, call] { time_out(call); });
    const host_entry host = hosts_.try_emplace(call->host).first;
    (request.priority == call_priority::high ? host->second.urgent : host->second.normal)
        .push_back(call);
    call->request = std::move(request);
    start_waiting(host);
}

call_pointer http_client::implementation::next_waiting(host_calls& host)
{
    for (std::deque<call_pointer>* waiting : {&host.urgent, &host.normal})
    {
        // Calls that have timed out stay in their place until it is their turn.
        while (!waiting->empty() && !waiting->front()->done)
            waiting->pop_front();
        const std::size_t available =
            limits_.per_host - (waiting == &host.normal ? limits_.reserved : 0);
        if (waiting->empty() || host.open >= available)
            continue;
        const call_pointer next = waiting->front();
        waiting->pop_front();
        return next;
    }
    return nullptr;
}

void http_client::implementation::start_waiting(host_entry host)
{
    while (open_ < limits_.total)
    {
        const call_pointer next = next_waiting(host->second);
        if (!next)
            return;
        ++host->second.open;
        ++open_;
        start(next);
    }
}

void http_client::implementation::start_all_waiting()
{
    for (std::size_t left = hosts_.size(); left > 0 && open_ < limits_.total; --left)
    {
        host_entry next = hosts_.upper_bound(last_started_);
        if (next == hosts_.end())
            next = hosts_.begin();
        last_started_ = next->first;
        start_waiting(next);
        if (next->second.is_idle())
            hosts_.erase(next);
    }
}

void http_client::implementation::start(const call_pointer& call)
{
    const http_request request = std::move(*call->request);
    call->request.reset();
    const std::weak_ptr<implementation> self = weak_from_this();
    SoupMessage* message = build_message(request, call);
    if (message == nullptr)
    {
        loop_.post(
            [self, call]
            {
                const std::shared_ptr<implementation> client = self.lock();
                if (!client)
                    return;
                client->finish(call,
                               make_error(error_code::unavailable,
                                          call->description + ": the URL is invalid"));
                client->release(call->host);
            });
        return;
    }
    call->timeout = loop_.after(request.timeout, [this, call] { time_out(call); });
    std::unique_ptr<completion> response = std::make_unique<completion>();
    response->client = self;
    response->call = call;
    response->message = message;
    soup_session_send_async(session_, message, G_PRIORITY_DEFAULT, call->cancellable,
                            handle_header, response.release());
}

void http_client::implementation::release(const std::string& name)
{
    const bool all_in_use = open_ >= limits_.total;
    const host_entry host = hosts_.find(name);
    --host->second.open;
    --open_;
    start_waiting(host);
    if (host->second.is_idle())
        hosts_.erase(host);
    if (all_in_use)
        start_all_waiting();
}

pending_calls http_client::implementation::pending() const
{
    std::size_t waiting = 0;
    for (const call_pointer& call : incomplete_)
        waiting += call->request ? 1U : 0U;
    return {open_, waiting};
}

SoupMessage* http_client::implementation::build_message(const http_request& request,
                                                        const call_pointer& call)
{
    SoupMessage* message = soup_message_new(request.method.c_str(), request.url.c_str());
    if (message == nullptr)
        return nullptr;
    guint flags = SOUP_MESSAGE_NO_REDIRECT;
    // libsoup opens a new connection for each POST that is not marked idempotent.
    if (use_ == connection_use::kept)
        flags |= SOUP_MESSAGE_IDEMPOTENT;
    if (needs_fresh_connection(request, call->host))
        flags |= SOUP_MESSAGE_NEW_CONNECTION;
    soup_message_set_flags(message, static_cast<SoupMessageFlags>(flags));
    SoupMessageHeaders* headers = soup_message_get_request_headers(message);
    if (use_ == connection_use::fresh && has_side_effects(request.method))
        soup_message_headers_replace(headers, "Connection", "close");
    for (const auto& [name, value] : request.headers)
        soup_message_headers_replace(headers, name.c_str(), value.c_str());
    if (!request.body.empty())
    {
        GBytes* body = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(message, request.content_type.c_str(),
                                                 body);
        g_bytes_unref(body);
    }
    g_signal_connect_data(message, "starting", G_CALLBACK(mark_sent),
                          new call_pointer(call), release_call, GConnectFlags());
    return message;
}

bool http_client::implementation::needs_fresh_connection(const http_request& request,
                                                         const std::string& host)
{
    if (use_ == connection_use::fresh && has_side_effects(request.method))
        return true;
    const auto suspected_host = suspected_until_.find(host);
    if (suspected_host == suspected_until_.end())
        return false;
    if (loop_.clock().now() < suspected_host->second)
        return true;
    suspected_until_.erase(suspected_host);
    return false;
}

void http_client::implementation::handle_header(GObject* session,
                                                GAsyncResult* async_result, gpointer data)
{
    std::unique_ptr<completion> response(static_cast<completion*>(data));
    GError* failure = nullptr;
    response->stream =
        soup_session_send_finish(SOUP_SESSION(session), async_result, &failure);
    if (failure != nullptr)
        return fail(*response, failure);
    read_body(std::move(response));
}

void http_client::implementation::read_body(std::unique_ptr<completion> response)
{
    completion& reading = *response;
    g_input_stream_read_async(reading.stream, reading.buffer.data(),
                              reading.buffer.size(), G_PRIORITY_DEFAULT,
                              reading.call->cancellable, handle_body, response.release());
}

void http_client::implementation::handle_body(GObject* stream, GAsyncResult* async_result,
                                              gpointer data)
{
    std::unique_ptr<completion> response(static_cast<completion*>(data));
    GError* failure = nullptr;
    const gssize size =
        g_input_stream_read_finish(G_INPUT_STREAM(stream), async_result, &failure);
    if (size < 0)
        return fail(*response, failure);
    response->body.append(response->buffer.data(), static_cast<std::size_t>(size));
    if (response->body.size() > max_response_bytes)
    {
        // Makes libsoup close the connection instead of reading the rest.
        g_cancellable_cancel(response->call->cancellable);
        return fail(*response,
                    g_error_new_literal(G_IO_ERROR, G_IO_ERROR_MESSAGE_TOO_LARGE,
                                        "the response is too large"));
    }
    if (size > 0)
        return read_body(std::move(response));
    const std::shared_ptr<implementation> client = response->client.lock();
    if (client)
        client->finish(response->call,
                       http_reply{soup_message_get_status(response->message),
                                  std::move(response->body)});
}

void http_client::implementation::fail(const completion& response, GError* failure)
{
    const call_pointer& call = response.call;
    const error_code code =
        call->sent ? error_code::outcome_unknown : error_code::unavailable;
    error reported_error = make_error(code, call->description + ": " + failure->message);
    reported_error.no_listener =
        g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != 0;
    g_error_free(failure);
    const std::shared_ptr<implementation> client = response.client.lock();
    if (client)
        client->finish(call, std::move(reported_error));
}

void http_client::implementation::time_out(const call_pointer& call)
{
    if (call->request)
        return finish(call, make_error(error_code::unavailable,
                                       call->description + ": no connection was free"));
    const boot_time now = loop_.clock().now();
    std::erase_if(suspected_until_,
                  [now](const std::pair<const std::string, boot_time>& host)
                  { return host.second <= now; });
    suspected_until_[call->host] =
        now + (use_ == connection_use::kept ? kept_connection_suspicion_time
                                            : duration(max_idle_time));
    // Makes libsoup abort the call and close its connection.
    g_cancellable_cancel(call->cancellable);
    const error_code code =
        call->sent ? error_code::outcome_unknown : error_code::unavailable;
    finish(call, make_error(code, call->description + ": no whole answer in time"));
}

void http_client::implementation::finish(const call_pointer& call,
                                         result<http_reply> reply)
{
    if (!call->done)
        return;
    const callback done = std::exchange(call->done, nullptr);
    call->timeout.reset();
    call->request.reset();
    incomplete_.erase(call);
    if (!reply)
        log_.debug(
            "http_client", "call failed",
            {{"code", to_string(reply.error().code)}, {"reason", reply.error().message}});
    done(std::move(reply));
}

void http_client::implementation::close()
{
    for (const call_pointer& call : std::exchange(incomplete_, {}))
    {
        call->done = nullptr;
        call->timeout.reset();
        g_cancellable_cancel(call->cancellable);
    }
    soup_session_abort(session_);
}

http_client::http_client(event_loop& loop, const logger& log,
                         const connection_limits& limits, connection_use use)
    : implementation_(std::make_shared<implementation>(loop, log, limits, use))
{
    assert(limits.per_host > limits.reserved && limits.total > 0 &&
           "normal requests require a connection");
}

http_client::~http_client()
{
    implementation_->close();
}

void http_client::send(http_request request, callback done)
{
    implementation_->send(std::move(request), std::move(done));
}

pending_calls http_client::pending() const
{
    return implementation_->pending();
}

std::string percent_encode(const std::string& text)
{
    gchar* escaped = g_uri_escape_string(text.c_str(), "/", FALSE);
    std::string encoded(escaped);
    g_free(escaped);
    return encoded;
}

} // namespace hawthornbeam
