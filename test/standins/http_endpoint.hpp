/// \file
/// One listening HTTP port of the stand-ins, with faults.
#ifndef HAWTHORNBEAM_TEST_STANDINS_HTTP_ENDPOINT_HPP
#define HAWTHORNBEAM_TEST_STANDINS_HTTP_ENDPOINT_HPP

#include "hawthornbeam/support/random_source.hpp"
#include "test/standins/faulty_calls.hpp"

#include <map>
#include <string>

namespace hawthornbeam::standins
{

/// One request and the means to answer it, now or later.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    std::string method;
    std::string path; ///< Percent-decoded.
    std::map<std::string, std::string> query;
    std::string body;

    /// Answers with JSON; only the first call counts. Does nothing when the client has
    /// gone.
    virtual void reply(unsigned status, std::string json) = 0;
};

using exchange_pointer = std::shared_ptr<http_exchange>;

/// Accepts requests on a port of 127.0.0.1. Needs the default GLib main context.
class http_endpoint
{
public:
    using handler = std::function<void(const exchange_pointer&)>;

    /// Listens on \p port; zero picks a free one. Ends the process when the port is
    /// taken. \p seed is for the spread of delays.
    http_endpoint(event_loop& loop, std::uint16_t port, std::uint64_t seed,
                  handler handle);
    ~http_endpoint();

    std::uint16_t port() const;
    /// "127.0.0.1:PORT".
    std::string address() const;

    /// Requests received and the bytes of all bodies, both ways.
    struct traffic
    {
        std::uint64_t calls = 0;
        std::uint64_t bytes = 0;
    };
    const traffic& received() const;

    /// Unreachable answers 503. Silent accepts connections and never answers. A lost
    /// answer closes the connection instead.
    fault_settings& faults();
    /// Never again answers on the connections that are open now; new ones work.
    void silence_open_connections();
    /// Closes the port and all connections, as when the machine dies.
    void stop_listening();
    /// Opens the same port again.
    void listen_again();

    class implementation; ///< Named by the .cpp file's helpers.

private:
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::standins

#endif
