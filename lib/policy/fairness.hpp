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
    std::uint32_t held = 0; ///< Units with a hold that were passed over.
    bool under_guarantee = false;
    std::uint8_t urgency_class = 0;
    double key = 0;         ///< Share by guarantee when under it, else by weight.
    double partner_key = 0; ///< Weighted share of the partner when last looked at.
    index partner = none;
};

/// Rows under their guarantee come first, the one with the smallest part of it first.
/// Then urgency classes are strict. Within a class the partner with the smallest weighted
/// dominant share of that class comes first, and within the partner its row with the
/// smallest weighted dominant share. Usage only grows within a round, so a heap whose
/// entries are brought up to date when they reach its top gives the right order.
class row_order
{
public:
    explicit row_order(state& all);

    /// The row to serve next, or nullptr when none is left.
    open_row* next();
    /// Leaves out the row that next() returned.
    void close();
    /// To be called when the usage of the row that next() returned has grown.
    void update();

private:
    double& partner_key(index partner, std::uint8_t urgency_class);
    /// Computes the keys of \p open.
    void compute(open_row& open);
    static bool after(const open_row& a, const open_row& b);
    /// Moves the top to its place after its keys have grown.
    void sink_top();

    state& all_;
    resources total_;
    std::vector<open_row> open_;
    std::vector<double> partner_keys_;
};

} // namespace hawthornbeam::policy

#endif
