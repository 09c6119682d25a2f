/// \file
/// The account of a run of load, for people and as JSON.
#ifndef HAWTHORNBEAM_LOAD_ACCOUNT_HPP
#define HAWTHORNBEAM_LOAD_ACCOUNT_HPP

#include "hawthornbeam/load/run.hpp"

#include <map>

namespace hawthornbeam
{

/// What was seen of the cluster during a run; filled in by load_observer.
struct load_observations
{
    struct row
    {
        double promised = 0;  ///< Guaranteed fraction of the cluster, last sample.
        double share_sum = 0; ///< Sum over the samples of the fraction in use.
        /// Waiting time from acceptance to start, of all tasks since the instances
        /// started; negative when there is none.
        double wait_p50_seconds = -1;
        double wait_p99_seconds = -1;
    };
    std::map<std::string, row> rows;   ///< By "partner/kind".
    std::uint64_t share_samples = 0;   ///< Samples in `share_sum`.
    std::uint64_t packing_samples = 0; ///< Samples in the sums below.
    double used_of_all = 0;      ///< Cores in use of all cores, summed over samples.
    double used_of_occupied = 0; ///< The same of the workers that run something.
    /// Totals of the platform stand-in during the run, by endpoint.
    struct traffic
    {
        std::uint64_t calls = 0;
        std::uint64_t bytes = 0;
    };
    std::map<std::string, traffic> platform;
};

/// Collects observations once a second, and the totals at the end.
class load_observer
{
public:
    /// \p control is the "IP:PORT" of the stand-in's control port; empty for none.
    load_observer(event_loop& loop, load_transport& transport,
                  std::vector<std::string> instances, std::string control);
    ~load_observer();

    void start();
    /// Takes the last sample; \p done runs once.
    void finish(std::function<void()> done);
    const load_observations& seen() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// Counts of a run that decide whether it succeeded.
struct load_verdict
{
    std::uint64_t wrong_answers = 0; ///< Answers that are not the whole, own answer.
    std::uint64_t lost = 0;          ///< Accepted jobs that no instance knew any more.
    std::uint64_t open = 0;          ///< Jobs that had not ended when the run ended.
};

load_verdict judge(const load_run& run);

/// Readable text.
std::string account_text(const load_run& run, const load_observations& seen);
/// The same as one JSON object.
std::string account_json(const load_run& run, const load_observations& seen);
/// One JSON line for each job: what was asked, the last answer (verdict is null without
/// one), the fate, and the times of the first submission and of the end in seconds of the
/// boot clock.
std::string job_record_lines(const load_run& run);

} // namespace hawthornbeam

#endif
