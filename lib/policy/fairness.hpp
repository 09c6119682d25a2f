/// \file
/// Order in which rows with waiting tasks are served.
#ifndef HAWTHORNBEAM_POLICY_FAIRNESS_HPP
#define HAWTHORNBEAM_POLICY_FAIRNESS_HPP

#include "state.hpp"

namespace hawthornbeam::policy
{

/// A row that may still start tasks in this round.
struct open_row
{
    index row = none;
    index cursor = none; ///< Unit to try next.
    std::uint32_t failures = 0;
    bool under_guarantee = false;
    std::uint8_t urgency_class = 0;
    double key = 0; ///< Share by guarantee when under it, else by weight.
};

/// Rows under their guarantee come first, the one with the smallest part of it first.
/// Then urgency classes are strict. Within a class the partner with the smallest weighted
/// dominant share of that class comes first, and within the partner its row with the
/// smallest weighted dominant share.
class row_order
{
public:
    explicit row_order(state& all);

    /// The row to serve next, or nullptr when none is left.
    open_row* next();
    void close(open_row* row);
    /// To be called when the usage of \p row has changed.
    void update(open_row* row);

private:
    double& partner_key(index partner, std::uint8_t urgency_class);
    void update_partner(index partner, std::uint8_t urgency_class);
    bool before(const open_row& a, const open_row& b);

    state& all_;
    resources total_;
    std::vector<open_row> open_;
    std::vector<double> partner_keys_;
};

} // namespace hawthornbeam::policy

#endif
