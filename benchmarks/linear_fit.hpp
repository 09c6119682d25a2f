/// \file
/// Fits a least-squares line through measured points.
#ifndef HAWTHORNBEAM_BENCHMARKS_LINEAR_FIT_HPP
#define HAWTHORNBEAM_BENCHMARKS_LINEAR_FIT_HPP

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// The cost measured at one size.
struct measured_point
{
    double size = 0;
    double cost = 0;
};

/// The line cost = intercept + slope * size.
struct linear_fit
{
    double slope = 0;
    double intercept = 0;
    double residual =
        0; ///< Largest distance of a point from the line, same unit as cost.
};

inline linear_fit fit_line(const std::vector<measured_point>& points)
{
    const double count = static_cast<double>(points.size());
    double size_sum = 0;
    double cost_sum = 0;
    for (const measured_point& point : points)
    {
        size_sum += point.size;
        cost_sum += point.cost;
    }
    double covariance = 0;
    double variance = 0;
    for (const measured_point& point : points)
    {
        covariance += (point.size - size_sum / count) * (point.cost - cost_sum / count);
        variance += (point.size - size_sum / count) * (point.size - size_sum / count);
    }
    linear_fit line;
    line.slope = variance == 0 ? 0 : covariance / variance;
    line.intercept = (cost_sum - line.slope * size_sum) / count;
    for (const measured_point& point : points)
        line.residual =
            std::max(line.residual,
                     std::abs(line.intercept + line.slope * point.size - point.cost));
    return line;
}

/// Prints the points and the line as one row of the table in docs/CAPACITY.md.
inline linear_fit print_fit(const std::string& name,
                            const std::vector<measured_point>& points)
{
    std::string list;
    for (const measured_point& point : points)
        list +=
            fmt::format("{}{:g}:{:.4g}", list.empty() ? "" : " ", point.size, point.cost);
    const linear_fit line = fit_line(points);
    fmt::print("| {} | {} | {:.4g} | {:.4g} | {:.2g} |\n", name, list, line.slope,
               line.intercept, line.residual);
    return line;
}

} // namespace hawthornbeam

#endif
