/// \file
/// Limits the retries of a row to a fraction of its first attempts.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_RETRY_BUDGET_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_RETRY_BUDGET_HPP

#include "hawthornbeam/support/ids.hpp"

#include <algorithm>
#include <map>

namespace hawthornbeam
{

/// A token bucket for each row: a first attempt adds a tenth of a token, a retry consumes
/// one. The limit prevents retries from amplifying the load of mass failures.
class retry_budget
{
public:
    void record_first_attempt(const row_id& row)
    {
        double& tokens = tokens_.try_emplace(row, initial_tokens).first->second;
        tokens = std::min(tokens + tokens_per_first_attempt, max_tokens);
    }
    /// Consumes a token and returns true if a retry of \p row is allowed.
    bool try_consume(const row_id& row)
    {
        double& tokens = tokens_.try_emplace(row, initial_tokens).first->second;
        if (tokens < 1.0)
            return false;
        tokens -= 1.0;
        return true;
    }

private:
    static constexpr double initial_tokens = 10.0;
    static constexpr double tokens_per_first_attempt = 0.1;
    static constexpr double max_tokens = 1000.0;

    std::map<row_id, double> tokens_;
};

} // namespace hawthornbeam

#endif
