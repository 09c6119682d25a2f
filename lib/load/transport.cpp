/// \file
/// Implementation of load_transport over libsoup.
#include "hawthornbeam/load/run.hpp"

#include "lib/platform/http_client.hpp"

namespace hawthornbeam
{

namespace
{

class soup_load_transport final : public load_transport
{
public:
    soup_load_transport(event_loop& loop, const logger& log, std::uint32_t max_open)
        : client_(loop, log, {max_open})
    {
    }

    void send(load_request request, callback done) override
    {
        http_request sent;
        sent.method = std::move(request.method);
        sent.url = "http://" + request.address + request.path;
        sent.body = std::move(request.body);
        sent.timeout = request.timeout;
        client_.send(
            std::move(sent),
            [done = std::move(done)](result<http_reply> reply)
            {
                if (!reply)
                    return done(reply.error());
                done(load_reply{reply.value().status, std::move(reply.value().body)});
            });
    }

private:
    http_client client_;
};

} // namespace

std::unique_ptr<load_transport> make_load_transport(event_loop& loop, const logger& log,
                                                    std::uint32_t max_open)
{
    return std::make_unique<soup_load_transport>(loop, log, max_open);
}

} // namespace hawthornbeam
