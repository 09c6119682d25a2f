#include "fairness.hpp"

#include <algorithm>

namespace hawthornbeam::policy
{

namespace
{

constexpr std::size_t urgency_classes = least_urgent.value() + 1;

} // namespace

row_order::row_order(state& all)
    : all_(all), total_(all.total()), partner_keys_(all.partners.size() * urgency_classes)
{
    for (index i = 0; i < all.rows.size(); ++i)
    {
        const row_record& row = all.rows[i];
        if (row.queue.head == none || !row.in_table)
            continue;
        open_row& open = open_.emplace_back();
        open.row = i;
        open.cursor = row.queue.head;
        open.urgency_class = row.settings.priority.value();
        open.partner = row.partner;
    }
    for (open_row& open : open_)
        compute_keys(open);
    std::make_heap(open_.begin(), open_.end(), served_after);
}

double& row_order::partner_key(index partner, std::uint8_t urgency_class)
{
    return partner_keys_[partner * urgency_classes + urgency_class];
}

void row_order::compute_keys(open_row& open)
{
    const row_record& row = all_.rows[open.row];
    const partner_record& partner = all_.partners[open.partner];
    const double share = dominant_share(all_.usage(row), total_);
    open.under_guarantee = share < row.settings.guaranteed;
    open.key =
        share / (open.under_guarantee ? row.settings.guaranteed : row.settings.weight);
    open.partner_key = dominant_share(partner.usage[open.urgency_class], total_) /
                       partner.weight[open.urgency_class];
    partner_key(open.partner, open.urgency_class) = open.partner_key;
}

bool row_order::served_after(const open_row& b, const open_row& a)
{
    if (a.under_guarantee != b.under_guarantee)
        return a.under_guarantee;
    if (a.under_guarantee && a.key != b.key)
        return a.key < b.key;
    if (a.urgency_class != b.urgency_class)
        return a.urgency_class < b.urgency_class;
    if (a.partner_key != b.partner_key)
        return a.partner_key < b.partner_key;
    if (a.partner != b.partner)
        return a.partner < b.partner;
    return a.key != b.key ? a.key < b.key : a.row < b.row;
}

void row_order::reposition_top()
{
    std::pop_heap(open_.begin(), open_.end(), served_after);
    std::push_heap(open_.begin(), open_.end(), served_after);
}

void row_order::update()
{
    compute_keys(open_.front());
    reposition_top();
}

open_row* row_order::next()
{
    while (!open_.empty())
    {
        open_row& top = open_.front();
        const double current = partner_key(top.partner, top.urgency_class);
        if (top.partner_key == current)
            return &top;
        top.partner_key = current;
        reposition_top();
    }
    return nullptr;
}

void row_order::close()
{
    std::pop_heap(open_.begin(), open_.end(), served_after);
    open_.pop_back();
}

} // namespace hawthornbeam::policy
