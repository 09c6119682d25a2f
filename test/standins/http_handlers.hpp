/// \file
/// Server side of the HTTP/JSON protocols in docs/platform.md, for the stand-ins.
#ifndef HAWTHORNBEAM_TEST_STANDINS_HTTP_HANDLERS_HPP
#define HAWTHORNBEAM_TEST_STANDINS_HTTP_HANDLERS_HPP

#include "test/standins/host_list_state.hpp"
#include "test/standins/hosted_worker.hpp"
#include "test/standins/http_endpoint.hpp"
#include "test/standins/kv_state.hpp"

namespace hawthornbeam::standins
{

/// Serves a kv_state over HTTP. Watches are long polls.
class kv_handler
{
public:
    explicit kv_handler(event_loop& loop) : loop_(loop) {}

    kv_state& state() { return state_; }
    void handle(const exchange_pointer& exchange);

private:
    struct waiting_watch
    {
        std::string prefix;
        kv_revision after;
        exchange_pointer exchange;
        timer_handle timeout;
    };

    void read(const exchange_pointer& exchange, const std::string& key);
    void list(const exchange_pointer& exchange);
    void write(const exchange_pointer& exchange, const std::string& key);
    void remove(const exchange_pointer& exchange, const std::string& key);
    void watch(const exchange_pointer& exchange);
    void answer_ready_watches();

    event_loop& loop_;
    kv_state state_;
    std::list<waiting_watch> watches_;
};

/// Handles a request of the worker protocol.
void handle_worker_request(hosted_worker& worker, const exchange_pointer& exchange);
/// Responds with the host list, as for GET /hosts.
void handle_host_list_request(host_list_state& hosts, const exchange_pointer& exchange);
/// Returns one line of JSON without the newline.
std::string history_line(const history_entry& entry);

} // namespace hawthornbeam::standins

#endif
