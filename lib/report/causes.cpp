/// \file
/// Rules that suggest why a row burns its error budget.
#include "slots.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// Thresholds, as fractions. Values below them (for the share: a smaller deficit) occur
/// in normal operation and explain no alarm. Free capacity counts as exhausted below
/// min_free.
constexpr double min_kv_failures = 0.05;
constexpr double min_bad_workers = 0.1;
constexpr double min_failed_tasks = 0.2;
constexpr double min_share_deficit = 0.05;
constexpr double min_free = 0.05;
constexpr double min_refused = 0.005;

/// How strongly the metrics support a cause (0 to 1), and the metric values.
struct cause_score
{
    double strength = 0;
    std::string evidence;
};

double refused_fraction(const row_counts& counts, double refused)
{
    const double offered =
        static_cast<double>(counts.starts) + static_cast<double>(counts.refusals());
    return offered > 0 ? refused / offered : 0;
}

std::optional<cause_score> score_kv(const cause_input& input)
{
    const double refusals = input.counts.refusals();
    const double by_kv = input.counts.refused[reason_kv_unavailable];
    const double of_refusals =
        input.kind == objective_kind::refused && refusals > 0 ? by_kv / refusals : 0;
    const double unreachable = 1 - input.kv_reachable;
    const double strength =
        std::max({of_refusals, unreachable, input.kv_failed_fraction});
    if (strength < min_kv_failures)
        return std::nullopt;
    return cause_score{
        strength,
        fmt::format("unreachable in {:.1f}% of the samples, {:.1f}% of its "
                    "calls failed, {:.0f} of {:.0f} refusals name it",
                    100 * unreachable, 100 * input.kv_failed_fraction, by_kv, refusals)};
}

std::optional<cause_score> score_workers(const cause_input& input)
{
    double all = 0;
    for (const double count : input.workers)
        all += count;
    const double bad = all > 0 ? (input.workers[2] + input.workers[3]) / all : 0;
    double ended = 0;
    for (const float count : input.counts.ended)
        ended += static_cast<double>(count);
    const double failed =
        ended > 0 ? static_cast<double>(input.counts.ended[outcome_failed]) / ended : 0;
    if (bad < min_bad_workers && failed < min_failed_tasks)
        return std::nullopt;
    return cause_score{
        std::max(bad, failed),
        fmt::format("{:.0f} of {:.0f} workers in quarantine, {:.0f} without "
                    "lease, {:.1f}% of the row's tasks failed",
                    input.workers[2], all, input.workers[3], 100 * failed)};
}

std::optional<cause_score> score_share(const cause_input& input)
{
    if (input.guaranteed <= 0)
        return std::nullopt;
    const double deficit = 1 - input.share / input.guaranteed;
    if (deficit < min_share_deficit)
        return std::nullopt;
    return cause_score{deficit,
                       fmt::format("had {:.1f}% of the capacity while tasks waited, "
                                   "its guarantee is {:.1f}%",
                                   100 * input.share, 100 * input.guaranteed)};
}

std::optional<cause_score> score_capacity(const cause_input& input)
{
    const bool has_guarantee = input.share >= input.guaranteed * (1 - min_share_deficit);
    if (!has_guarantee || input.free >= min_free)
        return std::nullopt;
    return cause_score{0.5 + 0.5 * (1 - input.free / min_free),
                       fmt::format("{:.1f}% of the capacity is free, and the row has its "
                                   "guarantee of {:.1f}%",
                                   100 * input.free, 100 * input.guaranteed)};
}

/// Evaluates refusals by the row's own limits. They are often only a symptom of another
/// cause, so their strength is halved.
std::optional<cause_score> score_limits(const cause_input& input)
{
    std::size_t top_reason = 0;
    for (std::size_t i = 0; i < reason_impossible; ++i)
        if (input.counts.refused[i] > input.counts.refused[top_reason])
            top_reason = i;
    const double fraction =
        refused_fraction(input.counts, input.counts.refused[top_reason]);
    if (fraction < min_refused)
        return std::nullopt;
    return cause_score{0.5 * fraction,
                       fmt::format("{:.1f}% of the offered tasks refused with {}",
                                   100 * fraction, refusal_reasons[top_reason])};
}

struct cause_rule
{
    const char* name;
    std::optional<cause_score> (*evaluate)(const cause_input&);
    const char* advice;
};

constexpr std::array<cause_rule, 5> rules{
    {{"key-value service", score_kv,
      "check the service and the network to it; durable jobs are refused until it "
      "answers"},
     {"bad workers", score_workers,
      "list the workers, drain those that fail, and look at what the row's tasks report"},
     {"share", score_share,
      "look for rows above their guarantee that are slow to give way, and check the "
      "guarantees in the table"},
     {"capacity", score_capacity,
      "add workers, raise the row's guarantee, or lower the demand of the row"},
     {"refusals", score_limits,
      "compare the row's queue length, rate and limits with what its callers send"}}};

} // namespace

std::vector<likely_cause> find_causes(const cause_input& input)
{
    std::vector<std::pair<double, likely_cause>> found;
    for (const cause_rule& rule : rules)
    {
        const std::optional<cause_score> score = rule.evaluate(input);
        if (score)
            found.emplace_back(score->strength,
                               likely_cause{rule.name, score->evidence, rule.advice});
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const std::pair<double, likely_cause>& a,
                        const std::pair<double, likely_cause>& b)
                     { return a.first > b.first; });
    std::vector<likely_cause> causes;
    for (std::pair<double, likely_cause>& entry : found)
        causes.push_back(std::move(entry.second));
    return causes;
}

} // namespace hawthornbeam
