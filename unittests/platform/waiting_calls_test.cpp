/// \file
/// Tests of requests that wait because all connections to their host are in use.
#include "lib/platform/http_client.hpp"

#include "test/standins/http_endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <ctime>
#include <fmt/format.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

using namespace hawthornbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

double processor_s()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

/// A host that takes part in no new connection: its queue of connections is full.
class silent_host
{
public:
    silent_host()
    {
        sockaddr* generic = reinterpret_cast<sockaddr*>(&address_);
        socklen_t size = sizeof(address_);
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listener_, generic, size), 0);
        EXPECT_EQ(::listen(listener_, 0), 0);
        EXPECT_EQ(::getsockname(listener_, generic, &size), 0);
        for (int& each : waiting_)
        {
            each = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            EXPECT_TRUE(::connect(each, generic, size) == 0 || errno == EINPROGRESS);
        }
    }
    silent_host(const silent_host&) = delete;
    silent_host& operator=(const silent_host&) = delete;
    ~silent_host()
    {
        for (const int each : waiting_)
            ::close(each);
        ::close(listener_);
    }
    std::string url() const
    {
        return fmt::format("http://127.0.0.1:{}/", ntohs(address_.sin_port));
    }

private:
    int listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address_{};
    std::array<int, 4> waiting_{};
};

// Guards against calls that take all processor time of a host while they wait: while
// connections open, the library compares all waiting requests with each other.
TEST(waiting_calls, cost_of_a_call_does_not_grow_with_the_number_that_wait)
{
    constexpr unsigned connections_each = 8;
    constexpr std::size_t few_calls_each = connections_each;
    constexpr std::size_t many_calls_each = 10 * few_calls_each;
    std::array<silent_host, 8> hosts;
    glib_event_loop loop;
    const logger log(loop.clock(), "test", log_level::error);
    http_client client(loop, log, {connections_each}, connection_use::kept);
    const auto cost_of_calls = [&](std::size_t calls_each)
    {
        std::size_t ended = 0;
        const double before = processor_s();
        for (const silent_host& host : hosts)
            for (std::size_t call = 0; call < calls_each; ++call)
                client.send({"POST", host.url(), "{}", milliseconds(100)},
                            [&ended](const result<http_reply>&) { ++ended; });
        while (ended < calls_each * hosts.size())
            g_main_context_iteration(nullptr, TRUE);
        return (processor_s() - before) / static_cast<double>(ended);
    };
    cost_of_calls(few_calls_each);
    const double few = cost_of_calls(few_calls_each);
    EXPECT_LT(cost_of_calls(many_calls_each), 4 * few) << "s for each call";
}

class waiting_calls_test : public testing::Test
{
protected:
    static constexpr unsigned connections = 4;
    static constexpr unsigned reserved_connections = 1;

    void send(call_priority priority, const std::string& name,
              duration timeout = seconds(300))
    {
        http_request request{"POST", "http://" + server.address() + "/" + name, "{}",
                             timeout};
        request.priority = priority;
        client.send(
            std::move(request), [this, name](const result<http_reply>& reply)
            { outcomes[name] = reply ? "answered" : to_string(reply.error().code); });
    }
    void run_until(const std::function<bool()>& reached)
    {
        const timer_handle wake = loop.every(milliseconds(1), [] {});
        while (!reached())
            g_main_context_iteration(nullptr, TRUE);
    }
    void answer_all()
    {
        for (const standins::exchange_pointer& each : std::exchange(held, {}))
            each->reply(200, "{}");
    }

    glib_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    bool holds_answers = false;
    std::vector<standins::exchange_pointer> held;
    std::vector<std::string> arrived;
    standins::http_endpoint server{loop, 0, 1,
                                   [this](const standins::exchange_pointer& exchange)
                                   {
                                       arrived.push_back(exchange->path);
                                       held.push_back(exchange);
                                       if (!holds_answers)
                                           answer_all();
                                   }};
    http_client client{loop,
                       log,
                       {connections, connections, reserved_connections},
                       connection_use::kept};
    std::map<std::string, std::string> outcomes;
};

// Guards against polls that wait behind commands.
TEST_F(waiting_calls_test, normal_calls_leave_a_connection_to_those_of_high_priority)
{
    holds_answers = true;
    for (const char* name : {"a", "b", "c", "d"})
        send(call_priority::normal, name);
    send(call_priority::high, "urgent");
    run_until([this] { return held.size() == connections; });
    EXPECT_EQ(arrived.back(), "/urgent");
    EXPECT_EQ(client.pending().waiting, 1U);
    answer_all();
    run_until([this] { return held.size() == 1; });
    EXPECT_EQ(arrived.back(), "/d");
}

// Guards against a call that is taken for sent, and for failed, while it still waits.
TEST_F(waiting_calls_test, call_without_a_connection_was_not_sent)
{
    holds_answers = true;
    for (const char* name : {"a", "b", "c"})
        send(call_priority::normal, name);
    send(call_priority::normal, "late", milliseconds(50));
    run_until([this] { return outcomes.contains("late"); });
    EXPECT_EQ(outcomes["late"], to_string(error_code::unavailable));
    answer_all();
    run_until([this] { return outcomes.size() == 4; });
    EXPECT_EQ(arrived.size(), 3U);
    EXPECT_EQ(client.pending().waiting, 0U);
}

} // namespace
