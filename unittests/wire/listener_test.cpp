/// \file
/// Accepting connections while the process has no descriptors left.
#include "lib/wire/listener.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hawthornbeam::wire
{
namespace
{

/// Leaves the process no free descriptor until it is destroyed.
class descriptor_shortage
{
public:
    descriptor_shortage()
    {
        const int lowest_free = ::dup(STDERR_FILENO);
        ::close(lowest_free);
        ::getrlimit(RLIMIT_NOFILE, &former_);
        const rlimit lowered{static_cast<rlim_t>(lowest_free), former_.rlim_max};
        EXPECT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
    }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;
    ~descriptor_shortage() { ::setrlimit(RLIMIT_NOFILE, &former_); }

private:
    rlimit former_{};
};

#ifdef __SANITIZE_ADDRESS__
/// UBSan opens a pipe to check an object, so that the shortage is confined to accept().
class tested_shortage
{
public:
    tested_shortage() { active = true; }
    tested_shortage(const tested_shortage&) = delete;
    tested_shortage& operator=(const tested_shortage&) = delete;
    ~tested_shortage() { active = false; }

    static bool active;
};
bool tested_shortage::active = false;
#else
using tested_shortage = descriptor_shortage;
#endif

/// Connects to a listener on loopback. Returns the descriptor.
int connect_to(const listener& target)
{
    const int client = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(
        ::connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
        0);
    return client;
}

// Guards against responses that wait for the delayed acknowledgement of their beginning.
TEST(listener_test, accepted_connections_send_without_delay)
{
    glib_event_loop loop;
    std::optional<gint> without_delay;
    const object_ptr<GSocketAddress> address = make_socket_address("127.0.0.1", 0);
    result<std::unique_ptr<listener>> opened =
        listener::open(loop, address.get(), 0,
                       {[&without_delay](object_ptr<GSocket> socket)
                        {
                            gint value = 0;
                            EXPECT_TRUE(g_socket_get_option(
                                socket.get(), IPPROTO_TCP, TCP_NODELAY, &value, nullptr));
                            without_delay = value;
                        },
                        [](const std::string& /*reason*/) {}});
    ASSERT_TRUE(opened);
    const int client = connect_to(*opened.value());
    while (!without_delay)
        g_main_context_iteration(nullptr, TRUE);
    EXPECT_NE(*without_delay, 0);
    ::close(client);
}

// Guards against a listener that never accepts again after a failure, and against one
// that uses all processor time while it fails.
TEST(listener_test, accepts_again_after_a_shortage_of_descriptors_without_spinning)
{
    constexpr int iterations = 1000;
    glib_event_loop loop;
    int accepted = 0;
    int failed = 0;
    const object_ptr<GSocketAddress> address = make_socket_address("127.0.0.1", 0);
    result<std::unique_ptr<listener>> opened =
        listener::open(loop, address.get(), 0,
                       {[&accepted](object_ptr<GSocket> /*socket*/) { ++accepted; },
                        [&failed](const std::string& /*reason*/) { ++failed; }});
    ASSERT_TRUE(opened);
    const int client = connect_to(*opened.value());
    {
        const tested_shortage shortage;
        for (int i = 0; i < iterations || failed == 0; ++i)
            g_main_context_iteration(nullptr, FALSE);
        EXPECT_EQ(accepted, 0);
        EXPECT_LT(failed, iterations / 10);
    }
    while (accepted == 0)
        g_main_context_iteration(nullptr, TRUE);
    ::close(client);
}

} // namespace
} // namespace hawthornbeam::wire

#ifdef __SANITIZE_ADDRESS__
/// Called by GLib in place of the function of the C library.
extern "C" int accept(int socket, sockaddr* address, socklen_t* size)
{
    using namespace hawthornbeam::wire;
    if (!tested_shortage::active)
        return ::accept4(socket, address, size, 0);
    int accepted = -1;
    int failure = 0;
    {
        const descriptor_shortage shortage;
        accepted = ::accept4(socket, address, size, 0);
        failure = errno;
    }
    EXPECT_EQ(accepted, -1);
    EXPECT_EQ(failure, EMFILE);
    errno = failure;
    return accepted;
}
#endif
