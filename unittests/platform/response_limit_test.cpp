/// \file
/// Responses of the platform that are far larger than any that it specifies.
#include "lib/platform/http_client.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <fmt/format.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

using namespace hawthornbeam;

constexpr std::size_t mib = std::size_t{1} << 20U;

/// Answers one request on a thread of its own with a body of chunks of a megabyte.
class chunk_server
{
public:
    explicit chunk_server(std::size_t chunks)
        : chunks_(chunks), listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        sockaddr* generic = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(::bind(listener_, generic, size), 0);
        EXPECT_EQ(::listen(listener_, 1), 0);
        EXPECT_EQ(::getsockname(listener_, generic, &size), 0);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    chunk_server(const chunk_server&) = delete;
    chunk_server& operator=(const chunk_server&) = delete;
    ~chunk_server()
    {
        thread_.join();
        ::close(listener_);
    }
    /// Whether the connection has ended.
    bool ended() const { return ended_; }
    std::string url() const { return fmt::format("http://127.0.0.1:{}/", port_); }

private:
    static bool send_all(int connection, const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size())
        {
            const ssize_t step =
                ::send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (step <= 0)
                return false;
            sent += static_cast<std::size_t>(step);
        }
        return true;
    }
    void serve()
    {
        const int connection = ::accept(listener_, nullptr, nullptr);
        char request[4096];
        EXPECT_GT(::recv(connection, request, sizeof(request), 0), 0);
        const std::string chunk =
            fmt::format("{:x}\r\n{}\r\n", mib, std::string(mib, 'x'));
        bool open =
            send_all(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (std::size_t i = 0; i < chunks_ && open; ++i)
            open = send_all(connection, chunk);
        if (open)
            send_all(connection, "0\r\n\r\n");
        ::close(connection);
        ended_ = true;
    }

    std::size_t chunks_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> ended_ = false;
    std::thread thread_;
};

struct response_case
{
    const char* name;
    std::size_t megabytes;
    bool accepted;
};

class response_limit_test : public testing::TestWithParam<response_case>
{
};

TEST_P(response_limit_test, response_beyond_all_limits_is_not_collected)
{
    chunk_server server(GetParam().megabytes);
    glib_event_loop loop;
    const logger log(loop.clock(), "test", log_level::error);
    http_client client(loop, log, {1}, connection_use::kept);
    std::optional<result<http_reply>> outcome;
    client.send({"GET", server.url(), "", std::chrono::seconds(60)},
                [&outcome](result<http_reply> reply) { outcome = std::move(reply); });
    const timer_handle wake = loop.every(std::chrono::milliseconds(5), [] {});
    while (!outcome || !server.ended())
        g_main_context_iteration(nullptr, TRUE);
    ASSERT_EQ(outcome->has_value(), GetParam().accepted);
    if (GetParam().accepted)
    {
        EXPECT_EQ(outcome->value().body, std::string(GetParam().megabytes * mib, 'x'));
    }
    else
    {
        EXPECT_EQ(outcome->error().code, error_code::outcome_unknown);
    }
}

INSTANTIATE_TEST_SUITE_P(responses, response_limit_test,
                         testing::Values(response_case{"inside_the_limit", 4, true},
                                         response_case{"at_the_limit", 32, true},
                                         response_case{"beyond_the_limit", 48, false}),
                         [](const testing::TestParamInfo<response_case>& info)
                         { return info.param.name; });

} // namespace
