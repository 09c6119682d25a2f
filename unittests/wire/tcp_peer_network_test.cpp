/// \file
/// Tests of the TCP network over loopback.
#include "hawthornbeam/wire/peer_network.hpp"
#include "lib/wire/frame.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hawthornbeam::wire
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

using network_ptr = std::unique_ptr<tcp_peer_network>;

/// A plain socket that sends arbitrary bytes.
class raw_peer
{
public:
    raw_peer() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {}
    explicit raw_peer(int fd) : fd_(fd) {}
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;
    ~raw_peer() { ::close(fd_); }

    void connect(std::uint16_t port)
    {
        const sockaddr_in address = loopback(port);
        ASSERT_EQ(
            ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address),
            0);
    }
    std::uint16_t listen()
    {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        EXPECT_EQ(::bind(fd_, reinterpret_cast<sockaddr*>(&address), size), 0);
        EXPECT_EQ(::listen(fd_, 5), 0);
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }
    int accept() { return ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK); }
    void send(const std::string& bytes)
    {
        ASSERT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }
    void send_hello(std::uint32_t version)
    {
        send(encode_frame(frame{frame_kind::hello, 0, 0,
                                encode_hello(hello{version, instance_id("raw"), 1})}));
    }
    /// Whether the peer has closed the connection; discards received data.
    bool is_closed()
    {
        char buffer[4096];
        ssize_t size = 1;
        while (size > 0)
            size = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
        return size == 0 || errno != EAGAIN;
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }
    int fd_;
};

class tcp_peer_network_test : public testing::Test
{
protected:
    network_ptr open(const std::string& id, std::uint16_t port = 0)
    {
        tcp_peer_network::options settings;
        settings.self = instance_id(id);
        settings.listen_ip = "127.0.0.1";
        settings.port = port;
        settings.probe_period = milliseconds(20);
        settings.silence_limit = milliseconds(200);
        settings.max_connections = 4;
        result<network_ptr> opened = tcp_peer_network::open(loop, log, settings);
        EXPECT_TRUE(opened);
        return std::move(opened).value();
    }
    static peer_address address(std::uint16_t port)
    {
        return peer_address(fmt::format("127.0.0.1:{}", port));
    }
    /// Runs the event loop until \p reached returns true; the test fails after 20 s.
    void run_until(const std::function<bool()>& condition)
    {
        const boot_time limit = loop.clock().now() + seconds(20);
        timer_handle wake = loop.every(milliseconds(5), [] {});
        while (!condition() && loop.clock().now() < limit)
            g_main_context_iteration(nullptr, TRUE);
        ASSERT_TRUE(condition());
    }
    std::function<void(result<reply>)> record_outcome()
    {
        return [this](result<reply> outcome) { outcomes.push_back(std::move(outcome)); };
    }
    /// Sends a request and waits; returns the error code, or nothing after a reply.
    std::optional<error_code> call_and_wait(tcp_peer_network& from, std::uint16_t port,
                                            duration deadline = seconds(10))
    {
        const std::size_t before = outcomes.size();
        from.call(address(port), table_fetch{}, deadline, record_outcome());
        run_until([&] { return outcomes.size() > before; });
        if (outcomes.back())
            return std::nullopt;
        return outcomes.back().error().code;
    }
    static void serve_replies(tcp_peer_network& server)
    {
        server.serve(
            [](const instance_id& /*from*/, const request& message,
               const std::function<void(reply)>& answer) {
                answer(table_reply{std::get<table_fetch>(message).known, ""});
            });
    }
    bool logged(const std::string& text) const
    {
        return log_lines.find(text) != std::string::npos;
    }

    glib_event_loop loop;
    std::string log_lines;
    logger log{loop.clock(), "test", log_level::info,
               [this](const std::string& line) { log_lines += line; }};
    std::vector<result<reply>> outcomes;
};

// Guards against replies that reach the wrong caller when they arrive out of order.
TEST_F(tcp_peer_network_test, replies_in_any_order_reach_their_callers)
{
    network_ptr server = open("server");
    network_ptr client = open("client");
    std::vector<std::pair<table_version, std::function<void(reply)>>> pending;
    server->serve(
        [&pending](const instance_id& from, const request& message,
                   std::function<void(reply)> answer)
        {
            EXPECT_EQ(from, instance_id("client"));
            pending.emplace_back(std::get<table_fetch>(message).known, std::move(answer));
        });
    std::vector<std::uint64_t> answered(200, 0);
    std::size_t count = 0;
    for (std::uint64_t i = 0; i < answered.size(); ++i)
        client->call(address(server->port()), table_fetch{table_version(i)}, seconds(10),
                     [&, i](result<reply> outcome)
                     {
                         ASSERT_TRUE(outcome);
                         answered[i] =
                             std::get<table_reply>(outcome.value()).version.value();
                         ++count;
                     });
    run_until([&] { return pending.size() == answered.size(); });
    for (auto item = pending.rbegin(); item != pending.rend(); ++item)
        item->second(table_reply{item->first, ""});
    run_until([&] { return count == answered.size(); });
    for (std::uint64_t i = 0; i < answered.size(); ++i)
        EXPECT_EQ(answered[i], i);
}

// Guards against a second callback when a reply arrives after the deadline.
TEST_F(tcp_peer_network_test, reply_after_the_deadline_is_dropped)
{
    network_ptr server = open("server");
    network_ptr client = open("client");
    std::function<void(reply)> late_reply;
    server->serve([&late_reply](const instance_id& /*from*/, const request& /*message*/,
                                std::function<void(reply)> answer)
                  { late_reply = std::move(answer); });
    EXPECT_EQ(call_and_wait(*client, server->port(), milliseconds(50)),
              error_code::outcome_unknown);
    late_reply(table_reply{});
    serve_replies(*server);
    EXPECT_EQ(call_and_wait(*client, server->port()), std::nullopt);
    EXPECT_EQ(outcomes.size(), 2U);
}

// Guards against a caller that waits forever when the peer's kernel accepts connections
// but its process does not run. The request was not written, so it cannot have run.
TEST_F(tcp_peer_network_test, peer_without_hello_is_unavailable)
{
    network_ptr client = open("client");
    raw_peer listener;
    EXPECT_EQ(call_and_wait(*client, listener.listen()), error_code::unavailable);
}

// Guards against a silent connection that is never replaced, and against reporting that a
// request which was written did not run.
TEST_F(tcp_peer_network_test, silent_connection_is_replaced)
{
    network_ptr client = open("client");
    raw_peer listener;
    const std::uint16_t port = listener.listen();
    int accepted = -1;
    client->call(address(port), table_fetch{}, seconds(10), record_outcome());
    run_until([&] { return accepted >= 0 || (accepted = listener.accept()) >= 0; });
    raw_peer silent(accepted);
    silent.send_hello(protocol_version);
    run_until([&] { return !outcomes.empty(); });
    EXPECT_EQ(outcomes[0].error().code, error_code::outcome_unknown);
    EXPECT_TRUE(logged("connection lost"));
    EXPECT_TRUE(silent.is_closed());
    client->call(address(port), table_fetch{}, seconds(10), record_outcome());
    accepted = -1;
    run_until([&] { return accepted >= 0 || (accepted = listener.accept()) >= 0; });
    ::close(accepted);
}

// Guards against closing a connection as silent while the peer answers probes but takes
// long to reply to a request.
TEST_F(tcp_peer_network_test, slow_reply_does_not_close_the_connection)
{
    network_ptr server = open("server");
    network_ptr client = open("client");
    timer_handle timer;
    server->serve(
        [&](const instance_id& /*from*/, const request& /*message*/,
            const std::function<void(reply)>& answer)
        { timer = loop.after(milliseconds(600), [answer] { answer(table_reply{}); }); });
    EXPECT_EQ(call_and_wait(*client, server->port()), std::nullopt);
}

// Guards against instances that misread messages of another protocol version.
TEST_F(tcp_peer_network_test, peer_with_another_protocol_version_is_refused)
{
    network_ptr client = open("client");
    raw_peer listener;
    const std::uint16_t port = listener.listen();
    int accepted = -1;
    client->call(address(port), table_fetch{}, seconds(10), record_outcome());
    run_until([&] { return accepted >= 0 || (accepted = listener.accept()) >= 0; });
    raw_peer other(accepted);
    other.send_hello(protocol_version + 1);
    run_until([&] { return !outcomes.empty(); });
    EXPECT_EQ(outcomes[0].error().code, error_code::unavailable);
    EXPECT_NE(outcomes[0].error().message.find("version 2"), std::string::npos);
}

struct invalid_input_case
{
    const char* name;
    bool after_hello;
    std::string bytes;
    const char* logged_text;
};

class invalid_input_test : public tcp_peer_network_test,
                           public testing::WithParamInterface<invalid_input_case>
{
};

// Guards against a faulty peer that affects the requests of other peers.
TEST_P(invalid_input_test, invalid_peer_does_not_affect_other_peers)
{
    network_ptr server = open("server");
    network_ptr client = open("client");
    serve_replies(*server);
    EXPECT_EQ(call_and_wait(*client, server->port()), std::nullopt);
    raw_peer hostile;
    hostile.connect(server->port());
    if (GetParam().after_hello)
        hostile.send_hello(protocol_version);
    hostile.send(GetParam().bytes);
    run_until([&] { return hostile.is_closed(); });
    EXPECT_TRUE(logged(GetParam().logged_text)) << log_lines;
    EXPECT_EQ(call_and_wait(*client, server->port()), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    peers, invalid_input_test,
    testing::Values(
        invalid_input_case{"http", false, "GET / HTTP/1.1\r\n\r\n", "exceeds the limit"},
        invalid_input_case{"no_hello", false, encode_frame(frame{}), "not a hello"},
        invalid_input_case{
            "bad_magic", false,
            encode_frame(frame{frame_kind::hello, 0, 0, std::string(30, 'x')}),
            "does not speak"},
        invalid_input_case{"oversize", true, std::string("\x00\x10\x00\x01", 4),
                           "exceeds the limit of 1048576"},
        invalid_input_case{"unknown_kind", true,
                           std::string("\x00\x00\x00\x02\x01\x63", 6), "unknown value"},
        invalid_input_case{"empty", true, std::string(4, '\0'), "malformed frame"},
        invalid_input_case{"silence", false, "", "no hello"}),
    [](const testing::TestParamInfo<invalid_input_case>& info)
    { return info.param.name; });

// Guards against unbounded memory use when a peer does not read.
TEST_F(tcp_peer_network_test, send_queue_is_bounded)
{
    network_ptr client = open("client");
    raw_peer listener;
    const std::uint16_t port = listener.listen();
    submit_request large;
    large.job.payload.assign(900'000, 'x');
    for (int i = 0; i < 6; ++i)
        client->call(address(port), large, seconds(10), record_outcome());
    run_until([&] { return outcomes.size() == 6; });
    EXPECT_EQ(outcomes[0].error().code, error_code::limit_exceeded);
    EXPECT_EQ(outcomes[1].error().code, error_code::limit_exceeded);
    EXPECT_EQ(outcomes[5].error().code, error_code::unavailable);
    large.job.payload.assign(2'000'000, 'x');
    client->call(address(port), large, seconds(10), record_outcome());
    run_until([&] { return outcomes.size() == 7; });
    EXPECT_EQ(outcomes[6].error().code, error_code::limit_exceeded);
}

// Guards against running out of file descriptors: at the limit, idle connections are
// closed for new ones, and connections with open requests are kept.
TEST_F(tcp_peer_network_test, number_of_outgoing_connections_is_bounded)
{
    network_ptr client = open("client");
    raw_peer silent[5];
    for (raw_peer& peer : silent)
        client->call(address(peer.listen()), table_fetch{}, seconds(10),
                     record_outcome());
    run_until([&] { return outcomes.size() == 5; });
    EXPECT_EQ(outcomes[0].error().code, error_code::limit_exceeded);
    std::vector<network_ptr> servers;
    for (int i = 0; i < 6; ++i)
    {
        servers.push_back(open("server"));
        serve_replies(*servers.back());
        EXPECT_EQ(call_and_wait(*client, servers.back()->port()), std::nullopt);
    }
}

// Guards against peers that never close their connections and so block new ones.
TEST_F(tcp_peer_network_test, idle_incoming_connection_is_closed_for_a_new_one)
{
    network_ptr server = open("server");
    network_ptr client = open("client");
    serve_replies(*server);
    raw_peer idle[6];
    for (raw_peer& peer : idle)
    {
        peer.connect(server->port());
        peer.send_hello(protocol_version);
    }
    run_until([&] { return idle[0].is_closed() && idle[1].is_closed(); });
    EXPECT_EQ(call_and_wait(*client, server->port()), std::nullopt);
}

// Guards against a crowd that has sent no hello and takes the connections of peers.
TEST_F(tcp_peer_network_test,
       quiet_peer_keeps_its_connection_beside_a_crowd_without_hello)
{
    network_ptr server = open("server");
    raw_peer quiet;
    quiet.connect(server->port());
    quiet.send_hello(protocol_version);
    quiet.send(encode_frame(frame{frame_kind::request, 1, 1000, "nonsense"}));
    run_until([&] { return logged("malformed request"); });
    raw_peer crowd[6];
    for (raw_peer& peer : crowd)
        peer.connect(server->port());
    run_until([&] { return crowd[0].is_closed() && crowd[1].is_closed(); });
    EXPECT_FALSE(quiet.is_closed());
}

// Guards against log lines without bound while a crowd connects again and again.
TEST_F(tcp_peer_network_test, crowd_without_hello_adds_few_log_lines)
{
    constexpr int crowd_size = 300;
    constexpr std::size_t lines_per_second = 10;
    network_ptr server = open("server");
    const boot_time begin = loop.clock().now();
    for (int i = 0; i < crowd_size; ++i)
    {
        raw_peer peer;
        peer.connect(server->port());
        peer.send("no frame at all, but long enough to be read as the length of one");
        run_until([&] { return peer.is_closed(); });
    }
    const std::chrono::seconds passed =
        std::chrono::duration_cast<seconds>(loop.clock().now() - begin) + seconds(1);
    std::size_t lines = 0;
    for (std::size_t at = 0;
         (at = log_lines.find("incoming connection closed", at)) != std::string::npos;
         ++at)
        ++lines;
    EXPECT_GT(lines, 0U);
    EXPECT_LE(lines, lines_per_second * static_cast<std::size_t>(passed.count()));
}

// Guards against a malformed request that closes the connection of its sender, which
// would fail its other requests.
TEST_F(tcp_peer_network_test, malformed_request_does_not_close_the_connection)
{
    network_ptr server = open("server");
    raw_peer sender;
    sender.connect(server->port());
    sender.send_hello(protocol_version);
    sender.send(encode_frame(frame{frame_kind::request, 1, 1000, "nonsense"}));
    run_until([&] { return logged("malformed request"); });
    EXPECT_FALSE(sender.is_closed());
}

// Guards against a caller that waits forever for a reply too large to send.
TEST_F(tcp_peer_network_test, oversize_reply_fails_the_request)
{
    network_ptr server = open("server");
    network_ptr client = open("client");
    server->serve(
        [](const instance_id& /*from*/, const request& /*message*/,
           const std::function<void(reply)>& answer) {
            answer(table_reply{table_version(1), std::string(2'000'000, 'x')});
        });
    EXPECT_EQ(call_and_wait(*client, server->port()), error_code::outcome_unknown);
}

// Guards against callbacks that are never called when the network is destroyed, and
// against a crash when a handler replies afterwards.
TEST_F(tcp_peer_network_test, destroying_the_network_fails_open_requests)
{
    network_ptr server = open("server");
    network_ptr client = open("client");
    std::function<void(reply)> pending;
    server->serve([&pending](const instance_id& /*from*/, const request& /*message*/,
                             std::function<void(reply)> answer)
                  { pending = std::move(answer); });
    client->call(address(server->port()), table_fetch{}, seconds(10), record_outcome());
    run_until([&] { return pending != nullptr; });
    raw_peer listener;
    client->call(address(listener.listen()), table_fetch{}, seconds(10),
                 record_outcome());
    client.reset();
    ASSERT_EQ(outcomes.size(), 2U);
    EXPECT_NE(outcomes[0].error().code, outcomes[1].error().code);
    server.reset();
    pending(table_reply{});
}

// Guards against a peer that stays unreachable after it restarts.
TEST_F(tcp_peer_network_test, restarted_peer_is_reachable_at_once)
{
    network_ptr server = open("server");
    network_ptr client = open("client");
    const std::uint16_t port = server->port();
    serve_replies(*server);
    EXPECT_EQ(call_and_wait(*client, port), std::nullopt);
    server.reset();
    EXPECT_EQ(call_and_wait(*client, port), error_code::unavailable);
    server = open("server", port);
    serve_replies(*server);
    EXPECT_EQ(call_and_wait(*client, port), std::nullopt);
}

} // namespace
} // namespace hawthornbeam::wire
