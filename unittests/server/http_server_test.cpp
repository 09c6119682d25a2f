/// \file
/// The server on loopback, with clients on plain sockets.
#include "hawthornbeam/server/http_server.hpp"

#include <arpa/inet.h>
#include <glib-object.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

using namespace hawthornbeam;

constexpr int max_iterations = 20000;

/// A client whose reads do not block.
class plain_client
{
public:
    explicit plain_client(std::uint16_t port)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
    plain_client(const plain_client&) = delete;
    plain_client& operator=(const plain_client&) = delete;
    ~plain_client() { close(); }

    void close()
    {
        if (socket_ >= 0)
            ::close(socket_);
        socket_ = -1;
    }
    void send(const std::string& text) const
    {
        EXPECT_EQ(::send(socket_, text.data(), text.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(text.size()));
    }
    void shut_down_sending() const { ::shutdown(socket_, SHUT_WR); }
    /// Adds what has arrived to received().
    void receive()
    {
        char buffer[65536];
        const ssize_t size = ::recv(socket_, buffer, sizeof(buffer), 0);
        ended_ = ended_ || size == 0 || (size < 0 && errno != EAGAIN);
        if (size > 0)
            received_.append(buffer, static_cast<std::size_t>(size));
    }
    const std::string& received() const { return received_; }
    bool ended() const { return ended_; }

private:
    int socket_;
    std::string received_;
    bool ended_ = false;
};

class http_server_test : public testing::Test
{
protected:
    http_server_test()
    {
        limits.request_memory_bytes = 100000;
        limits.memory_per_body_byte = 1;
        limits.small_body_bytes = 1000;
        limits.memory_wait = std::chrono::minutes(10);
        limits.max_connections[0] = 2;
        server_policy policy;
        policy.handle = [this](const received_request& request)
        {
            bodies.push_back(request.body);
            if (answers)
                return http_server::respond(request.message, 200, "text/plain", "done");
            pending.push_back(g_object_ref(request.message));
        };
        policy.max_body_bytes = [] { return std::size_t{90000}; };
        policy.describe = [](const refusal_rule& rule)
        { return std::string(rule.message); };
        policy.retry_after = [] { return std::chrono::seconds(3); };
        server = std::make_unique<http_server>(http_server::parts{loop, log, metrics},
                                               limits, std::move(policy));
        port = server->listen("127.0.0.1", 0, client_class::callers).value();
    }
    ~http_server_test() override
    {
        for (gpointer message : pending)
            g_object_unref(message);
    }

    SoupServerMessage* pending_message(std::size_t index) const
    {
        return static_cast<SoupServerMessage*>(pending[index]);
    }
    bool reach(const std::function<bool()>& condition)
    {
        for (int i = 0; i < max_iterations && !condition(); ++i)
        {
            g_main_context_iteration(nullptr, FALSE);
            g_usleep(100);
        }
        return condition();
    }
    static std::string post(std::size_t announced, const std::string& body)
    {
        return "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(announced) + "\r\n\r\n" + body;
    }

    glib_event_loop loop;
    logger log{loop.clock(), "test", log_level::error};
    metrics_registry metrics;
    admission_limits limits;
    bool answers = true;
    std::vector<std::string> bodies;
    std::vector<gpointer> pending;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    std::size_t handled() const { return bodies.size(); }
    std::size_t open_connections() const
    {
        return server->connections(client_class::callers);
    }
};

TEST_F(http_server_test, connection_is_kept_for_the_next_request)
{
    plain_client client(port);
    for (std::size_t i = 1; i <= 3; ++i)
    {
        client.send(post(3, "abc"));
        EXPECT_TRUE(reach([&] { return handled() == i; }));
    }
    EXPECT_FALSE(client.ended());
    EXPECT_EQ(bodies, std::vector<std::string>(3, "abc"));
}

TEST_F(http_server_test, kept_connection_that_its_client_closes_is_closed)
{
    plain_client client(port);
    client.send(post(3, "abc"));
    EXPECT_TRUE(reach([&] { return handled() == 1; }));
    client.close();
    EXPECT_TRUE(reach([&] { return open_connections() == 0; }));
}

TEST_F(http_server_test, request_whose_client_ends_its_sending_is_answered)
{
    answers = false;
    plain_client client(port);
    client.send(post(3, "abc"));
    EXPECT_TRUE(reach([&] { return handled() == 1; }));
    client.shut_down_sending();
    for (int i = 0; i < 10; ++i)
        g_main_context_iteration(nullptr, FALSE);
    http_server::respond(pending_message(0), 200, "text/plain", "late");
    EXPECT_TRUE(reach(
        [&]
        {
            client.receive();
            return client.received().find("late") != std::string::npos;
        }));
}

TEST_F(http_server_test, response_to_a_client_that_has_left_is_dropped)
{
    answers = false;
    plain_client client(port);
    client.send(post(3, "abc"));
    EXPECT_TRUE(reach([&] { return handled() == 1; }));
    client.close();
    http_server::respond(pending_message(0), 200, "text/plain", "late");
    EXPECT_TRUE(reach([&] { return open_connections() == 0; }));
    http_server::respond(pending_message(0), 200, "text/plain", "again");
}

TEST_F(http_server_test, response_after_the_server_has_gone_is_dropped)
{
    answers = false;
    plain_client client(port);
    client.send(post(3, "abc"));
    EXPECT_TRUE(reach([&] { return handled() == 1; }));
    server.reset();
    http_server::respond(pending_message(0), 200, "text/plain", "late");
}

TEST_F(http_server_test, request_that_waited_for_memory_is_served)
{
    plain_client first(port);
    first.send(post(90000, "a"));
    EXPECT_TRUE(reach([&] { return server->request_bytes() == 89000; }));
    plain_client second(port);
    second.send(post(50000, std::string(50000, 'b')));
    EXPECT_TRUE(reach([&] { return open_connections() == 2; }));
    EXPECT_EQ(handled(), 0U);
    first.close();
    EXPECT_TRUE(reach([&] { return handled() == 1; }));
    EXPECT_EQ(bodies[0], std::string(50000, 'b'));
}

TEST_F(http_server_test, refused_client_that_lingers_gives_way_to_a_new_one)
{
    plain_client kept(port);
    kept.send("G");
    plain_client refused(port);
    refused.send(post(90001, "x"));
    EXPECT_TRUE(reach(
        [&]
        {
            refused.receive();
            return refused.ended();
        }));
    EXPECT_EQ(open_connections(), 2U);
    plain_client other(port);
    other.send(post(3, "abc"));
    EXPECT_TRUE(reach([&] { return handled() == 1; }));
    EXPECT_EQ(open_connections(), limits.max_connections[0]);
}

struct refused_case
{
    const char* name;
    std::string sent;
    const char* status;
};

class refused_request_test : public http_server_test,
                             public testing::WithParamInterface<refused_case>
{
};

TEST_P(refused_request_test, gets_a_readable_answer_and_is_not_handled)
{
    plain_client client(port);
    client.send(GetParam().sent);
    EXPECT_TRUE(reach(
        [&]
        {
            client.receive();
            return client.ended();
        }));
    EXPECT_EQ(client.received().substr(9, 3), GetParam().status);
    EXPECT_EQ(handled(), 0U);
    client.close();
    EXPECT_TRUE(reach([&] { return open_connections() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(
    requests, refused_request_test,
    testing::Values(
        refused_case{"announced",
                     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: "
                     "90001\r\n\r\nx",
                     "413"},
        refused_case{"kept",
                     "GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: "
                     "90001\r\n\r\n",
                     "413"},
        refused_case{"negative",
                     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\nx", "413"},
        refused_case{"beyond_all_numbers",
                     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: "
                     "18446744073709551615\r\n\r\nx",
                     "413"},
        refused_case{"chunked",
                     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n15f91\r\n" +
                         std::string(90001, 'x'),
                     "413"},
        refused_case{"header", "GET /a HTTP/1.1\r\nA: " + std::string(40000, 'x'),
                     "431"}),
    [](const testing::TestParamInfo<refused_case>& info) { return info.param.name; });

} // namespace
