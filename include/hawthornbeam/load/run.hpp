/// \file
/// Sends the jobs of a load plan and follows each to its end.
#ifndef HAWTHORNBEAM_LOAD_RUN_HPP
#define HAWTHORNBEAM_LOAD_RUN_HPP

#include "hawthornbeam/load/plan.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/wire/messages.hpp"

#include <functional>
#include <memory>

namespace hawthornbeam
{

/// One HTTP request to an instance.
struct load_request
{
    std::string address; ///< "IP:PORT".
    std::string method;
    std::string path;
    std::string body;
    duration timeout{};
};

/// A whole answer.
struct load_reply
{
    unsigned status = 0;
    std::string body;
};

/// Sends requests without blocking. Tests inject a fake.
class load_transport
{
public:
    using callback = std::function<void(result<load_reply>)>;

    virtual ~load_transport() = default;
    /// Each request is sent at most once. Fails with unavailable when it was not sent and
    /// with outcome_unknown when it was sent and no whole answer came. \p done runs
    /// exactly once on the loop, never inside send().
    virtual void send(load_request request, callback done) = 0;
};

/// Sends over HTTP by libsoup, with at most \p max_open connections to an instance.
std::unique_ptr<load_transport> make_load_transport(event_loop& loop, const logger& log,
                                                    std::uint32_t max_open);

/// What became of a job.
enum class job_fate : std::uint8_t
{
    open,      ///< Not ended when the run ended.
    done,      ///< Ended with all results.
    cancelled, ///< Ended by a cancellation after some task had run.
    refused,   ///< Answered as not run.
    unknown,   ///< It cannot be known whether it ran.
    lost       ///< Accepted, and no instance knew it when the run ended.
};

/// A job of the run.
struct load_job
{
    std::size_t stream = 0; ///< Index in the plan.
    std::uint64_t number = 0;
    job_id id;
    std::string request;
    std::string payload;
    std::string first_instance; ///< Where it was submitted first.
    job_fate fate = job_fate::open;
    bool accepted = false; ///< An instance has confirmed that it keeps the job.
    bool answered = false; ///< A whole answer has arrived.
    std::optional<wire::job_verdict> verdict; ///< Of the last answer.
    std::vector<wire::task_result> results;
    std::uint32_t refusals = 0;
    std::uint32_t unknown_outcomes = 0; ///< Submissions without a whole answer.
    std::string reason;                 ///< Of the last refusal or failure.
    boot_time submitted{};
    boot_time ended{};
};

/// Why the answer to \p job is not the whole answer to its own request; empty when it is,
/// or when there is none to check.
std::string answer_fault(const load_stream& stream, const load_job& job);

/// One run. A request with an unknown outcome is asked for by id; it is sent again only
/// under the same id and only where a second run is impossible or harmless.
class load_run
{
public:
    struct options
    {
        load_plan plan;
        std::vector<std::string> instances; ///< "IP:PORT"; not empty.
        std::string name;                   ///< Begins every request id.
    };

    load_run(event_loop& loop, load_transport& transport, options what);
    ~load_run();

    /// \p done runs once when all jobs have ended or the drain time has passed.
    void start(std::function<void()> done);
    const load_plan& plan() const;
    const std::vector<load_job>& jobs() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
