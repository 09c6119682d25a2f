/// \file
/// Summary of a load run as text and as JSON, and the observer that samples the cluster
/// during the run.
#ifndef HAWTHORNBEAM_LOAD_ACCOUNT_HPP
#define HAWTHORNBEAM_LOAD_ACCOUNT_HPP

#include "hawthornbeam/load/run.hpp"

#include <map>

namespace hawthornbeam
{

/// Cluster measurements taken during a run by load_observer.
struct load_observations
{
    struct row
    {
        double promised =
            0; ///< Guaranteed fraction of the cluster, from the last sample.
        double share_sum = 0; ///< Sum over the samples of the fraction in use.
        /// Quantiles of the time from acceptance to start, over all tasks since the
        /// instances started; negative when no task was measured.
        double wait_p50_seconds = -1;
        double wait_p99_seconds = -1;
    };
    std::map<std::string, row> rows;   ///< Keyed by "partner/kind".
    std::uint64_t share_samples = 0;   ///< Number of samples added to `share_sum`.
    std::uint64_t packing_samples = 0; ///< Number of samples in the two sums below.
    double used_of_all = 0; ///< Fraction of all cores in use, summed over the samples.
    double used_of_occupied = 0; ///< Same, for the cores of workers that run tasks.
    /// Requests to the simulated platform during the run; see `platform`.
    struct traffic
    {
        std::uint64_t calls = 0;
        std::uint64_t bytes = 0;
    };
    std::map<std::string, traffic> platform; ///< Keyed by endpoint.
};

/// Samples the cluster once a second and collects the totals at the end of the run.
class load_observer
{
public:
    /// \p control is the "IP:PORT" of the control port of the simulated platform; empty
    /// when there is none.
    load_observer(event_loop& loop, load_transport& transport,
                  std::vector<std::string> instances, std::string control);
    ~load_observer();

    void start();
    /// Stops sampling, collects the totals, then runs \p done once.
    void finish(std::function<void()> done);
    const load_observations& seen() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// The counts that decide whether a run succeeded.
struct load_verdict
{
    std::uint64_t wrong_answers =
        0;                  ///< Replies that are incomplete or belong to another request.
    std::uint64_t lost = 0; ///< Accepted jobs that no instance could find later.
    std::uint64_t open = 0; ///< Jobs still unfinished when the run ended.
};

load_verdict judge(const load_run& run);

/// Summary as a text table.
std::string account_text(const load_run& run, const load_observations& observations);
/// Summary as one JSON object.
std::string account_json(const load_run& run, const load_observations& observations);
/// One JSON line per job: the request, the last reply (the verdict is null when none
/// arrived), the fate, and the times of the first submission and of the end in seconds of
/// the boot clock.
std::string job_record_lines(const load_run& run);

} // namespace hawthornbeam

#endif
