/// \file
/// Tests of the HTTP transport against a server in the same process.
#include "hawthornbeam/cli/transport.hpp"

#include <condition_variable>
#include <gtest/gtest.h>
#include <libsoup/soup.h>
#include <mutex>
#include <thread>

namespace hawthornbeam
{
namespace
{

/// HTTP server on its own thread, since the transport under test blocks the calling
/// thread.
class http_server
{
public:
    http_server() : thread_([this] { serve(); })
    {
        std::unique_lock<std::mutex> lock(mutex_);
        started_.wait(lock, [this] { return port_ != 0; });
    }
    ~http_server()
    {
        // A g_main_loop_quit() before the loop runs has no effect, so it is called from
        // the loop itself.
        GSource* quit = g_idle_source_new();
        g_source_set_callback(quit, quit_loop, loop_, nullptr);
        g_source_attach(quit, g_main_loop_get_context(loop_));
        g_source_unref(quit);
        thread_.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    const std::string& received() const { return received_; }

private:
    static gboolean quit_loop(gpointer loop)
    {
        g_main_loop_quit(static_cast<GMainLoop*>(loop));
        return G_SOURCE_REMOVE;
    }
    static void handle(SoupServer*, SoupServerMessage* message, const char* path,
                       GHashTable*, gpointer data)
    {
        http_server& self = *static_cast<http_server*>(data);
        SoupMessageBody* body = soup_server_message_get_request_body(message);
        self.received_ = std::string(soup_server_message_get_method(message)) + " " +
                         path + " " +
                         std::string(body->data, static_cast<std::size_t>(body->length));
        if (std::string(path) == "/drop")
        {
            g_io_stream_close(soup_server_message_steal_connection(message), nullptr,
                              nullptr);
            return;
        }
        SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
        soup_message_headers_replace(headers, "ETag", "\"7\"");
        soup_message_headers_replace(headers, "Retry-After", "3");
        soup_server_message_set_status(message, 429, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY,
                                         "{}", 2);
    }

    void serve()
    {
        GMainContext* context = g_main_context_new();
        g_main_context_push_thread_default(context);
        SoupServer* server = soup_server_new(nullptr, nullptr);
        soup_server_add_handler(server, nullptr, handle, this, nullptr);
        soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
        GSList* uris = soup_server_get_uris(server);
        loop_ = g_main_loop_new(context, FALSE);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            port_ = g_uri_get_port(static_cast<GUri*>(uris->data));
        }
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
        started_.notify_one();
        g_main_loop_run(loop_);
        soup_server_disconnect(server);
        g_object_unref(server);
        g_main_loop_unref(loop_);
        g_main_context_pop_thread_default(context);
        g_main_context_unref(context);
    }

    std::mutex mutex_;
    std::condition_variable started_;
    int port_ = 0;
    GMainLoop* loop_ = nullptr;
    std::string received_;
    std::thread thread_;
};

// Guards against requests sent without their body and responses returned without their
// headers.
TEST(soup_transport_test, request_body_and_response_headers_are_transferred)
{
    const http_server server;
    const std::unique_ptr<api_transport> transport =
        make_http_transport(std::chrono::seconds(10));
    const result<api_response> sent =
        transport->send(server.address(), {"PATCH", "/x", "{\"a\":1}", {}});
    ASSERT_TRUE(sent.has_value()) << sent.error().message;
    EXPECT_EQ(sent.value().status, 429);
    EXPECT_EQ(sent.value().body, "{}");
    EXPECT_EQ(sent.value().etag, "\"7\"");
    EXPECT_EQ(sent.value().retry_after, "3");
    EXPECT_EQ(server.received(), "PATCH /x {\"a\":1}");
}

// Guards against reporting a request as not sent although the instance received it.
TEST(soup_transport_test, dropped_connection_leaves_the_outcome_unknown)
{
    const http_server server;
    const result<api_response> sent =
        make_http_transport(std::chrono::seconds(10))
            ->send(server.address(), {"POST", "/drop", "{}", {}});
    ASSERT_FALSE(sent.has_value());
    EXPECT_EQ(sent.error().code, error_code::outcome_unknown);
}

// Guards against reporting a refused connection as an unknown outcome, which would
// prevent a write from being retried on the next instance.
TEST(soup_transport_test, refused_connection_is_unavailable)
{
    std::string address;
    {
        const http_server server;
        address = server.address();
    }
    const result<api_response> sent = make_http_transport(std::chrono::seconds(10))
                                          ->send(address, {"POST", "/x", "{}", {}});
    ASSERT_FALSE(sent.has_value());
    EXPECT_EQ(sent.error().code, error_code::unavailable) << sent.error().message;
}

} // namespace
} // namespace hawthornbeam
