#include "hawthornbeam/metrics/metrics.hpp"

#include "snapshot.hpp"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cassert>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <map>

namespace hawthornbeam
{

namespace
{

namespace bh = boost::histogram;

/// Label combinations per metric name. 83 teams with several kinds of work and five
/// outcomes need about 2,000. With the limit, labels that by mistake have unbounded
/// values use less than 10 MB per name.
constexpr std::size_t max_label_sets = 4096;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 1e3;
/// With 20 bins per decade, adjacent edges differ by 12%. The Prometheus output has only
/// every fourth edge, because each scrape contains every bucket of every label set.
constexpr int bins_per_bucket = 4;
static_assert(histogram_bins % bins_per_bucket == 0);
/// Relative rounding error of the bin edges, which are computed as exponentials.
constexpr double edge_tolerance = 1e-9;

using axis_type =
    bh::axis::regular<double, bh::axis::transform::log, bh::axis::null_type>;
using histogram_type =
    bh::histogram<std::tuple<axis_type>, bh::dense_storage<std::uint64_t>>;

histogram_type make_time_histogram()
{
    return bh::make_histogram_with(
        bh::dense_storage<std::uint64_t>(),
        axis_type(bh::axis::transform::log(), histogram_bins, min_seconds, max_seconds));
}

const axis_type& time_axis()
{
    static const axis_type axis(bh::axis::transform::log(), histogram_bins, min_seconds,
                                max_seconds);
    return axis;
}

/// Histogram of one label set.
struct time_series
{
    histogram_type bins = make_time_histogram();
    double sum_seconds = 0;

    std::uint64_t total() const
    {
        std::uint64_t all = 0;
        for (int i = -1; i <= histogram_bins; ++i)
            all += bins.at(i);
        return all;
    }
};

struct family
{
    metric_kind kind = metric_kind::counter;
    std::map<metric_labels, double> values;
    std::map<metric_labels, time_series> histograms;

    std::size_t size() const { return values.size() + histograms.size(); }
    bool contains(const metric_labels& labels) const
    {
        return values.contains(labels) || histograms.contains(labels);
    }
};

const char* type_name(metric_kind kind)
{
    if (kind == metric_kind::histogram)
        return "histogram";
    return kind == metric_kind::gauge ? "gauge" : "counter";
}

std::string escape(std::string_view text, bool quotes)
{
    std::string escaped;
    for (const char c : text)
    {
        if (c == '\n')
        {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || (quotes && c == '"'))
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

/// Formats labels as "a=\"x\",b=\"y\"", without braces.
std::string label_text(const metric_labels& labels)
{
    std::string text;
    for (const std::pair<std::string, std::string>& label : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.first,
                            escape(label.second, true));
    return text;
}

std::string number_text(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    return fmt::to_string(value);
}

const std::vector<std::string>& bucket_edges()
{
    static const std::vector<std::string> edges = []
    {
        std::vector<std::string> texts;
        for (int i = 0; i <= histogram_bins; i += bins_per_bucket)
            texts.push_back(fmt::format("{:.4g}", time_axis().value(i)));
        return texts;
    }();
    return edges;
}

void write_histogram(std::string& text, const std::string& name,
                     const metric_labels& labels, const time_series& series)
{
    const std::string inner = label_text(labels);
    const std::string prefix =
        fmt::format("{}_bucket{{{}{}le=\"", name, inner, inner.empty() ? "" : ",");
    std::uint64_t below = series.bins.at(-1);
    for (int edge = 0; edge <= histogram_bins; ++edge)
    {
        if (edge > 0)
            below += series.bins.at(edge - 1);
        if (edge % bins_per_bucket == 0)
            fmt::format_to(
                std::back_inserter(text), "{}{}\"}} {}\n", prefix,
                bucket_edges()[static_cast<std::size_t>(edge / bins_per_bucket)], below);
    }
    const std::uint64_t all = below + series.bins.at(histogram_bins);
    const std::string braces = inner.empty() ? "" : "{" + inner + "}";
    fmt::format_to(std::back_inserter(text),
                   "{}+Inf\"}} {}\n{}_sum{} {}\n{}_count{} {}\n", prefix, all, name,
                   braces, number_text(series.sum_seconds), name, braces, all);
}

duration seconds_to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

class metrics_registry::implementation
{
public:
    /// Returns the family of \p name, which is created when absent. A name must not be
    /// used for two kinds.
    family& find_or_create(std::string_view name, metric_kind kind)
    {
        assert(is_metric_name(name) && "a metric name has letters, digits, '_' and ':'");
        std::map<std::string, family, std::less<>>::iterator found = families.find(name);
        if (found == families.end())
        {
            found = families.emplace(std::string(name), family{}).first;
            found->second.kind = kind;
        }
        assert(found->second.kind == kind && "a metric name has one kind");
        return found->second;
    }

    /// Returns \p labels, or the same labels with the values "other" when \p metric has
    /// reached max_label_sets.
    static metric_labels limit_label_sets(const family& metric, metric_labels labels)
    {
        if (metric.contains(labels) || metric.size() < max_label_sets)
            return labels;
        for (std::pair<std::string, std::string>& label : labels)
            label.second = "other";
        return labels;
    }

    const family* find(std::string_view name) const
    {
        const std::map<std::string, family, std::less<>>::const_iterator found =
            families.find(name);
        return found == families.end() ? nullptr : &found->second;
    }

    const time_series* find_histogram(std::string_view name,
                                      const metric_labels& labels) const
    {
        const family* metric = find(name);
        if (metric == nullptr)
            return nullptr;
        const std::map<metric_labels, time_series>::const_iterator found =
            metric->histograms.find(labels);
        return found == metric->histograms.end() ? nullptr : &found->second;
    }

    /// Adds one series of a snapshot.
    void add(const snapshot_series& series)
    {
        family& target = find_or_create(series.name, series.kind);
        const metric_labels labels = limit_label_sets(target, series.labels);
        if (series.kind != metric_kind::histogram)
        {
            target.values[labels] += series.value;
            return;
        }
        time_series& times = target.histograms[labels];
        times.sum_seconds += series.value;
        for (const std::pair<int, std::uint64_t>& bin : series.bins)
            times.bins.at(bin.first) += bin.second;
    }

    std::map<std::string, family, std::less<>> families;
    std::map<std::string, std::string, std::less<>> help;
};

metrics_registry::metrics_registry() : implementation_(std::make_unique<implementation>())
{
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::add(std::string_view name, const metric_labels& labels,
                           double amount)
{
    assert(amount >= 0 && std::isfinite(amount) && "a counter only rises");
    family& target = implementation_->find_or_create(name, metric_kind::counter);
    target.values[implementation::limit_label_sets(target, labels)] += amount;
}

void metrics_registry::set_gauge(std::string_view name, const metric_labels& labels,
                                 double value)
{
    family& target = implementation_->find_or_create(name, metric_kind::gauge);
    target.values[implementation::limit_label_sets(target, labels)] = value;
}

void metrics_registry::observe(std::string_view name, const metric_labels& labels,
                               duration value)
{
    family& target = implementation_->find_or_create(name, metric_kind::histogram);
    time_series& series =
        target.histograms[implementation::limit_label_sets(target, labels)];
    const double seconds = std::max(0.0, to_seconds(value));
    series.bins(seconds);
    series.sum_seconds += seconds;
}

void metrics_registry::describe(std::string_view name, std::string_view help)
{
    implementation_->help[std::string(name)] = help;
}

double metrics_registry::counter(std::string_view name, const metric_labels& labels) const
{
    const family* metric = implementation_->find(name);
    if (metric == nullptr)
        return 0;
    const std::map<metric_labels, double>::const_iterator found =
        metric->values.find(labels);
    return found == metric->values.end() ? 0 : found->second;
}

double metrics_registry::gauge(std::string_view name, const metric_labels& labels) const
{
    // Counters and gauges are stored in the same map.
    return counter(name, labels);
}

std::uint64_t metrics_registry::observations(std::string_view name,
                                             const metric_labels& labels) const
{
    const time_series* series = implementation_->find_histogram(name, labels);
    return series == nullptr ? 0 : series->total();
}

duration metrics_registry::quantile(std::string_view name, const metric_labels& labels,
                                    double q) const
{
    const time_series* series = implementation_->find_histogram(name, labels);
    if (series == nullptr || series->total() == 0)
        return duration::zero();
    const double rank = std::clamp(q, 0.0, 1.0) * static_cast<double>(series->total());
    double below = 0;
    for (int i = -1; i < histogram_bins; ++i)
    {
        const double count = static_cast<double>(series->bins.at(i));
        if (count > 0 && below + count >= rank)
        {
            const double lower = i < 0 ? 0 : time_axis().value(i);
            const double upper = time_axis().value(i + 1);
            return seconds_to_duration(lower + (upper - lower) * (rank - below) / count);
        }
        below += count;
    }
    return seconds_to_duration(max_seconds);
}

double metrics_registry::fraction_above(std::string_view name,
                                        const metric_labels& labels, duration limit) const
{
    const time_series* series = implementation_->find_histogram(name, labels);
    if (series == nullptr || series->total() == 0)
        return 0;
    // The bin that contains the limit counts as above it, so that an objective is never
    // reported as met when it may have been missed.
    const double max_within_seconds = to_seconds(limit) * (1 + edge_tolerance);
    std::uint64_t within = 0;
    for (int i = -1; i < histogram_bins && time_axis().value(i + 1) <= max_within_seconds;
         ++i)
        within += series->bins.at(i);
    const std::uint64_t all = series->total();
    return static_cast<double>(all - within) / static_cast<double>(all);
}

std::string metrics_registry::prometheus_text() const
{
    std::string text;
    for (const std::pair<const std::string, family>& entry : implementation_->families)
    {
        const std::map<std::string, std::string, std::less<>>::const_iterator help =
            implementation_->help.find(entry.first);
        if (help != implementation_->help.end())
            text +=
                fmt::format("# HELP {} {}\n", entry.first, escape(help->second, false));
        text += fmt::format("# TYPE {} {}\n", entry.first, type_name(entry.second.kind));
        for (const std::pair<const metric_labels, double>& value : entry.second.values)
        {
            const std::string inner = label_text(value.first);
            text += fmt::format("{}{} {}\n", entry.first,
                                inner.empty() ? "" : "{" + inner + "}",
                                number_text(value.second));
        }
        for (const std::pair<const metric_labels, time_series>& series :
             entry.second.histograms)
            write_histogram(text, entry.first, series.first, series.second);
    }
    return text;
}

std::string metrics_registry::snapshot() const
{
    std::vector<snapshot_series> all;
    for (const std::pair<const std::string, family>& entry : implementation_->families)
    {
        // Gauges that are not finite cannot be summed and are omitted.
        for (const std::pair<const metric_labels, double>& value : entry.second.values)
            if (std::isfinite(value.second))
                all.push_back(
                    {entry.second.kind, entry.first, value.first, value.second, {}});
        for (const std::pair<const metric_labels, time_series>& times :
             entry.second.histograms)
        {
            snapshot_series series{entry.second.kind,
                                   entry.first,
                                   times.first,
                                   times.second.sum_seconds,
                                   {}};
            for (int i = -1; i <= histogram_bins; ++i)
                if (times.second.bins.at(i) > 0)
                    series.bins.emplace_back(i, times.second.bins.at(i));
            all.push_back(std::move(series));
        }
    }
    return write_snapshot(all);
}

result<bool> metrics_registry::merge(std::string_view snapshot_text)
{
    const result<std::vector<snapshot_series>> parsed = parse_snapshot(snapshot_text);
    if (!parsed)
        return parsed.error();
    const std::vector<snapshot_series>& all = parsed.value();
    std::map<std::string_view, metric_kind> kinds;
    for (const snapshot_series& series : all)
    {
        const family* existing = implementation_->find(series.name);
        const metric_kind kind =
            existing != nullptr ? existing->kind
                                : kinds.emplace(series.name, series.kind).first->second;
        if (kind != series.kind)
            return make_error(error_code::invalid_input,
                              fmt::format("metrics snapshot: {} is a {}, expected a {}",
                                          series.name, type_name(series.kind),
                                          type_name(kind)));
    }
    for (const snapshot_series& series : all)
        implementation_->add(series);
    return true;
}

std::vector<metric_labels> metrics_registry::label_sets(std::string_view name) const
{
    std::vector<metric_labels> sets;
    const family* metric = implementation_->find(name);
    if (metric == nullptr)
        return sets;
    for (const std::pair<const metric_labels, double>& value : metric->values)
        sets.push_back(value.first);
    for (const std::pair<const metric_labels, time_series>& series : metric->histograms)
        sets.push_back(series.first);
    return sets;
}

} // namespace hawthornbeam
