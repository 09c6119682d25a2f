/// \file
/// Implements the order of rows.
#include "fairness.hpp"

namespace hawthornbeam::policy
{

namespace
{

constexpr std::size_t classes = least_urgent.value() + 1;

} // namespace

row_order::row_order(state& all)
    : all_(all), total_(all.total()), partner_keys_(all.partners.size() * classes)
{
    for (partner_record& partner : all.partners)
        partner.weight.fill(0);
    for (index i = 0; i < all.rows.size(); ++i)
    {
        const row_record& row = all.rows[i];
        if (row.queue.head == none || !row.in_table)
            continue;
        all.partners[row.partner].weight[row.settings.priority.value()] +=
            row.settings.weight;
        open_.push_back({i, row.queue.head, 0, false, row.settings.priority.value(), 0});
    }
    for (open_row& row : open_)
        update(&row);
}

double& row_order::partner_key(index partner, std::uint8_t urgency_class)
{
    return partner_keys_[partner * classes + urgency_class];
}

void row_order::update_partner(index position, std::uint8_t urgency_class)
{
    const partner_record& partner = all_.partners[position];
    partner_key(position, urgency_class) =
        dominant_share(partner.usage[urgency_class], total_) /
        partner.weight[urgency_class];
}

void row_order::update(open_row* open)
{
    const row_record& row = all_.rows[open->row];
    const double share = dominant_share(row.running + row.remote, total_);
    open->under_guarantee = share < row.settings.guaranteed;
    open->key =
        share / (open->under_guarantee ? row.settings.guaranteed : row.settings.weight);
    update_partner(row.partner, open->urgency_class);
}

bool row_order::before(const open_row& a, const open_row& b)
{
    if (a.under_guarantee != b.under_guarantee)
        return a.under_guarantee;
    if (a.under_guarantee)
        return a.key != b.key ? a.key < b.key : a.urgency_class < b.urgency_class;
    if (a.urgency_class != b.urgency_class)
        return a.urgency_class < b.urgency_class;
    const index partner_a = all_.rows[a.row].partner;
    const index partner_b = all_.rows[b.row].partner;
    if (partner_a == partner_b)
        return a.key < b.key;
    const double key_a = partner_key(partner_a, a.urgency_class);
    const double key_b = partner_key(partner_b, b.urgency_class);
    return key_a != key_b ? key_a < key_b : partner_a < partner_b;
}

open_row* row_order::next()
{
    open_row* best = nullptr;
    for (open_row& row : open_)
    {
        if (best == nullptr || before(row, *best))
            best = &row;
    }
    return best;
}

void row_order::close(open_row* row)
{
    *row = open_.back();
    open_.pop_back();
}

} // namespace hawthornbeam::policy
