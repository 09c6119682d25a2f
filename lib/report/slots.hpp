/// \file
/// Aggregates recorded metrics into slots of five minutes and derives likely causes.
#ifndef HAWTHORNBEAM_LIB_REPORT_SLOTS_HPP
#define HAWTHORNBEAM_LIB_REPORT_SLOTS_HPP

#include "hawthornbeam/metrics/metrics.hpp"
#include "hawthornbeam/report/burn.hpp"

#include <map>
#include <set>

namespace hawthornbeam
{

/// Length of a slot, equal to the shortest alarm window.
inline constexpr std::chrono::milliseconds slot_length = std::chrono::minutes(5);

inline constexpr std::array<const char*, 5> task_outcomes{"done", "failed", "not_run",
                                                          "unknown", "cancelled"};
inline constexpr std::size_t outcome_failed = 1;
inline constexpr std::array<const char*, 5> refusal_reasons{
    "queue_full", "deadline", "limit", "impossible", "kv_unavailable"};
inline constexpr std::size_t reason_impossible = 3;
inline constexpr std::size_t reason_kv_unavailable = 4;
inline constexpr std::array<const char*, 4> worker_states{"schedulable", "leaving",
                                                          "quarantined", "lease_lost"};

/// Event counts of one row. Single precision halves the memory for a month of slots and
/// represents counts up to 16 million in a slot exactly.
struct row_counts
{
    float starts = 0;
    float late = 0; ///< Starts that waited longer than the limit.
    std::array<float, refusal_reasons.size()> refused{};
    std::array<float, task_outcomes.size()> ended{};

    /// Returns the refusals that count against the objective. Refusals of impossible work
    /// do not count, because the caller is at fault.
    float refusals() const;
    void add(const row_counts& other, float factor);
};

/// Metrics of one row in one slot.
struct row_slot
{
    row_counts counts;
    float share = 0;      ///< Sum over samples, each a value for the whole cluster.
    float guaranteed = 0; ///< Maximum of the samples; all instances report the same.
    float waiting = 0;    ///< Sum over samples, each for the instance's own queues.
};

/// Sums over the samples of one slot. A metric that each instance reports for the whole
/// cluster is averaged over the samples by mean(). A metric that each instance reports
/// for its own workers is also multiplied by the number of instances by mean_sum(), which
/// gives the sum of the means of the instances.
struct slot
{
    std::vector<row_slot> rows;
    float samples = 0;
    float instances = 0;
    float free = 0;       ///< Sum of free fraction times workers of the instance.
    float free_basis = 0; ///< Sum of workers where a free fraction was reported.
    float kv_reachable = 0;
    float kv_answered = 0;
    float kv_failed = 0;
    std::array<float, worker_states.size()> workers{};

    float mean(float sum) const { return samples > 0 ? sum / samples : 0; }
    float free_fraction() const { return free_basis > 0 ? free / free_basis : 1; }
    float mean_sum(float sum) const
    {
        return samples > 0 ? sum * instances / samples : 0;
    }
};

using slot_map = std::map<std::int64_t, slot>;

/// Counter values of an instance at its last sample, or their increase between two.
struct instance_totals
{
    wall_time time{};
    std::int64_t last_slot = -1;
    std::vector<row_counts> rows;
    float kv_answered = 0;
    float kv_failed = 0;
};

/// Aggregates the samples of all instances into slots.
class slot_builder
{
public:
    explicit slot_builder(const service_objectives& objectives);

    result<bool> add(const metrics_sample& sample);

    const slot_map& slots() const { return slots_; }
    const std::set<row_id>& observed_rows() const { return observed_rows_; }
    std::size_t instances() const { return instances_.size(); }
    std::size_t samples() const { return samples_; }
    wall_time begin() const { return begin_; }
    wall_time end() const { return end_; }

private:
    slot& slot_at(std::int64_t index);
    void add_gauges(const metrics_registry& metrics, slot& target) const;
    void distribute(const instance_totals& step, wall_time from, wall_time to);

    const service_objectives& objectives_;
    slot_map slots_;
    std::map<instance_id, instance_totals> instances_;
    std::set<row_id> observed_rows_;
    std::size_t samples_ = 0;
    wall_time begin_ = wall_time::max();
    wall_time end_ = wall_time::min();
};

/// Means and sums over an alarm window, from which find_causes() derives likely causes.
struct cause_input
{
    objective_kind kind = objective_kind::wait;
    row_counts counts;
    double share = 0; ///< Mean over the slots in which the row had waiting work.
    double guaranteed = 0;
    double free = 0;
    double kv_reachable = 1;
    double kv_failed_fraction = 0;
    std::array<double, worker_states.size()> workers{};
};

/// Summarizes the slots from time \p from on for the row with index \p row.
cause_input summarize(const slot_map& slots, std::size_t row, objective_kind kind,
                      wall_time from);

/// Returns the causes that the metrics support, most likely first.
std::vector<likely_cause> find_causes(const cause_input& input);

} // namespace hawthornbeam

#endif
