/// \file
/// Routes the requests of callers to the instances that own the jobs.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_ROUTER_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_ROUTER_HPP

#include "lib/instance/context.hpp"

#include <map>

namespace hawthornbeam
{

/// Finds the owner of a job and retries a request while the ownership changes. Retries of
/// idempotent or queued jobs are safe, because an owner recognizes a job by its id and
/// knows from the journal and the workers which tasks have been started. A synchronous
/// request that is not idempotent is never retried once an owner may have accepted it;
/// the router queries its outcome instead.
class router
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    explicit router(context& shared);

    void submit(wire::job_spec job, callback<wire::job_status> done);
    void query(const wire::job_query& request, callback<wire::job_status> done);
    void list(const wire::job_list_request& selector,
              callback<std::vector<wire::job_status>> done);
    void cancel(const wire::cancel_request& selector, callback<wire::cancel_reply> done);
    void statuses(const wire::status_request& request,
                  callback<std::vector<wire::status_reply>> done);
    void drain(const wire::drain_request& message, callback<bool> done);
    /// Number of submissions without a final reply.
    std::size_t open_submissions() const { return open_submissions_; }

private:
    struct submission;
    using reply_handler = std::function<void(const instance_id&, result<wire::reply>)>;

    void try_submit(const std::shared_ptr<submission>& attempt);
    void handle_submit_reply(const std::shared_ptr<submission>& attempt,
                             result<wire::reply> answer);
    void retry_submit(const std::shared_ptr<submission>& attempt, const error& cause);
    void record_uncertain(submission& attempt);
    /// Queries the outcome of a submission that must not be retried.
    void query_outcome(const std::shared_ptr<submission>& attempt);
    void handle_outcome_reply(const std::shared_ptr<submission>& attempt,
                              const result<wire::job_status>& found);
    void finish_submit(const std::shared_ptr<submission>& attempt,
                       result<wire::job_status> outcome);
    void try_query(const wire::job_query& request, boot_time retry_deadline,
                   callback<wire::job_status> done);
    /// Calls all members. \p each runs for each reply, and \p finally once after the
    /// last.
    void call_all(const wire::request& message, const reply_handler& each,
                  const std::function<void()>& finally);
    void run_after(duration delay, std::function<void()> action);

    context& shared_;
    std::size_t open_submissions_ = 0;
    std::map<std::uint64_t, timer_handle> timers_;
    std::uint64_t next_timer_ = 0;
};

} // namespace hawthornbeam

#endif
