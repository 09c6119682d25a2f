/// \file
/// Sums of the recorded metrics in slots of five minutes.
#ifndef HAWTHORNBEAM_LIB_REPORT_SLOTS_HPP
#define HAWTHORNBEAM_LIB_REPORT_SLOTS_HPP

#include "hawthornbeam/metrics/metrics.hpp"
#include "hawthornbeam/report/burn.hpp"

#include <map>
#include <set>

namespace hawthornbeam
{

/// Length of a slot: the shortest window.
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

/// Counts of one row; single precision halves the memory of a month and keeps counts up
/// to 16 million a slot exact.
struct row_counts
{
    float starts = 0;
    float late = 0; ///< Starts after the waiting time limit.
    std::array<float, refusal_reasons.size()> refused{};
    std::array<float, task_outcomes.size()> ended{};

    /// Refusals that count against the objective. Impossible work is the caller's fault.
    float refusals() const;
    void add(const row_counts& other, float factor);
};

/// What a slot holds of one row.
struct row_slot
{
    row_counts counts;
    float share = 0;      ///< Sum over samples; every instance knows the whole cluster.
    float guaranteed = 0; ///< Largest of the samples; every instance reports the same.
    float waiting = 0;    ///< Sum over samples; every instance counts its own queues.
};

/// All sums of five minutes. What every instance knows of the whole cluster is averaged
/// over the samples; what each counts of its own workers is also multiplied by the
/// instances, which gives the sum over instances of their means.
struct slot
{
    std::vector<row_slot> rows;
    float samples = 0;
    float instances = 0;
    float free = 0;       ///< Free fraction times the workers of the instance.
    float free_basis = 0; ///< Workers of the instances that wrote a free fraction.
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

/// Counters of an instance as of its last sample.
struct instance_totals
{
    wall_time time{};
    std::int64_t last_slot = -1;
    std::vector<row_counts> rows;
    float kv_answered = 0;
    float kv_failed = 0;
};

/// Turns the samples of all instances into slots.
class slot_builder
{
public:
    explicit slot_builder(const service_objectives& objectives);

    result<bool> add(const metrics_sample& sample);

    const slot_map& slots() const { return slots_; }
    const std::set<row_id>& rows_seen() const { return rows_seen_; }
    std::size_t instances() const { return instances_.size(); }
    std::size_t samples() const { return samples_; }
    wall_time begin() const { return begin_; }
    wall_time end() const { return end_; }

private:
    slot& slot_at(std::int64_t index);
    void add_gauges(const metrics_registry& metrics, slot& target) const;
    void spread(const instance_totals& step, wall_time from, wall_time to);

    const service_objectives& objectives_;
    slot_map slots_;
    std::map<instance_id, instance_totals> instances_;
    std::set<row_id> rows_seen_;
    std::size_t samples_ = 0;
    wall_time begin_ = wall_time::max();
    wall_time end_ = wall_time::min();
};

/// Means and sums over a window that the search for causes looks at.
struct cause_input
{
    objective_kind kind = objective_kind::wait;
    row_counts counts;
    double share = 0; ///< Mean over slots in which the row had waiting work.
    double guaranteed = 0;
    double free = 0;
    double kv_reachable = 1;
    double kv_failed_fraction = 0;
    std::array<double, worker_states.size()> workers{};
};

/// Sums up row \p row from \p from to the end of \p slots.
cause_input summarize(const slot_map& slots, std::size_t row, objective_kind kind,
                      wall_time from);

/// The causes that the figures suggest, most likely first.
std::vector<likely_cause> find_causes(const cause_input& input);

} // namespace hawthornbeam

#endif
