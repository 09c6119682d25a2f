/// \file
/// HTTP/JSON implementation of host_list.
#include "hawthornbeam/platform/http_host_list.hpp"

#include "lib/platform/json_call.hpp"

namespace hawthornbeam
{

namespace
{

host_entry decode_host(const json& host)
{
    return host_entry{worker_id(text_at(host, "id")),
                      worker_address(text_at(host, "address")),
                      failure_domain_id(text_at(host, "failure_domain")),
                      rack_id(text_at(host, "rack")),
                      resources_at(host, "capacity"),
                      flag_at(host, "leaving")};
}

std::vector<host_entry> decode_hosts(const json& response)
{
    std::vector<host_entry> hosts;
    for (const json& host : array_at(response, "hosts"))
        hosts.push_back(decode_host(host));
    return hosts;
}

} // namespace

class http_host_list::implementation
{
public:
    std::string base_url;
    duration timeout;
    http_client client;
};

http_host_list::http_host_list(event_loop& loop, const logger& log, std::string base_url,
                               duration timeout)
    : implementation_(new implementation{std::move(base_url), timeout, {loop, log, {2}}})
{
}

http_host_list::~http_host_list() = default;

void http_host_list::list(callback done)
{
    http_request request{
        "GET", implementation_->base_url + "/hosts", {}, implementation_->timeout};
    call_json<std::vector<host_entry>>(implementation_->client, std::move(request),
                                       call_effect::read, decode_hosts, std::move(done));
}

} // namespace hawthornbeam
