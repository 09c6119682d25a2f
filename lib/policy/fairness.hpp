/// \file
/// Fair-share order in which rows with waiting tasks are served.
#ifndef HAWTHORNBEAM_POLICY_FAIRNESS_HPP
#define HAWTHORNBEAM_POLICY_FAIRNESS_HPP

#include "state.hpp"

namespace hawthornbeam::policy
{

/// A row that may still start tasks in this round.
struct open_row
{
    index row = none;
    index cursor = none;             ///< Unit to try next.
    std::uint32_t failed_units = 0;  ///< Units that could not be placed.
    std::uint32_t skipped_holds = 0; ///< Units with a hold that were skipped.
    bool under_guarantee = false;
    std::uint8_t urgency_class = 0;
    /// Share / guarantee while under the guarantee, otherwise share / weight.
    double key = 0;
    double partner_key = 0; ///< Weighted share of the partner when last updated.
    index partner = none;
};

/// Priority queue of rows. Rows under their guarantee come first, ordered by the used
/// fraction of the guarantee. The others follow in strict order of urgency class. Within
/// a class the partner with the smallest weighted dominant share of that class comes
/// first, and within the partner its row with the smallest weighted dominant share. Usage
/// only grows within a round, so it is enough to update the keys of a heap entry when it
/// reaches the top.
class row_order
{
public:
    explicit row_order(state& all);

    /// Returns the row to serve next, or nullptr when none is left.
    open_row* next();
    /// Removes the row that next() returned.
    void close();
    /// Must be called when the usage of the row that next() returned has grown.
    void update();

private:
    double& partner_key(index partner, std::uint8_t urgency_class);
    void compute_keys(open_row& open);
    /// Whether \p a is served after \p b.
    static bool served_after(const open_row& a, const open_row& b);
    /// Restores the heap order after the keys of the top entry have grown.
    void reposition_top();

    state& all_;
    resources total_;
    std::vector<open_row> open_;
    std::vector<double> partner_keys_;
};

} // namespace hawthornbeam::policy

#endif
