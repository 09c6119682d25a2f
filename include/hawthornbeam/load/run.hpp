/// \file
/// Load run: submits the jobs of a load plan and tracks each until it ends.
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

/// A complete HTTP response.
struct load_reply
{
    unsigned status = 0;
    std::string body;
};

/// Sends HTTP requests without blocking. Tests inject a fake.
class load_transport
{
public:
    using callback = std::function<void(result<load_reply>)>;

    virtual ~load_transport() = default;
    /// Each request is sent at most once. Fails with unavailable when it was not sent and
    /// with outcome_unknown when it was sent but no complete response arrived. \p done
    /// runs exactly once on the loop, never inside send().
    virtual void send(load_request request, callback done) = 0;
};

/// Creates a transport over libsoup with at most \p max_open connections to each
/// instance.
std::unique_ptr<load_transport> make_load_transport(event_loop& loop, const logger& log,
                                                    std::uint32_t max_open);

/// Final state of a job, as far as the run could determine it.
enum class job_fate : std::uint8_t
{
    open,      ///< Still unfinished when the run ended.
    done,      ///< Ended, with the results of all tasks.
    cancelled, ///< Cancelled after at least one task had run.
    refused,   ///< Rejected; no task ran.
    unknown,   ///< Whether it ran cannot be determined.
    lost       ///< Accepted, but no instance could find it when the run ended.
};

/// State and history of one job of the run.
struct load_job
{
    std::size_t stream = 0;   ///< Index of the stream in the plan.
    std::uint64_t number = 0; ///< Index of the job in its stream.
    job_id id;
    std::string request;
    std::string payload;
    std::string first_instance; ///< Address of the instance of the first submission.
    job_fate fate = job_fate::open;
    bool accepted = false; ///< An instance has confirmed that it stores the job.
    bool answered = false; ///< A complete reply has arrived.
    std::optional<wire::job_verdict> verdict; ///< From the last reply.
    std::vector<wire::task_result> results;
    std::uint32_t refusals = 0;
    std::uint32_t unknown_outcomes = 0; ///< Submissions without a complete reply.
    std::string reason;                 ///< Text of the last refusal or failure.
    boot_time submitted{};              ///< Time of the first submission.
    boot_time ended{};
};

/// Describes why the reply to \p job is incomplete or belongs to another request; empty
/// when the reply is correct or the job is not done.
std::string answer_fault(const load_stream& stream, const load_job& job);

/// Executes one load plan. After an unknown outcome the job is queried by id. It is
/// resubmitted only under the same id, and only if a second execution is impossible or
/// harmless.
class load_run
{
public:
    struct options
    {
        load_plan plan;
        std::vector<std::string> instances; ///< "IP:PORT"; not empty.
        std::string name;                   ///< Prefix of every request id.
    };

    load_run(event_loop& loop, load_transport& transport, options settings);
    ~load_run();

    /// Starts the run; \p done runs once, when all jobs have ended or the drain time has
    /// passed.
    void start(std::function<void()> done);
    const load_plan& plan() const;
    const std::vector<load_job>& jobs() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
