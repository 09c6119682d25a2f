/// \file
/// Aggregates the counters and gauges of samples into slots.
#include "slots.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// Counter increases over a longer gap cannot be attributed to a time, so the sample
/// after the gap only sets a new baseline.
constexpr std::chrono::milliseconds max_sample_gap = std::chrono::hours(24);
/// Samples further from the earliest one are rejected: their timestamp is faulty,
/// and the slots up to it would exhaust the memory.
constexpr std::chrono::milliseconds max_recording_length = std::chrono::hours(24 * 400);

constexpr std::array<std::string_view, 4> failed_calls{"unavailable", "outcome_unknown",
                                                       "deadline_exceeded", "internal"};

std::int64_t slot_index(wall_time time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time).time_since_epoch() /
           slot_length;
}

wall_time slot_begin(std::int64_t index)
{
    return wall_time(index * slot_length);
}

row_counts read_row(const metrics_registry& metrics, const row_objectives& row)
{
    row_counts counts;
    const std::pair<std::string, std::string> label{"row", row.row.value()};
    const double starts =
        static_cast<double>(metrics.observations("hawthornbeam_wait_seconds", {label}));
    counts.starts = static_cast<float>(starts);
    if (row.wait_limit)
        counts.late = static_cast<float>(
            std::round(starts * metrics.fraction_above("hawthornbeam_wait_seconds",
                                                       {label}, *row.wait_limit)));
    for (std::size_t i = 0; i < refusal_reasons.size(); ++i)
        counts.refused[i] = static_cast<float>(metrics.counter(
            "hawthornbeam_refusals_total", {label, {"reason", refusal_reasons[i]}}));
    for (std::size_t i = 0; i < task_outcomes.size(); ++i)
        counts.ended[i] = static_cast<float>(metrics.counter(
            "hawthornbeam_tasks_total", {label, {"outcome", task_outcomes[i]}}));
    return counts;
}

instance_totals read_totals(const metrics_registry& metrics,
                            const service_objectives& objectives)
{
    instance_totals totals;
    totals.rows.reserve(objectives.rows.size());
    for (const row_objectives& row : objectives.rows)
        totals.rows.push_back(read_row(metrics, row));
    constexpr const char* calls = "hawthornbeam_kv_calls_total";
    for (const metric_labels& labels : metrics.label_sets(calls))
    {
        const bool failed =
            std::any_of(labels.begin(), labels.end(),
                        [](const std::pair<std::string, std::string>& label)
                        {
                            return label.first == "outcome" &&
                                   std::find(failed_calls.begin(), failed_calls.end(),
                                             label.second) != failed_calls.end();
                        });
        (failed ? totals.kv_failed : totals.kv_answered) +=
            static_cast<float>(metrics.counter(calls, labels));
    }
    return totals;
}

/// Returns true if any counter decreased, which means that the process has restarted and
/// counts from zero.
bool has_restarted(const instance_totals& before, const instance_totals& now)
{
    if (now.kv_answered < before.kv_answered || now.kv_failed < before.kv_failed)
        return true;
    for (std::size_t i = 0; i < now.rows.size(); ++i)
    {
        const row_counts& a = before.rows[i];
        const row_counts& b = now.rows[i];
        bool fell = b.starts < a.starts || b.late < a.late;
        for (std::size_t k = 0; k < a.refused.size(); ++k)
            fell = fell || b.refused[k] < a.refused[k];
        for (std::size_t k = 0; k < a.ended.size(); ++k)
            fell = fell || b.ended[k] < a.ended[k];
        if (fell)
            return true;
    }
    return false;
}

instance_totals difference(const instance_totals& before, const instance_totals& now)
{
    instance_totals step = now;
    if (has_restarted(before, now))
        return step;
    step.kv_answered -= before.kv_answered;
    step.kv_failed -= before.kv_failed;
    for (std::size_t i = 0; i < step.rows.size(); ++i)
        step.rows[i].add(before.rows[i], -1);
    return step;
}

float gauge(const metrics_registry& metrics, const char* name,
            const metric_labels& labels)
{
    return static_cast<float>(metrics.gauge(name, labels));
}

} // namespace

float row_counts::refusals() const
{
    float sum = 0;
    for (std::size_t i = 0; i < refused.size(); ++i)
        if (i != reason_impossible)
            sum += refused[i];
    return sum;
}

void row_counts::add(const row_counts& other, float factor)
{
    starts += factor * other.starts;
    late += factor * other.late;
    for (std::size_t i = 0; i < refused.size(); ++i)
        refused[i] += factor * other.refused[i];
    for (std::size_t i = 0; i < ended.size(); ++i)
        ended[i] += factor * other.ended[i];
}

slot_builder::slot_builder(const service_objectives& objectives) : objectives_(objectives)
{
}

slot& slot_builder::slot_at(std::int64_t index)
{
    slot& found = slots_[index];
    if (found.rows.empty())
        found.rows.resize(objectives_.rows.size());
    return found;
}

result<bool> slot_builder::add(const metrics_sample& sample)
{
    metrics_registry metrics;
    BOOST_OUTCOME_TRY(metrics.merge(sample.snapshot));
    if (samples_ > 0 && (sample.time > begin_ + max_recording_length ||
                         sample.time < begin_ - max_recording_length))
        return make_error(error_code::invalid_input,
                          "the time is more than 400 days from the first sample");
    instance_totals& last = instances_[sample.instance];
    const bool is_first = last.rows.empty();
    if (!is_first && sample.time <= last.time)
        return make_error(error_code::invalid_input,
                          fmt::format("the time is not after the last sample of {}",
                                      sample.instance.value()));
    instance_totals now = read_totals(metrics, objectives_);
    now.time = sample.time;
    // A sample describes the time before it, so a sample exactly at a slot boundary
    // belongs to the slot that ends there.
    now.last_slot = slot_index(sample.time - std::chrono::milliseconds(1));
    if (!is_first && sample.time - last.time <= max_sample_gap)
        distribute(difference(last, now), last.time, sample.time);
    slot& target = slot_at(now.last_slot);
    if (is_first || last.last_slot != now.last_slot)
        target.instances += 1;
    add_gauges(metrics, target);
    for (const metric_labels& labels : metrics.label_sets("hawthornbeam_wait_seconds"))
        if (labels.size() == 1)
            observed_rows_.emplace(labels[0].second);
    last = std::move(now);
    ++samples_;
    begin_ = std::min(begin_, sample.time);
    end_ = std::max(end_, sample.time);
    return true;
}

void slot_builder::add_gauges(const metrics_registry& metrics, slot& target) const
{
    target.samples += 1;
    float own_workers = 0;
    for (std::size_t i = 0; i < worker_states.size(); ++i)
    {
        const float count =
            gauge(metrics, "hawthornbeam_workers", {{"state", worker_states[i]}});
        target.workers[i] += count;
        own_workers += count;
    }
    // A gauge that the instance does not report must not be read as 0, which would mean a
    // full cluster or an unreachable key-value service.
    constexpr const char* free = "hawthornbeam_capacity_free_fraction";
    if (!metrics.label_sets(free).empty())
    {
        target.free += own_workers * gauge(metrics, free, {});
        target.free_basis += own_workers;
    }
    constexpr const char* reachable = "hawthornbeam_kv_reachable";
    target.kv_reachable +=
        metrics.label_sets(reachable).empty() ? 1 : gauge(metrics, reachable, {});
    for (std::size_t i = 0; i < objectives_.rows.size(); ++i)
    {
        const metric_labels labels{{"row", objectives_.rows[i].row.value()}};
        row_slot& row = target.rows[i];
        row.share += gauge(metrics, "hawthornbeam_row_share", labels);
        row.waiting += gauge(metrics, "hawthornbeam_row_waiting", labels);
        row.guaranteed = std::max(row.guaranteed,
                                  gauge(metrics, "hawthornbeam_row_guaranteed", labels));
    }
}

void slot_builder::distribute(const instance_totals& step, wall_time from, wall_time to)
{
    const double whole = static_cast<double>((to - from).count());
    for (std::int64_t index = slot_index(from); index <= slot_index(to); ++index)
    {
        const wall_time begin = std::max(from, slot_begin(index));
        const wall_time end = std::min(to, slot_begin(index + 1));
        if (end <= begin)
            continue;
        const float part =
            static_cast<float>(static_cast<double>((end - begin).count()) / whole);
        slot& target = slot_at(index);
        target.kv_answered += part * step.kv_answered;
        target.kv_failed += part * step.kv_failed;
        for (std::size_t i = 0; i < step.rows.size(); ++i)
            target.rows[i].counts.add(step.rows[i], part);
    }
}

cause_input summarize(const slot_map& slots, std::size_t row, objective_kind kind,
                      wall_time from)
{
    cause_input input;
    input.kind = kind;
    double sampled_slots = 0;
    double contended_slots = 0;
    double answered = 0;
    double failed = 0;
    double reachable = 0;
    for (slot_map::const_iterator i = slots.lower_bound(slot_index(from));
         i != slots.end(); ++i)
    {
        const slot& current = i->second;
        const row_slot& current_row = current.rows[row];
        input.counts.add(current_row.counts, 1);
        answered += current.kv_answered;
        failed += current.kv_failed;
        if (current.samples == 0)
            continue;
        sampled_slots += 1;
        input.free += current.free_fraction();
        reachable += current.kv_reachable / current.samples;
        for (std::size_t k = 0; k < input.workers.size(); ++k)
            input.workers[k] += current.mean_sum(current.workers[k]);
        if (current_row.waiting == 0)
            continue;
        contended_slots += 1;
        input.share += current.mean(current_row.share);
        input.guaranteed += current_row.guaranteed;
    }
    const double slot_count = std::max(1.0, sampled_slots);
    input.free /= slot_count;
    input.kv_reachable = sampled_slots > 0 ? reachable / sampled_slots : 1;
    for (double& count : input.workers)
        count /= slot_count;
    input.share /= std::max(1.0, contended_slots);
    input.guaranteed /= std::max(1.0, contended_slots);
    input.kv_failed_fraction = failed / std::max(1.0, answered + failed);
    return input;
}

} // namespace hawthornbeam
