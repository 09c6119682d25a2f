/// \file
/// Bounds the retries of a row to a fraction of its first attempts.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_RETRY_BUDGET_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_RETRY_BUDGET_HPP

#include "hawthornbeam/support/ids.hpp"

#include <algorithm>
#include <map>

namespace hawthornbeam
{

/// Token buckets by row: each first attempt adds a tenth of a token, each retry takes
/// one. The bound keeps retries from multiplying a flood of failures.
class retry_budget
{
public:
    void record_first_attempt(const row_id& row)
    {
        double& tokens = tokens_.try_emplace(row, initial).first->second;
        tokens = std::min(tokens + earned, most);
    }
    /// True when a retry of \p row is allowed; it is then counted.
    bool take(const row_id& row)
    {
        double& tokens = tokens_.try_emplace(row, initial).first->second;
        if (tokens < 1.0)
            return false;
        tokens -= 1.0;
        return true;
    }

private:
    static constexpr double initial = 10.0;
    static constexpr double earned = 0.1;
    static constexpr double most = 1000.0;

    std::map<row_id, double> tokens_;
};

} // namespace hawthornbeam

#endif
