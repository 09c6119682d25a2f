/// \file
/// An HTTP server port of the stand-ins, with fault injection.
#ifndef HAWTHORNBEAM_TEST_STANDINS_HTTP_ENDPOINT_HPP
#define HAWTHORNBEAM_TEST_STANDINS_HTTP_ENDPOINT_HPP

#include "hawthornbeam/support/random_source.hpp"
#include "test/standins/faulty_calls.hpp"

#include <map>
#include <string>

namespace hawthornbeam::standins
{

/// A request that can be answered immediately or later.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    std::string method;
    std::string path; ///< Percent-decoded.
    std::map<std::string, std::string> query;
    std::string body;

    /// Responds with JSON. Only the first call has an effect. Does nothing if the client
    /// has disconnected.
    virtual void reply(unsigned status, std::string json) = 0;
};

using exchange_pointer = std::shared_ptr<http_exchange>;

/// Accepts requests on a port of 127.0.0.1. Needs the default GLib main context.
class http_endpoint
{
public:
    using handler = std::function<void(const exchange_pointer&)>;

    /// Listens on \p port; zero selects a free port. Aborts the process if the port is in
    /// use. \p seed initializes the randomization of delays.
    http_endpoint(event_loop& loop, std::uint16_t port, std::uint64_t seed,
                  handler handle);
    ~http_endpoint();

    std::uint16_t port() const;
    /// Returns "127.0.0.1:PORT".
    std::string address() const;

    /// Number of requests received and bytes of all request and response bodies.
    struct traffic
    {
        std::uint64_t calls = 0;
        std::uint64_t bytes = 0;
    };
    const traffic& received() const;

    /// Faults of this port: `unreachable` responds with 503, `silent` accepts connections
    /// and never responds, `lose_answers` closes the connection instead of responding.
    fault_settings& faults();
    /// Stops responding on the connections that are open now; new connections work.
    void silence_open_connections();
    /// Closes the port and all connections, as in a machine failure.
    void stop_listening();
    /// Listens on the same port again.
    void listen_again();

    class implementation; ///< Public for helpers in the .cpp file.

private:
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::standins

#endif
