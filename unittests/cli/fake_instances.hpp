/// \file
/// Fake instances with scripted responses, for tests of the commands.
#ifndef HAWTHORNBEAM_UNITTESTS_CLI_FAKE_INSTANCES_HPP
#define HAWTHORNBEAM_UNITTESTS_CLI_FAKE_INSTANCES_HPP

#include "hawthornbeam/cli/command.hpp"

#include <deque>
#include <map>
#include <sstream>

namespace hawthornbeam
{

/// Returns the next scripted response for each "METHOD PATH" and records the requests.
class fake_instances final : public api_transport
{
public:
    result<api_response> send(const std::string& address,
                              const api_request& request) override
    {
        sent.push_back(address + " " + request.method + " " + request.path +
                       (request.body.empty() ? "" : " " + request.body));
        for (const std::pair<std::string, std::string>& header : request.headers)
            headers[header.first] = header.second;
        if (failures.contains(address))
            return make_error(failures[address], "no connection");
        std::deque<api_response>& queue = script[request.method + " " + request.path];
        if (queue.empty())
            return api_response{404, R"({"code": "not_found", "title": "none"})", "", ""};
        const api_response response = queue.front();
        if (queue.size() > 1)
            queue.pop_front();
        return response;
    }

    /// Responses by "METHOD PATH"; the last one repeats.
    std::map<std::string, std::deque<api_response>> script;
    std::map<std::string, error_code> failures; ///< Keyed by address.
    std::vector<std::string> sent;
    std::map<std::string, std::string> headers;
};

/// Runs commands against fake instances and captures their output.
struct command_run
{
    fake_instances instances;
    cli_options options;
    manual_clock clock;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    bool interactive = false;
    int sleeps = 0;

    command_run() { options.instances = {"a:1", "b:1"}; }

    int run(const std::vector<std::string>& words)
    {
        const cli_environment environment{
            instances, clock, in, out, err, interactive, [this](duration) { ++sleeps; }};
        return static_cast<int>(run_command(words, options, environment));
    }
};

} // namespace hawthornbeam

#endif
